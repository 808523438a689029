package region

import (
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
)

//go:generate go tool msgp -file messages.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536
//msgp:tuple Outstanding OutstandingWork PlacedPrompt PlacedPart EngineCost UsageCount

// Paths of the calls between coordinators and of gateways to them.
const (
	PathView          = "/internal/v1/region/view"
	PathReadIndex     = "/internal/v1/region/read-index"
	PathReplace       = "/internal/v1/region/replace"
	PathJoin          = "/internal/v1/region/join"
	PathPoison        = "/internal/v1/region/poison"
	PathRelease       = "/internal/v1/region/release"
	PathQuotas        = "/internal/v1/region/quotas"
	PathReplicaLimits = "/internal/v1/region/replica-limits"
	PathPermit        = "/internal/v1/region/permit"
	PathKept          = "/internal/v1/region/kept"
	PathBuilds        = "/internal/v1/region/builds"
	PathLeaving       = "/internal/v1/region/leaving"
)

// Stages of a model replica.
const (
	StagePrefill = "prefill"
	StageDecode  = "decode"
	// StageChanging replicas take no new work until their change has ended.
	StageChanging = "changing"
)

// Replica is one incarnation of a back end of a service.
type Replica struct {
	ID string `msg:"id"`
	// Born is the moment of its process's start in milliseconds since 1970, 0 if it is not told.
	Born    int64  `msg:"born"`
	Service string `msg:"service"`
	// Address is an IP:port.
	Address string `msg:"address"`
	Zone    string `msg:"zone"`
	// Slots is the number of requests that it works on at once.
	Slots int `msg:"slots"`
	// Draining replicas take no new work, as the platform's list says.
	Draining bool `msg:"draining"`
	// Stage is empty for replicas that are not model engines.
	Stage string `msg:"stage"`
	// Preemptible replicas cost less and may be taken away, all of a zone at once.
	Preemptible bool `msg:"preemptible"`
	// Leaving replicas have said in an answer that they take no new work, which the list may not show.
	Leaving bool `msg:"leaving,omitempty"`
}

// Leaves reports whether the replica takes no new work until its life ends.
func (r *Replica) Leaves() bool { return r.Draining || r.Leaving }

// State is what the coordinators replicate.
type State struct {
	// Version is that of the configuration; 0 while there is none.
	Version uint64 `msg:"version"`
	// Document is the configuration as the operator sent it.
	Document []byte `msg:"document,limit=67108864"`
	// ListRevision is the log position of the last change of those Replicas that don't stand by.
	ListRevision uint64 `msg:"list_revision"`
	// Replicas are sorted by their ids, of each its newest life.
	Replicas []ListedReplica `msg:"replicas"`
	// StandbyCount is the number of Replicas that stand by. Each coordinator counts them itself.
	StandbyCount int `msg:"-"`
	// Removed are the replicas that have gone, oldest first, after RemovedSince.
	Removed      []RemovedReplica `msg:"removed"`
	RemovedSince uint64           `msg:"removed_since"`
	// Changes are the stage changes under way.
	Changes []StageChange `msg:"changes"`
	// NextWindow is the first window of usage whose counts are not fixed, 0 while none is; Usage
	// are the windows whose counts are fixed and have not been reported yet, oldest first.
	NextWindow uint64        `msg:"next_window"`
	Usage      []UsageWindow `msg:"usage"`
	// Fleet are the numbers of replicas that were ordered.
	Fleet []FleetOrder `msg:"fleet"`
	// Poison is what is known of requests under which replicas have ended.
	Poison poison.State `msg:"poison"`
}

// UsageWindow is what the tenants have used in a window of time.
type UsageWindow struct {
	Window uint64       `msg:"window"`
	Counts []UsageCount `msg:"counts"`
}

// UsageCount is the number of a tenant's requests that began to run in a window.
type UsageCount struct {
	Window uint64
	Tenant string
	Count  uint32
}

// FleetOrder is the number of replicas of a kind that a service is to have in a zone.
type FleetOrder struct {
	Service     string `msg:"service"`
	Zone        string `msg:"zone"`
	Preemptible bool   `msg:"preemptible"`
	Count       int    `msg:"count"`
	// Base is the number of replicas of the service that there were before any was ordered.
	Base int `msg:"base"`
}

