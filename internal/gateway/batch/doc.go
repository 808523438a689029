// Package batch runs pieces of work of some thousand items, behind the requests
// that somebody waits for, and gives each item its own outcome.
//
// A batch lives in the memory of the gateway that took it. A planned stop
// finishes it; a crash ends it, and then its items can be sent again: model
// calls may be repeated, and once-only operations keep their idempotency keys.
package batch
