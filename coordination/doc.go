// Package coordination documents the replicated-state library below it.
//
// The library consists of small packages that other programs can embed:
//
//   - consensus is a pure Raft core without goroutines, clock, files or sockets;
//   - storage persists the log, the snapshots and the identity of a replica;
//   - replica combines both with a caller's state machine, either as a
//     synchronous Node for simulation or as a Runner with a goroutine for daemons;
//   - versioned is a replicated store of documents that operators change by
//     compare-and-set;
//   - onceonly is a replicated table of claims by which requests run at most
//     once;
//   - membership provides sessions, leases and isolation sets.
//
// To embed it, write a replica.StateMachine (or take versioned.Store or
// onceonly.Table), start a replica.Runner on a data folder of its own, and commit
// commands with Propose. The program in examples/counter does this in some
// fifty lines for a group of one replica; with more replicas it needs a
// replica.Transport, and a CollectPromise function for Bootstrap. Each package
// has a runnable example.
//
// Requirements on the caller:
//
//   - a data folder belongs to one replica and is never restored from a copy;
//   - the process exits when Runner.Done is closed;
//   - commands are deterministic;
//   - after ErrOutcomeUnknown a proposal may or may not be, or become, committed,
//     and the caller must allow for both.
//
// No package below coordination imports the product's internal packages.
package coordination
