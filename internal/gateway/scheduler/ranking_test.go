package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/gateway/fleet"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/retry"
	"github.com/pierhaven/pierhaven/internal/routing"
	"github.com/pierhaven/pierhaven/internal/session"
	"github.com/pierhaven/pierhaven/internal/wire"
)

type openGate struct{}

func (openGate) MayDispatch(time.Duration, string) bool { return true }

func (openGate) MayDispatchBackEnd(time.Duration, string) bool { return true }

// newRanked returns a scheduler of a zone with one drained engine, so that
// requests stay in the queue, and with policies in force.
func newRanked(now *time.Duration, policies ...dynamic.Policy) *Scheduler {
	clock := func() time.Duration { return *now }
	options := Options{
		Admission:   admission.DefaultOptions(),
		Routing:     routing.DefaultOptions(),
		Retry:       retry.DefaultOptions(),
		MaximumWait: time.Minute,
		Zone:        "hal-noord",
	}
	created := New(options, clock, func(time.Duration) []string { return nil })
	zone := fleet.New(clock, openGate{})
	zone.OnChange(created.SetFleet)
	zone.Exclusively(func() *session.MergedView {
		engine := wire.EngineView{ID: "e", Address: "127.0.0.1:1", Role: "mixed", Model: "m", Version: "1"}
		return &session.MergedView{
			Revision: 1,
			Engines:  map[string]wire.EngineView{"e": engine},
			Config:   &dynamic.Snapshot{Revision: 1, Policies: policies},
		}
	})
	return created
}

func asked(id string, priority int, deadline time.Duration) *Request {
	return &Request{
		ID: id, Tenant: &dynamic.Tenant{Name: "t"}, Model: &dynamic.Model{Name: "m"},
		Priority: priority, Deadline: deadline, PromptTokens: 100, OutputTokens: 10,
	}
}

func TestRankingProgramSeesTheQueueAndTheZone(t *testing.T) {
	now := time.Second
	ranked := newRanked(&now, dynamic.Policy{
		Name:    "p",
		Ranking: "request.prompt_tokens + 1000 * tenant.queued + 10000 * queue.length + 100000 * zone.away + 1000000 * tenant.weight + request.deadline_in",
	})
	assert.InDelta(t, 1100105, ranked.rank(now, asked("a", 0, now+5*time.Second)), 1e-6)
	_, refusal := ranked.Enter(asked("a", 0, now+50*time.Second))
	require.Nil(t, refusal)
	assert.InDelta(t, 1111105, ranked.rank(now, asked("b", 0, now+5*time.Second)), 1e-6)
}

// TestQueuedRequestsGoByRank lets requests wait for an engine, then looks who is
// served first.
func TestQueuedRequestsGoByRank(t *testing.T) {
	now := time.Second
	cases := map[string]struct {
		policies []dynamic.Policy
		first    string
	}{
		"built-in: the nearer deadline, whenever it came": {nil, "near"},
		"program: the longer prompt":                      {[]dynamic.Policy{{Name: "p", Ranking: "request.prompt_tokens"}}, "long"},
		"program of another model":                        {[]dynamic.Policy{{Name: "p", Models: []string{"n"}, Ranking: "request.prompt_tokens"}}, "near"},
		"failing program: as built in":                    {[]dynamic.Policy{{Name: "p", Ranking: "float(1 % (request.output_tokens - 10))"}}, "near"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ranked := newRanked(&now, test.policies...)
			long := asked("long", 0, now+40*time.Second)
			long.PromptTokens = 5000
			for _, entering := range []*Request{long, asked("near", 0, now+20*time.Second)} {
				_, refusal := ranked.Enter(entering)
				require.Nil(t, refusal)
			}
			served := ranked.queue("m").Next(now, func(*admission.Item) bool { return true })
			assert.Equal(t, test.first, served.ID)
		})
	}
}

func TestFailuresAreReportedWithinBounds(t *testing.T) {
	now := time.Second
	var failing []dynamic.Policy
	for index := range 2 * maximumReportedFailures {
		failing = append(failing, dynamic.Policy{Name: string(rune('a' + index)), Ranking: "no_such_variable"})
	}
	var heartbeat wire.HeartbeatRequest
	newRanked(&now, failing...).Report(&heartbeat)
	assert.Len(t, heartbeat.PolicyFailures, maximumReportedFailures)
	assert.Zero(t, heartbeat.PolicyFailures[0].Count, "it does not compile")
	assert.Equal(t, policy.BuiltinRankAt(now), newRanked(&now, failing...).rank(now, asked("a", 0, now)))
}
