// Package rpc carries the messages of internal/wire between pierhaven's own
// processes: MessagePack bodies in HTTP POST calls.
//
// The error of a failed call has a kind of internal/failure and says what is
// known of the call's delivery. A call is reported as not run only if it
// provably was not sent, for example because its connection could not be made,
// or if the callee itself answered so. After every other failure the outcome is
// unknown. Neither this package nor the HTTP library below it retries calls.
package rpc
