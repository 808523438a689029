package daemon

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// Settings are what a Daemon is made from.
type Settings struct {
	Name string
	Zone string
	// Topology are the regions of the zones.
	Topology topology.Map
	// Quota says by how much tenants' limits may be overrun.
	Quota quota.Terms
	// Listen takes callers; ReadyListen answers whether the gateway is ready.
	Listen      string
	ReadyListen string
	ReadyPath   string
	// PeerListen takes the messages of other gateways and of coordinators (UDP).
	PeerListen string
	// Seeds are the internal addresses of coordinators to begin with.
	Seeds  func() []string
	Budget relay.BudgetTerms
	// Without are the mechanisms that are switched off.
	Without mechanism.Set
	// LinkBitsPerSecond is the speed of the machine's network link, 0 if it is not known.
	LinkBitsPerSecond float64
	// OtherRegionsRate bounds what is told to gateways of other regions of the work at replicas,
	// in bytes a second; 0 for the default.
	OtherRegionsRate float64
	// KeyMemory is how old the view may be by which API keys are still accepted; 0 sets no
	// bound, so that a gateway which is cut off serves the keys that it knows.
	KeyMemory time.Duration
	// Now is the time on a clock that goes on while the machine is suspended; nil for uptime.Now.
	Now func() time.Duration
	// Contact is how long processes that reach each other may take to know what one knows, and
	// Hold for how long evidence against a request counts.
	Contact time.Duration
	Hold    time.Duration
	// UsageWindow is the length of the windows by which tenants' requests are counted; 0 counts
	// none.
	UsageWindow time.Duration
	// StopTime bounds a planned stop.
	StopTime time.Duration
	// MemoryBytes is what the process may use, 0 for no bound.
	MemoryBytes int64
	// CallerStall is for how long a caller may take nothing of its answer; 0 for the default.
	CallerStall time.Duration
	// Lister is asked directly if no coordinator has a fresh view.
	Lister coordinator.Lister
	// LeaveTime is for how long a replica that has said it leaves may get new requests, if no other is left; 0
	// for no bound. It counts if Gate is nil.
	LeaveTime time.Duration
	// Gate keeps what replicas ask of this process; nil for one of its own. Whatever else sends to them uses it.
	Gate *backpressure.Gate
	// Prefixes tells what replicas keep; nil leaves that to be found out.
	Prefixes placement.PrefixSource
	Codec    traffic.Codec
	Dialect  FrontDialect
	// Metrics is the process's registry.
	Metrics *telemetry.Metrics
	Logger  logr.Logger
}

// FrontDialect is a relay.Dialect with what concerns callers alone.
type FrontDialect interface {
	relay.Dialect
	// IsKey reports whether a request's field holds the caller's API key.
	IsKey(name string) bool
	// RetryAfter formats the advice when to come back.
	RetryAfter(after time.Duration) (name, value string)
}

// defaultCallerStall is longer than networks lose packets or callers wait for anything that runs.
const defaultCallerStall = 10 * time.Second

// unreadShare of the memory may be taken by answers that callers read slowly; beyond it those who have
// stopped for longest are given up.
const unreadShare = 0.25

// callerStall is for how long a caller may take nothing of its answer.
func (s Settings) callerStall() time.Duration {
	if s.CallerStall > 0 {
		return s.CallerStall
	}
	return defaultCallerStall
}

const (
	// initialGateways is assumed until a coordinator says how many gateways
	// there are.
	initialGateways = 16

	dialTimeout        = 250 * time.Millisecond
	maximumBodyBytes   = 32 << 20
	maximumHeaderBytes = 64 << 10
	// headerTimeout bounds the arrival of a request's head and body.
	headerTimeout = 30 * time.Second
	// idleTimeout is longer than callers keep unused connections.
	idleTimeout = 2 * time.Minute

	viewWait    = 400 * time.Millisecond
	viewTimeout = 900 * time.Millisecond
	// staleAge is the age from which on a view is too old to stay with its
	// coordinator, and blindAge that from which on the gateway asks the
	// platform's list itself.
	staleAge = 900 * time.Millisecond
	blindAge = 1500 * time.Millisecond
	// listPause is the mean pause between two direct polls of the list by a
	// gateway without a fresh view.
	listPause   = 2 * time.Second
	listTimeout = time.Second
	retryPause  = 50 * time.Millisecond
)
