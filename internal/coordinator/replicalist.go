package coordinator

import (
	"slices"
	"strings"

	"github.com/pierhaven/pierhaven/internal/region"
)

// maximumRemovedReplicas bounds the records of replicas that were removed or deactivated.
// A gateway that is further behind is sent the complete list.
const maximumRemovedReplicas = 256

func compareReplica(listed region.ListedReplica, id string) int {
	return strings.Compare(listed.Replica.ID, id)
}

// findListed returns the listed replica with an ID.
func findListed(replicas []region.ListedReplica, id string) (region.Replica, bool) {
	at, found := slices.BinarySearchFunc(replicas, id, compareReplica)
	if !found {
		return region.Replica{}, false
	}
	return replicas[at].Replica, true
}

// incarnationIn returns a function that finds the incarnation that is known of an ID.
func incarnationIn(replicas []region.ListedReplica) func(id string) (region.Incarnation, bool) {
	return func(id string) (region.Incarnation, bool) {
		known, found := findListed(replicas, id)
		return known.Incarnation(), found
	}
}

// updatedEntry returns a listed entry with what is known of its replica beside the list, whether it differs from the
// known one, and whether that is active.
func updatedEntry(replicas []region.ListedReplica, entry region.Replica) (updated region.Replica, differs, active bool) {
	at, found := slices.BinarySearchFunc(replicas, entry.ID, compareReplica)
	if !found {
		return entry, true, false
	}
	known := &replicas[at]
	if known.Replica.Incarnation() == entry.Incarnation() {
		// The replica itself has reported that it is leaving, which the platform's list may not show.
		entry.Leaving = known.Replica.Leaving
	}
	return entry, known.Replica != entry, !known.Standby
}

// diffEntries returns the change that takes over listed entries and removes replicas, or nil if there is none. A replica
// that has restarted counts as changed.
func diffEntries(before []region.ListedReplica, entries []region.Replica, gone []string) *region.ListCommand {
	change := &region.ListCommand{}
	for _, entry := range entries {
		if updated, differs, _ := updatedEntry(before, entry); differs {
			change.Changed = append(change.Changed, updated)
		}
	}
	for _, id := range gone {
		if _, found := findListed(before, id); found {
			change.Removed = append(change.Removed, id)
		}
	}
	if len(change.Changed)+len(change.Removed) == 0 {
		return nil
	}
	return change
}

// applyList applies a list change, and ends the stage changes that are finished by it.
func (m *stateMachine) applyList(index uint64, change *region.ListCommand) {
	before := m.state
	applyListChange(&m.state, index, change)
	replicas := m.state.Replicas
	noteFormerSoftware(&m.state, &before, change.At)
	m.dropChanges(index, func(each region.StageChange) bool { return isFinished(each, replicas) })
}

// applyListChange applies a list change to a state. It replaces the state's slices, since readers hold them.
func applyListChange(state *region.State, index uint64, change *region.ListCommand) {
	changed := slices.Clone(change.Changed)
	slices.SortStableFunc(changed, func(a, b region.Replica) int { return strings.Compare(a.ID, b.ID) })
	removed := make(map[string]bool, len(change.Removed))
	for _, id := range change.Removed {
		removed[id] = true
	}
	list := &listMerge{index: index, standby: change.Standby}
	list.replicas = make([]region.ListedReplica, 0, len(state.Replicas)+len(changed))
	for _, listed := range state.Replicas {
		for len(changed) > 0 && changed[0].ID < listed.Replica.ID {
			list.add(changed[0])
			changed = changed[1:]
		}
		before := listed
		for len(changed) > 0 && changed[0].ID == listed.Replica.ID {
			listed.Replica = changed[0]
			changed = changed[1:]
		}
		list.retain(before, listed, removed[listed.Replica.ID])
	}
	for _, replica := range changed {
		list.add(replica)
	}
	state.Replicas = list.replicas
	countStandby(state)
	if list.visible {
		state.ListRevision = index
	}
	recordRemoved(state, index, list.removed)
}

