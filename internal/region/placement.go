package region

//go:generate go tool msgp -file placement.go -tests=false -io=false
//msgp:limit arrays:4096 maps:4096
//msgp:tuple PlacementMessage PlacementQuery LeaseEvent PlacementReply PlacementAnswer

// PlacementMessage is sent by a gateway to the coordinator that places prompts for it. A full
// message repairs the effects of lost ones.
type PlacementMessage struct {
	Gateway string `msg:"gateway"`
	// Life is the start time of the gateway's process. Sequence grows within it.
	Life     int64  `msg:"life"`
	Sequence uint64 `msg:"sequence"`
	// Whole marks a full message, in which Open and Work are complete; other messages omit them.
	Whole bool `msg:"whole"`
	// Open lists the leases that the gateway holds from the coordinator, and those that it has
	// requested.
	Open []uint64 `msg:"open"`
	// Question is nil if the message contains no placement query.
	Question *PlacementQuery `msg:"question"`
	Events   []LeaseEvent    `msg:"events"`
	// Work is the work that the gateway has placed locally, or through another coordinator.
	Work []OutstandingWork `msg:"work"`
}

// PlacementKind is the kind of a placement query.
type PlacementKind uint8

// Kinds of placement queries.
const (
	// PlacePrefill asks for a replica to prefill a prompt, or to prefill it and to decode.
	PlacePrefill PlacementKind = iota + 1
	// PlaceDirect asks for a replica to prefill a prompt and to decode.
	PlaceDirect
	// PlaceDecode asks for a replica to decode after the prefill.
	PlaceDecode
	// PlaceWithCapacity asks for a replica with capacity for a stream that has to move away from another one.
	PlaceWithCapacity
	// QueryIdle asks for how long the replica of a lease has made no prefill progress that any gateway
	// knows of, counted from the start of the lease at the earliest.
	QueryIdle
)

// PlacementQuery is a placement query: it asks for a lease on a replica.
type PlacementQuery struct {
	// Lease is the gateway's id of the lease that it asks for, or asks about. A query that is sent
	// again has the same id and gets the same answer.
	Lease   uint64        `msg:"lease"`
	Kind    PlacementKind `msg:"kind"`
	Service string        `msg:"service"`
	// Zone is the gateway's; Near is the zone of the prompt's KV cache, or of the stream.
	Zone string `msg:"zone"`
	Near string `msg:"near"`
	// Tokens is the length of the whole prompt; Parts are its parts in order.
	Tokens int          `msg:"tokens"`
	Parts  []PlacedPart `msg:"parts"`
	// ObjectiveMicros and GapMicros are the route's objectives for the first token and the
	// inter-token gap; AimLeftMicros is the time until the former is missed and LeftMicros that
	// until the caller's deadline.
	ObjectiveMicros int64 `msg:"objective_us"`
	GapMicros       int64 `msg:"gap_us"`
	AimLeftMicros   int64 `msg:"aim_left_us"`
	LeftMicros      int64 `msg:"left_us"`
	// Rank is the route's; replicas prefill the prompts of lower ranks first.
	Rank int `msg:"rank"`
	// Tenant identifies the caller's tenant, 0 if there is none.
	Tenant uint64 `msg:"tenant"`
	// Excluded lists replicas, by Incarnation.Name, that must not be chosen.
	Excluded []string `msg:"excluded"`
}

// LeaseEventKind is the kind of an event at the replica of a lease.
type LeaseEventKind uint8

// Kinds of events.
const (
	// LeaseReleased: the lease has ended. Micros is the longest inter-token gap of the stream that ran
	// there.
	LeaseReleased LeaseEventKind = iota + 1
	// LeasePrefilled: the prefill is complete.
	LeasePrefilled
	// LeaseCached: the replica has the prompt cached.
	LeaseCached
	// LeaseStarted: the stream has started. HandedOver says that another replica did the
	// prefill.
	LeaseStarted
	// LeaseGap: the stream had an inter-token gap of Micros.
	LeaseGap
	// LeaseAnswered: the replica has responded, with a failure of its own if Failed is set.
	// Running, Waiting and Slots are the load that it reported.
	LeaseAnswered
	// LeaseRejected: the replica rejected the request. Micros is the backoff that it requested from the
	// gateway, 0 if it requested none.
	LeaseRejected
	// LeaseUnreachable: the replica did not respond. HandedOver says that it had accepted the
	// request.
	LeaseUnreachable
	// LeaseMisdirected: another incarnation responds at the replica's address.
	LeaseMisdirected
)

// LeaseEvent is an event at the replica of a lease.
type LeaseEvent struct {
	Lease      uint64         `msg:"lease"`
	Kind       LeaseEventKind `msg:"kind"`
	HandedOver bool           `msg:"handed_over"`
	Failed     bool           `msg:"failed"`
	Micros     int64          `msg:"us"`
	// Running, Waiting and Slots are the load that the replica reported; Slots is 0 if it reported none.
	Running int `msg:"running"`
	Waiting int `msg:"waiting"`
	Slots   int `msg:"slots"`
}

// PlacementReply is a coordinator's reply to a PlacementMessage.
type PlacementReply struct {
	// Life is the start time of the coordinator's process. A new one has lost all earlier state.
	Life int64 `msg:"life"`
	// Answer is nil if the message contained no query.
	Answer *PlacementAnswer `msg:"answer"`
	// Costs are the engine costs that the coordinator has learned for services. They are sent only
	// from time to time.
	Costs []EngineCost `msg:"costs"`
}

// PlacementOutcome is the outcome of a placement query.
type PlacementOutcome uint8

// Outcomes of placement queries.
const (
	// PlacementGranted: the lease on Replica is granted.
	PlacementGranted PlacementOutcome = iota + 1
	// PlacementNoCapacity: no replica has capacity for the prompt before UntilMicros have passed.
	PlacementNoCapacity
	// PlacementNoReplica: no replica can be chosen.
	PlacementNoReplica
)

// PlacementAnswer is the answer to a PlacementQuery.
type PlacementAnswer struct {
	Lease   uint64           `msg:"lease"`
	Outcome PlacementOutcome `msg:"outcome"`
	// Replica and Fetch are Incarnation.Names. A gateway must not use an answer about an incarnation that it
	// does not know.
	Replica string `msg:"replica"`
	// Fetch is the replica from which the cached prefix of the prompt is to be fetched, empty if
	// there is none.
	Fetch string `msg:"fetch"`
	// Late says that the prompt is not expected to meet its objective.
	Late bool `msg:"late"`
	// Missing is the number of tokens that the replica has to prefill. WaitMicros is the expected
	// time of the prefills before it, MoveMicros that of the prefix's transfer, BusyMicros that of
	// the prefill, and WholeMicros that of the prefill if the replica had nothing of it cached.
	Missing     int   `msg:"missing"`
	WaitMicros  int64 `msg:"wait_us"`
	MoveMicros  int64 `msg:"move_us"`
	BusyMicros  int64 `msg:"busy_us"`
	WholeMicros int64 `msg:"whole_us"`
	// UntilMicros is the time until a replica is expected to have capacity.
	UntilMicros int64 `msg:"until_us"`
	// IdleMicros is the answer to QueryIdle.
	IdleMicros int64 `msg:"idle_us"`
	// Candidates, InFlight, OccupancyPercent and PeersAgeMillis describe the data on which the choice
	// was based.
	Candidates       int   `msg:"candidates"`
	InFlight         int   `msg:"in_flight"`
	OccupancyPercent int   `msg:"occupancy"`
	PeersAgeMillis   int64 `msg:"peers_age"`
}
