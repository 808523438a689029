// Package replica replicates a caller's state machine over a group of replicas.
//
// A Node combines the consensus core, the storage and the state machine without
// goroutines, for simulation. A Runner runs a Node in a goroutine, for daemons.
//
// A replica that was away may have been removed meanwhile, and its own log doesn't say so. The other
// members tell it: Status.IsMember is false then, and Status.RemovedAt says since which change. It keeps
// its data, and AddLearner takes it back; it is for the caller to ask for that.
package replica
