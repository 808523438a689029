// Package activeset decides which replicas of a large fleet are active, that is, take work. The others are
// on standby: they are listed, and cost nothing until they are needed. It is a pure state machine: Step
// returns a change for the given state, and never applies it.
//
// The state, queries and connections that a process keeps for replicas therefore grow with the load, and
// not with the fleet.
package activeset
