// Package coordinator is the control plane of a region. The region's coordinators
// form one durable consensus group. It replicates the traffic configuration and the
// list of replicas, and each coordinator serves its copy of both to gateways.
//
// One coordinator is the leader. Only the leader polls the platform's list of
// replicas and changes the group's membership. The others answer from their copy,
// whose age they know: several times a second, each asks the leader for a log
// position that a majority has confirmed (read index, Ongaro 2014, section 6.4).
// The copy is as fresh as the last such answer.
//
// In regions with many gateways, each coordinator also chooses replicas for the
// gateways that poll it (place.go, package placement).
package coordinator
