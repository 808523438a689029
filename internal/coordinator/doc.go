// Package coordinator is the control plane of a region whose machines share one
// durable group: it replicates the traffic configuration and the list of
// replicas over all coordinators and shows them to the gateways.
//
// One coordinator leads. It alone polls the platform's list of replicas and
// changes the group's members. All others answer from their copy, whose age they
// know: each asks the leader several times a second for a position that a
// majority has confirmed (read index, Ongaro 2014, section 6.4), and is as fresh
// as its last answer.
//
// Where there are many gateways, each coordinator also chooses the replicas for those that
// poll it (place.go, package placement).
package coordinator
