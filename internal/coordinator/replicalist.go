package coordinator

import (
	"slices"
	"strings"

	"github.com/pierhaven/pierhaven/internal/region"
)

// maximumRemoved bounds the memory of replicas that have gone. A gateway that is
// further behind gets the whole list.
const maximumRemoved = 256

func compareReplica(listed region.ListedReplica, id string) int {
	return strings.Compare(listed.Replica.ID, id)
}

// findListed returns the replica of an id.
func findListed(replicas []region.ListedReplica, id string) (region.Replica, bool) {
	at, found := slices.BinarySearchFunc(replicas, id, compareReplica)
	if !found {
		return region.Replica{}, false
	}
	return replicas[at].Replica, true
}

// listChange returns what has to change for a list to become another; nil if
// nothing has. A replica that has started again is one that has changed.
func listChange(before []region.ListedReplica, after []region.Replica) *region.ListCommand {
	region.KeepLives(after, func(id string) (region.Life, bool) {
		known, found := findListed(before, id)
		return known.Life(), found
	})
	change := &region.ListCommand{}
	kept := make(map[string]bool, len(after))
	for _, replica := range after {
		kept[replica.ID] = true
		at, found := slices.BinarySearchFunc(before, replica.ID, compareReplica)
		if found && before[at].Replica.Life() == replica.Life() {
			// It has said so itself, whatever the list shows.
			replica.Leaving = before[at].Replica.Leaving
		}
		if !found || before[at].Replica != replica {
			change.Changed = append(change.Changed, replica)
		}
	}
	for _, listed := range before {
		if !kept[listed.Replica.ID] {
			change.Removed = append(change.Removed, listed.Replica.ID)
		}
	}
	if len(change.Changed)+len(change.Removed) == 0 {
		return nil
	}
	return change
}

// applyList applies a change of the list.
func (m *machine) applyList(index uint64, change *region.ListCommand) {
	changeList(&m.state, index, change)
	replicas := m.state.Replicas
	m.dropChanges(index, func(each region.StageChange) bool { return hasEnded(each, replicas) })
}

// changeList applies a change of the list to a state, whose slices are replaced since readers hold them.
func changeList(state *region.State, index uint64, change *region.ListCommand) {
	changed := slices.Clone(change.Changed)
	slices.SortStableFunc(changed, func(a, b region.Replica) int { return strings.Compare(a.ID, b.ID) })
	gone := make(map[string]bool, len(change.Removed))
	for _, id := range change.Removed {
		gone[id] = true
	}
	list := &changedList{index: index, standby: change.Standby}
	list.replicas = make([]region.ListedReplica, 0, len(state.Replicas)+len(changed))
	for _, listed := range state.Replicas {
		for len(changed) > 0 && changed[0].ID < listed.Replica.ID {
			list.come(changed[0])
			changed = changed[1:]
		}
		before := listed
		for len(changed) > 0 && changed[0].ID == listed.Replica.ID {
			listed.Replica = changed[0]
			changed = changed[1:]
		}
		list.stay(before, listed, gone[listed.Replica.ID])
	}
	for _, replica := range changed {
		list.come(replica)
	}
	state.Replicas = list.replicas
	countStandby(state)
	if list.shown {
		state.ListRevision = index
	}
	remove(state, index, list.removed)
}

// changedList is a list that is made anew by merging changes with it.
type changedList struct {
	index uint64
	// standby says that what comes stands by.
	standby  bool
	replicas []region.ListedReplica
	removed  []string
	// shown says that something has changed that gateways are told of.
	shown bool
}

// come takes a replica in that was not listed.
func (c *changedList) come(replica region.Replica) {
	c.replicas = append(c.replicas, region.ListedReplica{Replica: replica, Revision: c.index, Standby: c.standby})
	c.shown = c.shown || !c.standby
}

// stay takes a replica over that was listed, unless it has gone.
func (c *changedList) stay(before, listed region.ListedReplica, gone bool) {
	if gone {
		if !listed.Standby {
			c.removed = append(c.removed, listed.Replica.ID)
			c.shown = true
		}
		return
	}
	listed.Standby = listed.Standby && c.standby
	if listed != before {
		listed.Revision = c.index
		c.shown = c.shown || !listed.Standby
	}
	c.replicas = append(c.replicas, listed)
}

