package operatorapi

//go:generate go tool msgp -file fleet.go -tests=false -io=false

// ZoneReport is what a zone's controllers say of their zone, from committed
// state. It also travels between controllers.
type ZoneReport struct {
	Zone string `json:"zone" msg:"zone"`
	// Controller is the one that made the report.
	Controller string `json:"controller" msg:"controller"`
	// FromLeader is true if the zone group's leader made the report after a
	// read barrier; otherwise it may be old.
	FromLeader bool `json:"from_leader" msg:"from_leader"`
	// Revision is the zone group's log position that the report shows.
	Revision       uint64     `json:"revision" msg:"revision"`
	ConfigRevision uint64     `json:"config_revision" msg:"config_revision"`
	Engines        []Engine   `json:"engines" msg:"engines"`
	BackEnds       []BackEnd  `json:"back_ends" msg:"back_ends"`
	Gateways       []Gateway  `json:"gateways" msg:"gateways"`
	Group          GroupState `json:"group" msg:"group"`
	// PolicyFailures are known to the leader alone.
	PolicyFailures []PolicyFailure `json:"policy_failures" msg:"policy_failures"`
	Rollouts       []Rollout       `json:"rollouts" msg:"rollouts"`
}

// PolicyFailure tells of one program of a policy that doesn't run as written at
// one process; the built-in policy stands in for it there.
type PolicyFailure struct {
	Zone string `json:"zone" msg:"zone"`
	// Process is the gateway (ranking) or controller (placement, role change).
	Process string `json:"process" msg:"process"`
	Policy  string `json:"policy" msg:"policy"`
	Field   string `json:"field" msg:"field"`
	// Count is the number of failures at run time since the policy's last
	// change or the process's start; 0 means that the program does not compile
	// at that process.
	Count uint64 `json:"count" msg:"count"`
	// Message is the newest failure's.
	Message string `json:"message" msg:"message"`
}

// Engine is one engine with what is wanted of it and what was last seen.
type Engine struct {
	ID      string `json:"id" msg:"id"`
	Zone    string `json:"zone" msg:"zone"`
	Address string `json:"address" msg:"address"`
	// Desired is what the engine shall be; Observed what it last reported.
	Desired  EngineConfiguration `json:"desired" msg:"desired"`
	Observed EngineConfiguration `json:"observed" msg:"observed"`
	// Phase is the engine's own account; empty if it was never reached.
	Phase string `json:"phase" msg:"phase"`
	// Drained says that an operator has drained the engine.
	Drained      bool `json:"drained" msg:"drained"`
	Dispatchable bool `json:"dispatchable" msg:"dispatchable"`
	// Change says how far a change of the engine has come; empty if none.
	Change string `json:"change,omitempty" msg:"change"`
	// Reachable says whether the reporting controller has reached the engine
	// lately; only the leader looks.
	Reachable bool `json:"reachable" msg:"reachable"`
	// Running counts the requests in the engine at its last report.
	Running int    `json:"running" msg:"running"`
	Problem string `json:"problem,omitempty" msg:"problem"`
}

// EngineConfiguration is the role and the model of an engine.
type EngineConfiguration struct {
	Role     string   `json:"role" msg:"role" validate:"omitempty,oneof=prefill decode mixed"`
	Model    string   `json:"model" msg:"model" validate:"max=128"`
	Version  string   `json:"version" msg:"version" validate:"max=128"`
	Adapters []string `json:"adapters,omitempty" msg:"adapters" validate:"max=64,dive,max=128"`
}

// BackEnd is one application back end.
type BackEnd struct {
	ID           string   `json:"id" msg:"id"`
	Zone         string   `json:"zone" msg:"zone"`
	Address      string   `json:"address" msg:"address"`
	Applications []string `json:"applications" msg:"applications"`
	Dispatchable bool     `json:"dispatchable" msg:"dispatchable"`
}

