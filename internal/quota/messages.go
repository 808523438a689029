package quota

//go:generate go tool msgp -file messages.go -tests=false -io=false
//msgp:limit arrays:4096 maps:4096
//msgp:tuple Question Answer Amount GatewayMessage GatewayReply PeerMessage

// Mode is how a pool decides.
type Mode string

// Modes.
const (
	// ModeAlone: the pool has the part of its own coordinator.
	ModeAlone Mode = "alone"
	// ModeAttached: another pool counts the part, and is asked.
	ModeAttached Mode = "attached"
	// ModeHolding: the pool has its own part and those of the coordinators attached to it.
	ModeHolding Mode = "holding"
)

// Question asks whether a request may run.
type Question struct {
	// ID is the asker's name for the question.
	ID uint64 `msg:"id"`
	// Account is whose limit the request counts against: a tenant's name, or that of a replica's
	// life.
	Account string `msg:"account"`
	// Units is what the request counts.
	Units float64 `msg:"units"`
	// Rank is the request's urgency among those of its tenant, 0 is the highest.
	Rank int `msg:"rank"`
}

// Answer is a decision on a question, with what it was made on.
type Answer struct {
	ID       uint64 `msg:"id"`
	Admitted bool   `msg:"admitted"`
	// Level are the units left in the bucket before the decision, negative in debt, and Rate those
	// that came back a second.
	Level float64 `msg:"level"`
	Rate  float64 `msg:"rate"`
	// WaitMicros is in how long a refused request should fit.
	WaitMicros int64 `msg:"wait_us"`
	// Unsure says that the holder of the count did not answer in time, and that this pool alone can't
	// admit the request: another one may.
	Unsure bool `msg:"unsure"`
	// Never says that the limit can't hold a request of this size.
	Never bool `msg:"never"`
}

// Amount are units of an account that come back, or that are charged if they are negative.
type Amount struct {
	Account string  `msg:"account"`
	Units   float64 `msg:"units"`
}

// GatewayMessage is what a gateway asks and tells a coordinator.
type GatewayMessage struct {
	Questions []Question `msg:"questions"`
	// Amounts are of requests that were admitted before: what never ran, and what ran again.
	Amounts []Amount `msg:"amounts"`
}

// GatewayReply answers a gateway's questions.
type GatewayReply struct {
	Answers []Answer `msg:"answers"`
	// Mode is the deciding pool's, for logs.
	Mode Mode `msg:"mode"`
}

// PeerMessage is what a coordinator tells the one that holds the count, and what that one
// answers.
type PeerMessage struct {
	// From is the sender's address, and Life the start of its process.
	From string `msg:"from"`
	Life int64  `msg:"life"`
	// Holding says that the sender holds the count, as far as it knows. Two that took each other for
	// the holder would else take each other's questions for answers, and nobody would count.
	Holding bool `msg:"holding"`
	// Time is the sender's clock. EchoTime is the last Time that the sender has had from the
	// receiver, in the receiver's life EchoLife; 0 if there was none.
	Time     int64 `msg:"time"`
	EchoLife int64 `msg:"echo_life"`
	EchoTime int64 `msg:"echo_time"`
	// Amounts are handed to the holder: levels of an attached pool, debts too.
	Amounts   []Amount   `msg:"amounts"`
	Questions []Question `msg:"questions"`
	Answers   []Answer   `msg:"answers"`
}

// StatusRequest asks the holder for its Status.
type StatusRequest struct{}

// Status is what a pool knows, for operators.
type Status struct {
	// Address is the pool's coordinator, and Holder the one whose pool holds the count.
	Address string `json:"address" msg:"address"`
	Mode    Mode   `json:"mode" msg:"mode"`
	Holder  string `json:"holder" msg:"holder"`
	// Parts of Members count here.
	Parts   int `json:"parts" msg:"parts"`
	Members int `json:"members" msg:"members"`
	// Attached are the coordinators whose parts count here too, with how long their leases last.
	Attached []Attached     `json:"attached" msg:"attached"`
	Tenants  []TenantStatus `json:"tenants" msg:"tenants"`
}

// Attached is a coordinator whose part counts at another one.
type Attached struct {
	Address    string  `json:"address" msg:"address"`
	LeaseLeftS float64 `json:"lease_left_s" msg:"lease_left_s"`
}

// TenantStatus is what a pool knows of a tenant.
type TenantStatus struct {
	Tenant string `json:"tenant" msg:"tenant"`
	// Rate and Burst are the limit, in units a second and units.
	Rate  float64 `json:"rate" msg:"rate"`
	Burst float64 `json:"burst" msg:"burst"`
	// Level are the units left, negative in debt.
	Level float64 `json:"level" msg:"level"`
	// Admitted and Refused are the units of the last WindowS seconds that this pool decided on.
	Admitted float64 `json:"admitted" msg:"admitted"`
	Refused  float64 `json:"refused" msg:"refused"`
	WindowS  float64 `json:"window_s" msg:"window_s"`
	// Debt is by how much the level may fall below 0 now.
	Debt float64 `json:"debt" msg:"debt"`
	// Tolerance is by how much the limit may be overrun within the window.
	Tolerance float64 `json:"tolerance" msg:"tolerance"`
}