// ListedReplica is a replica with the log position at which it last changed.
type ListedReplica struct {
	Replica  Replica `msg:"replica"`
	Revision uint64  `msg:"revision"`
	// Standby replicas take no work, and gateways are not told of them.
	Standby bool `msg:"standby,omitempty"`
}

// RemovedReplica is a replica that has gone or stands by, with the log position from which on it does.
type RemovedReplica struct {
	ID       string `msg:"id"`
	Revision uint64 `msg:"revision"`
}

// StageChange is an order to a replica to take another stage.
type StageChange struct {
	Replica string `msg:"replica"`
	// Born is that of the life which was ordered.
	Born  int64  `msg:"born"`
	Stage string `msg:"stage"`
	// Fence is the log position of the order; it grows over all leaders.
	Fence uint64 `msg:"fence"`
}

// Command is a change of State. One of its fields is set, or List and Activity are.
type Command struct {
	Configuration *ConfigurationCommand `msg:"configuration"`
	List          *ListCommand          `msg:"list"`
	Change        *ChangeCommand        `msg:"change"`
	ChangeEnd     *ChangeEndCommand     `msg:"change_end"`
	Usage         *UsageWindow          `msg:"usage"`
	UsageCall     *UsageCallCommand     `msg:"usage_call"`
	UsageEnd      *UsageEndCommand      `msg:"usage_end"`
	Fleet         *FleetOrder           `msg:"fleet"`
	Poison        *poison.Command       `msg:"poison"`
	Activity      *ActivityCommand      `msg:"activity,omitempty"`
}

// UsageCallCommand precedes each report of a window's usage. Its log position is the fence.
type UsageCallCommand struct {
	Window uint64 `msg:"window"`
}

// UsageEndCommand says that the platform has taken a window's usage.
type UsageEndCommand struct {
	Window uint64 `msg:"window"`
}

// ChangeCommand begins a stage change. Its log position is the order's fence.
type ChangeCommand struct {
	Replica string `msg:"replica"`
	// Born is that of the life which is ordered, 0 if it is not told. A change of a life that the
	// list does not show is none.
	Born  int64  `msg:"born"`
	Stage string `msg:"stage"`
}

// ChangeEndCommand ends the stage change of a replica.
type ChangeEndCommand struct {
	Replica string `msg:"replica"`
}

// ConfigurationCommand puts a configuration in force if its version is above
// the one in force.
type ConfigurationCommand struct {
	Version  uint64 `msg:"version"`
	Document []byte `msg:"document,limit=67108864"`
}

// ListCommand changes the list of replicas.
type ListCommand struct {
	// Changed are replicas that have come or changed, Removed those that have
	// gone.
	Changed []Replica `msg:"changed"`
	Removed []string  `msg:"removed"`
	// Standby says that replicas which come stand by until they are activated. A leader that says
	// nothing of it knows of no replicas that stand by: then all are active.
	Standby bool `msg:"standby,omitempty"`
}

// ActivityCommand says which replicas take work from now on, and which stand by, by their ids.
type ActivityCommand struct {
	Activate []string `msg:"activate"`
	Rest     []string `msg:"rest"`
}

// ViewRequest is a gateway's long poll.
type ViewRequest struct {
	Gateway string `msg:"gateway"`
	// Address is where the gateway takes messages of its peers.
	Address string `msg:"address"`
	// PeersHash is that of the peers that the gateway knows, and MembersHash that of the coordinators.
	PeersHash   uint64 `msg:"peers_hash"`
	MembersHash uint64 `msg:"members_hash,omitempty"`
	// Version and ListRevision are what the gateway has.
	Version      uint64 `msg:"version"`
	ListRevision uint64 `msg:"list_revision"`
	// Demand is what the gateway sees of each service of model engines.
	Demand []ServiceDemand `msg:"demand"`
	// WaitMillis bounds the wait for something newer.
	WaitMillis int `msg:"wait"`
	// WallNanos is the gateway's time of day, since 1970.
	WallNanos int64 `msg:"wall"`
	// Usage is what the gateway has counted, nil if nothing is to be told.
	Usage *GatewayUsage `msg:"usage"`
	// PoisonRevision is what the gateway knows of requests that end replicas.
	PoisonRevision uint64 `msg:"poison_revision"`
	// LimitNames is ratelimit.Table.ReplicasHash of the gateway.
	LimitNames uint64 `msg:"limit_names,omitempty"`
	// Protocol and Revision are the gateway's, see Build.
	Protocol int    `msg:"protocol,omitempty"`
	Revision string `msg:"revision,omitempty"`
}

