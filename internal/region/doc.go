// Package region holds what the coordinators of a region replicate and hand to
// its gateways: the traffic configuration in force and the list of replicas, and
// the messages that carry them.
//
// A coordinator says with every view how old its knowledge is at most: the time
// since a majority of the coordinators confirmed it. A gateway that is shown an
// old view turns to another coordinator.
package region
