package manygateways

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// prefillReplica models a replica that prefills one prompt at a time, those in time before late ones.
type prefillReplica struct {
	world *world
	cache prefixCache
	// inTime and late are the waiting prompts.
	inTime, late []*call
	busy         bool
	// busyTime is the total time of its prefills.
	busyTime time.Duration
}

// prefillTime returns the time to prefill a number of tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / tokensPerS * float64(time.Second))
}

func (r *prefillReplica) add(added *call) {
	if added.lease.Rank(&traffic.Route{}) == relay.LastRank {
		r.late = append(r.late, added)
	} else {
		r.inTime = append(r.inTime, added)
	}
	r.next()
}

// next starts the prefill of the next prompt whose caller still waits.
func (r *prefillReplica) next() {
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
			chosen.abandon()
			continue
		}
		r.begin(chosen)
	}
}

func (r *prefillReplica) begin(chosen *call) {
	r.busy = true
	takes := r.fetch(chosen) + prefillTime(r.cache.missing(chosen.prompt))
	r.busyTime += takes
	r.world.queue.Add(r.world.now+takes, func() {
		r.busy = false
		r.cache.add(chosen.prompt)
		chosen.prefilled()
		r.next()
	})
}

// fetch copies the prompt's shared prefix from another replica, if the lease names one that has it cached, and returns
// the time that this takes.
func (r *prefillReplica) fetch(chosen *call) time.Duration {
	source, found := r.world.prefillers[chosen.lease.FetchFrom()]
	shared := chosen.prompt.Parts[0]
	if !found || source.cache.tokens[shared.ID] == 0 || r.cache.tokens[shared.ID] > 0 {
		return 0
	}
	r.cache.add(&relay.Prompt{Parts: chosen.prompt.Parts[:1]})
	return transferTime
}

// prefixCache is an LRU cache of parts of prompts.
type prefixCache struct {
	tokens map[string]int
	order  []string
	size   int
}

func (k *prefixCache) missing(prompt *relay.Prompt) int {
	missing := prompt.Tokens
	for _, part := range prompt.Parts {
		if k.tokens[part.ID] == 0 {
			break
		}
		missing -= part.Tokens
	}
	return missing
}

func (k *prefixCache) add(prompt *relay.Prompt) {
	for _, part := range prompt.Parts {
		if k.tokens[part.ID] > 0 {
			k.order = slices.DeleteFunc(k.order, func(id string) bool { return id == part.ID })
		} else {
			k.tokens[part.ID] = part.Tokens
			k.size += part.Tokens
		}
		k.order = append(k.order, part.ID)
	}
	for k.size > cacheTokens {
		k.size -= k.tokens[k.order[0]]
		delete(k.tokens, k.order[0])
		k.order = k.order[1:]
	}
}
