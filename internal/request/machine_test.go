package request

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

const testTokens = 12

func newTestMachine() *Machine {
	machine := New(Parameters{
		AttemptPrefix:     "r",
		MaximumTokens:     testTokens,
		Deadline:          time.Minute,
		AcceptTimeout:     time.Second,
		FirstTokenTimeout: 2 * time.Second,
		StallTimeout:      time.Second,
		Retry:             LimitedRetry{MaximumAttempts: 4},
	})
	return machine
}

// answerOfVersion returns the complete answer of a model version, different for each.
func answerOfVersion(version string) []string {
	tokens := make([]string, testTokens)
	for index := range tokens {
		tokens[index] = version + "-" + strconv.Itoa(index) + " "
	}
	return tokens
}

func testEngine(id string) Engine { return Engine{ID: id, Address: "127.0.0.1:1"} }

// requireOne returns the only output of a type, or fails the test.
func requireOne[T Output](t require.TestingT, outputs []Output) T {
	var found []T
	for _, output := range outputs {
		if matching, ok := output.(T); ok {
			found = append(found, matching)
		}
	}
	require.Len(t, found, 1, "outputs: %#v", outputs)
	return found[0]
}

func startRunning(t *testing.T, machine *Machine) Dispatch {
	requireOne[Pick](t, machine.Start(0))
	return requireOne[Dispatch](t, machine.Picked(0, testEngine("e1"), nil))
}

func TestAnswerResumesAfterLastRelayedToken(t *testing.T) {
	machine := newTestMachine()
	first := startRunning(t, machine)
	tokens := answerOfVersion("1")
	machine.AttemptAccepted(0, first.AttemptID, "1")
	require.Equal(t, tokens[:5], requireOne[Relay](t, machine.Piece(0, first.AttemptID, 0, tokens[:5])).Tokens)
	pick := requireOne[Pick](t, machine.AttemptBroken(1, first.AttemptID, true, "reset"))
	require.Equal(t, Pick{Version: "1", Excluded: []string{"e1"}, Relayed: 5}, pick)
	second := requireOne[Dispatch](t, machine.Picked(1, testEngine("e2"), nil))
	require.NotEqual(t, first.AttemptID, second.AttemptID)
	require.Equal(t, 5, second.ResumeOffset)
	require.Equal(t, "1", second.Version)
	require.Empty(t, machine.Piece(1, first.AttemptID, 5, tokens[5:6]), "a late piece of the failed attempt is ignored")
	machine.AttemptAccepted(1, second.AttemptID, "1")
	require.Equal(t, tokens[5:], requireOne[Relay](t, machine.Piece(1, second.AttemptID, 5, tokens[5:])).Tokens)
	finish := requireOne[Finish](t, machine.End(2, second.AttemptID, testTokens, engineapi.FinishStop, 3, 1))
	require.Equal(t, Usage{PromptTokens: 3, CachedTokens: 1, OutputTokens: testTokens}, finish.Usage)
	require.True(t, machine.Done())
}

func TestAnswerIsNotResumedByAnotherVersion(t *testing.T) {
	machine := newTestMachine()
	first := startRunning(t, machine)
	machine.AttemptAccepted(0, first.AttemptID, "1")
	machine.Piece(0, first.AttemptID, 0, answerOfVersion("1")[:2])
	machine.AttemptBroken(1, first.AttemptID, true, "reset")
	second := requireOne[Dispatch](t, machine.Picked(1, testEngine("e2"), nil))
	outputs := machine.AttemptAccepted(1, second.AttemptID, "2")
	require.Equal(t, second.AttemptID, requireOne[Cancel](t, outputs).AttemptID)
	requireOne[Pick](t, outputs)
}

func TestPrefillPassesKVCacheToDecode(t *testing.T) {
	machine := newTestMachine()
	machine.Start(0)
	prefillEngine := testEngine("p1")
	prefill := requireOne[Dispatch](t, machine.Picked(0, testEngine("d1"), &prefillEngine))
	require.True(t, prefill.Prefill)
	kv := engineapi.KVSource{Address: "127.0.0.1:9", Handle: "h"}
	decode := requireOne[Dispatch](t, machine.PrefillDone(1, prefill.AttemptID, "1", kv))
	require.Equal(t, "d1", decode.Engine.ID)
	require.Equal(t, &kv, decode.KV)
	require.Equal(t, "1", decode.Version)
	again := requireOne[Dispatch](t, machine.AttemptRefused(2, decode.AttemptID, engineapi.RefusalKVMissing))
	require.Equal(t, "d1", again.Engine.ID)
	require.Nil(t, again.KV, "the prompt is prefilled again")
}

func TestPrematureEndIsResumed(t *testing.T) {
	machine := newTestMachine()
	first := startRunning(t, machine)
	machine.AttemptAccepted(0, first.AttemptID, "1")
	machine.Piece(0, first.AttemptID, 0, answerOfVersion("1")[:5])
	outputs := machine.End(1, first.AttemptID, testTokens, engineapi.FinishStop, 1, 0)
	requireOne[Cancel](t, outputs)
	require.Equal(t, 5, requireOne[Pick](t, outputs).Relayed)
}

