// Package relay proxies opaque requests: it takes a request with its route, sends it to a replica
// of the route's service and forwards the response unchanged.
//
// Metadata of requests and responses (deadlines, prompts, whether a request ran) is read and
// written by a Dialect, so that this package knows none of the names used on the wire.
//
// A Directory tracks the replicas. It places a prompt (placement.go) by the expected time until
// each replica has prefilled it (reading.go). That time follows from the engines' cost models
// (costs.go), the prefixes that replicas have cached (prefix.go, fetch.go) and the work already
// placed by this gateway and its peers (outstanding.go). A Lease is the capacity that a request
// occupies at a replica (lease.go). In deployments with many gateways, a Placer asks a coordinator
// for leases (placer.go, grant.go); the coordinator answers from its own Directory (question.go).
// A Runner makes the sends of a call (runner.go): it has the prompt prefilled (prompt.go), relays
// the stream (stream.go) and moves it when its replica leaves (move.go).
package relay
