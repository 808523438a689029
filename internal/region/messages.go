package region

import (
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
)

//go:generate go tool msgp -file messages.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536
//msgp:tuple Outstanding OutstandingWork PlacedPrompt PlacedPart EngineCost

// Paths of the requests that coordinators and gateways send to coordinators.
const (
	PathView          = "/internal/v1/region/view"
	PathReadIndex     = "/internal/v1/region/read-index"
	PathReplace       = "/internal/v1/region/replace"
	PathJoin          = "/internal/v1/region/join"
	PathRetire        = "/internal/v1/region/retire"
	PathPoison        = "/internal/v1/region/poison"
	PathRelease       = "/internal/v1/region/release"
	PathQuotas        = "/internal/v1/region/quotas"
	PathReplicaLimits = "/internal/v1/region/replica-limits"
	PathPermit        = "/internal/v1/region/permit"
	PathCached        = "/internal/v1/region/kept"
	PathBuilds        = "/internal/v1/region/builds"
	PathLeaving       = "/internal/v1/region/leaving"
)

// Stages of a model replica.
const (
	StagePrefill = "prefill"
	StageDecode  = "decode"
	// StageChanging marks replicas that take no new work until their stage change has ended.
	StageChanging = "changing"
)

// Replica is an incarnation of a replica of a service.
type Replica struct {
	ID string `msg:"id"`
	// Born is the start time of its process in milliseconds since 1970, 0 if it is not reported.
	Born    int64  `msg:"born"`
	Service string `msg:"service"`
	// Address is an IP:port.
	Address string `msg:"address"`
	Zone    string `msg:"zone"`
	// Slots is the number of requests that it processes concurrently.
	Slots int `msg:"slots"`
	// Draining replicas take no new work, according to the platform's list.
	Draining bool `msg:"draining"`
	// Stage is empty for replicas that are not model engines.
	Stage string `msg:"stage"`
	// Preemptible replicas cost less and may be preempted, all of a zone at once.
	Preemptible bool `msg:"preemptible"`
	// Leaving replicas have declared in a response that they take no new work, which the list may not show.
	Leaving bool `msg:"leaving,omitempty"`
	// Software is the version of its software, empty if it is not known.
	Software string `msg:"software,omitempty"`
}

// IsLeaving reports whether the replica takes no new work until its incarnation ends.
func (r *Replica) IsLeaving() bool { return r.Draining || r.Leaving }

// ViewRequest is a gateway's long poll for a View.
type ViewRequest struct {
	Gateway string `msg:"gateway"`
	// Address is the address at which the gateway receives messages from its peers.
	Address string `msg:"address"`
	// PeersHash is the hash of the peers that the gateway knows, and MembersHash that of the coordinators.
	PeersHash   uint64 `msg:"peers_hash"`
	MembersHash uint64 `msg:"members_hash,omitempty"`
	// Version and ListRevision are those that the gateway has.
	Version      uint64 `msg:"version"`
	ListRevision uint64 `msg:"list_revision"`
	// ListBound is the number of replicas above which the list is to come in parts, 0 if the gateway takes no parts. PartEnd
	// is the id up to which it has received the parts of a list, empty if it awaits none, and PartRevision the revision of
	// what it has received; ListRevision is then 0.
	ListBound    int    `msg:"list_bound,omitempty"`
	PartEnd      string `msg:"part_end,omitempty"`
	PartRevision uint64 `msg:"part_revision,omitempty"`
	// Demand is the demand that the gateway measures, by service of model engines.
	Demand []ServiceDemand `msg:"demand"`
	// WaitMillis bounds the wait for newer data.
	WaitMillis int `msg:"wait"`
	// WallNanos is the gateway's time of day in nanoseconds since 1970.
	WallNanos int64 `msg:"wall"`
	// Usage is the usage that the gateway has counted, nil if there is nothing to report.
	Usage *GatewayUsage `msg:"usage"`
	// PoisonRevision is the revision of what the gateway knows about requests that crash replicas.
	PoisonRevision uint64 `msg:"poison_revision"`
	// LimitNames is ratelimit.Table.ReplicasHash of the gateway.
	LimitNames uint64 `msg:"limit_names,omitempty"`
	// NeighborsHash is the hash of View.Neighbors that the gateway knows.
	NeighborsHash uint64 `msg:"neighbors_hash,omitempty"`
	// Protocol and Revision identify the gateway's build, see Build.
	Protocol int    `msg:"protocol,omitempty"`
	Revision string `msg:"revision,omitempty"`
	// Life is the start time of the gateway's process.
	Life int64 `msg:"life,omitempty"`
	// NewSoftware is HashNewOrigins of what the gateway knows.
	NewSoftware uint64 `msg:"new_software,omitempty"`
	// InForce is the version of the configuration that the gateway acts on. Version may have been received and not be in force.
	InForce uint64 `msg:"in_force,omitempty"`
}

