// Package membership tracks which processes may use a set of shared targets, so
// that a target can be taken out of use once no process uses it any more.
//
// It has three parts, which use no clock, files or goroutines:
//
//   - Table is the replicated list of sessions, one for each process;
//   - Liveness is the leader's soft state, which is not replicated: when the last
//     heartbeat of each session arrived, and which view its process has
//     acknowledged;
//   - Lease is the process's own record of how long it may act on its view.
//
// A process that can't reach the leader may go on using some of the targets, its
// isolation set, for a long but bounded time. The set is recorded in its session.
// A target in no isolation set can be taken out of use within the duration of a
// lease. Safety depends on each process's monotonic clock running at nearly the
// true rate, but not on clocks being synchronised.
package membership