// listMerge builds the new list while a list change is merged into the old one.
type listMerge struct {
	index uint64
	// standby reports whether added replicas are on standby. If it is false, the change comes from a leader of
	// an earlier build without standby replicas, and all replicas become active.
	standby  bool
	replicas []region.ListedReplica
	removed  []string
	// visible reports whether the change affects what gateways are shown.
	visible bool
}

// add adds a replica that was not listed.
func (l *listMerge) add(replica region.Replica) {
	l.replicas = append(l.replicas, region.ListedReplica{Replica: replica, Revision: l.index, Standby: l.standby})
	l.visible = l.visible || !l.standby
}

// retain keeps a replica that was listed, unless the change removes it.
func (l *listMerge) retain(before, listed region.ListedReplica, removed bool) {
	if removed {
		if !listed.Standby {
			l.removed = append(l.removed, listed.Replica.ID)
			l.visible = true
		}
		return
	}
	listed.Standby = listed.Standby && l.standby
	if listed != before {
		listed.Revision = l.index
		l.visible = l.visible || !listed.Standby
	}
	l.replicas = append(l.replicas, listed)
}

// recordRemoved records replicas that gateways are no longer shown.
func recordRemoved(state *region.State, index uint64, ids []string) {
	if len(ids) == 0 {
		return
	}
	removed := slices.Clone(state.Removed)
	for _, id := range ids {
		removed = append(removed, region.RemovedReplica{ID: id, Revision: index})
	}
	if excess := len(removed) - maximumRemovedReplicas; excess > 0 {
		state.RemovedSince = removed[excess-1].Revision
		removed = removed[excess:]
	}
	state.Removed = removed
}

// applyActivity activates and deactivates replicas.
func (m *stateMachine) applyActivity(index uint64, change *region.ActivityCommand) {
	replicas := slices.Clone(m.state.Replicas)
	for _, id := range change.Activate {
		at, found := slices.BinarySearchFunc(replicas, id, compareReplica)
		if found && replicas[at].Standby {
			replicas[at].Standby, replicas[at].Revision = false, index
			m.state.ListRevision = index
		}
	}
	var deactivated []string
	for _, id := range change.Rest {
		at, found := slices.BinarySearchFunc(replicas, id, compareReplica)
		if found && !replicas[at].Standby {
			replicas[at].Standby = true
			deactivated = append(deactivated, id)
			m.state.ListRevision = index
		}
	}
	m.state.Replicas = replicas
	countStandby(&m.state)
	recordRemoved(&m.state, index, deactivated)
}

func countStandby(state *region.State) {
	state.StandbyCount = 0
	for index := range state.Replicas {
		if state.Replicas[index].Standby {
			state.StandbyCount++
		}
	}
}

// dropChanges ends the stage changes that a function selects.
func (m *stateMachine) dropChanges(index uint64, ended func(region.StageChange) bool) {
	for _, change := range m.state.Changes {
		if ended(change) {
			m.markChanged(index, change.Replica)
		}
	}
	m.state.Changes = slices.DeleteFunc(slices.Clone(m.state.Changes), ended)
}

// markChanged records that a replica is shown differently from a log position on.
func (m *stateMachine) markChanged(index uint64, id string) {
	m.state.ListRevision = index
	at, found := slices.BinarySearchFunc(m.state.Replicas, id, compareReplica)
	if !found {
		return
	}
	m.state.Replicas = slices.Clone(m.state.Replicas)
	m.state.Replicas[at].Revision = index
}

// beginChange records that a replica was ordered to change its stage. The order is for one incarnation: if
// the list shows another one by now, that one has not received the order and goes on taking work.
func (m *stateMachine) beginChange(index uint64, change *region.ChangeCommand) {
	m.dropChanges(index, func(each region.StageChange) bool { return each.Replica == change.Replica })
	started := region.StageChange{Replica: change.Replica, Born: change.Born, Stage: change.Stage, Fence: index}
	replica, found := findListed(m.state.Replicas, change.Replica)
	if change.Born == 0 {
		// The command is from a coordinator of an earlier version, or the replica's start time is not reported.
		started.Born = replica.Born
	}
	if found && replica.Born != started.Born {
		return
	}
	m.state.Changes = append(m.state.Changes, started)
	m.markChanged(index, change.Replica)
}