// ForwardedCall describes a call that a gateway forwards to a peer, beside the caller's request.
type ForwardedCall struct {
	// Gateway is the name of the gateway that forwards it, Address its address for messages from other processes.
	Gateway string `msg:"gateway"`
	Address string `msg:"address"`
	// Version is that of the configuration by which the gateway has admitted the call, Service the service that it chose,
	// Tenant and Rank those of the caller.
	Version uint64 `msg:"version"`
	Service string `msg:"service"`
	Tenant  string `msg:"tenant,omitempty"`
	Rank    int    `msg:"rank"`
	// ElapsedMicros is the time since the call has arrived, WaitMicros how long the caller waits from its arrival, 0 if it
	// does not say.
	ElapsedMicros int64 `msg:"elapsed"`
	WaitMicros    int64 `msg:"wait"`
	// LastEvent is the ID of the last event that the caller has of an interrupted stream, and Software that of the replica that
	// has begun it. It is nil for a call without events.
	LastEvent string           `msg:"last_event,omitempty"`
	Software  *origin.Software `msg:"software,omitempty"`
	// Attempts counts the replicas that may have run the call, Arrivals those that it may have reached.
	Attempts   int  `msg:"attempts"`
	Arrivals   int  `msg:"arrivals"`
	MayHaveRun bool `msg:"may_have_run"`
	// Number distinguishes calls with the same ID, and Sends counts the sends of this one.
	Number uint64 `msg:"number,omitempty"`
	Sends  int    `msg:"sends,omitempty"`
}

// Build identifies the build that a process runs.
type Build struct {
	// Protocol is build.Protocol of the process, 0 if it reports none, and Revision its build.Revision.
	Protocol int    `msg:"protocol"`
	Revision string `msg:"revision"`
}

// ProcessBuild is the build of the process at an address.
type ProcessBuild struct {
	Address string `msg:"address"`
	Build   Build  `msg:"build"`
}

// BuildsRequest asks the leader for the builds of all processes.
type BuildsRequest struct{}

// Builds are the builds of all processes of a region, as known to its leader.
type Builds struct {
	Leader       string         `msg:"leader"`
	Coordinators []ProcessBuild `msg:"coordinators"`
	Gateways     []ProcessBuild `msg:"gateways"`
	// Earlier are the coordinators of earlier builds, which know no standby replicas.
	Earlier []string `msg:"earlier"`
}

// GatewayUsage is the usage that one incarnation of a gateway has counted.
type GatewayUsage struct {
	// Gateway is the gateway's address, and Life the start time of its process.
	Gateway string `msg:"gateway"`
	Life    int64  `msg:"life"`
	// ToldAt is the region's time, in nanoseconds since 1970, up to which the report is complete.
	ToldAt int64 `msg:"told_at"`
	// Counts are totals since the start of each window: a later one replaces an earlier one.
	Counts []UsageCount `msg:"counts"`
}

