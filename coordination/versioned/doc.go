// Package versioned is a replicated store of named documents that many
// operators may change concurrently.
//
// Every change is a compare-and-set on the document's revision, and carries the
// operator's request id, whose first result is stored in the replicated state. If
// two operators change a document based on the same revision, exactly one change
// is applied and the other is reported as a conflict. A request that is resent
// after its answer was lost gets the first answer again.
//
// Store implements the StateMachine of package replica. It has no clock, files
// or goroutines, and its methods are not safe for concurrent use.
package versioned
