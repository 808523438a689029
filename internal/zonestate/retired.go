package zonestate

import (
	"slices"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

//go:generate go tool msgp -file retired.go -o retired_gen.go -tests=false -io=false -unexported
//msgp:limit arrays:65536 maps:65536

// retiredFence is the fencing token of the newest order to an engine that was removed.
type retiredFence struct {
	EngineID string          `msg:"engine_id"`
	Fence    engineapi.Fence `msg:"fence"`
}

// retiredFences contains the fencing tokens of the newest orders to removed engines,
// oldest removal first, since such an order may still be in flight when the engine is
// registered again. Floor is at least as high as each token that was evicted when the
// list was full.
type retiredFences struct {
	Floor  engineapi.Fence `msg:"floor"`
	Fences []retiredFence  `msg:"fences"`
}

func (r *retiredFences) add(engineID string, fence engineapi.Fence) {
	if fence == (engineapi.Fence{}) {
		return
	}
	r.Fences = append(r.Fences, retiredFence{EngineID: engineID, Fence: fence})
	for len(r.Fences) > maximumRetired {
		if r.Floor.Less(r.Fences[0].Fence) {
			r.Floor = r.Fences[0].Fence
		}
		r.Fences = r.Fences[1:]
	}
}

// take removes and returns the fencing token of an engine's newest order, or returns Floor if it is not
// in the list.
func (r *retiredFences) take(engineID string) engineapi.Fence {
	at := slices.IndexFunc(r.Fences, func(retired retiredFence) bool { return retired.EngineID == engineID })
	if at < 0 {
		return r.Floor
	}
	fence := r.Fences[at].Fence
	r.Fences = slices.Delete(r.Fences, at, at+1)
	return fence
}
