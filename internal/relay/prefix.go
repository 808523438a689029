package relay

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// prefixMemory remembers the shared parts of prompts that a replica has read
// lately.
type prefixMemory struct {
	parts *lru.Cache[string, struct{}]
}

// rememberedParts bounds the memory for one replica.
const rememberedParts = 512

func newPrefixMemory() *prefixMemory {
	parts, err := lru.New[string, struct{}](rememberedParts)
	if err != nil {
		panic(err)
	}
	return &prefixMemory{parts: parts}
}

// learn notes that a prompt was read.
func (m *prefixMemory) learn(prompt *Prompt) {
	for _, part := range prompt.Parts {
		m.parts.Add(part.ID, struct{}{})
	}
}

// missing returns the tokens of a prompt that have to be read: those from the
// first part on that is not kept.
func (m *prefixMemory) missing(prompt *Prompt) int {
	kept := 0
	for _, part := range prompt.Parts {
		if !m.parts.Contains(part.ID) {
			break
		}
		kept += part.Tokens
	}
	return max(prompt.Tokens-kept, 0)
}
