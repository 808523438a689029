package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/retry"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// strandable is a scheduler with one engine, which takes new work or not.
type strandable struct {
	*Scheduler
	now time.Duration
}

func newStrandable(otherZones bool) *strandable {
	s := &strandable{}
	s.Scheduler = New(Options{
		Admission: admission.DefaultOptions(), Routing: routing.DefaultOptions(), Retry: retry.DefaultOptions(),
		MaximumWait: 10 * time.Second, OtherZones: otherZones,
	}, func() time.Duration { return s.now }, func(time.Duration) []string { return nil })
	return s
}

func (s *strandable) takesWork(takes bool) {
	s.router.SetEngines([]routing.Engine{{ID: "e", Address: "e:1", Role: engineapi.RoleMixed, Model: "m", Version: "1", Dispatchable: takes}})
	s.Tick()
}

// enter has a request enter whose caller waits for two minutes.
func (s *strandable) enter(t *testing.T) <-chan Decision {
	decision, refusal := s.Enter(&Request{
		ID: "r", Tenant: &dynamic.Tenant{Name: "t", Weight: 1}, Model: &dynamic.Model{Name: "m"},
		Deadline: s.now + 2*time.Minute, PromptTokens: 10, OutputTokens: 10,
	})
	require.Nil(t, refusal)
	return decision
}

// Symptom: a caller with two minutes left was refused with "the deadline can't be met" a second after it came. Sequence: no
// engine of the only zone takes new work for some seconds, as one changes its version and the other is out of reach. Cause: the
// wait was cut to what it takes to try another zone, and there was none; the cut passed for the caller's deadline.
func TestACallerWaitsForAnEngineWhereThereIsNoOtherZone(t *testing.T) {
	s := newStrandable(false)
	s.takesWork(false)
	decision := s.enter(t)
	for range 30 {
		s.now += 100 * time.Millisecond
		s.Tick()
	}
	require.Empty(t, decision)
	s.takesWork(true)
	require.NotNil(t, (<-decision).Placement)
}

func TestACallerThatFindsNoEngineIsToldSo(t *testing.T) {
	for _, otherZones := range []bool{true, false} {
		s := newStrandable(otherZones)
		s.takesWork(false)
		decision := s.enter(t)
		for len(decision) == 0 && s.now < time.Minute {
			s.now += 100 * time.Millisecond
			s.Tick()
		}
		refused := (<-decision).Refusal
		require.NotNil(t, refused)
		assert.Equal(t, failure.NoBackEnd, refused.Kind)
		assert.Equal(t, otherZones, s.now < 2*time.Second, "after %s", s.now)
	}
}
