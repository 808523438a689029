package scheduler

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/request"
	"github.com/pierhaven/pierhaven/internal/retry"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// AttemptStarted turns a reservation into an attempt.
func (s *Scheduler) AttemptStarted(placed *Request, placement *Placement, dispatch request.Dispatch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	newTokens, kvTokens := 0, placed.PromptTokens
	if placement != nil {
		s.releaseOne(placement, dispatch.Engine.ID)
		newTokens = placement.NewTokens
	}
	if dispatch.KV != nil {
		newTokens = 0
	}
	if !dispatch.Prefill {
		kvTokens += placed.OutputTokens
	}
	s.router.AttemptStarted(now, dispatch.Engine.ID, dispatch.AttemptID, newTokens, kvTokens)
	firstTokenIn := time.Duration(placed.Model.FirstTokenMillis * float64(time.Millisecond))
	s.versions.started(now, dispatch.Engine.ID, dispatch.AttemptID, placed.Model.Name, firstTokenIn)
}

func (s *Scheduler) releaseOne(placement *Placement, engineID string) {
	for index, held := range placement.reservations {
		if held.engineID == engineID {
			s.router.AttemptEnded(s.clock(), held.engineID, held.id, routing.OutcomeCancelled)
			placement.reservations = append(placement.reservations[:index], placement.reservations[index+1:]...)
			return
		}
	}
}

// FirstToken notes an attempt's first token, or the end of a prefill.
func (s *Scheduler) FirstToken(engineID, attemptID string, took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.router.AttemptFirstToken(s.clock(), engineID, attemptID)
	s.versions.firstToken(attemptID, took)
	s.retrier.ObserveFirstToken(took)
	s.pump()
}

// AttemptEnded notes how an attempt ended.
func (s *Scheduler) AttemptEnded(engineID, attemptID string, outcome routing.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.router.AttemptEnded(s.clock(), engineID, attemptID, outcome)
	s.versions.ended(attemptID, outcome)
	s.pump()
}

// ProcessEnded notes that an engine's process has ended.
func (s *Scheduler) ProcessEnded(engineID string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.router.ProcessEnded(s.clock(), engineID)
}

// Answered notes a whole answer.
func (s *Scheduler) Answered(answered *Request, outputTokens int, took time.Duration, missed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seen := s.demand(s.clock(), answered.Model.Name)
	seen.answered(answered.OutputTokens, outputTokens, took)
	if missed {
		seen.missed++
	}
}

// MayRetry implements request.RetryPolicy with the gateway's retry budget.
func (s *Scheduler) MayRetry(now time.Duration, attempt request.RetryAttempt) request.RetryDecision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	verdict, wait := s.retrier.Decide(now, retry.Failure{
		Attempts:   attempt.Number,
		NotRun:     attempt.LastKind == failure.BackEndRefused,
		Repeatable: true,
		Deadline:   attempt.Deadline,
		Resumes:    attempt.Relayed > 0,
	})
	switch verdict {
	case retry.Retry:
		return request.RetryDecision{Allowed: true, Delay: wait}
	case retry.GiveUpBudget:
		return request.RetryDecision{AskAgain: true}
	default:
		return request.RetryDecision{}
	}
}
