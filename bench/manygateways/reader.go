package manygateways

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// reader is a model replica that reads prompts, one at a time, those in time before the late.
type reader struct {
	world *world
	kept  keptParts
	// waiting are the prompts to be read, by whether they are late.
	inTime, late []*call
	busy         bool
	// spent is the time for which it has read.
	spent time.Duration
}

// readTime is how long a reader takes for tokens that it does not keep.
func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / tokensPerS * float64(time.Second))
}

func (r *reader) add(added *call) {
	if added.lease.Rank(&traffic.Route{}) == relay.LastRank {
		r.late = append(r.late, added)
	} else {
		r.inTime = append(r.inTime, added)
	}
	r.next()
}

// next begins with the next prompt whose caller still waits.
func (r *reader) next() {
	for !r.busy {
		queue := &r.inTime
		if len(*queue) == 0 {
			queue = &r.late
		}
		if len(*queue) == 0 {
			return
		}
		chosen := (*queue)[0]
		*queue = (*queue)[1:]
		if r.world.now-chosen.arrived >= callerWait {
			chosen.giveUp()
			continue
		}
		r.begin(chosen)
	}
}

func (r *reader) begin(chosen *call) {
	r.busy = true
	takes := r.fetch(chosen) + readTime(r.kept.missing(chosen.prompt))
	r.spent += takes
	r.world.queue.Add(r.world.now+takes, func() {
		r.busy = false
		r.kept.keep(chosen.prompt)
		chosen.read()
		r.next()
	})
}

// fetch takes the prompt's beginning from another reader, if one is named that keeps it.
func (r *reader) fetch(chosen *call) time.Duration {
	source, found := r.world.readers[chosen.lease.FetchFrom()]
	shared := chosen.prompt.Parts[0]
	if !found || source.kept.tokens[shared.ID] == 0 || r.kept.tokens[shared.ID] > 0 {
		return 0
	}
	r.kept.keep(&relay.Prompt{Parts: chosen.prompt.Parts[:1]})
	return moveTime
}

// keptParts are the parts of prompts that a reader keeps; the one used least lately gives way.
type keptParts struct {
	tokens map[string]int
	order  []string
	held   int
}

func (k *keptParts) missing(prompt *relay.Prompt) int {
	missing := prompt.Tokens
	for _, part := range prompt.Parts {
		if k.tokens[part.ID] == 0 {
			break
		}
		missing -= part.Tokens
	}
	return missing
}

func (k *keptParts) keep(prompt *relay.Prompt) {
	for _, part := range prompt.Parts {
		if k.tokens[part.ID] > 0 {
			k.order = slices.DeleteFunc(k.order, func(id string) bool { return id == part.ID })
		} else {
			k.tokens[part.ID] = part.Tokens
			k.held += part.Tokens
		}
		k.order = append(k.order, part.ID)
	}
	for k.held > cacheTokens {
		k.held -= k.tokens[k.order[0]]
		delete(k.tokens, k.order[0])
		k.order = k.order[1:]
	}
}
