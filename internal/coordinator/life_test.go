package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/stageplan"
)

func engineAt(born int64, stage string) region.Replica {
	return region.Replica{ID: "a", Born: born, Service: "model", Stage: stage, Slots: 4}
}

// setOnlyReplica applies the change that makes one replica the whole list, and reports whether there was any.
func setOnlyReplica(t *testing.T, m *stateMachine, index uint64, replica region.Replica) bool {
	t.Helper()
	state, _ := m.read()
	change := diffLists(state.Replicas, []region.Replica{replica})
	if change == nil {
		return false
	}
	apply(t, m, index, region.Command{List: change})
	return true
}

// TestRestartedReplicaIsAnotherIncarnation: a later or an earlier start time is another incarnation. An entry
// without a start time is not.
func TestRestartedReplicaIsAnotherIncarnation(t *testing.T) {
	m := newTestStateMachine()
	gateway := newFollower()
	for index, step := range []struct {
		listed  int64
		changes bool
		born    int64
	}{{0, true, 0}, {5, true, 5}, {5, false, 5}, {0, false, 5}, {9, true, 9}, {4, true, 4}, {0, false, 4}} {
		assert.Equal(t, step.changes, setOnlyReplica(t, m, uint64(index+1), engineAt(step.listed, region.StageDecode)), index)
		gateway.follow(m)
		assert.Equal(t, step.born, gateway.list["a"].Born, index)
	}
}

// TestStageChangeEndsWithOrderedIncarnation: a process that had started after the order was shown as
// changing, and received no work until the change counted as stuck.
func TestStageChangeEndsWithOrderedIncarnation(t *testing.T) {
	m := newTestStateMachine()
	setOnlyReplica(t, m, 1, engineAt(5, region.StageDecode))
	apply(t, m, 2, region.Command{Change: &region.ChangeCommand{Replica: "a", Born: 5, Stage: region.StagePrefill}})
	state, _ := m.read()
	require.Len(t, state.Changes, 1)
	setOnlyReplica(t, m, 3, engineAt(9, region.StageDecode))
	gateway := newFollower()
	gateway.follow(m)
	assert.Equal(t, region.StageDecode, gateway.list["a"].Stage)

	apply(t, m, 4, region.Command{Change: &region.ChangeCommand{Replica: "a", Born: 5, Stage: region.StagePrefill}})
	gateway.follow(m)
	assert.Equal(t, region.StageDecode, gateway.list["a"].Stage, "the order was proposed before the list showed the new incarnation")
	apply(t, m, 5, region.Command{Change: &region.ChangeCommand{Replica: "a", Stage: region.StagePrefill}})
	gateway.follow(m)
	assert.Equal(t, region.StageChanging, gateway.list["a"].Stage, "the order is from a coordinator that does not know start times")
}

// TestStateWithoutStartTimesIsRead: snapshots and logs of an earlier version have no start times.
func TestStateWithoutStartTimesIsRead(t *testing.T) {
	snapshot, err := msgp.AppendIntf(nil, map[string]any{
		"list_revision": uint64(4),
		"replicas": []any{map[string]any{
			"replica": map[string]any{"id": "a", "service": "model", "stage": region.StageDecode, "slots": 4}, "revision": uint64(3),
		}},
		"changes": []any{map[string]any{"replica": "a", "stage": region.StagePrefill, "fence": uint64(4)}},
	})
	require.NoError(t, err)
	m := newTestStateMachine()
	require.NoError(t, m.Restore(snapshot))
	assert.False(t, setOnlyReplica(t, m, 5, engineAt(0, region.StageDecode)))
	gateway := newFollower()
	gateway.follow(m)
	assert.Equal(t, region.StageChanging, gateway.list["a"].Stage)
	setOnlyReplica(t, m, 6, engineAt(0, region.StagePrefill))
	state, _ := m.read()
	assert.Empty(t, state.Changes)
}

// newTestStagePlanner returns a leader's stage planner that has not planned yet.
func newTestStagePlanner(engines Engines, m *stateMachine) *stagePlanner {
	c := &Coordinator{
		settings: Settings{Engines: engines, Logger: logr.Discard()}, logger: logr.Discard(), machine: m,
		gateways: newGatewayList(), gatewayDemand: newDemandTable(), coordinatorDemand: newDemandTable(),
		clock: func() time.Duration { return time.Minute },
	}
	planner := &stagePlanner{dutyHolder: dutyHolder{Coordinator: c, duty: dutyStages}}
	planner.reset()
	return planner
}

