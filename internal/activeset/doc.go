// Package activeset decides which replicas of a large fleet take work. The others stand by: they are
// listed, and cost nothing until they are needed. It is a pure state machine: Step takes what is known
// and returns a change, and never acts itself.
//
// Whatever a process knows of a replica, asks it or keeps open to it then grows with the load, and not
// with the fleet.
package activeset
