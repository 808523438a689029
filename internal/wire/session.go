// Package wire holds the messages between pierhaven's own processes, encoded
// with MessagePack. They travel as bodies of HTTP calls; internal/rpc carries
// them.
package wire

import "github.com/pierhaven/pierhaven/internal/poison"

//go:generate go tool msgp -file session.go -tests=false -io=false
//go:generate go tool msgp -file view.go -tests=false -io=false
//go:generate go tool msgp -file onceonly.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536
//msgp:tuple ModelDemand TenantUsage TenantShare

// Paths of the calls among gateways and controllers.
const (
	PathOpenSession  = "/internal/v1/session/open"
	PathHeartbeat    = "/internal/v1/session/heartbeat"
	PathCloseSession = "/internal/v1/session/close"
	PathWatch        = "/internal/v1/watch"
	PathClaim        = "/internal/v1/once-only/claim"
	PathComplete     = "/internal/v1/once-only/complete"
	PathRelease      = "/internal/v1/once-only/release"
	PathConsensus    = "/internal/v1/consensus"
	PathConfigPull   = "/internal/v1/config/pull"
	PathForward      = "/internal/v1/forward"
	PathPoison       = "/internal/v1/poison"
)

// OpenSessionRequest registers a gateway with its zone group. It ends a session
// of the same gateway and address with another incarnation: the new process
// holds the old one's address, so the old one can't be running.
//
// It takes two calls. The first has Ticket 0 and only fetches a ticket; the
// second carries it. An open whose ticket is older than the gateway's current
// session is rejected, so that a delayed open of a process that has ended can't
// end the session of the running one. See docs/design/zone-group.md.
type OpenSessionRequest struct {
	GatewayID string `msg:"gateway_id"`
	// Ticket is the one from the first call's reply.
	Ticket uint64 `msg:"ticket,omitempty"`
	// Incarnation is drawn at random at each start of the process.
	Incarnation uint64 `msg:"incarnation"`
	// Address is where callers reach the gateway; PeerAddress is where other
	// gateways do.
	Address     string `msg:"address"`
	PeerAddress string `msg:"peer_address"`
}

// OpenSessionReply carries a ticket or, in answer to a request with a ticket,
// the session and a full view that is at least as new as the session itself.
type OpenSessionReply struct {
	// Ticket is the applied log index of the zone group's leader; SessionID is
	// 0 when it is set.
	Ticket    uint64 `msg:"ticket,omitempty"`
	SessionID uint64 `msg:"session_id"`
	View      View   `msg:"view"`
	Terms     Terms  `msg:"terms"`
}

// Terms are the times that a gateway measures by its own monotonic clock, in
// milliseconds, from the moment it sent the heartbeat that last renewed its
// lease. They are fixed when the session opens.
type Terms struct {
	// HeartbeatMillis is the time between heartbeats.
	HeartbeatMillis int64 `msg:"heartbeat_ms"`
	// LeaseMillis: after this time the gateway dispatches only to its
	// isolation set.
	LeaseMillis int64 `msg:"lease_ms"`
	// IsolationMillis: after this time the gateway dispatches nothing.
	IsolationMillis int64 `msg:"isolation_ms"`
}

// HeartbeatRequest keeps a session alive, acknowledges a view and reports to
// the planner what the gateway observes.
type HeartbeatRequest struct {
	GatewayID string `msg:"gateway_id"`
	SessionID uint64 `msg:"session_id"`
	// AppliedRevision acknowledges a view: the gateway has stopped new
	// dispatches to every engine that the view withholds.
	AppliedRevision uint64 `msg:"applied_revision"`
	// ConfigRevision is the revision of the configuration in effect at the
	// gateway.
	ConfigRevision uint64        `msg:"config_revision"`
	Leaving        bool          `msg:"leaving"`
	Demand         []ModelDemand `msg:"demand,omitempty"`
	// Usage lists the tenants whose usage is due to be reported; see
	// docs/design/heartbeats.md.
	Usage []TenantUsage `msg:"usage,omitempty"`
	// Versions are the outcomes of models that have more than one version in
	// service.
	Versions []VersionOutcome `msg:"versions,omitempty"`
	// PolicyFailures are the failures of ranking programs at run time.
	PolicyFailures []PolicyFailure `msg:"policy_failures,omitempty"`
	// PoisonRevision is the revision of the gateway's knowledge of requests
	// that crash engines.
	PoisonRevision uint64 `msg:"poison_revision,omitempty"`
}

