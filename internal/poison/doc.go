// Package poison detects poison requests (also known as queries of death): requests that crash each
// replica that starts to run them. It decides which requests must be sent to no further replica; these
// are held.
//
// A request is watched once two replicas have crashed under it or it is held: gateways then report when
// it has run to completion, which clears it. It is on probation once as many replicas have crashed under
// it as are needed to hold it, while other requests that ran there may be the cause.
//
// A Digest identifies a request by its content, since each of a caller's retries has an id of its own.
// State is the evidence: which replicas have crashed under which requests. It is a deterministic state
// machine that coordinators replicate. Each gateway also keeps one with its local evidence, by which it
// holds requests while it reaches no coordinator. Due returns the requests that the evidence shows to be
// the cause. A Guard is a gateway's part: it records what happens to the gateway's requests and knows
// which are held.
package poison