// View is the answer to a ViewRequest.
type View struct {
	// AgeMillis is the time since a majority confirmed the coordinator's state,
	// negative if none ever did.
	AgeMillis int64  `msg:"age"`
	Zone      string `msg:"zone"`
	// Version is that of the configuration in effect; Document is set only if the gateway has an
	// older one.
	Version  uint64 `msg:"version"`
	Document []byte `msg:"document,limit=67108864"`
	// ListRevision is the revision of the list of replicas. HasList says that the list has
	// changed since the request's revision: Replicas are those that were added or changed
	// and Removed the ids of those that were removed or put on standby. If WholeList is set,
	// Replicas are all that are not on standby. PartEnd is set if another part of the list follows: Replicas are
	// then complete up to this id only.
	ListRevision uint64    `msg:"list_revision"`
	HasList      bool      `msg:"has_list"`
	WholeList    bool      `msg:"whole_list"`
	Replicas     []Replica `msg:"replicas"`
	Removed      []string  `msg:"removed"`
	PartEnd      string    `msg:"part_end,omitempty"`
	// Standby is the number of standby replicas, which the view omits.
	Standby int `msg:"standby,omitempty"`
	// NeighborsHash is the hash of the peers to which the gateway may forward calls where coordinators choose replicas.
	// Neighbors are their addresses, set only if the request's hash differs.
	NeighborsHash uint64   `msg:"neighbors_hash,omitempty"`
	Neighbors     []string `msg:"neighbors,omitempty"`
	// Gateways is the number of gateways of the region, 0 if it is not known yet.
	Gateways int `msg:"gateways"`
	// Places says that there are so many gateways that the coordinators choose replicas for them. The
	// gateways then don't report their work to each other.
	Places bool `msg:"places"`
	// PeersHash is the hash of the region's gateways. Peers are their addresses, set
	// only if the request's hash differs.
	PeersHash uint64   `msg:"peers_hash"`
	Peers     []string `msg:"peers"`
	// MembersHash is the hash of the coordinators with their zones. Coordinators are their internal
	// addresses and CoordinatorZones their zones, empty where one is not known. They are set only if
	// the request's hash differs.
	MembersHash      uint64   `msg:"members_hash,omitempty"`
	Coordinators     []string `msg:"coordinators"`
	CoordinatorZones []string `msg:"coordinator_zones,omitempty"`
	// RegionNanos is the region's time in nanoseconds since 1970.
	RegionNanos int64 `msg:"region"`
	// NextWindow is the first usage window whose counts are not final.
	NextWindow uint64 `msg:"next_window"`
	// Poison is the news about requests that crash replicas, nil if there is none.
	Poison *poison.News `msg:"poison"`
	// LimitNames is ratelimit.Table.ReplicasHash of the coordinator. Limits are the rate limits, declared by
	// replicas, that it knows; they are set only if the request's LimitNames differs.
	LimitNames uint64             `msg:"limit_names,omitempty"`
	Limits     []ratelimit.Report `msg:"limits,omitempty"`
	// ListMillis is the time since the beginning of the last reading of the platform's whole list, and PageMillis that
	// since a page of it was read; 0 if it is not known.
	ListMillis int64 `msg:"list_age,omitempty"`
	PageMillis int64 `msg:"page_age,omitempty"`
	// FormerSoftware is that of State. It is complete if SoftwareComplete is set: then the services have run nothing else
	// within origin.Window but what their replicas run now.
	FormerSoftware   []FormerSoftware `msg:"former_software,omitempty"`
	SoftwareComplete bool             `msg:"software_complete,omitempty"`
	// NewSoftware is that of State, kept if SoftwareGated is set. The gateway may then act on the list until the contact time
	// after it was confirmed: HeldMillis after the request came, less AgeMillis.
	NewSoftware   []NewSoftware `msg:"new_software,omitempty"`
	SoftwareGated bool          `msg:"software_gated,omitempty"`
	HeldMillis    int64         `msg:"held,omitempty"`
	// FormerRoutes and NewRoutes are those of State, kept if RoutesKept is set. FormerRoutes is complete if RoutesComplete is
	// set: then streams have begun nowhere else within origin.Window but where the configuration in effect says.
	FormerRoutes   []FormerRoute `msg:"former_routes,omitempty"`
	NewRoutes      []NewRoute    `msg:"new_routes,omitempty"`
	RoutesKept     bool          `msg:"routes_kept,omitempty"`
	RoutesComplete bool          `msg:"routes_complete,omitempty"`
}

