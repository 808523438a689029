package replicalist_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/replicalist"
)

// watched is a Presence with the replicas that are known.
type watched struct {
	replicalist.Presence
	t     *testing.T
	known []region.ListedReplica
}

func ids(count int) []string {
	ids := make([]string, count)
	for number := range ids {
		ids[number] = fmt.Sprintf("i-%05d", number)
	}
	return ids
}

// newWatched returns a Presence to which replicas are known.
func newWatched(t *testing.T, ids ...string) *watched {
	w := &watched{t: t}
	for _, id := range ids {
		w.known = append(w.known, region.ListedReplica{Replica: region.Replica{ID: id}})
	}
	return w
}

func (w *watched) incarnation(id string) (region.Incarnation, bool) {
	for index := range w.known {
		if known := &w.known[index].Replica; known.ID == id {
			return known.Incarnation(), true
		}
	}
	return region.Incarnation{}, false
}

// read reads a round of pages, and returns the entries that hold, the replicas that are gone and how many are doubted.
func (w *watched) read(pages ...replicalist.Page) (held []region.Replica, gone []string, doubted int) {
	w.t.Helper()
	w.Begin()
	for _, page := range pages {
		held = append(held, w.Show(page, w.incarnation)...)
	}
	more, gone, doubted := w.End(len(pages), w.known)
	return append(held, more...), gone, doubted
}

func pageOf(ids ...string) replicalist.Page {
	var page replicalist.Page
	for _, id := range ids {
		page.Replicas = append(page.Replicas, region.Replica{ID: id})
	}
	return page
}

// The platform returned a truncated list, which left all gateways without a replica until the list was complete again.
func TestManyMissingReplicasAreKeptForAnotherRound(t *testing.T) {
	all := ids(10_000)
	w := newWatched(t, all...)
	_, gone, _ := w.read(pageOf(all[5_000:]...))
	assert.Len(t, gone, 5_000, "half of the replicas may be gone at once")

	w = newWatched(t, all...)
	_, gone, doubted := w.read(pageOf(all[5_001:]...))
	assert.Empty(t, gone)
	assert.Equal(t, 5_001, doubted)
	_, gone, _ = w.read(pageOf(all[5_001:]...))
	assert.Len(t, gone, 5_001, "the next round confirms it")

	w = newWatched(t, all...)
	for range 5 {
		_, gone, _ = w.read(pageOf())
		assert.Empty(t, gone, "no replica would be left")
	}
	_, gone, _ = w.read(pageOf(all...))
	assert.Empty(t, gone, "the list is complete again")
	_, gone, _ = w.read(pageOf(all[9_000:]...))
	assert.Empty(t, gone)

	w = newWatched(t, all[:5]...)
	_, gone, _ = w.read(pageOf())
	assert.Len(t, gone, 5, "few replicas may all be replaced")

	w = newWatched(t, all[:100]...)
	_, gone, _ = w.read(pageOf("new"))
	assert.Empty(t, gone)
	_, gone, _ = w.read(pageOf("new"))
	assert.Len(t, gone, 100, "all replicas have been replaced")
}

// While the list changes, an entry may move to a page that was read before. A round that lacked it took the replica away.
func TestReplicaThatMovesBetweenPagesIsKept(t *testing.T) {
	w := newWatched(t, "a", "b", "c", "d")
	_, gone, _ := w.read(pageOf("a", "b"), pageOf("d"))
	assert.Empty(t, gone)
	_, gone, _ = w.read(pageOf("b", "c"), pageOf("d"))
	assert.Empty(t, gone, "another one is missing now")
	_, gone, _ = w.read(pageOf("b", "c"), pageOf("d"))
	assert.Equal(t, []string{"a"}, gone)
	_, gone, _ = w.read(pageOf("b", "c"))
	assert.ElementsMatch(t, []string{"a", "d"}, gone, "all are on one page")

	w = newWatched(t, "a", "b", "c")
	w.known[0].Replica.Draining = true
	_, gone, _ = w.read(pageOf("b"), pageOf())
	assert.Equal(t, []string{"a"}, gone, "it gets no requests anyway")
}

// An entry of a known replica that can't be used does not say that it is gone.
func TestReplicaWhoseEntryCannotBeUsedIsKeptForAnotherRound(t *testing.T) {
	w := newWatched(t, "a", "b")
	broken := pageOf("a")
	broken.Unusable, broken.UnusableIDs = 1, []string{"b"}
	_, gone, _ := w.read(broken)
	assert.Empty(t, gone)
	_, gone, _ = w.read(pageOf("a", "b"))
	assert.Empty(t, gone)
	for range 2 {
		_, gone, _ = w.read(broken)
	}
	assert.Equal(t, []string{"b"}, gone)
	nothing := replicalist.Page{Unusable: 2}
	for range 3 {
		_, gone, _ = w.read(nothing)
		assert.Empty(t, gone, "a list of nothing that can be used says nothing")
	}
}

// An ended process stays on the list for some seconds, on the same page as the next one or on another.
func TestNewestIncarnationHolds(t *testing.T) {
	born := func(at int64) replicalist.Page {
		return replicalist.Page{Replicas: []region.Replica{{ID: "a", Born: at}}}
	}
	for name, pages := range map[string][]replicalist.Page{
		"the newer one last":  {born(5), born(9)},
		"the newer one first": {born(9), born(5)},
		"on one page":         {{Replicas: []region.Replica{{ID: "a", Born: 9}, {ID: "a", Born: 5}}}},
	} {
		for _, known := range []int64{5, 9} {
			w := newWatched(t, "a")
			w.known[0].Replica.Born = known
			held, gone, _ := w.read(pages...)
			require.NotEmpty(t, held, name)
			assert.EqualValues(t, 9, held[len(held)-1].Born, name)
			assert.Empty(t, gone)
		}
	}
	w := newWatched(t, "a")
	w.known[0].Replica.Born = 9
	held, _, _ := w.read(born(4), pageOf("b"))
	assert.EqualValues(t, 4, held[len(held)-1].Born, "its clock was set back")
	held, _, _ = w.read(born(0))
	assert.EqualValues(t, 9, held[0].Born, "an entry without a start time")
}
