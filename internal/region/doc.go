// Package region defines the state that the coordinators of a region replicate and
// serve to its gateways, the traffic configuration in effect and the list of
// replicas, and the messages between these processes.
//
// Every view contains an upper bound of its age: the time since a majority of the
// coordinators confirmed it. A gateway that receives a view which is too old turns
// to another coordinator.
package region