// ReadIndexRequest asks the leader to confirm its leadership, and carries reports of a coordinator to it.
type ReadIndexRequest struct {
	// From is the requesting coordinator's address, and Zone its zone.
	From string `msg:"from"`
	Zone string `msg:"zone,omitempty"`
	// MembersHash is the hash of the coordinators with their zones as the requester knows them.
	MembersHash uint64 `msg:"members_hash,omitempty"`
	// Gateways are the addresses of the gateways that poll the requesting
	// coordinator.
	Gateways []string `msg:"gateways"`
	// PeersHash is the hash of the region's gateways as the requester knows them.
	PeersHash uint64 `msg:"peers_hash"`
	// Demand is the sum of these gateways' demand.
	Demand []ServiceDemand `msg:"demand"`
	// Clocks are the times of day, in nanoseconds since 1970, on the clocks of the requesting
	// coordinator and of the gateways that poll it.
	Clocks []int64 `msg:"clocks"`
	// Usage is the usage that the gateways have counted and the leader may not know yet.
	Usage []GatewayUsage `msg:"usage"`
	// Protocol and Revision identify the requester's build, see Build. OtherBuilds lists those of its
	// gateways that run another build.
	Protocol    int            `msg:"protocol,omitempty"`
	Revision    string         `msg:"revision,omitempty"`
	OtherBuilds []ProcessBuild `msg:"other_builds,omitempty"`
	// ListHeld is the revision of the oldest list that the requester, or a gateway that polls it, may act on; 0 if that is
	// not known.
	ListHeld uint64 `msg:"list_held,omitempty"`
	// VersionHeld is the same for the version of the configuration.
	VersionHeld uint64 `msg:"version_held,omitempty"`
}

// ServiceDemand is the demand for a service of model engines.
type ServiceDemand struct {
	Service string `msg:"service"`
	// Region is the region of the replicas that do this work, and of the gateways that received these
	// prompts; empty where there is one region.
	Region string `msg:"region,omitempty"`
	// Generating is the number of requests in their decode phase.
	Generating float64 `msg:"generating"`
	// Expected is the number of requests that will be in their decode phase when a replica could have
	// changed its stage, if they continue to arrive at the recent rate.
	Expected float64 `msg:"expected"`
	// Reading is the number of replicas that the prefills keep busy.
	Reading float64 `msg:"reading"`
	// Kept is the number of replicas that prefills would keep busy beyond Reading if replicas
	// had nothing of the prompts cached.
	Kept float64 `msg:"kept"`
	// Prompts is the number of prompts per second. Slack is the sum per second of the times, in
	// seconds, that they may wait before their prefill, and Squares that of the squares of their
	// prefill times.
	Prompts float64 `msg:"prompts"`
	Slack   float64 `msg:"slack"`
	Squares float64 `msg:"squares"`
	// Delayed is the number of prompts per second that are late because they have to wait.
	Delayed float64 `msg:"delayed"`
	// Unreachable are the replicas that did not respond, or have rejected everything, for some time, by
	// Incarnation.Name.
	Unreachable []string `msg:"unreachable"`
	// Refusing are those that have recently rejected several requests, or have requested a backoff.
	Refusing []string `msg:"refusing,omitempty"`
	// Gateways is the number of gateways in this sum.
	Gateways int `msg:"gateways"`
	// Running is the number of requests running at replicas that are not model engines.
	Running float64 `msg:"running,omitempty"`
}

// ReadIndexReply contains the log index that the requester must have applied to
// know everything that was acknowledged before the request.
type ReadIndexReply struct {
	Index uint64 `msg:"index"`
	// PeersHash is the hash of the region's gateways. Peers are their addresses, set
	// only if the request's hash differs.
	PeersHash uint64   `msg:"peers_hash"`
	Peers     []string `msg:"peers"`
	// Members are the coordinators whose zones the leader knows, set only if the requester may not know
	// them all.
	Members []CoordinatorZone `msg:"members,omitempty"`
	// RegionNanos is the region's time in nanoseconds since 1970.
	RegionNanos int64 `msg:"region"`
	// ListMillis and PageMillis are those of View.
	ListMillis int64 `msg:"list_age,omitempty"`
	PageMillis int64 `msg:"page_age,omitempty"`
}

// CoordinatorZone is a coordinator, by its internal address, with its zone.
type CoordinatorZone struct {
	Address string `msg:"address"`
	Zone    string `msg:"zone"`
}

// ReplaceRequest forwards an operator's configuration to the leader.
type ReplaceRequest struct {
	Version  uint64 `msg:"version"`
	Document []byte `msg:"document,limit=67108864"`
}

// ReplaceReply confirms that a configuration is durable, or that one of the same or
// a higher version is.
type ReplaceReply struct {
	// Version is that of the configuration in effect.
	Version uint64 `msg:"version"`
	// Index is the log index of the command.
	Index uint64 `msg:"index"`
}

// JoinRequest asks the leader to add a consensus replica to the group, or to give its vote to
// another before it stops.
type JoinRequest struct {
	Address string `msg:"address"`
	Replica uint64 `msg:"replica"`
}

