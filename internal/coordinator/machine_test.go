package coordinator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
)

func apply(t *testing.T, m *stateMachine, index uint64, command region.Command) {
	t.Helper()
	encoded, err := command.MarshalMsg(nil)
	require.NoError(t, err)
	m.Apply(index, encoded)
}

func newTestStateMachine() *stateMachine { return newStateMachine(func() time.Duration { return 0 }) }

func configuration(version uint64, document string) region.Command {
	return region.Command{Configuration: &region.ConfigurationCommand{Version: version, Document: []byte(document)}}
}

func listed(replicas ...region.Replica) region.Command {
	return region.Command{List: &region.ListCommand{Changed: replicas}}
}

// follower maintains a list from what it is shown, as a gateway does.
type follower struct {
	revision uint64
	list     map[string]region.Replica
	whole    int
}

func newFollower() *follower { return &follower{list: map[string]region.Replica{}} }

func (f *follower) follow(m *stateMachine) {
	state, _ := m.read()
	if state.ListRevision <= f.revision {
		return
	}
	var view region.View
	addListChanges(state, f.revision, &view)
	if view.WholeList {
		f.whole++
		f.list = map[string]region.Replica{}
	}
	for _, replica := range view.Replicas {
		f.list[replica.ID] = replica
	}
	for _, id := range view.Removed {
		delete(f.list, id)
	}
	f.revision = state.ListRevision
}

// changeRandomly adds, changes and removes up to three replicas.
func changeRandomly(random *rand.Rand, replicas map[string]region.Replica) {
	for range random.IntN(4) {
		id := fmt.Sprint("i-", random.IntN(60))
		if random.IntN(3) == 0 {
			delete(replicas, id)
			continue
		}
		replicas[id] = region.Replica{ID: id, Slots: random.IntN(3), Stage: region.StageDecode}
	}
}

func TestListChangesAddUpToTheWholeList(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	m := newTestStateMachine()
	current := map[string]region.Replica{}
	often, rarely := newFollower(), newFollower()
	for index := uint64(1); index < 5000; index++ {
		changeRandomly(random, current)
		after := slices.Collect(maps.Values(current))
		state, _ := m.read()
		if change := diffLists(state.Replicas, after); change != nil {
			apply(t, m, index, region.Command{List: change})
		}
		often.follow(m)
		if index%800 == 0 {
			rarely.follow(m)
			require.Equal(t, current, rarely.list, "at %d", index)
		}
		require.Equal(t, current, often.list, "at %d", index)
	}
	assert.Equal(t, 1, often.whole)
	assert.Greater(t, rarely.whole, 1, "a follower that is far behind is sent the whole list")
}

// partBound is the number of replicas in one part of a list.
const partBound = 7

// receive takes one view of the list, as a gateway does that takes it in parts, and returns the view.
func receive(copied *region.ListCopy, m *stateMachine) *region.View {
	state, _ := m.read()
	view := &region.View{ListRevision: state.ListRevision}
	request := &region.ViewRequest{}
	copied.Request(request, partBound)
	if request.LacksList(state.ListRevision) {
		addList(state, request, view)
		copied.Take(view)
	}
	return view
}

func byID(replicas []region.Replica) map[string]region.Replica {
	found := map[string]region.Replica{}
	for _, each := range replicas {
		found[each.ID] = each
	}
	return found
}

// A view of a long list was sent at once, and had to arrive within the time of one poll.
func TestPartsOfAListAddUpToTheWholeListWhileItChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 1))
	m := newTestStateMachine()
	current := map[string]region.Replica{}
	var gateway region.ListCopy
	complete, parts := 0, 0
	for index := uint64(1); index < 5000; index++ {
		changeRandomly(random, current)
		state, _ := m.read()
		if change := diffLists(state.Replicas, slices.Collect(maps.Values(current))); change != nil {
			apply(t, m, index, region.Command{List: change})
		}
		if index%500 < 300 {
			// It polls seldom, and falls behind.
			continue
		}
		view := receive(&gateway, m)
		if gateway.IsPartial() {
			parts++
			if view.WholeList {
				assert.Len(t, view.Replicas, partBound)
			}
			continue
		}
		complete++
		require.Equal(t, current, byID(gateway.Replicas()), "at %d", index)
	}
	assert.Greater(t, complete, 1000)
	assert.Greater(t, parts, 20)
}