// PolicyFailure counts the run-time failures of one program of a policy since
// the policy was last changed.
type PolicyFailure struct {
	Policy string `msg:"policy"`
	Field  string `msg:"field"`
	Count  uint64 `msg:"count"`
	// Last is the newest error message.
	Last string `msg:"last"`
}

// ModelDemand is the demand for a model that a gateway has observed since its
// last heartbeat.
type ModelDemand struct {
	Model string `msg:"model"`
	// Requests, PromptTokens, OutputTokens and Missed are rates a second,
	// averaged over WindowMillis. Missed counts the requests that were rejected,
	// expired in the queue, or were answered outside their objectives.
	Requests     float32 `msg:"requests"`
	PromptTokens float32 `msg:"prompt_tokens"`
	OutputTokens float32 `msg:"output_tokens"`
	Missed       float32 `msg:"missed"`
	WindowMillis int64   `msg:"window_ms"`
	// OldestWaitMillis is the age of the oldest request in the queue.
	OldestWaitMillis int64 `msg:"oldest_wait_ms"`
	Queued           int   `msg:"queued"`
}

// TenantUsage is the demand of a tenant's callers at one gateway since it was
// last reported, in tokens a second.
type TenantUsage struct {
	Tenant string  `msg:"tenant"`
	Wanted float32 `msg:"wanted"`
}

// VersionOutcome counts the attempts on a version of a model since the gateway's
// start.
type VersionOutcome struct {
	Model   string `msg:"model"`
	Version string `msg:"version"`
	// Ended counts attempts that were answered or failed; Late those whose
	// first token came later than the model's objective.
	Ended  uint64 `msg:"ended"`
	Failed uint64 `msg:"failed"`
	Late   uint64 `msg:"late"`
}

// HeartbeatReply renews the lease if Known, once the gateway has applied a view
// of at least Revision. The leader sends it only after a read barrier that was
// requested after the heartbeat arrived, so that a deposed leader renews
// nothing; see docs/design/zone-group.md.
type HeartbeatReply struct {
	// Known is false if the session has ended: open a new one.
	Known bool `msg:"known"`
	// Revision is the revision of the newest view.
	Revision uint64 `msg:"revision"`
	Terms    Terms  `msg:"terms"`
	// View is set if the request's AppliedRevision is older than Revision.
	View *View `msg:"view,omitempty"`
	// Shares are those of the tenants listed in the request's Usage.
	Shares []TenantShare `msg:"shares,omitempty"`
	// Unheard lists the engines and back ends in service that have not answered
	// the leader recently. They may have announced their leaving since, so the
	// gateway queries them itself before it sends them new work.
	Unheard []string `msg:"unheard,omitempty"`
	// Poison is the news on requests that crash engines, nil if there is none.
	Poison *poison.News `msg:"poison,omitempty"`
}

// TenantShare is the part of a tenant's budget that a gateway may use until
// the share is renewed or ValidMillis have passed.
type TenantShare struct {
	Tenant          string  `msg:"tenant"`
	TokensPerSecond float64 `msg:"tokens_per_second"`
	ValidMillis     int64   `msg:"valid_ms"`
}

// CloseSessionRequest ends a session that has nothing in flight.
type CloseSessionRequest struct {
	GatewayID string `msg:"gateway_id"`
	SessionID uint64 `msg:"session_id"`
}

// CloseSessionReply is empty.
type CloseSessionReply struct{}

// ErrorReply is the body of a call that failed with a kind of internal/failure.
type ErrorReply struct {
	Kind    string `msg:"kind"`
	Message string `msg:"message"`
	Ran     string `msg:"ran"`
	// LeaderAddress is set on not_leader when the leader is known.
	LeaderAddress string `msg:"leader_address,omitempty"`
}
