// Package backpressure tracks what called processes ask of this one in their responses: to receive no
// requests for a time (Retry-After), and to receive no new work because they are leaving.
//
// A Gate inspects each response and is consulted before each send, so it works for any kind of call. What
// a response asks binds only the process that received it: this package informs no other process.
// docs/design/backpressure.md says which components do, and which alternatives were considered.
package backpressure
