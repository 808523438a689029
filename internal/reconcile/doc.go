// Package reconcile implements the reconciliation loop of a zone group's leader.
// It compares the committed state with what the engines, the gateways and the
// platform report, and returns the commands to propose and the orders and polls
// to send.
//
// The loop is level-triggered: each tick derives everything anew from the committed
// state, so a new leader continues where the last one stopped. The soft state that
// each leader keeps in addition can only delay a decision. The package uses no clock,
// sockets or goroutines.
//
// A withheld engine is one that gateways have been told not to use. A planned
// change of an engine goes through these steps, each committed or observed before
// the next:
//
//  1. Withhold the engine (begin_change).
//  2. Wait until no gateway can start new work on it.
//  3. See it idle in the response to a poll that was sent after that.
//  4. Issue the order (issue_order), which assigns its fencing token.
//  5. Send the order until the engine reports that it runs the target under that
//     fencing token.
//  6. Record the result (complete_order), which puts the engine back into service.
package reconcile