// isFinished reports whether the list shows the stage that was ordered, or no longer
// shows the incarnation that was ordered to change.
func isFinished(change region.StageChange, replicas []region.ListedReplica) bool {
	replica, found := findListed(replicas, change.Replica)
	return !found || replica.Incarnation() != change.Incarnation() || replica.Stage == change.Stage
}

// addList adds to a view what the gateway that requests it lacks of the list, in parts if it is long.
func addList(state region.State, request *region.ViewRequest, view *region.View) {
	if request.PartEnd != "" && request.PartRevision >= state.RemovedSince {
		addNextPart(state, request, view)
		return
	}
	addListChanges(state, request.ListRevision, view)
	if bound := request.ListBound; bound > 0 && len(view.Replicas) > bound {
		addFirstPart(state, bound, view)
	}
}

// addFirstPart replaces the changes of the list in a view by the first part of the whole list.
func addFirstPart(state region.State, bound int, view *region.View) {
	if !view.WholeList {
		view.Removed = nil
		addListChanges(state, 0, view)
	}
	endPart(view, bound)
}

// addNextPart adds to a view what has changed in the parts of the list that the gateway has, and the next part.
func addNextPart(state region.State, request *region.ViewRequest, view *region.View) {
	view.HasList = true
	view.Replicas = activeReplicas(state, func(listed *region.ListedReplica) bool {
		return listed.Replica.ID > request.PartEnd || listed.Revision > request.PartRevision
	})
	view.Removed = removedSince(state, request.PartRevision)
	known := slices.IndexFunc(view.Replicas, func(each region.Replica) bool { return each.ID > request.PartEnd })
	if known >= 0 && request.ListBound > 0 {
		endPart(view, known+request.ListBound)
	}
}

// endPart ends a view's part of the list after a number of replicas, if it has more.
func endPart(view *region.View, count int) {
	if len(view.Replicas) <= count {
		return
	}
	view.Replicas = view.Replicas[:count:count]
	view.PartEnd = view.Replicas[count-1].ID
}

// addListChanges adds to a view what has changed since a revision of the list, which the gateway has.
func addListChanges(state region.State, revision uint64, view *region.View) {
	view.HasList = true
	view.WholeList = revision == 0 || revision < state.RemovedSince
	view.Replicas = activeReplicas(state, func(listed *region.ListedReplica) bool {
		return view.WholeList || listed.Revision > revision
	})
	if !view.WholeList {
		view.Removed = removedSince(state, revision)
	}
}

// activeReplicas returns the replicas that are not on standby and wanted, sorted by id. Replicas that are changing their
// stage are shown with region.StageChanging, and take no work.
func activeReplicas(state region.State, wanted func(*region.ListedReplica) bool) []region.Replica {
	var active []region.Replica
	changing := changingReplicas(state)
	for index := range state.Replicas {
		listed := &state.Replicas[index]
		if listed.Standby || !wanted(listed) {
			continue
		}
		replica := listed.Replica
		if changing[replica.ID] {
			replica.Stage = region.StageChanging
		}
		active = append(active, replica)
	}
	return active
}

// removedSince returns the ids of the replicas that were removed or put on standby since a revision of the list.
func removedSince(state region.State, revision uint64) []string {
	var ids []string
	for _, removed := range state.Removed {
		at, listed := slices.BinarySearchFunc(state.Replicas, removed.ID, compareReplica)
		activeAgain := listed && !state.Replicas[at].Standby
		if removed.Revision > revision && !activeAgain {
			ids = append(ids, removed.ID)
		}
	}
	return ids
}
