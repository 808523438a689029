package coordinator

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/listener"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/replicalist"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// Settings configures a Coordinator.
type Settings struct {
	Name string
	Zone string
	// Topology maps zones to regions.
	Topology topology.Map
	// Quota sets by how much tenants' limits may be exceeded.
	Quota quota.Enforcement
	// Address is the IP:port for other coordinators and for gateways.
	Address string
	// Listen is the IP:port to listen on for them; Address if it is empty.
	Listen string
	// Seeds returns the internal addresses of the coordinators that found the group
	// or are asked to join it. It is called each time, since settings change.
	Seeds func() []string
	// Bootstrap allows the seeds to found the group.
	Bootstrap bool
	// Voters is the number of voters. The other members are learners, which replace
	// voters that are lost.
	Voters     int
	DataFolder string
	FileSystem storage.FileSystem
	// ReadListPage reads a page of the platform's list of replicas.
	ReadListPage replicalist.ReadPage
	// Engines sends orders to model replicas. If it is nil, none are sent.
	Engines Engines
	// Policy returns the policy for stage changes, or nil for the built-in rule
	// alone. It is called each time the policy is needed. A nil function is no policy.
	Policy func() *policy.Program
	// DisabledMechanisms is the set of disabled mechanisms.
	DisabledMechanisms mechanism.Set
	// PlacementGatewayThreshold is the number of gateways above which coordinators choose replicas for
	// them. If it is negative, they never do.
	PlacementGatewayThreshold int
	// MinimumActiveReplicas is the number of replicas of a service in a region that are active at any load,
	// 0 for the default.
	MinimumActiveReplicas int
	// LinkBitsPerSecond is the speed of the machine's network link, 0 if it is unknown.
	LinkBitsPerSecond float64
	// OtherRegionsBytesPerSecond bounds the reports of the work at replicas to the coordinators of other
	// regions, in bytes a second; 0 for the default.
	OtherRegionsBytesPerSecond float64
	// PrefixSource reports which prefixes replicas have cached. If it is nil, replicas are not asked for
	// them, and what they cached before the start is only found out from later requests.
	PrefixSource placement.PrefixSource
	// Lease is the minimum time between calls of two different holders of a duty.
	Lease time.Duration
	// Platform receives the calls of the usage and fleet duties. If it is nil, none are made.
	Platform Platform
	// Usage sets how the usage of tenants is reported.
	Usage UsageOptions
	// EnableFleetOrders enables orders for the number of replicas.
	EnableFleetOrders bool
	Codec             traffic.Codec
	// ContactTime is the maximum time until information that one process has reaches the processes
	// connected with it. EvidenceHoldTime is the time for which a request that replicas have crashed under is held.
	// If one is 0, its default applies.
	ContactTime      time.Duration
	EvidenceHoldTime time.Duration
	// Now returns the time of a clock that includes time for which the machine is suspended; nil for
	// uptime.Now.
	Now func() time.Duration
	// ListInterval is the time from the start of one reading of the platform's list to that of the next; 0 for the default.
	ListInterval time.Duration
	// ListBound is the time within which the whole list should be read; 0 for no bound.
	ListBound time.Duration
	// ListCallsPerSecond bounds the calls for pages of the list; 0 for no bound.
	ListCallsPerSecond float64
	// Metrics is the process's registry. If it is nil, no metrics are registered.
	Metrics *telemetry.Metrics
	// RequestMemory bounds what is kept of requests; nil selects one for the calls alone.
	RequestMemory *listener.Memory
	// FileDescriptors is the number of file descriptors that the process may use, 0 if it is not known.
	FileDescriptors int
	Logger          logr.Logger
}

const (
	// groupName and groupNumber identify the region's consensus group.
	groupName   = "region"
	groupNumber = 0x70696572

	electionTimeout = 800 * time.Millisecond
	heartbeat       = 100 * time.Millisecond
	// proposalTimeout is shorter than the time for which operators wait for an answer.
	proposalTimeout = 900 * time.Millisecond

	snapshotEntries  = 2000
	snapshotLogBytes = 8 << 20
	segmentBytes     = 2 << 20

	// freshnessInterval is the time between two confirmations of a coordinator's copy
	// of the state.
	freshnessInterval = 200 * time.Millisecond
	freshnessTimeout  = 600 * time.Millisecond

	membershipInterval = 300 * time.Millisecond
	joinInterval       = 400 * time.Millisecond
	callTimeout        = time.Second
	transportTimeout   = 600 * time.Millisecond

	// voterSilence is the time for which a voter may be silent before a learner
	// replaces it.
	voterSilence = 2 * time.Second
	// learnerSilence is the time for which a learner may be silent before it is
	// removed from the group.
	learnerSilence = 10 * time.Second

	// gatewayRetention is the time for which a gateway counts after its last poll.
	gatewayRetention = 10 * time.Second

	defaultListInterval = 500 * time.Millisecond
)
