package routing

import (
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

const (
	testModel   = "booking"
	reportEvery = 250 * time.Millisecond
)

// fixture is a router in virtual time.
type fixture struct {
	router   *Router
	now      time.Duration
	sequence uint64
}

func newFixture(engines ...Engine) *fixture {
	return newFixtureWith(DefaultOptions(), engines...)
}

func newFixtureWith(options Options, engines ...Engine) *fixture {
	f := &fixture{router: New(options, rand.New(rand.NewPCG(1, 2))), now: time.Second}
	f.router.SetEngines(engines)
	return f
}

func engineOf(id string, role engineapi.Role) Engine {
	return Engine{ID: id, Address: id, Role: role, Model: testModel, Version: "1", Dispatchable: true}
}

func request(promptTokens int) Request {
	return Request{
		Model: testModel, PromptTokens: promptTokens, OutputTokens: 50,
		Objectives: Objectives{FirstToken: 320 * time.Millisecond, BetweenTokens: 29 * time.Millisecond},
	}
}

// report sends a load report with running sequences, waiting requests and a
// step duration.
func (f *fixture) report(engineID string, running, waiting int, step time.Duration) {
	f.sequence++
	f.now += reportEvery
	f.router.ReportLoad(f.now, engineID, engineapi.LoadReport{
		Incarnation: 1, Sequence: f.sequence, RunningRequests: running, WaitingRequests: waiting,
		DecodeSequences: running, StepMillis: step.Seconds() * 1000, KVCapacityTokens: 100_000,
		KVUsedTokens: running * 100, Phase: engineapi.PhaseServing,
	})
}
