package onceonly

import "github.com/google/btree"

const timelineDegree = 32

// timelineItem is an entry with the time that orders it.
type timelineItem struct {
	millis int64
	id     entryID
}

func (m timelineItem) less(other timelineItem) bool {
	if m.millis != other.millis {
		return m.millis < other.millis
	}
	if m.id.Tenant != other.id.Tenant {
		return m.id.Tenant < other.id.Tenant
	}
	return m.id.Key < other.id.Key
}

// timeline is an index of entries ordered by time.
type timeline struct {
	tree *btree.BTreeG[timelineItem]
}

func newTimeline() timeline {
	return timeline{tree: btree.NewG(timelineDegree, timelineItem.less)}
}

func (t timeline) add(millis int64, id entryID) {
	t.tree.ReplaceOrInsert(timelineItem{millis, id})
}

func (t timeline) remove(millis int64, id entryID) {
	t.tree.Delete(timelineItem{millis, id})
}

// oldest returns the oldest entry, and false if there is none.
func (t timeline) oldest() (entryID, bool) {
	first, found := t.tree.Min()
	return first.id, found
}

// popBefore removes and returns the oldest entry if its time is before limit.
func (t timeline) popBefore(limit int64) (entryID, bool) {
	oldest, found := t.tree.Min()
	if !found || oldest.millis >= limit {
		return entryID{}, false
	}
	t.tree.DeleteMin()
	return oldest.id, true
}
