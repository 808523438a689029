package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

func TestSelectReportsWhyNoEngineWasFound(t *testing.T) {
	cases := map[string]struct {
		engines []Engine
		change  func(*Request)
		want    NoEngineReason
	}{
		"a mixed engine fits":       {[]Engine{engineOf("a", engineapi.RoleMixed)}, func(*Request) {}, EngineFound},
		"another model":             {[]Engine{engineOf("a", engineapi.RoleMixed)}, func(r *Request) { r.Model = "other" }, NoEngineWithModel},
		"another version":           {[]Engine{engineOf("a", engineapi.RoleMixed)}, func(r *Request) { r.Version = "2" }, NoEngineWithModel},
		"a missing adapter":         {[]Engine{engineOf("a", engineapi.RoleMixed)}, func(r *Request) { r.Adapter = "welsh" }, NoEngineWithModel},
		"tried already":             {[]Engine{engineOf("a", engineapi.RoleMixed)}, func(r *Request) { r.Exclude = []string{"a"} }, NoEngineDispatchable},
		"outside the isolation set": {[]Engine{engineOf("a", engineapi.RoleMixed)}, func(r *Request) { r.OnlyEngines = []string{} }, NoEngineDispatchable},
		"no engine decodes":         {[]Engine{engineOf("a", engineapi.RolePrefill)}, func(*Request) {}, NoDecodeEngine},
		"no engine prefills":        {[]Engine{engineOf("a", engineapi.RoleDecode)}, func(*Request) {}, NoPrefillEngine},
		"a pair":                    {[]Engine{engineOf("a", engineapi.RolePrefill), engineOf("b", engineapi.RoleDecode)}, func(*Request) {}, EngineFound},
	}
	for name, test := range cases {
		wanted := request(200)
		test.change(&wanted)
		_, reason := newFixture(test.engines...).router.Select(time.Second, wanted)
		assert.Equal(t, test.want, reason, name)
	}
}

func TestDrainedAndLeavingEnginesAreNotSelected(t *testing.T) {
	drained, leaving := engineOf("drained", engineapi.RoleMixed), engineOf("leaving", engineapi.RoleMixed)
	drained.Dispatchable = false
	leaving.Leaving = true
	f := newFixture(drained, leaving, engineOf("good", engineapi.RoleMixed))
	for range 50 {
		choice, reason := f.router.Select(f.now, request(200))
		require.Equal(t, EngineFound, reason)
		require.Equal(t, "good", choice.Serving.ID)
	}
}

func TestPairUsesPrefillAndDecodeEngines(t *testing.T) {
	f := newFixture(engineOf("p", engineapi.RolePrefill), engineOf("d", engineapi.RoleDecode))
	choice, reason := f.router.Select(f.now, request(200))
	require.Equal(t, EngineFound, reason)
	require.NotNil(t, choice.Prefill)
	assert.Equal(t, "p", choice.Prefill.ID)
	assert.Equal(t, "d", choice.Serving.ID)
	assert.Greater(t, choice.FirstToken, f.router.transferTime(&Request{PromptTokens: 200}), "the KV cache transfer is included")

	prefilled := request(200)
	prefilled.Prefilled = true
	choice, reason = f.router.Select(f.now, prefilled)
	require.Equal(t, EngineFound, reason)
	assert.Nil(t, choice.Prefill)
	assert.Equal(t, "d", choice.Serving.ID)
}

// TestEngineWithCapacityIsPreferredToOneAtItsLimit: when one mixed engine's
// batch is full, the other, which prefills prompts, has to decode, too.
func TestEngineWithCapacityIsPreferredToOneAtItsLimit(t *testing.T) {
	f := newFixture(engineOf("full", engineapi.RoleMixed), engineOf("reader", engineapi.RoleMixed))
	for range 6 {
		f.report("full", 64, 20, 20*time.Millisecond)
		f.report("reader", 1, 0, 14*time.Millisecond)
	}
	choice, reason := f.router.Select(f.now, request(16))
	require.Equal(t, EngineFound, reason)
	assert.Equal(t, "reader", choice.Serving.ID)
	assert.False(t, choice.Saturated)
}

