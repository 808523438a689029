package coordinator

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// Settings are what a Coordinator is made from.
type Settings struct {
	Name string
	Zone string
	// Topology are the regions of the zones.
	Topology topology.Map
	// Quota says by how much tenants' limits may be overrun.
	Quota quota.Terms
	// Address is the IP:port for other coordinators and for gateways.
	Address string
	// Listen is the IP:port to listen on for them; empty for Address.
	Listen string
	// Seeds are the internal addresses of coordinators to begin with; it is
	// asked anew each time, since settings change.
	Seeds func() []string
	// Bootstrap allows the founding of the group, by the seeds.
	Bootstrap bool
	// Voters is the number of replicas that vote; the others follow and step in
	// for a voter that is lost.
	Voters     int
	DataFolder string
	FileSystem storage.FileSystem
	// Lister asks the platform for the replicas.
	Lister Lister
	// Engines gives orders to model replicas; nil gives none.
	Engines Engines
	// Policy returns the policy by which replicas change their stage, nil for the
	// built-in rule alone. It is asked anew each time. nil is no policy.
	Policy func() *policy.Program
	// Without are the mechanisms that are switched off.
	Without mechanism.Set
	// PlacesAbove is the number of gateways above which coordinators choose replicas for
	// them; below 0 for never.
	PlacesAbove int
	// ActiveReplicas is the number of replicas of a service and region that take work whatever the load
	// is, 0 for the default.
	ActiveReplicas int
	// LinkBitsPerSecond is the speed of the machine's network link, 0 if it is not known.
	LinkBitsPerSecond float64
	// OtherRegionsRate bounds what is told to the coordinators of other regions of the work at
	// replicas, in bytes a second; 0 for the default.
	OtherRegionsRate float64
	// Prefixes tells what replicas keep; nil leaves that to be found out.
	Prefixes placement.PrefixSource
	// Lease is how far the calls of two holders of a duty must lie apart.
	Lease time.Duration
	// Platform takes the calls of duties; nil makes none.
	Platform Platform
	// Usage says how the usage of tenants is reported.
	Usage UsageTerms
	// OrderFleet says that the number of replicas may be ordered.
	OrderFleet bool
	Codec      traffic.Codec
	// Contact is how long processes that reach each other may take to know what one knows, and
	// Hold for how long a request is held under which replicas have ended.
	Contact time.Duration
	Hold    time.Duration
	// Now is the time on a clock that goes on while the machine is suspended; nil for uptime.Now.
	Now func() time.Duration
	// ListInterval is the time between two polls of the list.
	ListInterval time.Duration
	// Metrics is the process's registry; nil keeps none.
	Metrics *telemetry.Metrics
	Logger  logr.Logger
}

// Lister asks the platform which replicas there are.
type Lister interface {
	List(ctx context.Context) ([]region.Replica, error)
}

const (
	// groupName and groupNumber name the region's one group.
	groupName   = "region"
	groupNumber = 0x70696572

	electionTimeout = 800 * time.Millisecond
	heartbeat       = 100 * time.Millisecond
	// proposalTimeout is shorter than operators wait for an answer.
	proposalTimeout = 900 * time.Millisecond

	snapshotEntries  = 2000
	snapshotLogBytes = 8 << 20
	segmentBytes     = 2 << 20

	// freshnessInterval is the time between two confirmations of a
	// coordinator's copy.
	freshnessInterval = 200 * time.Millisecond
	freshnessTimeout  = 600 * time.Millisecond

	membershipInterval = 300 * time.Millisecond
	joinInterval       = 400 * time.Millisecond
	callTimeout        = time.Second
	transportTimeout   = 600 * time.Millisecond

	// voterSilence is how long a voter may be silent before a waiting replica
	// takes its place.
	voterSilence = 2 * time.Second
	// learnerSilence is how long a replica without a vote may be silent before
	// it is no member any more.
	learnerSilence = 10 * time.Second

	// gatewayMemory is how long a gateway counts after its last poll.
	gatewayMemory = 10 * time.Second

	defaultListInterval = 500 * time.Millisecond
)
