package zonestate

import (
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/stretchr/testify/require"
	"testing"
)

// An operator's request that is sent again gets its first result, even if the engine's
// desired configuration has changed meanwhile.
func TestRepeatedPartialAssignmentIsTheSameCommand(t *testing.T) {
	log := newCommandLog(t, 1)
	engine := log.servingEngine()
	target := engineapi.Configuration{Version: "2"}
	assign := Command{
		Kind: KindSetDesired, RequestID: "r",
		Desired: []DesiredEntry{{EngineID: "engine", Target: target, Partial: true}},
	}
	first := log.mustApply(assign)
	require.Equal(t, engineapi.Configuration{Role: engineapi.RoleMixed, Model: "model", Version: "2"}, *engine.Desired)
	log.setDesiredRole(engineapi.RoleDecode)
	again := log.apply(assign)
	require.Equal(t, OutcomeDone, again.Outcome)
	require.True(t, again.Repeated)
	require.Equal(t, first, again.Index)
	require.Equal(t, engineapi.RoleDecode, engine.Desired.Role, "it is not executed again")
}

func TestRepeatedOperatorRequestGetsFirstResult(t *testing.T) {
	log := newCommandLog(t, 1)
	engine := log.servingEngine()
	drain := Command{Kind: KindDrainEngine, RequestID: "request", Engine: &EngineCommand{ID: "engine", Guarded: true}}
	first := log.apply(drain)
	require.Equal(t, OutcomeDone, first.Outcome)
	log.mustApply(Command{Kind: KindUndrainEngine, Engine: &EngineCommand{ID: "engine"}})

	drain.TimeMillis = 5000
	repeated := log.apply(drain)
	require.True(t, repeated.Repeated)
	require.Equal(t, first.Index, repeated.Index)
	require.False(t, engine.Drained, "a repeated request is not executed again")

	concurrent := Command{Kind: KindDrainEngine, RequestID: "other", Engine: &EngineCommand{ID: "engine", Guarded: true}}
	require.Equal(t, OutcomeStale, log.apply(concurrent).Outcome)
	drain.Engine.ID = "another"
	require.Equal(t, OutcomeRequestReused, log.apply(drain).Outcome)
}

// The outcome of a request that arrived before the group's bootstrap must not be recorded:
// otherwise retries would get it too.
func TestRequestBeforeBootstrapMayBeSentAgain(t *testing.T) {
	log := &commandLog{t: t, state: New()}
	drain := Command{Kind: KindDrainEngine, RequestID: "r", Engine: &EngineCommand{ID: "engine"}}
	require.Equal(t, OutcomeNotReady, log.apply(drain).Outcome)
	parameters := DefaultParameters([]string{"hal-noord"})
	log.mustApply(Command{Kind: KindFound, Found: &Found{Zone: "hal-noord", Generation: 1, Parameters: parameters}})
	log.servingEngine()
	result := log.apply(drain)
	require.Equal(t, OutcomeDone, result.Outcome)
	require.False(t, result.Repeated)
}
