// Package onceonly is a replicated table of claims on idempotency keys, by which
// requests that must not be repeated run at most once.
//
// Before a process sends such a request to a back end, it claims the request's
// key under an attempt id that it never uses again, and dispatches the request
// only if the claim was granted. A granted claim ends by Complete with the
// answer, by Release if the attempt provably has not run and never will, or by
// becoming unknown; an unknown claim is never granted again.
//
// The table removes claims after a retention time. For keys that carry their
// minting time this is safe whatever clocks show: the same replicated horizon
// that permits removing a key also rejects the key from then on. For
// opaque keys it depends on callers not repeating them after the retention time.
//
// Table implements the StateMachine of package replica, and its transitions can
// also be embedded in a larger state machine. It has no clock, files or
// goroutines, and its methods are not safe for concurrent use.
package onceonly
