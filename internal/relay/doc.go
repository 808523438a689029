// Package relay serves opaque requests: it finds a request's route, sends it to a
// replica of the route's service and hands the answer on unchanged.
//
// What a request and an answer say of themselves (deadlines, prompts, whether a
// request ran) is read and written by a Dialect, so that the package knows none
// of its names.
//
// A Directory knows the replicas. It places a prompt (placement.go) by how long each
// replica is expected to take until it has read it (reading.go), which follows from the
// engines' costs (costs.go), from what replicas keep (prefix.go, fetch.go) and from the
// work that is placed already, by this gateway and by its peers (outstanding.go). A Lease
// is the place that a request has taken up (lease.go). Where there are many gateways, a
// Placer asks a coordinator for leases (placer.go, grant.go); that one has a Directory of
// its own, and answers from it (question.go). A Runner makes the sends of a call
// (runner.go): it has the prompt read (prompt.go), relays the stream (stream.go) and moves
// it when its replica leaves (move.go).
package relay
