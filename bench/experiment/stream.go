package experiment

import (
	"github.com/pierhaven/pierhaven/bench/engine/core"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/retry"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// stream relays one attempt of a call.
type stream struct {
	gateway *gateway
	call    *call
}

// current reports whether the attempt is still the call's.
func (s *stream) current(attemptID string) bool {
	return !s.call.done && (attemptID == s.call.attemptID || attemptID == s.call.prefillID)
}

// prefilled goes on to the decode engine with the exported KV cache.
func (s *stream) prefilled(attemptID string, kv engineapi.KVSource) {
	g, sent := s.gateway, s.call
	now := g.world.now
	g.router.AttemptFirstToken(now, sent.prefillAt.id, attemptID)
	g.router.AttemptEnded(now, sent.prefillAt.id, attemptID, routing.OutcomeSucceeded)
	if !s.current(attemptID) {
		return
	}
	g.rechoose(sent)
	sent.servingAt.submit(core.ModeGenerate, g.generateRequest(sent, sent.attemptID, &kv), sent.prompt(), s)
	g.pump()
}

// rechoose looks again for the decode engine, as the prompt's reading took time.
func (g *gateway) rechoose(sent *call) {
	request := g.route(sent)
	request.Prefilled = true
	choice, miss := g.chooser.choose(g.world.now, request)
	if miss != routing.EngineFound || choice.Serving.ID == sent.servingAt.id {
		return
	}
	now := g.world.now
	g.router.AttemptEnded(now, sent.servingAt.id, sent.attemptID, routing.OutcomeCancelled)
	sent.servingAt = g.world.engine(choice.Serving.ID)
	g.router.AttemptStarted(now, choice.Serving.ID, sent.attemptID, 0, request.PromptTokens+request.OutputTokens)
}

// pieces relays tokens to the caller.
func (s *stream) pieces(attemptID string, offset, count int) {
	sent := s.call
	if !s.current(attemptID) || offset+count <= sent.offset {
		return
	}
	now := s.gateway.world.now
	if sent.offset == 0 {
		sent.outcome.FirstToken = now + s.gateway.world.deployment.ClientLatency - sent.request.At
		s.gateway.retrier.ObserveFirstToken(now - sent.startedAt)
	} else {
		sent.outcome.Gaps += count
		sent.outcome.GapSum += now - sent.lastTokenAt
		if now-sent.lastTokenAt > s.gateway.world.deployment.Objectives.BetweenTokens {
			sent.outcome.LateGaps += count
		}
	}
	s.gateway.router.AttemptFirstToken(now, sent.servingAt.id, attemptID)
	sent.lastTokenAt = now
	sent.offset = offset + count
	sent.outcome.Output = sent.offset
}

// ended delivers the whole answer.
func (s *stream) ended(attemptID string) {
	sent, g := s.call, s.gateway
	g.router.AttemptEnded(g.world.now, sent.servingAt.id, attemptID, routing.OutcomeSucceeded)
	if s.current(attemptID) {
		sent.done = true
		sent.outcome.Ended = true
		g.lengths.Observe(sent.request.OutputTokens, sent.offset)
		if !sent.outcome.Good(g.world.deployment.Objectives) {
			g.demand.missed++
		}
	}
	g.pump()
}

// refused tries elsewhere: the attempt has not run.
func (s *stream) refused(attemptID string) {
	s.fail(attemptID, true, routing.OutcomeRefused)
}

// broken resumes elsewhere, or gives up.
func (s *stream) broken(attemptID string) {
	s.fail(attemptID, false, routing.OutcomeFailed)
}

func (s *stream) fail(attemptID string, notRun bool, outcome routing.Outcome) {
	g, sent := s.gateway, s.call
	if !s.current(attemptID) {
		return
	}
	at := sent.servingAt
	if attemptID == sent.prefillID {
		at = sent.prefillAt
		g.router.AttemptEnded(g.world.now, sent.servingAt.id, sent.attemptID, routing.OutcomeCancelled)
	}
	g.router.AttemptEnded(g.world.now, at.id, attemptID, outcome)
	if !notRun {
		sent.outcome.Wasted += sent.request.PromptTokens
	}
	sent.attemptID, sent.prefillID = "", ""
	sent.excluded = append(sent.excluded, at.id)
	g.retryLater(sent, notRun)
}

// retryLater asks the retrier and starts the next attempt.
func (g *gateway) retryLater(sent *call, notRun bool) {
	verdict, wait := g.retrier.Decide(g.world.now, retry.Failure{
		Attempts:   sent.attempts,
		NotRun:     notRun,
		Repeatable: true,
		Resumes:    sent.offset > 0,
	})
	if verdict != retry.Retry {
		g.fail(sent)
		return
	}
	g.world.after(wait, func() {
		if !sent.done && (g.zone.lost || !g.dispatchNow(sent)) {
			g.fail(sent)
		}
	})
}

// fail gives a request up: with a refusal if nothing reached the caller.
func (g *gateway) fail(sent *call) {
	if sent.offset == 0 {
		g.giveUp(sent)
		return
	}
	sent.done = true
	sent.outcome.Failed = true
	sent.outcome.Wasted += sent.offset
	g.demand.missed++
}
