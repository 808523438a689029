// Package consensus implements the Raft algorithm as a state machine for one
// replica of one group.
//
// The algorithm is that of Ongaro, "Consensus: Bridging Theory and Practice"
// (dissertation, Stanford 2014): leader election (chapter 3), single-server
// membership changes with learners (chapter 4), log compaction (chapter 5),
// read index (section 6.4), leadership transfer (section 3.10), pre-vote
// (section 9.6) and check-quorum (section 6.2).
//
// Core uses no goroutines, clock, files or sockets. The caller passes it
// messages, proposals and the time of a monotonic clock, takes a Ready, makes
// its contents durable, sends its messages and calls Advance:
//
//	core.Step(now, message)
//	for core.HasReady() {
//		ready := core.Ready()
//		transport.Send(ready.MessagesBeforeSync)
//		storage.Save(ready.HardState, ready.Entries, ready.Snapshot) // and sync
//		transport.Send(ready.MessagesAfterSync)
//		apply(ready.CommittedEntries)
//		core.Advance()
//	}
package consensus
