package experiment

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/routing"
)

// chooser picks engines for a request.
type chooser interface {
	choose(now time.Duration, request routing.Request) (routing.Choice, routing.NoEngineReason)
}

func newChooser(kind ChooserKind, router *routing.Router) chooser {
	if kind == ChooseRoundRobin {
		return &roundRobin{router: router}
	}
	return productChooser{router}
}

// productChooser is the product's routing.
type productChooser struct {
	router *routing.Router
}

func (c productChooser) choose(now time.Duration, request routing.Request) (routing.Choice, routing.NoEngineReason) {
	return c.router.Select(now, request)
}

// roundRobin takes the engines that read prompts in turn, and those that
// generate in turn.
type roundRobin struct {
	router        *routing.Router
	reads, writes int
}

func (c *roundRobin) choose(_ time.Duration, request routing.Request) (routing.Choice, routing.NoEngineReason) {
	var readers, writers []routing.Engine
	for _, engine := range c.router.Engines() {
		if !engine.Dispatchable {
			continue
		}
		if engine.Role != engineapi.RoleDecode {
			readers = append(readers, engine)
		}
		if engine.Role != engineapi.RolePrefill {
			writers = append(writers, engine)
		}
	}
	if len(writers) == 0 || (len(readers) == 0 && !request.Prefilled) {
		return routing.Choice{}, routing.NoEngineDispatchable
	}
	if request.Prefilled {
		c.writes++
		return routing.Choice{Serving: writers[c.writes%len(writers)]}, routing.EngineFound
	}
	c.reads++
	reader := readers[c.reads%len(readers)]
	if reader.Role == engineapi.RoleMixed {
		return routing.Choice{Serving: reader, NewTokens: request.PromptTokens}, routing.EngineFound
	}
	c.writes++
	return routing.Choice{
		Serving:   writers[c.writes%len(writers)],
		Prefill:   &reader,
		NewTokens: request.PromptTokens,
	}, routing.EngineFound
}
