package zonestate

import (
	"fmt"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/stretchr/testify/require"
	"testing"
)

func TestPlannedChange(t *testing.T) {
	log := newCommandLog(t, 3)
	log.mustApply(Command{Kind: KindEndPriorSessions})
	engine := log.servingEngine()
	log.setDesiredRole(engineapi.RoleDecode)
	require.True(t, engine.Dispatchable(), "a desired configuration alone does not withhold the engine")
	require.Equal(t, OutcomeStale, log.applyEngine(KindIssueOrder, EngineCommand{DesiredAt: engine.DesiredAt}).Outcome, "not withheld")

	require.Equal(t, OutcomeDone, log.applyEngine(KindBeginChange, EngineCommand{DesiredAt: engine.DesiredAt}).Outcome)
	require.Equal(t, log.index, engine.WithheldAt)
	issue := EngineCommand{WithheldAt: engine.WithheldAt, DesiredAt: engine.DesiredAt}

	// The engine was back in service and is withheld again, which gateways may not have applied yet.
	require.Equal(t, OutcomeDone, log.applyEngine(KindCancelChange, EngineCommand{DesiredAt: engine.DesiredAt}).Outcome)
	require.Equal(t, OutcomeDone, log.applyEngine(KindBeginChange, EngineCommand{DesiredAt: engine.DesiredAt}).Outcome)
	require.Equal(t, OutcomeStale, log.applyEngine(KindIssueOrder, issue).Outcome)

	issue.WithheldAt = engine.WithheldAt
	require.Equal(t, OutcomeDone, log.applyEngine(KindIssueOrder, issue).Outcome)
	fence := engineapi.Fence{Generation: 3, Index: log.index}
	require.Equal(t, fence, engine.Order.Fence)
	require.Equal(t, OutcomeStale, log.applyEngine(KindIssueOrder, issue).Outcome, "one order in flight")

	log.setDesiredRole(engineapi.RolePrefill)
	require.Equal(t, engineapi.RoleDecode, engine.Order.Target.Role, "the order in flight is unchanged")
	other := engineapi.Fence{Generation: 3, Index: fence.Index - 1}
	require.Equal(t, OutcomeStale, log.applyEngine(KindCompleteOrder, EngineCommand{Fence: other}).Outcome)
	require.Equal(t, OutcomeDone, log.applyEngine(KindCompleteOrder, EngineCommand{Fence: fence}).Outcome)
	require.True(t, engine.Changing, "the newer desired configuration is next, and the engine stays withheld without interruption")
	require.Equal(t, issue.WithheldAt, engine.WithheldAt)
}

// TestEngineThatLostItsRecordIsNotPutIntoService guards against putting an engine
// into service on a replaced machine, which has lost the record of orders and would
// execute an old order that is still in flight.
func TestEngineThatLostItsRecordIsNotPutIntoService(t *testing.T) {
	log := newCommandLog(t, 1)
	engine := log.servingEngine()
	fence := log.changeRole(engineapi.RoleDecode)
	require.Equal(t, fence, engine.LastFence)

	log.mustApply(Command{Kind: KindDoubtEngine, Engine: &EngineCommand{ID: "engine"}})
	verify := EngineCommand{WithheldAt: engine.WithheldAt, Observed: configuration(engineapi.RoleDecode)}
	log.applyEngine(KindVerifyEngine, verify)
	require.False(t, engine.Dispatchable(), "it reported no fencing token")
	verify.Fence = fence
	log.applyEngine(KindVerifyEngine, verify)
	require.True(t, engine.Dispatchable())

	log.mustApply(Command{Kind: KindRemoveEngine, Engine: &EngineCommand{ID: "engine"}})
	log.mustApply(Command{Kind: KindRegisterEngine, Engine: &EngineCommand{ID: "engine", Address: "10.0.0.2:1"}})
	returned, _ := log.state.Engine("engine")
	log.applyEngine(KindVerifyEngine, EngineCommand{WithheldAt: returned.WithheldAt, Observed: configuration(engineapi.RoleMixed)})
	require.False(t, returned.Dispatchable(), "its last order may still be in flight")
	require.NotNil(t, returned.Desired)
	result := log.applyEngine(KindIssueOrder, EngineCommand{WithheldAt: returned.WithheldAt, DesiredAt: returned.DesiredAt})
	require.Equal(t, OutcomeDone, result.Outcome, "the same configuration is ordered again")
}

func TestEvictedRetiredFencesRaiseTheFloor(t *testing.T) {
	var retired retiredFences
	for index := uint64(1); index <= maximumRetired+5; index++ {
		retired.add(fmt.Sprint(index), engineapi.Fence{Generation: 1, Index: index})
	}
	require.Equal(t, engineapi.Fence{Generation: 1, Index: 6}, retired.take("6"))
	require.Equal(t, engineapi.Fence{Generation: 1, Index: 5}, retired.take("6"), "a fence can be taken only once")
	require.Equal(t, engineapi.Fence{Generation: 1, Index: 5}, retired.take("5"), "evicted")
	require.Equal(t, engineapi.Fence{Generation: 1, Index: 5}, retired.take("new"))
}

func TestFailedOrderAndAbandonedChange(t *testing.T) {
	log := newCommandLog(t, 1)
	engine := log.servingEngine()
	log.setDesiredRole(engineapi.RoleDecode)
	require.Equal(t, OutcomeDone, log.applyEngine(KindBeginChange, EngineCommand{DesiredAt: engine.DesiredAt}).Outcome)
	require.Equal(t, OutcomeDone, log.applyEngine(KindIssueOrder, EngineCommand{WithheldAt: engine.WithheldAt, DesiredAt: engine.DesiredAt}).Outcome)
	fail := EngineCommand{Fence: engine.Order.Fence, Observed: configuration(engineapi.RoleMixed), Detail: "no weights"}
	require.Equal(t, OutcomeDone, log.applyEngine(KindFailOrder, fail).Outcome)
	require.Equal(t, 1, engine.Failures)
	require.False(t, engine.Dispatchable())
	require.Equal(t, OutcomeDone, log.applyEngine(KindAbandonChange, EngineCommand{DesiredAt: engine.DesiredAt}).Outcome)
	require.True(t, engine.Dispatchable())
	require.Equal(t, engineapi.RoleDecode, engine.Abandoned.Role)
}
