package routing

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// Engine describes an engine as listed by the zone group.
type Engine struct {
	ID       string
	Address  string
	Role     engineapi.Role
	Model    string
	Version  string
	Adapters []string
	// Dispatchable is false while the engine is drained or changing.
	Dispatchable bool
	// Leaving is set once the engine or its machine has announced that it is
	// leaving.
	Leaving bool
}

// Request holds the properties of a request that affect routing.
type Request struct {
	Model string
	// Version and Adapter restrict the engines if not empty.
	Version string
	Adapter string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Blocks are the hashes of the prompt's prefix blocks, from
	// engineapi.PrefixBlocks.
	Blocks []uint64
	// Exclude lists engines that were tried and failed.
	Exclude []string
	// OnlyEngines, if not nil, is the isolation set: the engines that a gateway
	// may use while it is cut off from its controllers.
	OnlyEngines []string
	// Prefilled is set if the prompt's KV cache is already exported, so that
	// only a decode engine is needed.
	Prefilled bool
	// Objectives are the model's service objectives.
	Objectives Objectives
	// Waited is the time that the request has already waited; it counts against
	// the first-token objective.
	Waited time.Duration
}

// allows reports whether the request may use an engine.
func (r *Request) allows(engineID string) bool {
	if slices.Contains(r.Exclude, engineID) {
		return false
	}
	return r.OnlyEngines == nil || slices.Contains(r.OnlyEngines, engineID)
}

// promptBlockTokens returns the number of prompt tokens in a number of prefix
// blocks.
func promptBlockTokens(blocks int) int {
	return blocks * engineapi.PrefixBlockTokens
}
