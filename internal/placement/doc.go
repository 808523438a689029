// Package placement lets few coordinators choose the replicas for the prompts of many
// gateways. A gateway of a large region sees too few requests to know which replica is busy
// or what it keeps; its coordinator sees those of all gateways that ask it, and hears of the
// others from the other coordinators (package peers).
//
// Server answers a gateway's questions with leases from a relay.Directory and learns from
// what gateways tell of them. Client asks, and tells. All of it is soft state over datagrams:
// a lost lease is made up for by the message that names all open ones, a gateway without an
// answer chooses by itself, and one whose coordinator has restarted tells it what it holds.
// docs/design/placement.md says what was weighed.
package placement
