package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// changeSeconds is how long an engine takes to execute an order.
const changeSeconds = 3

// testZone simulates a zone in virtual time on the real replicated state. Engines
// execute orders after changeSeconds, and attempts end at a constant rate.
type testZone struct {
	t                   *testing.T
	core                *Core
	state               *zonestate.State
	index               uint64
	now                 time.Duration
	placedVersion       string
	awayForOtherChanges int
	// forbidden reports whether the model's policy permits no changes.
	forbidden bool
	// ordersStuck keeps engines from ever finishing an order.
	ordersStuck bool
	maximumAway int
	// orderedAt is the time of each engine's last order, by engine id.
	orderedAt map[string]time.Duration
	outcomes  map[string]Outcomes
	// failingVersions holds the versions that can't be loaded. failedPercent and
	// latePercent are the percentages of failed and late attempts by version.
	failingVersions map[string]bool
	failedPercent   map[string]uint64
	latePercent     map[string]uint64
	// lostDesired is the number of coming desired updates that are not committed.
	lostDesired int
	// peakAway is the maximum number of engines out of service at the same time.
	peakAway int
}

func newTestZone(t *testing.T, engines int) *testZone {
	z := &testZone{
		t: t, core: New(DefaultOptions()), state: zonestate.New(), placedVersion: "1", maximumAway: 2,
		orderedAt: map[string]time.Duration{}, outcomes: map[string]Outcomes{},
		failingVersions: map[string]bool{}, failedPercent: map[string]uint64{}, latePercent: map[string]uint64{},
	}
	z.commit(zonestate.Command{Kind: zonestate.KindFound, Found: &zonestate.Found{
		Zone: "zone-a", Generation: 1, Parameters: zonestate.DefaultParameters([]string{"zone-a"}),
	}})
	for number := range engines {
		id := fmt.Sprintf("engine-%d", number)
		z.engine(zonestate.KindRegisterEngine, zonestate.EngineCommand{ID: id, Address: id + ":1"})
		registered, _ := z.state.Engine(id)
		z.engine(zonestate.KindVerifyEngine, zonestate.EngineCommand{
			ID: id, WithheldAt: registered.WithheldAt,
			Observed: &engineapi.Configuration{Role: engineapi.RoleMixed, Model: "model", Version: "1"},
		})
	}
	return z
}

func (z *testZone) commit(command zonestate.Command) zonestate.Result {
	z.index++
	data, err := command.Encode()
	require.NoError(z.t, err)
	result, err := zonestate.DecodeResult(z.state.Apply(z.index, data))
	require.NoError(z.t, err)
	return result
}

func (z *testZone) engine(kind zonestate.Kind, part zonestate.EngineCommand) {
	require.Equal(z.t, zonestate.OutcomeDone, z.commit(zonestate.Command{Kind: kind, Engine: &part}).Outcome, kind)
}

func (z *testZone) operator(kind zonestate.Kind) {
	part := &zonestate.RolloutCommand{Model: "model", Reason: "operator"}
	require.Equal(z.t, zonestate.OutcomeDone, z.commit(zonestate.Command{Kind: kind, Rollout: part}).Outcome, kind)
}

// run advances the zone by a number of seconds, one step each.
func (z *testZone) run(seconds int) {
	for range seconds {
		z.now += time.Second
		z.changeEngines()
		z.serve()
		output := z.core.Step(z.now, z.input())
		for _, command := range output.Commands {
			require.Equal(z.t, zonestate.OutcomeDone, z.commit(command).Outcome)
		}
		if len(output.Desired) > 0 && z.lostDesired > 0 {
			z.lostDesired--
			continue
		}
		if len(output.Desired) > 0 {
			z.commit(zonestate.Command{Kind: zonestate.KindSetDesired, Desired: output.Desired})
		}
	}
}

// changeEngines does the work of the reconciler.
func (z *testZone) changeEngines() {
	away := 0
	for _, engine := range z.state.Engines() {
		part := zonestate.EngineCommand{ID: engine.ID, DesiredAt: engine.DesiredAt}
		switch {
		case engine.Order != nil && z.ordersStuck:
		case engine.Order != nil && z.now-z.orderedAt[engine.ID] >= changeSeconds*time.Second:
			z.endOrder(engine)
		case engine.Order == nil && engine.Changing && !engine.NeedsChange():
			z.engine(zonestate.KindCancelChange, part)
		case engine.Order == nil && engine.NeedsChange() && engine.Failures >= 3:
			z.engine(zonestate.KindAbandonChange, part)
		case engine.Order == nil && engine.NeedsChange():
			z.engine(zonestate.KindBeginChange, part)
			part.WithheldAt = engine.WithheldAt
			z.engine(zonestate.KindIssueOrder, part)
			z.orderedAt[engine.ID] = z.now
		}
		if !engine.Dispatchable() {
			away++
		}
	}
	z.peakAway = max(z.peakAway, away)
}

func (z *testZone) endOrder(engine *zonestate.Engine) {
	part := zonestate.EngineCommand{ID: engine.ID, Fence: engine.Order.Fence, Detail: "no weights", Observed: engine.Verified}
	kind := zonestate.KindCompleteOrder
	if z.failingVersions[engine.Order.Target.Version] {
		kind = zonestate.KindFailOrder
	}
	z.engine(kind, part)
}

// serve ends ten attempts on each engine.
func (z *testZone) serve() {
	for _, engine := range z.state.Engines() {
		if engine.Dispatchable() {
			version := engine.Verified.Version
			z.outcomes[version] = z.outcomes[version].plus(Outcomes{Ended: 10, Failed: z.failedPercent[version] / 10, Late: z.latePercent[version] / 10})
		}
	}
}

func (z *testZone) input() Input {
	model := Model{Name: "model", ChangesForbidden: z.forbidden, Outcomes: map[string]Outcomes{}}
	for version, outcomes := range z.outcomes {
		model.Outcomes[version] = outcomes
	}
	if rollout, found := z.state.Rollout("model"); found {
		model.Committed = rollout
	}
	for _, engine := range z.state.Engines() {
		row := Engine{
			ID: engine.ID, Desired: *engine.Desired, DesiredAt: engine.DesiredAt, Version: z.placedVersion,
			Settled: engine.Dispatchable() && !engine.NeedsChange(), FailedLoads: engine.Failures,
			FailureDetail: engine.FailureDetail, Changeable: true,
		}
		if engine.Abandoned != nil {
			row.AbandonedVersion, row.AbandonedAt = engine.Abandoned.Version, engine.DesiredAt
		}
		model.Engines = append(model.Engines, row)
	}
	return Input{Models: []Model{model}, MaximumAway: z.maximumAway, Away: z.awayForOtherChanges}
}

// versions counts the engines in service by version.
func (z *testZone) versions() map[string]int {
	counts := map[string]int{}
	for _, engine := range z.state.Engines() {
		if engine.Dispatchable() {
			counts[engine.Verified.Version]++
		}
	}
	return counts
}

func (z *testZone) phase() zonestate.RolloutPhase {
	rollout, found := z.state.Rollout("model")
	require.True(z.t, found)
	return rollout.Phase
}

func (z *testZone) reason() string {
	rollout, _ := z.state.Rollout("model")
	return rollout.Reason
}