// TestHoldsEndWithTheirIncarnation: a restarted replica was given no order for the 14 s in which an
// order to its previous process might have been executed, and counted as unreachable.
func TestHoldsEndWithTheirIncarnation(t *testing.T) {
	planner := newTestStagePlanner(nil, newTestStateMachine())
	now := planner.now()
	before, after := engineAt(5, region.StageDecode), engineAt(9, region.StageDecode)
	planner.ordersHeldUntil[before.Incarnation().Name()] = now + unansweredOrderHold
	planner.gatewayDemand.put(now, "gateway", []region.ServiceDemand{{
		Service: "model", Gateways: 2, Unreachable: []string{before.Incarnation().Name(), before.Incarnation().Name()},
	}})
	changes := []region.StageChange{{Replica: "a", Born: 5, Stage: region.StagePrefill}}
	assert.Empty(t, planner.inputsFor(now, "model", []region.Replica{before}, changes)[0].Replicas)
	planned := planner.inputsFor(now, "model", []region.Replica{after}, changes)[0].Replicas
	assert.Equal(t, []stageplan.Replica{{ID: after.Incarnation().Name(), Slots: 4, Decodes: true}}, planned)
}

// TestReplicaRestartMakesFleetRestless: a restart counts as the removal of one replica and the
// addition of another.
func TestReplicaRestartMakesFleetRestless(t *testing.T) {
	planner := newTestStagePlanner(nil, newTestStateMachine())
	now := planner.now()
	planner.demandSince[stageGroup{service: "model"}] = now
	for _, step := range []struct {
		born     int64
		restless bool
	}{{5, false}, {5, false}, {9, true}} {
		input := planner.inputsFor(now, "model", []region.Replica{engineAt(step.born, region.StageDecode)}, nil)[0]
		assert.Equal(t, step.restless, input.Unstable)
	}
}

// reportingEngines returns a report that tests set. An order fails the test.
type reportingEngines struct {
	t      *testing.T
	report EngineReport
}

func (e reportingEngines) Report(context.Context, region.Replica) (EngineReport, error) {
	return e.report, nil
}

func (e reportingEngines) Order(context.Context, region.Replica, EngineOrder) error {
	e.t.Error("the replica received an order")
	return nil
}

// TestUnlistedIncarnationReceivesNoOrder: the order would expect the order count of another
// incarnation.
func TestUnlistedIncarnationReceivesNoOrder(t *testing.T) {
	planner := newTestStagePlanner(reportingEngines{t, EngineReport{Born: 9}}, newTestStateMachine())
	assert.ErrorIs(t, planner.order(t.Context(), engineAt(5, region.StageDecode), region.StagePrefill), ErrOrderRejected)
}

// TestUnansweredOrderIsNotEnabledByLaterOrder: an unanswered order to the previous incarnation expects a count of
// one order. The first order to the new incarnation would bring its count to 1; the old order would then be
// accepted and undo the new one.
func TestUnansweredOrderIsNotEnabledByLaterOrder(t *testing.T) {
	var orders unansweredOrders
	before, after := region.Incarnation{ID: "a", Born: 5}, region.Incarnation{ID: "a", Born: 9}
	orders.add(time.Second, before, 1)
	assert.True(t, orders.wouldEnableOlder(2*time.Second, after, 0))
	assert.False(t, orders.wouldEnableOlder(2*time.Second, after, 1), "the replica rejects the old order from now on")
	assert.False(t, orders.wouldEnableOlder(2*time.Second, region.Incarnation{ID: "b", Born: 9}, 0))
	assert.False(t, orders.wouldEnableOlder(2*time.Second, before, 0), "that incarnation is given no orders anyway")
	assert.False(t, orders.wouldEnableOlder(time.Second+unansweredOrderHold, after, 0))
	orders.add(time.Second+unansweredOrderHold, after, 4)
	assert.Len(t, orders, 1, "expired orders are deleted")

	planner := newTestStagePlanner(reportingEngines{t, EngineReport{Born: 9}}, newTestStateMachine())
	planner.unanswered.add(planner.now(), before, 1)
	assert.ErrorIs(t, planner.order(t.Context(), engineAt(9, region.StageDecode), region.StagePrefill), ErrOrderRejected)
}
