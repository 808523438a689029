// Package placement lets a few coordinators choose the replicas for the prompts of many gateways. A
// gateway of a large region sees too few requests to know which replicas are busy and what they
// have cached. Its coordinator sees the requests of all gateways that query it, and learns about
// the rest from the other coordinators (package peers).
//
// Server answers the placement queries of gateways with leases from a relay.Directory and learns
// from the lease events that gateways report. Client sends the queries and the reports. All state
// is soft and is exchanged in datagrams: a lost lease is repaired by the message that names all
// open leases, a gateway without an answer chooses replicas itself, and it reports the leases that
// it holds to a coordinator that has restarted. docs/design/placement.md describes the alternatives
// that were considered.
package placement
