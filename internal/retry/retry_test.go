package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newRetrier(options Options) *Retrier {
	return New(options, rand.New(rand.NewPCG(1, 2)))
}

// retrierWithBudget returns a retrier with retries left in its budget.
func retrierWithBudget() *Retrier {
	retrier := newRetrier(DefaultOptions())
	for range 1000 {
		retrier.Request(0)
	}
	return retrier
}

func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		failed Failure
		want   Verdict
	}{
		"a broken repeatable attempt":     {Failure{Attempts: 1, Repeatable: true}, Retry},
		"not repeatable, may have run":    {Failure{Attempts: 1}, GiveUpNotRepeatable},
		"not repeatable, has not run":     {Failure{Attempts: 1, NotRun: true}, Retry},
		"attempts at the limit":           {Failure{Attempts: 4, Repeatable: true}, GiveUpAttempts},
		"deadline before another attempt": {Failure{Attempts: 1, Repeatable: true, Deadline: time.Second, Expected: time.Second}, GiveUpDeadline},
		"time for another attempt":        {Failure{Attempts: 1, Repeatable: true, Deadline: time.Minute, Expected: time.Second}, Retry},
	}
	for name, test := range cases {
		verdict, _ := retrierWithBudget().Decide(0, test.failed)
		assert.Equal(t, test.want, verdict, name)
	}
}

func TestEmptyBudgetGivesUp(t *testing.T) {
	verdict, _ := newRetrier(DefaultOptions()).Decide(0, Failure{Attempts: 1, Repeatable: true})
	assert.Equal(t, GiveUpBudget, verdict)
}

// TestRetriesStayWithinBudget: whatever fails, and however often, attempts are
// at most 1.1 times the requests, plus what MinimumPerSecond adds.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := DefaultOptions()
		retrier := newRetrier(options)
		now := time.Duration(0)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond
			retrier.Request(now)
			requests++
			failures := rapid.IntRange(0, 6).Draw(t, "failures")
			for attempt := 1; attempt <= failures; attempt++ {
				verdict, wait := retrier.Decide(now, Failure{Attempts: attempt, Repeatable: true, Resumes: rapid.Bool().Draw(t, "resumes")})
				if verdict != Retry {
					break
				}
				require.Less(t, wait, options.MaximumBackoff)
				retries++
			}
			allowed := options.Budget.Ratio*float64(requests) + options.Budget.MinimumPerSecond*now.Seconds()
			require.LessOrEqual(t, float64(retries), allowed+1e-6)
		}
	})
}

func TestBudgetBalanceIsBounded(t *testing.T) {
	options := DefaultBudgetOptions()
	budget := NewBudget(options)
	for range 1_000_000 {
		budget.Request(0)
	}
	assert.LessOrEqual(t, budget.Balance(), options.Maximum)
	for budget.Withdraw(0) {
		continue
	}
	assert.EqualValues(t, 1, budget.Refused())
}

func TestResumingStreamHasNoBackoff(t *testing.T) {
	_, wait := retrierWithBudget().Decide(0, Failure{Attempts: 3, Repeatable: true, Resumes: true})
	assert.Zero(t, wait)
}

func TestHedgingRequiresALongTail(t *testing.T) {
	fill := func(quick, slow int, slowTime time.Duration) *Hedger {
		hedger := NewHedger(DefaultHedgeOptions())
		for index := range quick + slow {
			took := 100 * time.Millisecond
			if index%(quick+slow) >= quick {
				took = slowTime
			}
			hedger.Observe(took)
		}
		return hedger
	}
	_, ok := fill(100, 0, 0).After()
	assert.False(t, ok, "too few samples")
	_, ok = fill(1000, 0, 0).After()
	assert.False(t, ok, "no tail")
	after, ok := fill(970, 30, 2*time.Second).After()
	require.True(t, ok, "a long thin tail")
	assert.InDelta(t, 100, float64(after.Milliseconds()), 2)
	_, ok = fill(500, 500, 2*time.Second).After()
	assert.False(t, ok, "half of all attempts are slow, so a second one is likely to be slow, too")
}

func TestHedgeRequiresTimeBudgetAndRepeatability(t *testing.T) {
	assert.True(t, retrierWithBudget().Hedge(0, Failure{Attempts: 1, Repeatable: true}))
	assert.False(t, retrierWithBudget().Hedge(0, Failure{Attempts: 1}), "not repeatable")
	assert.False(t, retrierWithBudget().Hedge(0, Failure{Attempts: 1, Repeatable: true, Deadline: time.Second, Expected: 2 * time.Second}))
	assert.False(t, newRetrier(DefaultOptions()).Hedge(0, Failure{Attempts: 1, Repeatable: true}), "no retry left")
}