// Outstanding is a gateway's report to its peers of the work that it has placed at
// replicas and that is not completed. A newer one replaces an older one.
type Outstanding struct {
	Gateway string `msg:"gateway"`
	// Life is the start time of the gateway's process. Sequence grows within it.
	Life     int64             `msg:"life"`
	Sequence uint64            `msg:"sequence"`
	Replicas []OutstandingWork `msg:"replicas"`
	// Prompts are the gateway's recent prefills. Some of them were in earlier
	// messages.
	Prompts []PlacedPrompt `msg:"prompts"`
	// Unreachable are the replicas, by Incarnation.Name, that accept no connection from the gateway, or
	// have stopped responding.
	Unreachable []string `msg:"unreachable"`
	// Whole says that Replicas contains all of the gateway's work. Otherwise it contains what has
	// changed since the previous message; a replica whose work has ended is listed with none.
	Whole bool `msg:"whole"`
	// Costs are the engine costs that the gateway has learned for services.
	Costs []EngineCost `msg:"costs"`
	// Zone is the sender's, empty where there is one region. WallNanos is the sender's time of day in
	// nanoseconds since 1970 if the receiver may be in another region, else 0.
	Zone      string `msg:"zone"`
	WallNanos int64  `msg:"wall"`
}

// CachedRequest asks a coordinator for the cached prefixes of the replicas whose cache owner it is, which
// means that it queries them on behalf of all coordinators.
type CachedRequest struct {
	// From is the requesting coordinator's address.
	From string `msg:"from"`
}

// CachedReply is the reply to a CachedRequest.
type CachedReply struct {
	Kept []CachedParts `msg:"kept"`
	// Whole says that the coordinator knows what each of these replicas has cached.
	Whole bool `msg:"whole"`
}

// CachedParts are the parts of prompts that a replica has cached, the least recently used first.
type CachedParts struct {
	// Replica is an Incarnation.Name.
	Replica string       `msg:"replica"`
	Parts   []PlacedPart `msg:"parts"`
}

// EngineCost is the cost of prefills that a gateway has learned for a service's engines
// from a number of prompts: the weights of costmodel.Weights, in seconds.
type EngineCost struct {
	Service string  `msg:"service"`
	Samples int     `msg:"samples"`
	Fixed   float64 `msg:"fixed"`
	Token   float64 `msg:"token"`
	Pair    float64 `msg:"pair"`
}

// PlacedPrompt is a prompt that a replica prefills and caches.
type PlacedPrompt struct {
	// Sequence grows with each prompt that the gateway places.
	Sequence uint64 `msg:"sequence"`
	// Replica is an Incarnation.Name.
	Replica string       `msg:"replica"`
	Parts   []PlacedPart `msg:"parts"`
	// ReadyMillis is the expected time until the prefill is complete.
	ReadyMillis int `msg:"ready_ms"`
}

// PlacedPart is a part of a prompt.
type PlacedPart struct {
	ID     string `msg:"id"`
	Tokens int    `msg:"tokens"`
}

// BackoffReport reports the replicas that reject a process's requests; other processes avoid them if they can. It
// is a separate message because earlier builds can't decode an Outstanding with an additional field.
type BackoffReport struct {
	Gateway  string           `msg:"gateway"`
	Replicas []BackoffReplica `msg:"replicas"`
}

// BackoffReplica is a replica that rejects a process's requests.
type BackoffReplica struct {
	// Replica is an Incarnation.Name.
	Replica string `msg:"replica"`
	// LeftMillis is the remaining backoff, in milliseconds, during which the process sends it no requests.
	LeftMillis int `msg:"left_ms"`
}

// LeavingReport lists replicas that have declared in a response that they are leaving.
type LeavingReport struct {
	// Replicas are Incarnation.Names.
	Replicas []string `msg:"replicas"`
}

// OutstandingWork is a gateway's work at one replica.
type OutstandingWork struct {
	// Replica is an Incarnation.Name.
	Replica  string `msg:"replica"`
	Requests int    `msg:"requests"`
	// InTimeMicros and LateMicros are the remaining prefill times in microseconds: of the
	// prompts that are expected to meet their objectives, and of the others, which the
	// replica prefills after these.
	InTimeMicros int64 `msg:"in_time_us"`
	LateMicros   int64 `msg:"late_us"`
}

// PoisonReply confirms that a command about requests that crash replicas is durable.
type PoisonReply struct {
	// Known says that at least one of the requests which the command releases was held.
	Known bool `msg:"known"`
}
