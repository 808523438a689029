package region

//go:generate go tool msgp -file placement.go -tests=false -io=false
//msgp:limit arrays:4096 maps:4096
//msgp:tuple PlacementMessage PlacementQuestion LeaseEvent PlacementReply PlacementAnswer

// PlacementMessage is what a gateway tells the coordinator that places prompts for it. A
// whole one repairs what earlier ones may have lost.
type PlacementMessage struct {
	Gateway string `msg:"gateway"`
	// Sequence grows within a life of the gateway, whose start is Life.
	Life     int64  `msg:"life"`
	Sequence uint64 `msg:"sequence"`
	// Whole says that Open and Work are complete; other messages leave them out.
	Whole bool `msg:"whole"`
	// Open are the leases that the gateway holds of the coordinator, and those that it has
	// asked for.
	Open []uint64 `msg:"open"`
	// Question is nil if nothing is asked.
	Question *PlacementQuestion `msg:"question"`
	Events   []LeaseEvent       `msg:"events"`
	// Work is what the gateway has placed by itself, or with another coordinator.
	Work []OutstandingWork `msg:"work"`
}

// PlacementKind says what is asked for.
type PlacementKind uint8

// Kinds of questions.
const (
	// PlaceRead: the replica that is to read a prompt, or to read it and to generate.
	PlaceRead PlacementKind = iota + 1
	// PlaceDirect: the replica that is to read a prompt and to generate.
	PlaceDirect
	// PlaceGenerate: the replica that is to generate for a prompt that has been read.
	PlaceGenerate
	// PlaceRoom: a replica with room for a stream that another one has to give up.
	PlaceRoom
	// AskIdle: for how long the replica of a lease has read nothing.
	AskIdle
)

// PlacementQuestion asks for a lease on a replica.
type PlacementQuestion struct {
	// Lease is the gateway's name for the lease that it asks for, or asks about. A question
	// that comes again has the same name and gets the same answer.
	Lease   uint64        `msg:"lease"`
	Kind    PlacementKind `msg:"kind"`
	Service string        `msg:"service"`
	// Zone is the gateway's; Near is where the prompt's memory, or the stream, is.
	Zone string `msg:"zone"`
	Near string `msg:"near"`
	// Tokens of the whole prompt; Parts are its parts in order.
	Tokens int          `msg:"tokens"`
	Parts  []PlacedPart `msg:"parts"`
	// ObjectiveMicros and GapMicros are the route's; AimLeftMicros is the time until the
	// objective is missed and LeftMicros that until the caller's deadline.
	ObjectiveMicros int64 `msg:"objective_us"`
	GapMicros       int64 `msg:"gap_us"`
	AimLeftMicros   int64 `msg:"aim_left_us"`
	LeftMicros      int64 `msg:"left_us"`
	// Rank is the route's; replicas read the prompts of lower ones first.
	Rank int `msg:"rank"`
	// Tenant stands for the caller's tenant, 0 for none.
	Tenant uint64 `msg:"tenant"`
	// Excluded are replicas, by Life.Name, that must not be chosen.
	Excluded []string `msg:"excluded"`
}

// LeaseEventKind is what has happened at the replica of a lease.
type LeaseEventKind uint8

// Kinds of events.
const (
	// LeaseReleased: the place is free again. Micros is the longest pause between two
	// events of the stream that ran there.
	LeaseReleased LeaseEventKind = iota + 1
	// LeaseRead: the prompt has been read.
	LeaseRead
	// LeaseKept: the replica keeps the prompt.
	LeaseKept
	// LeaseBegun: the stream has begun. HandedOver says that another replica had read the
	// prompt.
	LeaseBegun
	// LeasePaused: the stream made a pause of Micros.
	LeasePaused
	// LeaseAnswered: the replica has answered, with a failure of its own if Failed is set;
	// Load is its account of its work.
	LeaseAnswered
	// LeaseFull: the replica refused the request. Micros is for how long it wants to be left alone by the
	// gateway, 0 if it asks for nothing.
	LeaseFull
	// LeaseUnreachable: the replica did not answer. HandedOver says that it had taken the
	// request.
	LeaseUnreachable
	// LeaseMisdirected: another incarnation answers at the replica's address.
	LeaseMisdirected
)

// LeaseEvent is what has happened at the replica of a lease.
type LeaseEvent struct {
	Lease      uint64         `msg:"lease"`
	Kind       LeaseEventKind `msg:"kind"`
	HandedOver bool           `msg:"handed_over"`
	Failed     bool           `msg:"failed"`
	Micros     int64          `msg:"us"`
	// Running, Waiting and Slots are the replica's account; Slots is 0 if there is none.
	Running int `msg:"running"`
	Waiting int `msg:"waiting"`
	Slots   int `msg:"slots"`
}

// PlacementReply is a coordinator's answer to a PlacementMessage.
type PlacementReply struct {
	// Life is the start of the coordinator's process: what it knew before is lost.
	Life int64 `msg:"life"`
	// Answer is nil if nothing was asked.
	Answer *PlacementAnswer `msg:"answer"`
	// Costs are what the coordinator has learned of the engines of services, told once in a
	// while.
	Costs []EngineCost `msg:"costs"`
}

// PlacementOutcome is what a question has led to.
type PlacementOutcome uint8

// Outcomes of questions.
const (
	// PlacementGranted: the lease is on Replica.
	PlacementGranted PlacementOutcome = iota + 1
	// PlacementNoRoom: no replica has room for the prompt before UntilMicros have passed.
	PlacementNoRoom
	// PlacementNoReplica: no replica is left to choose.
	PlacementNoReplica
)

// PlacementAnswer is the answer to a PlacementQuestion.
type PlacementAnswer struct {
	Lease   uint64           `msg:"lease"`
	Outcome PlacementOutcome `msg:"outcome"`
	// Replica and Fetch are Life.Names: of another life than the gateway knows nothing may be used.
	Replica string `msg:"replica"`
	// Fetch is the replica from which the prompt's beginning is to be fetched, empty if
	// there is none.
	Fetch string `msg:"fetch"`
	// Late says that the prompt is not expected to be answered within its objective.
	Late bool `msg:"late"`
	// Missing are the tokens that the replica has to read. WaitMicros is for how long others
	// are read before, MoveMicros and BusyMicros for how long the prompt is moved and read,
	// and WholeMicros for how long it would be read if the replica kept nothing of it.
	Missing     int   `msg:"missing"`
	WaitMicros  int64 `msg:"wait_us"`
	MoveMicros  int64 `msg:"move_us"`
	BusyMicros  int64 `msg:"busy_us"`
	WholeMicros int64 `msg:"whole_us"`
	// UntilMicros is in how long there should be room.
	UntilMicros int64 `msg:"until_us"`
	// IdleMicros is the answer to AskIdle.
	IdleMicros int64 `msg:"idle_us"`
	// Candidates, InFlight, OccupancyPercent and PeersAgeMillis are what the choice was
	// made on.
	Candidates       int   `msg:"candidates"`
	InFlight         int   `msg:"in_flight"`
	OccupancyPercent int   `msg:"occupancy"`
	PeersAgeMillis   int64 `msg:"peers_age"`
}