// A coordinator that is behind another one, and one that doesn't know parts, answer a gateway in the middle of a list.
func TestPartsOfAListAreNotMixedWithAnOlderOne(t *testing.T) {
	older, newer := newTestStateMachine(), newTestStateMachine()
	list := bigList(3 * partBound)
	apply(t, older, 1, region.Command{List: &region.ListCommand{Changed: list}})
	apply(t, newer, 1, region.Command{List: &region.ListCommand{Changed: list}})
	apply(t, newer, 2, region.Command{List: &region.ListCommand{Changed: list[:1], Removed: []string{list[1].ID}}})
	var gateway region.ListCopy
	receive(&gateway, newer)
	require.True(t, gateway.IsPartial())
	before := byID(gateway.Replicas())
	receive(&gateway, older)
	assert.Equal(t, before, byID(gateway.Replicas()))
	state, _ := older.read()
	outdated := &region.View{ListRevision: state.ListRevision}
	addListChanges(state, 0, outdated)
	assert.False(t, gateway.Take(outdated), "of a coordinator that doesn't know parts")

	request := &region.ViewRequest{}
	gateway.Request(request, partBound)
	state, _ = newer.read()
	whole := &region.View{ListRevision: state.ListRevision}
	addListChanges(state, request.ListRevision, whole)
	assert.True(t, gateway.Take(whole))
	assert.False(t, gateway.IsPartial())
	assert.Len(t, gateway.Replicas(), len(list)-1)
}

func TestHighestConfigurationVersionWins(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 1, configuration(5, "five"))
	apply(t, m, 2, configuration(3, "three"))
	apply(t, m, 3, configuration(5, "other content"))
	state, _ := m.read()
	assert.EqualValues(t, 5, state.Version)
	assert.Equal(t, "five", string(state.Document))
	apply(t, m, 4, configuration(9, "nine"))
	state, _ = m.read()
	assert.Equal(t, "nine", string(state.Document))
}

func TestSnapshotRestoresState(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 1, configuration(5, "five"))
	apply(t, m, 2, listed(region.Replica{ID: "a", Stage: region.StageDecode}))
	apply(t, m, 3, region.Command{Change: &region.ChangeCommand{Replica: "a", Stage: region.StagePrefill}})
	snapshot, err := m.Snapshot()
	require.NoError(t, err)

	restored := newTestStateMachine()
	require.NoError(t, restored.Restore(snapshot))
	want, _ := m.read()
	got, _ := restored.read()
	assert.Equal(t, want, got)
	require.NoError(t, restored.Restore(nil))
	got, _ = restored.read()
	assert.Zero(t, got.Version)
}

func TestReplicaIsShownAsChangingUntilItsChangeEnds(t *testing.T) {
	m := newTestStateMachine()
	list := func(stage string) region.Command { return listed(region.Replica{ID: "a", Stage: stage}) }
	gateway := newFollower()
	stage := func() string {
		gateway.follow(m)
		return gateway.list["a"].Stage
	}
	apply(t, m, 1, list(region.StageDecode))
	assert.Equal(t, region.StageDecode, stage())
	apply(t, m, 2, region.Command{Change: &region.ChangeCommand{Replica: "a", Stage: region.StagePrefill}})
	assert.Equal(t, region.StageChanging, stage())
	apply(t, m, 3, list(region.StageDecode))
	assert.Equal(t, region.StageChanging, stage())
	apply(t, m, 4, list(region.StagePrefill))
	assert.Equal(t, region.StagePrefill, stage())
	state, _ := m.read()
	assert.Empty(t, state.Changes)

	apply(t, m, 5, region.Command{Change: &region.ChangeCommand{Replica: "a", Stage: region.StageDecode}})
	apply(t, m, 6, region.Command{ChangeEnd: &region.ChangeEndCommand{Replica: "a"}})
	assert.Equal(t, region.StagePrefill, stage())
}

func TestStageChangeEndsWhenReplicaIsRemoved(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 1, listed(region.Replica{ID: "a"}))
	apply(t, m, 2, region.Command{Change: &region.ChangeCommand{Replica: "a", Stage: region.StagePrefill}})
	apply(t, m, 3, region.Command{List: &region.ListCommand{Removed: []string{"a"}}})
	state, _ := m.read()
	assert.Empty(t, state.Changes)
}

func TestInflateRestoresDeflatedDocument(t *testing.T) {
	document := []byte(`{"Version":7,"Routes":[]}`)
	got, err := region.Inflate(region.Deflate(document))
	require.NoError(t, err)
	assert.Equal(t, document, got)
}

func TestChangeClosesChannel(t *testing.T) {
	m := newTestStateMachine()
	_, changed := m.read()
	apply(t, m, 1, configuration(1, "one"))
	select {
	case <-changed:
	default:
		t.Fatal("the channel is not closed")
	}
}
