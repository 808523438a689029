package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
)

func apply(t *testing.T, m *machine, index uint64, command region.Command) {
	t.Helper()
	encoded, err := command.MarshalMsg(nil)
	require.NoError(t, err)
	m.Apply(index, encoded)
}

func configuration(version uint64, document string) region.Command {
	return region.Command{Configuration: &region.ConfigurationCommand{Version: version, Document: []byte(document)}}
}

func TestTheHighestVersionHolds(t *testing.T) {
	m := newMachine()
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

func TestAStateComesBackFromItsSnapshot(t *testing.T) {
	m := newMachine()
	apply(t, m, 1, configuration(5, "five"))
	apply(t, m, 2, region.Command{List: &region.ListCommand{Replicas: []region.Replica{{ID: "a", Stage: region.StageDecode}}}})
	apply(t, m, 3, region.Command{Change: &region.ChangeCommand{Replica: "a", Stage: region.StagePrefill}})
	snapshot, err := m.Snapshot()
	require.NoError(t, err)

	restored := newMachine()
	require.NoError(t, restored.Restore(snapshot))
	want, _ := m.read()
	got, _ := restored.read()
	assert.Equal(t, want, got)
	require.NoError(t, restored.Restore(nil))
	got, _ = restored.read()
	assert.Zero(t, got.Version)
}

func TestAReplicaThatChangesItsStageIsShownSoUntilTheListShowsTheNewOne(t *testing.T) {
	m := newMachine()
	list := func(stage string) region.Command {
		return region.Command{List: &region.ListCommand{Replicas: []region.Replica{{ID: "a", Stage: stage}}}}
	}
	stage := func() string {
		state, _ := m.read()
		return shown(state)[0].Stage
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

func TestAChangeEndsWithItsReplica(t *testing.T) {
	m := newMachine()
	apply(t, m, 1, region.Command{List: &region.ListCommand{Replicas: []region.Replica{{ID: "a"}}}})
	apply(t, m, 2, region.Command{Change: &region.ChangeCommand{Replica: "a", Stage: region.StagePrefill}})
	apply(t, m, 3, region.Command{List: &region.ListCommand{}})
	state, _ := m.read()
	assert.Empty(t, state.Changes)
}

func TestADocumentSurvivesItsDeflation(t *testing.T) {
	document := []byte(`{"Version":7,"Routes":[]}`)
	got, err := inflate(deflate(document))
	require.NoError(t, err)
	assert.Equal(t, document, got)
}

func TestWaitersHearOfEachChange(t *testing.T) {
	m := newMachine()
	_, changed := m.read()
	apply(t, m, 1, configuration(1, "one"))
	select {
	case <-changed:
	default:
		t.Fatal("nobody was told")
	}
}
