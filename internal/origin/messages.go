package origin

//go:generate go tool msgp -file messages.go -tests=false -io=false
//msgp:limit arrays:4096 maps:4096
//msgp:tuple Record Message Query Reply ServiceVersions

// Record says where a request's stream begins.
type Record struct {
	Key Key `msg:"key"`
	// Call distinguishes calls with the same Key. Attempt numbers the sends of a call: the record of a later one replaces
	// that of an earlier one.
	Call    uint64 `msg:"call"`
	Attempt uint32 `msg:"attempt"`
	Origin  Origin `msg:"origin"`
	// LeftMillis is how long the stream may still be taken up.
	LeftMillis int64 `msg:"left"`
	// Ambiguous is set if calls with the same Key have begun at different origins.
	Ambiguous bool `msg:"ambiguous"`
}

// Message is sent by a gateway to coordinators: records to keep, or a query.
type Message struct {
	Records []Record `msg:"records"`
	// Query is nil if the message has none.
	Query *Query `msg:"query"`
}

// Query asks where a stream has begun.
type Query struct {
	// ID identifies the query among those of its sender.
	ID  uint64 `msg:"id"`
	Key Key    `msg:"key"`
	// Services are those at which the stream may have begun.
	Services []string `msg:"services"`
}

// Reply is the answer to a Query.
type Reply struct {
	ID uint64 `msg:"id"`
	// Record is nil if none is kept. AgeMillis is the time since it came.
	Record    *Record `msg:"record"`
	AgeMillis int64   `msg:"age"`
	// Recent is what the services of the query have run recently.
	Recent []ServiceVersions `msg:"recent"`
}

// ServiceVersions is what the replicas of a service run, or have run within Window.
type ServiceVersions struct {
	Service  string     `msg:"service"`
	Software []Software `msg:"software"`
	// Complete is set if nothing else can have run within Window.
	Complete bool `msg:"complete"`
}