func TestRefusalKindAndRan(t *testing.T) {
	cases := []struct {
		name  string
		steps func(t *testing.T, m *Machine) []Output
		kind  failure.Kind
		ran   failure.Ran
	}{
		{"no back end at all", func(t *testing.T, m *Machine) []Output {
			m.Start(0)
			return m.NoEngine(0, time.Second)
		}, failure.NoBackEnd, failure.RanNo},
		{"rejected by admission", func(t *testing.T, m *Machine) []Output {
			m.Start(0)
			return m.Rejected(0, failure.QueueFull, time.Second, "")
		}, failure.QueueFull, failure.RanNo},
		{"a bad request", func(t *testing.T, m *Machine) []Output {
			return m.AttemptRefused(0, startRunning(t, m).AttemptID, engineapi.RefusalBadRequest)
		}, failure.MalformedRequest, failure.RanNo},
		{"every engine refused", func(t *testing.T, m *Machine) []Output {
			outputs := m.AttemptRefused(0, startRunning(t, m).AttemptID, engineapi.RefusalOverloaded)
			for range 3 {
				requireOne[Pick](t, outputs)
				next := requireOne[Dispatch](t, m.Picked(0, testEngine("e2"), nil))
				outputs = m.AttemptRefused(0, next.AttemptID, engineapi.RefusalOverloaded)
			}
			return outputs
		}, failure.BackEndRefused, failure.RanNo},
		{"an engine that sends nothing", func(t *testing.T, m *Machine) []Output {
			startRunning(t, m)
			m.Tick(time.Second)
			return m.Tick(time.Minute)
		}, failure.DeadlineExceeded, failure.RanUnknown},
		{"the deadline passes during the stream", func(t *testing.T, m *Machine) []Output {
			running := startRunning(t, m)
			m.AttemptAccepted(0, running.AttemptID, "1")
			m.Piece(0, running.AttemptID, 0, []string{"x"})
			return m.Tick(time.Minute)
		}, failure.DeadlineExceeded, failure.RanYes},
		{"not handed over is ignored after the first byte", func(t *testing.T, m *Machine) []Output {
			running := startRunning(t, m)
			m.HandedOver(running.AttemptID)
			m.AttemptBroken(0, running.AttemptID, false, "")
			return m.CallerDisconnected(0)
		}, failure.CallerGone, failure.RanUnknown},
		{"a refusal after acceptance proves nothing", func(t *testing.T, m *Machine) []Output {
			running := startRunning(t, m)
			m.AttemptAccepted(0, running.AttemptID, "1")
			m.AttemptRefused(0, running.AttemptID, engineapi.RefusalOverloaded)
			return m.CallerDisconnected(0)
		}, failure.CallerGone, failure.RanUnknown},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			refusal := requireOne[Refuse](t, each.steps(t, newTestMachine()))
			require.Equal(t, each.kind, refusal.Kind)
			require.Equal(t, each.ran, refusal.Ran)
		})
	}
}

// history records what has happened in a property test, to check the machine's
// outputs.
type history struct {
	t       *rapid.T
	machine *Machine
	now     time.Duration
	relayed []string
	// attempts are all dispatched attempts; versions holds the model version that
	// answers each.
	attempts []Dispatch
	versions map[string]string
	// mayHaveRun holds attempts that were handed over and not refused.
	mayHaveRun map[string]bool
	finished   bool
}

func (h *history) apply(outputs []Output) {
	for index := 0; index < len(outputs); index++ {
		switch output := outputs[index].(type) {
		case Pick:
			// The next call to the machine reuses outputs, so it has to wait until all
			// of them are handled.
			defer h.answerPick(output)
		case Dispatch:
			h.attempts = append(h.attempts, output)
			h.versions[output.AttemptID] = h.drawVersion(output)
			h.mayHaveRun[output.AttemptID] = true
		case Relay:
			h.relayed = append(h.relayed, output.Tokens...)
		case Finish:
			require.False(h.t, h.finished)
			h.finished = true
		case Refuse:
			if output.Ran == failure.RanNo {
				require.Empty(h.t, h.relayed)
				for id, may := range h.mayHaveRun {
					require.False(h.t, may, "reported as not run, but %s may have run", id)
				}
			}
		}
	}
}

func (h *history) drawVersion(dispatch Dispatch) string {
	if dispatch.Version != "" && rapid.IntRange(0, 3).Draw(h.t, "requested version") > 0 {
		return dispatch.Version
	}
	return rapid.SampledFrom([]string{"1", "2"}).Draw(h.t, "version")
}

func (h *history) answerPick(Pick) {
	if rapid.IntRange(0, 5).Draw(h.t, "no engine") == 0 {
		h.apply(h.machine.NoEngine(h.now, 0))
		return
	}
	engine := testEngine(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(h.t, "engine"))
	var prefill *Engine
	if rapid.IntRange(0, 3).Draw(h.t, "stages") == 0 {
		prefillEngine := testEngine("p1")
		prefill = &prefillEngine
	}
	h.apply(h.machine.Picked(h.now, engine, prefill))
}

