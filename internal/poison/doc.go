// Package poison detects poison requests (also known as queries of death): requests that crash each
// replica that starts to run them. It decides which requests must be sent to no further replica; these
// are held.
//
// A Digest identifies a request by its content, since each of a caller's retries has an id of its own.
// State is the evidence: which replicas have crashed under which requests. It is a deterministic state
// machine that coordinators replicate, and that a gateway keeps for itself while it reaches no
// coordinator. Due returns the requests that the evidence shows to be the cause. A Guard is a gateway's
// part: it records what happens to the gateway's requests and knows which are held.
package poison
