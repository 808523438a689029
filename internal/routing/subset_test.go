package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

func states(count int) []*engineState {
	made := make([]*engineState, count)
	for index := range made {
		made[index] = newEngineState(engineOf(fmt.Sprintf("e%03d", index), engineapi.RoleMixed))
	}
	return made
}

func subsetIDs(gatewayID string, states []*engineState, size int) map[string]bool {
	ids := map[string]bool{}
	for _, state := range subset(gatewayID, states, size) {
		ids[state.engine.ID] = true
	}
	return ids
}

func TestSubsetsSpreadOverAllEngines(t *testing.T) {
	const engines, gateways, size = 120, 70, 12
	all := states(engines)
	used := map[string]int{}
	for gateway := range gateways {
		chosen := subsetIDs(fmt.Sprint("g", gateway), all, size)
		require.Len(t, chosen, size)
		for id := range chosen {
			used[id]++
		}
	}
	assert.Len(t, used, engines, "an engine in no subset would stay idle")
	for id, count := range used {
		assert.Less(t, count, 4*gateways*size/engines, id)
	}
}

func TestSubsetIsStableWhenAnEngineIsRemoved(t *testing.T) {
	all := states(100)
	before := subsetIDs("g", all, 10)
	kept := 0
	for id := range subsetIDs("g", all[1:], 10) {
		if before[id] {
			kept++
		}
	}
	assert.GreaterOrEqual(t, kept, 9)
}

func TestProcessEndDoesNotLengthenEjection(t *testing.T) {
	options := DefaultEjectionOptions()
	var ended health
	now := time.Duration(0)
	for range 5 {
		for range options.ConsecutiveFailures {
			ended.failed(now, options)
		}
		ended.processEnded(now, options)
		require.True(t, ended.ejected(now))
		now += options.Base
		require.False(t, ended.ejected(now), "repeated process ends don't lengthen the ejection")
		now += time.Second
	}
	now += options.SlowStart
	ended.succeeded(now, options)
	require.EqualValues(t, 1, ended.trafficShare(now, options))
}

func TestEjectionAndSlowStart(t *testing.T) {
	options := DefaultEjectionOptions()
	var record health
	now := time.Second
	for range options.ConsecutiveFailures - 1 {
		record.failed(now, options)
	}
	require.False(t, record.ejected(now))
	record.failed(now, options)
	require.True(t, record.ejected(now))
	back := now + options.Base
	require.False(t, record.ejected(back))
	assert.InDelta(t, 0.5, record.trafficShare(back+options.SlowStart/2, options), 0.01)
	assert.EqualValues(t, 1, record.trafficShare(back+2*options.SlowStart, options))
	for range options.ConsecutiveFailures {
		record.failed(back, options)
	}
	assert.True(t, record.ejected(back+options.Base+time.Millisecond), "the second ejection is longer")
}

func TestSingleSlowAnswerDoesNotEject(t *testing.T) {
	options := DefaultEjectionOptions()
	var record health
	record.observeSlowness(0, 50, options)
	assert.False(t, record.ejected(0))
	for range 2 * minimumSlownessSamples {
		record.observeSlowness(0, 50, options)
	}
	assert.True(t, record.ejected(0))
}

func TestEjectionIsBoundedByMaximumShare(t *testing.T) {
	options := DefaultEjectionOptions()
	all := states(4)
	for index := range 3 {
		for range options.ConsecutiveFailures {
			all[index].health.failed(0, options)
		}
	}
	assert.Len(t, withoutEjected(0, all, options), 4, "the cause is probably elsewhere")
	all[2].health = health{}
	assert.Len(t, withoutEjected(0, all, options), 2)
}