// Gateway is one gateway with an open session.
type Gateway struct {
	ID        string `json:"id" msg:"id"`
	Zone      string `json:"zone" msg:"zone"`
	Address   string `json:"address" msg:"address"`
	SessionID uint64 `json:"session_id" msg:"session_id"`
	// ConfigRevision is in force at the gateway by its last heartbeat.
	ConfigRevision uint64 `json:"config_revision" msg:"config_revision"`
	// AppliedRevision is the newest view that the gateway has acknowledged.
	AppliedRevision uint64 `json:"applied_revision" msg:"applied_revision"`
	Leaving         bool   `json:"leaving" msg:"leaving"`
	// State is live, silent (its lease is over) or unknown (the reporting
	// controller does not lead, or has just begun to).
	State string `json:"state" msg:"state"`
	// HeartbeatAgeMillis is the time since the last heartbeat, -1 if unknown.
	HeartbeatAgeMillis int64 `json:"heartbeat_age_ms" msg:"heartbeat_age_ms"`
}

// States of a gateway.
const (
	GatewayLive    = "live"
	GatewaySilent  = "silent"
	GatewayUnknown = "unknown"
)

// GroupState is a replica's view of its group.
type GroupState struct {
	// Name is GroupConfig or the zone's name.
	Name       string `json:"name" msg:"name"`
	ReplicaID  uint64 `json:"replica_id" msg:"replica_id"`
	Generation uint64 `json:"generation" msg:"generation"`
	// Role is leader, follower, candidate, pre-candidate, joining, or removed if the replica was told that it is no member any more.
	Role string `json:"role" msg:"role"`
	Term uint64 `json:"term" msg:"term"`
	// Leader and LeaderAddress are 0 and empty if no leader is known.
	Leader        uint64   `json:"leader" msg:"leader"`
	LeaderAddress string   `json:"leader_address" msg:"leader_address"`
	CommitIndex   uint64   `json:"commit_index" msg:"commit_index"`
	AppliedIndex  uint64   `json:"applied_index" msg:"applied_index"`
	Members       []Member `json:"members" msg:"members"`
	// Problem says why the replica takes no part, or is empty.
	Problem string `json:"problem,omitempty" msg:"problem"`
}

// Member is one replica of a group.
type Member struct {
	ReplicaID uint64 `json:"replica_id" msg:"replica_id"`
	Address   string `json:"address" msg:"address"`
	Learner   bool   `json:"learner" msg:"learner"`
	// MatchIndex and Active are known to the leader alone.
	MatchIndex uint64 `json:"match_index" msg:"match_index"`
	Active     bool   `json:"active" msg:"active"`
}

// ZoneState is a zone in a listing that spans the zones.
type ZoneState struct {
	Zone string `json:"zone"`
	// Reached is false if none of the zone's controllers answered; Problem
	// then says why and the listing has nothing of the zone.
	Reached bool   `json:"reached"`
	Problem string `json:"problem,omitempty"`
	// Controllers are the addresses known for the zone.
	Controllers    []string   `json:"controllers"`
	FromLeader     bool       `json:"from_leader"`
	Revision       uint64     `json:"revision"`
	ConfigRevision uint64     `json:"config_revision"`
	Engines        int        `json:"engines"`
	Gateways       int        `json:"gateways"`
	Group          GroupState `json:"group"`
	// PolicyFailures are the programs that don't run as written in the zone.
	PolicyFailures []PolicyFailure `json:"policy_failures"`
	// Rollouts are the changes of models' versions in the zone.
	Rollouts []Rollout `json:"rollouts"`
}

// ZoneList answers PathZones.
type ZoneList struct {
	Zones []ZoneState `json:"zones"`
}

// EngineList answers PathEngines.
type EngineList struct {
	Zones    []ZoneState `json:"zones"`
	Engines  []Engine    `json:"engines"`
	BackEnds []BackEnd   `json:"back_ends"`
}

// GatewayList answers PathGateways.
type GatewayList struct {
	Zones    []ZoneState `json:"zones"`
	Gateways []Gateway   `json:"gateways"`
}

// Status answers PathStatus: one controller's account of itself.
type Status struct {
	Controller     string       `json:"controller"`
	Zone           string       `json:"zone"`
	Version        string       `json:"version"`
	Health         string       `json:"health"`
	UptimeMillis   int64        `json:"uptime_ms"`
	ConfigRevision uint64       `json:"config_revision"`
	Groups         []GroupState `json:"groups"`
	// Warnings tell what an operator should look at.
	Warnings []string `json:"warnings"`
}
