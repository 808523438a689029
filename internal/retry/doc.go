// Package retry decides whether a failed attempt is retried, and when a slow one
// is hedged with a second attempt. All parts are pure state machines without
// clock or goroutines; `now` is a time on the process's monotonic clock.
package retry
