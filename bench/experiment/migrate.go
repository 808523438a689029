package experiment

import (
	"github.com/pierhaven/pierhaven/bench/engine/core"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// migrate moves a stream to another engine with its KV cache; the caller sees
// one unbroken stream.
func (s *stream) migrate(from *engine, attemptID string) {
	g, sent := s.gateway, s.call
	request := g.route(sent)
	request.Prefilled = true
	request.Exclude = append(request.Exclude, from.id)
	choice, miss := g.chooser.choose(g.world.now, request)
	if miss != routing.EngineFound {
		return
	}
	kv := from.exportStream(attemptID)
	if kv == nil {
		return
	}
	now := g.world.now
	g.router.AttemptEnded(now, from.id, attemptID, routing.OutcomeCancelled)
	sent.attemptID, sent.prefillID = sent.nextMove(), ""
	sent.servingAt, sent.prefillAt = g.world.engine(choice.Serving.ID), nil
	g.router.AttemptStarted(now, choice.Serving.ID, sent.attemptID, 0, request.PromptTokens+request.OutputTokens)
	sent.servingAt.submit(core.ModeGenerate, g.generateRequest(sent, sent.attemptID, kv), sent.prompt(), s)
	g.world.result.Migrations++
}

// exportStream cancels an attempt and keeps its KV cache, nil if it has none.
func (e *engine) exportStream(attemptID string) *engineapi.KVSource {
	delete(e.listeners, attemptID)
	var kv *engineapi.KVSource
	for _, output := range e.core.Step(e.world.now, core.Cancel{AttemptID: attemptID, ExportKV: true}) {
		if answered, ok := output.(core.CancelAnswered); ok {
			kv = answered.Reply.KV
			continue
		}
		e.act(output)
	}
	e.scheduleWake()
	return kv
}
