package quota

//go:generate go tool msgp -file messages.go -tests=false -io=false
//msgp:limit arrays:4096 maps:4096
//msgp:tuple Query Answer Amount GatewayMessage GatewayReply PeerMessage

// Mode is how a pool decides.
type Mode string

const (
	// ModeAlone: the pool counts the share of its own coordinator.
	ModeAlone Mode = "alone"
	// ModeAttached: another pool, the holder, counts the share and answers queries.
	ModeAttached Mode = "attached"
	// ModeHolding: the pool counts its own share and those of the coordinators attached to it.
	ModeHolding Mode = "holding"
)

// Query asks whether a request may run.
type Query struct {
	// ID identifies the query among those of its sender.
	ID uint64 `msg:"id"`
	// Account is whose limit the request counts against: a tenant's name, or that of a replica's
	// incarnation.
	Account string `msg:"account"`
	// Units is what the request is charged.
	Units float64 `msg:"units"`
	// Rank is the request's urgency among those of its account, 0 is the highest.
	Rank int `msg:"rank"`
}

// Answer is the decision on a query, with the state on which it was based.
type Answer struct {
	ID       uint64 `msg:"id"`
	Admitted bool   `msg:"admitted"`
	// Level is the number of units left in the bucket before the decision, negative in debt, and
	// Rate the units refilled a second.
	Level float64 `msg:"level"`
	Rate  float64 `msg:"rate"`
	// WaitMicros is the time after which a refused request should fit, in microseconds.
	WaitMicros int64 `msg:"wait_us"`
	// Unsure means that the holder did not answer in time, and that this pool alone can't admit
	// the request: another one may.
	Unsure bool `msg:"unsure"`
	// Never means that the limit can't hold a request of this size.
	Never bool `msg:"never"`
}

// Amount is a number of units that are returned to an account, or charged if negative.
type Amount struct {
	Account string  `msg:"account"`
	Units   float64 `msg:"units"`
}

// GatewayMessage is what a gateway sends to a coordinator.
type GatewayMessage struct {
	Queries []Query `msg:"questions"`
	// Amounts correct the charges of requests admitted before: units of those that never ran are
	// returned, and further runs are charged.
	Amounts []Amount `msg:"amounts"`
}

// GatewayReply answers a gateway's queries.
type GatewayReply struct {
	Answers []Answer `msg:"answers"`
	// Mode is the deciding pool's, for logs.
	Mode Mode `msg:"mode"`
}

// PeerMessage is what a coordinator sends to the holder, and the holder's reply.
type PeerMessage struct {
	// From is the sender's address, and Incarnation the start time of its process.
	From        string `msg:"from"`
	Incarnation int64  `msg:"life"`
	// Holding means that the sender is the holder, as far as it knows. Without it, two that each
	// took the other for the holder would take each other's queries for answers, and neither would
	// count.
	Holding bool `msg:"holding"`
	// Time is the sender's clock. EchoTime is the last Time that the sender received from the
	// receiver, in the receiver's incarnation EchoIncarnation; 0 if there was none.
	Time            int64 `msg:"time"`
	EchoIncarnation int64 `msg:"echo_life"`
	EchoTime        int64 `msg:"echo_time"`
	// Amounts are moved to the holder: the levels of an attached pool, including debts.
	Amounts []Amount `msg:"amounts"`
	Queries []Query  `msg:"questions"`
	Answers []Answer `msg:"answers"`
}

// StatusRequest asks the holder for its Status.
type StatusRequest struct{}

// Status is the state of a pool, for operators.
type Status struct {
	// Address is the pool's coordinator, and Holder the group's leader, whose pool is the holder.
	Address string `json:"address" msg:"address"`
	Mode    Mode   `json:"mode" msg:"mode"`
	Holder  string `json:"holder" msg:"holder"`
	// Parts is the number of shares that count here, of Members in all.
	Parts   int `json:"parts" msg:"parts"`
	Members int `json:"members" msg:"members"`
	// Attached lists the other coordinators whose shares count here, with the time left of their
	// leases.
	Attached []AttachedCoordinator `json:"attached" msg:"attached"`
	Tenants  []TenantStatus        `json:"tenants" msg:"tenants"`
}

// AttachedCoordinator is a coordinator whose share counts at another one.
type AttachedCoordinator struct {
	Address    string  `json:"address" msg:"address"`
	LeaseLeftS float64 `json:"lease_left_s" msg:"lease_left_s"`
}

// TenantStatus is what a pool knows of a tenant.
type TenantStatus struct {
	Tenant string `json:"tenant" msg:"tenant"`
	// Rate and Burst are the limit, in units a second and units.
	Rate  float64 `json:"rate" msg:"rate"`
	Burst float64 `json:"burst" msg:"burst"`
	// Level is the number of units left, negative in debt.
	Level float64 `json:"level" msg:"level"`
	// Admitted and Refused are the units that this pool decided on in the last WindowS seconds.
	Admitted float64 `json:"admitted" msg:"admitted"`
	Refused  float64 `json:"refused" msg:"refused"`
	WindowS  float64 `json:"window_s" msg:"window_s"`
	// Debt is the number of units by which the level may fall below 0 now.
	Debt float64 `json:"debt" msg:"debt"`
	// Tolerance is the number of units by which the limit may be overrun within the window.
	Tolerance float64 `json:"tolerance" msg:"tolerance"`
}
