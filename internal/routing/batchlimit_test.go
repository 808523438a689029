package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// reportedEngine is a router with one mixed engine whose load reports a test
// sends.
type reportedEngine struct {
	t        *testing.T
	router   *Router
	now      time.Duration
	sequence uint64
}

func newReportedEngine(t *testing.T) *reportedEngine {
	router := New(DefaultOptions(), rand.New(rand.NewPCG(1, 1)))
	router.SetEngines([]Engine{{ID: "e1", Role: engineapi.RoleMixed, Model: "m", Version: "1", Dispatchable: true}})
	return &reportedEngine{t: t, router: router}
}

func (e *reportedEngine) report(running, waiting int) {
	e.sequence++
	e.now += 250 * time.Millisecond
	e.router.ReportLoad(e.now, "e1", engineapi.LoadReport{
		Incarnation: 1, Sequence: e.sequence, RunningRequests: running, WaitingRequests: waiting,
		DecodeSequences: running, KVCapacityTokens: 100_000,
	})
}

func (e *reportedEngine) saturated() bool {
	e.t.Helper()
	choice, reason := e.router.Select(e.now, Request{Model: "m", PromptTokens: 100, OutputTokens: 100})
	require.Equal(e.t, EngineFound, reason)
	return choice.Saturated
}

// An engine counts requests that arrive during the current step as waiting.
// That says nothing about the size of its batch.
func TestMidStepArrivalsDoNotIndicateFullBatch(t *testing.T) {
	engine := newReportedEngine(t)
	engine.report(1, 1)
	engine.report(2, 0)
	engine.report(2, 1)
	engine.report(3, 1)
	engine.report(4, 1)
	require.False(t, engine.saturated())
}

func TestBatchLimitIsLearnedFromPersistentWaiting(t *testing.T) {
	engine := newReportedEngine(t)
	for range 2 * fullBatchReports {
		engine.report(8, 3)
	}
	require.True(t, engine.saturated())
	engine.report(2, 0)
	require.False(t, engine.saturated(), "the batch has free slots again")
}

// With an underestimated limit the batches would stay so small that no report
// could ever show a larger one.
func TestUnderestimatedBatchLimitIsRaised(t *testing.T) {
	engine := newReportedEngine(t)
	for range 2 * fullBatchReports {
		engine.report(1, 2)
	}
	engine.report(1, 0)
	require.False(t, engine.saturated(), "one request ran at the limit and none waited")
}

// A gateway that replaces each answer at once always has a request that arrived
// during the current step. The limit must still grow to the engine's own, and
// stay there.
func TestBatchLimitConvergesUnderSteadyArrivals(t *testing.T) {
	const engineLimit = 64
	engine := newReportedEngine(t)
	outstanding := 4
	for round := range 200 {
		running := min(outstanding-1, engineLimit)
		engine.report(running, outstanding-running)
		if round > 10 && !engine.saturated() {
			outstanding++
		}
	}
	require.GreaterOrEqual(t, outstanding, engineLimit)
	require.LessOrEqual(t, outstanding, engineLimit+2*batchProbe)
}
