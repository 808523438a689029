// Package zonestate implements the replicated state of a zone group: the
// configuration that the zone has adopted, its engines with their orders, its
// application back ends, the gateways' sessions and the once-only claims.
//
// State is a deterministic state machine. Every command is validated again when it
// is applied, against the state at its own log index. A command that its proposer
// based on outdated state is therefore rejected as stale.
// Machine guards a State for concurrent readers and implements the StateMachine
// of package replica.
package zonestate