// Build identifies the build that a process runs.
type Build struct {
	// Protocol is build.Protocol of the process, 0 if it tells none, and Revision its build.Revision.
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

// Builds are the builds of all processes of a region, as its leader knows them.
type Builds struct {
	Leader       string         `msg:"leader"`
	Coordinators []ProcessBuild `msg:"coordinators"`
	Gateways     []ProcessBuild `msg:"gateways"`
	// Earlier are the coordinators that know of no replicas which stand by.
	Earlier []string `msg:"earlier"`
}

// GatewayUsage is what a gateway has counted in one life.
type GatewayUsage struct {
	// Gateway is its address, and Life the start of its process.
	Gateway string `msg:"gateway"`
	Life    int64  `msg:"life"`
	// ToldAt is the region's time up to which it has told all, in nanoseconds since 1970.
	ToldAt int64 `msg:"told_at"`
	// Counts are sums since the start of each window: a later one replaces an earlier one.
	Counts []UsageCount `msg:"counts"`
}

// View is the answer to a ViewRequest.
type View struct {
	// AgeMillis is the time since a majority confirmed what the coordinator
	// knows; negative if it never did.
	AgeMillis int64  `msg:"age"`
	Zone      string `msg:"zone"`
	// Version is in force; Document is set only if the gateway has an older one.
	Version  uint64 `msg:"version"`
	Document []byte `msg:"document,limit=67108864"`
	// ListRevision is that of the list. HasList says that something has changed
	// since the request's: Replicas are those that have come or changed and
	// Removed those that have gone, or, if WholeList is set, Replicas are all.
	ListRevision uint64    `msg:"list_revision"`
	HasList      bool      `msg:"has_list"`
	WholeList    bool      `msg:"whole_list"`
	Replicas     []Replica `msg:"replicas"`
	Removed      []string  `msg:"removed"`
	// Standby is the number of replicas that the gateway is not told of.
	Standby int `msg:"standby,omitempty"`
	// Gateways is the number of gateways of the region, 0 if it is not known yet.
	Gateways int `msg:"gateways"`
	// Places says that there are so many gateways that the coordinators choose replicas for
	// them; these don't tell each other of their work.
	Places bool `msg:"places"`
	// PeersHash is that of the region's gateways; Peers are their addresses, set
	// only if the hash is not the request's.
	PeersHash uint64   `msg:"peers_hash"`
	Peers     []string `msg:"peers"`
	// MembersHash is that of the coordinators with their zones. Coordinators are their internal
	// addresses and CoordinatorZones their zones, empty where one is not known; they are set only if
	// the hash is not the request's.
	MembersHash      uint64   `msg:"members_hash,omitempty"`
	Coordinators     []string `msg:"coordinators"`
	CoordinatorZones []string `msg:"coordinator_zones,omitempty"`
	// RegionNanos is the region's time, since 1970.
	RegionNanos int64 `msg:"region"`
	// NextWindow is the first window of usage whose counts are not fixed.
	NextWindow uint64 `msg:"next_window"`
	// Poison is what is new on requests that end replicas, nil if nothing is.
	Poison *poison.News `msg:"poison"`
	// LimitNames is ratelimit.Table.ReplicasHash of the coordinator, and Limits what it knows of the limits
	// that replicas name, set only if the names are not the request's.
	LimitNames uint64             `msg:"limit_names,omitempty"`
	Limits     []ratelimit.Report `msg:"limits,omitempty"`
}

// ReadIndexRequest asks the leader to confirm its leadership.
type ReadIndexRequest struct {
	// From is the asking coordinator's address, and Zone its zone.
	From string `msg:"from"`
	Zone string `msg:"zone,omitempty"`
	// MembersHash is that of the coordinators with their zones as the asker knows them.
	MembersHash uint64 `msg:"members_hash,omitempty"`
	// Gateways are the addresses of the gateways that poll the asking
	// coordinator.
	Gateways []string `msg:"gateways"`
	// PeersHash is that of the region's gateways as the asker knows them.
	PeersHash uint64 `msg:"peers_hash"`
	// Demand is the sum over these gateways.
	Demand []ServiceDemand `msg:"demand"`
	// Clocks are the times of day, in nanoseconds since 1970, by the clocks of the asking
	// coordinator and of the gateways that poll it.
	Clocks []int64 `msg:"clocks"`
	// Usage is what the gateways have counted and the leader may not know yet.
	Usage []GatewayUsage `msg:"usage"`
	// Protocol and Revision are the asker's, see Build. OtherBuilds are those of its gateways that run
	// another one.
	Protocol    int            `msg:"protocol,omitempty"`
	Revision    string         `msg:"revision,omitempty"`
	OtherBuilds []ProcessBuild `msg:"other_builds,omitempty"`
}

// ServiceDemand is the demand for a service of model engines.
type ServiceDemand struct {
	Service string `msg:"service"`
	// Region is where the replicas of this work are, and the gateways whose prompts these are;
	// empty where there is one region.
	Region string `msg:"region,omitempty"`
	// Generating is the number of answers that are being generated.
	Generating float64 `msg:"generating"`
	// Expected is the number of answers that will be generated once a replica could have
	// changed its stage, if they go on to come as of late.
	Expected float64 `msg:"expected"`
	// Reading is the number of replicas that the prompts to be read keep busy.
	Reading float64 `msg:"reading"`
	// Kept is the number of replicas that reading would keep busy beyond Reading if replicas
	// had kept nothing of the prompts.
	Kept float64 `msg:"kept"`
	// Prompts is the number of prompts a second; Slack the sum a second of the times, in
	// seconds, that they may wait before they are read, and Squares that of the squares of
	// the times for which they are read.
	Prompts float64 `msg:"prompts"`
	Slack   float64 `msg:"slack"`
	Squares float64 `msg:"squares"`
	// Delayed is the number of prompts a second that are late since they have to wait.
	Delayed float64 `msg:"delayed"`
	// Unreachable are the replicas that did not answer, or have refused everything, for some time, by
	// Life.Name.
	Unreachable []string `msg:"unreachable"`
	// Refusing are those that have refused several requests of late, or want to be left alone.
	Refusing []string `msg:"refusing,omitempty"`
	// Gateways is the number of gateways whose demand is summed up here.
	Gateways int `msg:"gateways"`
	// Running is the number of requests at replicas that are not model engines.
	Running float64 `msg:"running,omitempty"`
}

// ReadIndexReply tells the log position that the asker has to have applied to
// know everything that was acknowledged before the request.
type ReadIndexReply struct {
	Index uint64 `msg:"index"`
	// PeersHash is that of the region's gateways; Peers are their addresses, set
	// only if the hash is not the request's.
	PeersHash uint64   `msg:"peers_hash"`
	Peers     []string `msg:"peers"`
	// Members are the coordinators whose zones the leader knows, set only if the asker may not know
	// them all.
	Members []CoordinatorZone `msg:"members,omitempty"`
	// RegionNanos is the region's time, since 1970.
	RegionNanos int64 `msg:"region"`
}

// CoordinatorZone is a coordinator, by its internal address, with its zone.
type CoordinatorZone struct {
	Address string `msg:"address"`
	Zone    string `msg:"zone"`
}

// ReplaceRequest hands an operator's configuration to the leader.
type ReplaceRequest struct {
	Version  uint64 `msg:"version"`
	Document []byte `msg:"document,limit=67108864"`
}

// ReplaceReply says that a configuration is durable, or that one of the same or
// a higher version is.
type ReplaceReply struct {
	// Version is in force.
	Version uint64 `msg:"version"`
	// Index is the log position of the command.
	Index uint64 `msg:"index"`
}

// JoinRequest asks the leader to make a replica a member.
type JoinRequest struct {
	Address string `msg:"address"`
	Replica uint64 `msg:"replica"`
}

// Outstanding is what a gateway tells its peers: the work that it has placed at
// replicas and that is not done yet. Newer ones replace older ones.
type Outstanding struct {
	Gateway string `msg:"gateway"`
	// Sequence grows within a life of the gateway, whose start is Life.
	Life     int64             `msg:"life"`
	Sequence uint64            `msg:"sequence"`
	Replicas []OutstandingWork `msg:"replicas"`
	// Prompts are those that the gateway has lately sent to be read; some were
	// told before.
	Prompts []PlacedPrompt `msg:"prompts"`
	// Unreachable are the replicas, by Life.Name, that take no connection from the gateway, or
	// have fallen silent.
	Unreachable []string `msg:"unreachable"`
	// Whole says that Replicas holds all of the gateway's work. Else it holds what has
	// changed since the message before; work that has ended is told as none.
	Whole bool `msg:"whole"`
	// Costs are what the gateway has learned of the engines of services.
	Costs []EngineCost `msg:"costs"`
	// Zone is the teller's, empty where there is one region, and WallNanos its time of day when
	// it told a process that may be in another region, since 1970; else 0.
	Zone      string `msg:"zone"`
	WallNanos int64  `msg:"wall"`
}

// KeptRequest asks a coordinator what those replicas keep that it asks for all.
type KeptRequest struct {
	// From is the asking coordinator's address.
	From string `msg:"from"`
}

// KeptReply answers it.
type KeptReply struct {
	Kept []KeptParts `msg:"kept"`
	// Whole says that the coordinator knows of all its replicas what they keep.
	Whole bool `msg:"whole"`
}

// KeptParts are the parts of prompts that a replica keeps, the one longest unused first.
type KeptParts struct {
	// Replica is a Life.Name.
	Replica string       `msg:"replica"`
	Parts   []PlacedPart `msg:"parts"`
}

// EngineCost is what a gateway has learned of a service's engines from a number of
// prompts: the weights of costmodel.Weights, in seconds.
type EngineCost struct {
	Service string  `msg:"service"`
	Samples int     `msg:"samples"`
	Fixed   float64 `msg:"fixed"`
	Token   float64 `msg:"token"`
	Pair    float64 `msg:"pair"`
}

// PlacedPrompt is a prompt that a replica reads and keeps.
type PlacedPrompt struct {
	// Sequence grows with each prompt that the gateway places.
	Sequence uint64 `msg:"sequence"`
	// Replica is a Life.Name.
	Replica string       `msg:"replica"`
	Parts   []PlacedPart `msg:"parts"`
	// ReadyMillis is in how long the replica is expected to have read it.
	ReadyMillis int `msg:"ready_ms"`
}

// PlacedPart is a part of a prompt.
type PlacedPart struct {
	ID     string `msg:"id"`
	Tokens int    `msg:"tokens"`
}

// Resting tells of the replicas that turn a process's requests away: others avoid them, if they can. It is
// a message of its own, since earlier builds read no field more in an Outstanding.
type Resting struct {
	Gateway  string           `msg:"gateway"`
	Replicas []RestingReplica `msg:"replicas"`
}

// RestingReplica is a replica that turns a process's requests away.
type RestingReplica struct {
	// Replica is a Life.Name.
	Replica string `msg:"replica"`
	// LeftMillis is for how much longer the process leaves it alone, in milliseconds.
	LeftMillis int `msg:"left_ms"`
}

// LeavingReport tells of replicas that have said in an answer that they leave.
type LeavingReport struct {
	// Replicas are Life.Names.
	Replicas []string `msg:"replicas"`
}

// OutstandingWork is a gateway's work at one replica.
type OutstandingWork struct {
	// Replica is a Life.Name.
	Replica  string `msg:"replica"`
	Requests int    `msg:"requests"`
	// InTimeMicros and LateMicros are for how long prompts keep the replica busy that
	// it has yet to read, in microseconds: those that are expected to be answered
	// within their objectives, and the others, which it reads after these.
	InTimeMicros int64 `msg:"in_time_us"`
	LateMicros   int64 `msg:"late_us"`
}

// PoisonReply answers a command on requests that end replicas: it is durable.
type PoisonReply struct {
	// Known says that the requests of a release were held.
	Known bool `msg:"known"`
}
