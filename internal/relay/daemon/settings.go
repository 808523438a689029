package daemon

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/listener"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/membudget"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/replicalist"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// Settings configure a Daemon.
type Settings struct {
	Name string
	Zone string
	// Topology maps zones to regions.
	Topology topology.Map
	// Quota sets by how much the gateways together may overrun tenants' limits.
	Quota quota.Enforcement
	// Listen is the address for callers' requests; ReadyListen is the address of the readiness
	// probe.
	Listen      string
	ReadyListen string
	ReadyPath   string
	// PeerListen is the UDP address for messages from other gateways and from coordinators.
	PeerListen string
	// Seeds returns the internal addresses of the coordinators to contact first.
	Seeds  func() []string
	Budget relay.RetryBudgetOptions
	// DisabledMechanisms lists the disabled mechanisms.
	DisabledMechanisms mechanism.Set
	// LinkBitsPerSecond is the speed of the machine's network link, 0 if unknown.
	LinkBitsPerSecond float64
	// OtherRegionsBytesPerSecond limits the reports of replicas' load that are sent to gateways of
	// other regions, in bytes per second; 0 selects the default.
	OtherRegionsBytesPerSecond float64
	// MaximumKeyAge is the maximum age of the view at which API keys are still accepted. 0 sets no
	// bound, so that a gateway that is cut off from the coordinators keeps serving the keys it
	// knows.
	MaximumKeyAge time.Duration
	// Now returns the time of a clock that keeps running while the machine is suspended; nil
	// selects uptime.Now.
	Now func() time.Duration
	// ContactTime is the maximum time for processes that reach each other to learn what one of them
	// knows. EvidenceHoldTime is how long evidence against a request counts.
	ContactTime      time.Duration
	EvidenceHoldTime time.Duration
	// UsageWindow is the length of the windows in which tenants' requests are counted; 0 disables
	// counting.
	UsageWindow time.Duration
	// StopTimeout limits the duration of a planned stop.
	StopTimeout time.Duration
	// MemoryBytes is the memory that the process may use, 0 for no bound.
	MemoryBytes int64
	// FileDescriptors is the number of file descriptors that the process may use, 0 if it is not known.
	FileDescriptors int
	// CallerStallTimeout is the maximum time for which a caller may read nothing of its answer; 0
	// selects the default.
	CallerStallTimeout time.Duration
	// ReadListPage reads a page of the platform's list of replicas, when no coordinator has a fresh view.
	ReadListPage replicalist.ReadPage
	// ListCallsPerSecond bounds the calls for pages of the list of all gateways together; 0 for no bound.
	ListCallsPerSecond float64
	// LeavingGrace is how long a replica that has announced that it leaves may still get new requests
	// if no other replica is left; 0 for no bound. It applies only if Gate is nil.
	LeavingGrace time.Duration
	// Gate tracks what replicas ask of this process (backoff, leaving). If nil, the daemon creates
	// its own. Anything else in this process that sends to the replicas uses the same gate.
	Gate *backpressure.Gate
	// AnswerBudget bounds what is kept of the answers of replicas and peers; nil sets no bound.
	AnswerBudget *membudget.Budget
	// RequestMemory bounds what is kept of requests; nil gives each listener one of its own.
	RequestMemory *listener.Memory
	// PrefixSource reports which prefixes replicas have cached; nil leaves this to be learned.
	PrefixSource placement.PrefixSource
	Codec        traffic.Codec
	Dialect      FrontendDialect
	// Metrics is the metrics registry of the process.
	Metrics *telemetry.Metrics
	Logger  logr.Logger
}

// FrontendDialect extends relay.Dialect with the parts that concern callers only.
type FrontendDialect interface {
	relay.Dialect
	// IsKey reports whether a header field holds the caller's API key.
	IsKey(name string) bool
	// RetryAfter returns the header field that tells a caller when to retry.
	RetryAfter(after time.Duration) (name, value string)
}

// defaultCallerStall is longer than networks usually lose packets, and longer than a caller that
// still runs pauses between reads.
const defaultCallerStall = 10 * time.Second

// unreadMemoryFraction of the memory may be taken by answers that callers have not read. Beyond it,
// the connections that have stalled longest are closed.
const unreadMemoryFraction = 0.25

// effectiveCallerStall returns the maximum time for which a caller may read nothing of its answer.
func (s Settings) effectiveCallerStall() time.Duration {
	if s.CallerStallTimeout > 0 {
		return s.CallerStallTimeout
	}
	return defaultCallerStall
}

// unknownDescriptorsConnections limits the connections of callers, and those of peers, if the number of file descriptors is not
// known.
const unknownDescriptorsConnections = 3000

const (
	// requestDescriptors is the share of the file descriptors that requests may take: the rest is for files, listeners and
	// connections to other processes. forwardedDescriptors is the share of these for calls that peers forward.
	requestDescriptors   = 0.9
	forwardedDescriptors = 0.2
	// descriptorsPerRequest counts the connection of the caller and that to the replica.
	descriptorsPerRequest = 2
)

// connectionLimits returns how many connections callers may have, and how many peers that forward calls.
func (s *Settings) connectionLimits() (callers, peers int) {
	if s.FileDescriptors <= 0 {
		return unknownDescriptorsConnections, unknownDescriptorsConnections
	}
	requests := requestDescriptors * float64(s.FileDescriptors) / descriptorsPerRequest
	peers = int(forwardedDescriptors * requests)
	return int(requests) - peers, peers
}

const (
	// initialGateways is assumed until a coordinator reports the number of gateways.
	initialGateways = 16

	dialTimeout        = 250 * time.Millisecond
	maximumBodyBytes   = 32 << 20
	maximumHeaderBytes = 64 << 10
	// headerTimeout and idleTimeout hold for what a configuration names no time for.
	headerTimeout = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// forwardedHeaderBytes are for the fields that gateways add.
	forwardedHeaderBytes = 16 << 10
	// readinessConnections are those of the platform, which asks one question at a time.
	readinessConnections = 64

	viewPollWait = 400 * time.Millisecond
	viewTimeout  = 900 * time.Millisecond
	// From an age of staleAge on, a view is stale, and the gateway switches to another coordinator.
	// From directListAge on, the gateway reads the platform's list itself.
	staleAge      = 900 * time.Millisecond
	directListAge = 1500 * time.Millisecond
	// directListInterval is the mean interval between direct reads of the platform's list by a
	// gateway without a fresh view.
	directListInterval = 2 * time.Second
	pollRetryDelay     = 50 * time.Millisecond
	// maximumListPart is the number of replicas above which the list is received in parts. Each takes some 120 bytes, so
	// that a part arrives well within viewTimeout over a link of 10 Mbit/s.
	maximumListPart = 2000
)