// remove notes replicas that gateways are not told of any more.
func remove(state *region.State, index uint64, ids []string) {
	if len(ids) == 0 {
		return
	}
	removed := slices.Clone(state.Removed)
	for _, id := range ids {
		removed = append(removed, region.RemovedReplica{ID: id, Revision: index})
	}
	if excess := len(removed) - maximumRemoved; excess > 0 {
		state.RemovedSince = removed[excess-1].Revision
		removed = removed[excess:]
	}
	state.Removed = removed
}

// applyActivity has replicas take work, or stand by.
func (m *machine) applyActivity(index uint64, change *region.ActivityCommand) {
	replicas := slices.Clone(m.state.Replicas)
	for _, id := range change.Activate {
		at, found := slices.BinarySearchFunc(replicas, id, compareReplica)
		if found && replicas[at].Standby {
			replicas[at].Standby, replicas[at].Revision = false, index
			m.state.ListRevision = index
		}
	}
	var resting []string
	for _, id := range change.Rest {
		at, found := slices.BinarySearchFunc(replicas, id, compareReplica)
		if found && !replicas[at].Standby {
			replicas[at].Standby = true
			resting = append(resting, id)
			m.state.ListRevision = index
		}
	}
	m.state.Replicas = replicas
	countStandby(&m.state)
	remove(&m.state, index, resting)
}

func countStandby(state *region.State) {
	state.StandbyCount = 0
	for index := range state.Replicas {
		if state.Replicas[index].Standby {
			state.StandbyCount++
		}
	}
}

// dropChanges ends stage changes.
func (m *machine) dropChanges(index uint64, ended func(region.StageChange) bool) {
	for _, change := range m.state.Changes {
		if ended(change) {
			m.touch(index, change.Replica)
		}
	}
	m.state.Changes = slices.DeleteFunc(slices.Clone(m.state.Changes), ended)
}

// touch notes that a replica is shown otherwise from a log position on.
func (m *machine) touch(index uint64, id string) {
	m.state.ListRevision = index
	at, found := slices.BinarySearchFunc(m.state.Replicas, id, compareReplica)
	if !found {
		return
	}
	m.state.Replicas = slices.Clone(m.state.Replicas)
	m.state.Replicas[at].Revision = index
}

// beginChange notes that a replica was ordered to take a stage. The order is for one life: another
// that the list shows by now has not taken it, and takes work.
func (m *machine) beginChange(index uint64, change *region.ChangeCommand) {
	m.dropChanges(index, func(each region.StageChange) bool { return each.Replica == change.Replica })
	begun := region.StageChange{Replica: change.Replica, Born: change.Born, Stage: change.Stage, Fence: index}
	replica, found := findListed(m.state.Replicas, change.Replica)
	if change.Born == 0 {
		begun.Born = replica.Born
	}
	if found && replica.Born != begun.Born {
		return
	}
	m.state.Changes = append(m.state.Changes, begun)
	m.touch(index, change.Replica)
}

// hasEnded reports whether the list shows the stage that was ordered, or no such
// life any more.
func hasEnded(change region.StageChange, replicas []region.ListedReplica) bool {
	replica, found := findListed(replicas, change.Replica)
	return !found || replica.Life() != change.Life() || replica.Stage == change.Stage
}

// shownSince fills in what a gateway with a revision of the list lacks. Replicas
// that change their stage are shown so: they take no work.
func shownSince(state region.State, revision uint64, view *region.View) {
	view.HasList = true
	view.WholeList = revision == 0 || revision < state.RemovedSince
	changing := changingReplicas(state)
	for _, listed := range state.Replicas {
		if listed.Standby || !view.WholeList && listed.Revision <= revision {
			continue
		}
		replica := listed.Replica
		if changing[replica.ID] {
			replica.Stage = region.StageChanging
		}
		view.Replicas = append(view.Replicas, replica)
	}
	if view.WholeList {
		return
	}
	for _, removed := range state.Removed {
		at, listed := slices.BinarySearchFunc(state.Replicas, removed.ID, compareReplica)
		backAgain := listed && !state.Replicas[at].Standby
		if removed.Revision > revision && !backAgain {
			view.Removed = append(view.Removed, removed.ID)
		}
	}
}
