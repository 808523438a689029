package replication

import (
	"sync"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// maximumRoutes bounds the learned addresses.
const maximumRoutes = 4096

type routeKey struct {
	group   uint64
	replica consensus.ReplicaID
}

// routeTable finds the address of a replica: from the members of its group, or
// from where its last message came. The second is needed by a new learner,
// which must answer its leader before it knows the group's members.
type routeTable struct {
	mutex   sync.Mutex
	members map[uint64]func(consensus.ReplicaID) string
	learned map[routeKey]string
}

func newRouteTable() *routeTable {
	return &routeTable{
		members: map[uint64]func(consensus.ReplicaID) string{},
		learned: map[routeKey]string{},
	}
}

// addGroup names the function that looks a member of a group up.
func (r *routeTable) addGroup(group uint64, addressOf func(consensus.ReplicaID) string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.members[group] = addressOf
}

// learn notes where a message came from.
func (r *routeTable) learn(group uint64, replica consensus.ReplicaID, address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := routeKey{group, replica}
	if _, known := r.learned[key]; !known && len(r.learned) >= maximumRoutes {
		return
	}
	r.learned[key] = address
}

// find returns the address of a replica, empty if it is not known.
func (r *routeTable) find(group uint64, replica consensus.ReplicaID) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if addressOf, found := r.members[group]; found {
		if address := addressOf(replica); address != "" {
			return address
		}
	}
	return r.learned[routeKey{group, replica}]
}