// expectedEvent applies the next event that a correct engine would send, or
// sometimes a premature end of the answer.
func (h *history) expectedEvent(newest Dispatch) {
	id, version := newest.AttemptID, h.versions[newest.AttemptID]
	from := len(h.relayed)
	switch {
	case newest.Prefill:
		h.apply(h.machine.PrefillDone(h.now, id, version, engineapi.KVSource{Handle: id}))
	case !h.machine.current.accepted:
		h.apply(h.machine.AttemptAccepted(h.now, id, version))
	case rapid.IntRange(0, 9).Draw(h.t, "ends early") == 0:
		h.apply(h.machine.End(h.now, id, testTokens, engineapi.FinishStop, 1, 0))
	case from < testTokens:
		to := rapid.IntRange(from+1, testTokens).Draw(h.t, "next to")
		h.apply(h.machine.Piece(h.now, id, from, answerOfVersion(version)[from:to]))
	default:
		h.apply(h.machine.End(h.now, id, testTokens, engineapi.FinishStop, 1, 0))
	}
}

// drawEvent applies an expected event of the newest attempt or a random event of any
// attempt. A random event has the attempt's version, but may come at any time, in
// any order and any number of times, with any part of the answer.
func (h *history) drawEvent() {
	if len(h.attempts) == 0 {
		return
	}
	if rapid.IntRange(0, 9).Draw(h.t, "in order") > 2 {
		h.expectedEvent(h.attempts[len(h.attempts)-1])
		return
	}
	chosen := h.attempts[rapid.IntRange(0, len(h.attempts)-1).Draw(h.t, "attempt")]
	id, version := chosen.AttemptID, h.versions[chosen.AttemptID]
	tokens := answerOfVersion(version)
	switch rapid.IntRange(0, 9).Draw(h.t, "event") {
	case 0, 1:
		h.apply(h.machine.AttemptAccepted(h.now, id, version))
	case 2, 3, 4, 5:
		from := rapid.IntRange(0, testTokens-1).Draw(h.t, "from")
		if rapid.Bool().Draw(h.t, "next") {
			from = min(len(h.relayed), testTokens-1)
		}
		to := rapid.IntRange(from, testTokens).Draw(h.t, "to")
		h.apply(h.machine.Piece(h.now, id, from, tokens[from:to]))
	case 6:
		h.apply(h.machine.End(h.now, id, testTokens, engineapi.FinishStop, 1, 0))
	case 7:
		h.apply(h.machine.AttemptBroken(h.now, id, true, ""))
	case 8:
		if current, _, running := h.machine.Current(); running && current == id && !h.machine.current.accepted {
			h.mayHaveRun[id] = false
		}
		reason := rapid.SampledFrom([]engineapi.RefusalReason{engineapi.RefusalOverloaded, engineapi.RefusalKVMissing}).Draw(h.t, "reason")
		h.apply(h.machine.AttemptRefused(h.now, id, reason))
	case 9:
		h.apply(h.machine.PrefillDone(h.now, id, version, engineapi.KVSource{Handle: id}))
	}
}

// drawMove moves the current attempt, sometimes with two stages.
func (h *history) drawMove() {
	pick, movable := h.machine.MovePick()
	if !movable {
		return
	}
	_, engine, _ := h.machine.Current()
	require.Contains(h.t, pick.Excluded, engine.ID)
	var prefill *Engine
	if !pick.DecodeOnly && rapid.Bool().Draw(h.t, "move with prefill") {
		prefillEngine := testEngine("p2")
		prefill = &prefillEngine
	}
	h.apply(h.machine.Move(h.now, testEngine("e4"), prefill))
	if rapid.Bool().Draw(h.t, "events meanwhile") {
		h.drawEvent()
	}
	var kv *engineapi.KVSource
	if rapid.Bool().Draw(h.t, "exported") {
		kv = &engineapi.KVSource{Handle: "moved"}
	}
	if id, _, running := h.machine.Current(); running && rapid.Bool().Draw(h.t, "answered") {
		h.apply(h.machine.Exported(h.now, id, kv))
	}
}

func TestRelayedTokensArePrefixOfAnswer(t *testing.T) {
	finished, resumed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, machine: newTestMachine(), versions: map[string]string{}, mayHaveRun: map[string]bool{}}
		h.apply(h.machine.Start(0))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "kind") {
			case 0:
				h.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond
				h.apply(h.machine.Tick(h.now))
			case 1:
				h.drawMove()
			default:
				h.drawEvent()
			}
			require.LessOrEqual(t, len(h.relayed), testTokens)
			if len(h.relayed) > 0 {
				require.Equal(t, answerOfVersion(h.machine.version)[:len(h.relayed)], h.relayed)
			}
		}
		if h.finished {
			finished++
			if len(h.attempts) > 1 {
				resumed++
			}
			require.Equal(t, answerOfVersion(h.machine.version), h.relayed)
		}
	})
	t.Logf("%d answers were complete, %d of them after more than one attempt", finished, resumed)
	require.NotZero(t, resumed, "no answer was resumed, so the property was not tested")
}
