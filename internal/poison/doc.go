// Package poison finds requests that end each replica which begins to run them (a query of
// death, a poison message), and says which requests must be sent to no further replica.
//
// A Digest identifies a request by its content, since each try of a caller has an id of its own.
// State is the evidence: under which requests which replicas have ended. It is a pure state
// machine, which coordinators replicate and gateways keep for themselves while they reach no
// coordinator. Due says which requests the evidence convicts. A Guard is a gateway's side: it
// notes what happens to the gateway's requests, and knows which are held.
package poison
