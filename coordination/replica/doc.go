// Package replica replicates a caller's state machine over a group of replicas.
//
// A Node combines the consensus core, the storage and the state machine without
// goroutines, for simulation. A Runner runs a Node in a goroutine, for daemons.
package replica
