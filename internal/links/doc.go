// Package links concludes from a process's attempts to connect to the replicas of a service whether the process itself has
// lost its links to them. A replica that can't be reached is no fault of the process; most of those that it has tried are.
//
// It is a state machine: it has no clock and makes no connections. Replicas are named by their incarnations.
package links