// TestDecodeSaturatesBelowTheObjective: at the objective itself every second
// step is late.
func TestDecodeSaturatesBelowTheObjective(t *testing.T) {
	for _, test := range []struct {
		step      time.Duration
		saturated bool
	}{{20 * time.Millisecond, false}, {28500 * time.Microsecond, true}, {35 * time.Millisecond, true}} {
		f := newFixture(engineOf("p", engineapi.RolePrefill), engineOf("d", engineapi.RoleDecode))
		for range 200 {
			f.report("d", 40, 0, test.step)
		}
		choice, _ := f.router.Select(f.now, request(100))
		assert.Equal(t, test.saturated, choice.Saturated, "a step of %v", test.step)
	}
}

func TestSaturatedWhenFirstTokenWouldBeLate(t *testing.T) {
	f := newFixture(engineOf("a", engineapi.RoleMixed))
	choice, _ := f.router.Select(f.now, request(5000))
	assert.False(t, choice.Saturated, "an idle engine takes any prompt")
	f.router.AttemptStarted(f.now, "a", "first", 800, 900)
	choice, _ = f.router.Select(f.now, request(300))
	assert.False(t, choice.Saturated)
	late := request(300)
	late.Waited = 150 * time.Millisecond
	choice, _ = f.router.Select(f.now, late)
	assert.True(t, choice.Saturated, "it would be late behind the first request")
}

// TestRequestPastItsObjectiveIsNotHeld: past its objective a request gains
// nothing from an idle engine. If it were held, it would wait until its
// deadline.
func TestRequestPastItsObjectiveIsNotHeld(t *testing.T) {
	f := newFixture(engineOf("a", engineapi.RoleMixed))
	f.router.AttemptStarted(f.now, "a", "first", 100, 200)
	for _, waited := range []time.Duration{time.Second, time.Minute} {
		late := request(300)
		late.Waited = waited
		choice, _ := f.router.Select(f.now, late)
		assert.False(t, choice.Saturated, "after %v", waited)
	}
	f.router.AttemptStarted(f.now, "a", "second", 8000, 9000)
	late := request(300)
	late.Waited = time.Minute
	choice, _ := f.router.Select(f.now, late)
	assert.True(t, choice.Saturated, "it is still held behind a backlog")
}

func TestOwnDispatchesCountBeforeTheNextReport(t *testing.T) {
	f := newFixture(engineOf("a", engineapi.RoleMixed), engineOf("b", engineapi.RoleMixed))
	f.router.AttemptStarted(f.now, "a", "one", 2000, 2100)
	for range 20 {
		choice, _ := f.router.Select(f.now, request(200))
		prefillID := choice.Serving.ID
		if choice.Prefill != nil {
			prefillID = choice.Prefill.ID
		}
		require.Equal(t, "b", prefillID)
	}
}

func TestEndedAttemptsLeaveNoLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(engineOf("a", engineapi.RoleMixed), engineOf("b", engineapi.RoleDecode))
		open := map[string]string{}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				id, engineID := fmt.Sprint(step), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "engine")
				f.router.AttemptStarted(f.now, engineID, id, rapid.IntRange(0, 500).Draw(t, "tokens"), 600)
				open[id] = engineID
			case 1:
				for id, engineID := range open {
					f.router.AttemptFirstToken(f.now, engineID, id)
					break
				}
			case 2:
				f.report(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "reported"), rapid.IntRange(0, 9).Draw(t, "running"), 0, 15*time.Millisecond)
			case 3:
				for id, engineID := range open {
					f.router.AttemptEnded(f.now, engineID, id, OutcomeSucceeded)
					f.router.AttemptEnded(f.now, engineID, id, OutcomeSucceeded)
					delete(open, id)
					break
				}
			}
		}
		for id, engineID := range open {
			f.router.AttemptEnded(f.now, engineID, id, OutcomeCancelled)
		}
		for _, state := range f.router.engines {
			require.Equal(t, load{}, state.ownLoad, "load of %s", state.engine.ID)
		}
	})
}
