package completion

import (
	"github.com/pierhaven/pierhaven/internal/gateway/scheduler"
	"github.com/pierhaven/pierhaven/internal/request"
)

// pick enters the queue the first time and passes it afterwards.
func (r *run) pick(asked request.Pick) {
	if refusal := r.refusalIfHeld(); refusal != nil {
		r.rejected(refusal)
		return
	}
	if !r.admitted {
		r.enter()
		return
	}
	r.placed(r.runner.scheduler.Select(r.entry, asked))
}

func (r *run) enter() {
	r.admitted = true
	decision, refusal := r.runner.scheduler.Enter(r.entry)
	if refusal != nil {
		r.rejected(refusal)
		return
	}
	r.decision = decision
}

func (r *run) decided(decision scheduler.Decision) {
	r.decision = nil
	if decision.Refusal != nil {
		r.rejected(decision.Refusal)
	} else {
		r.placed(decision.Placement)
	}
	r.act(nil)
}

func (r *run) rejected(refusal *scheduler.Refusal) {
	r.then(func() []request.Output {
		return r.machine.Rejected(r.runner.clock(), refusal.Kind, refusal.RetryAfter, refusal.Detail)
	})
}

func (r *run) placed(placement *scheduler.Placement) {
	r.releasePlacement()
	r.placement = placement
	r.then(func() []request.Output {
		if placement == nil {
			return r.machine.NoEngine(r.runner.clock(), 0)
		}
		return r.machine.Picked(r.runner.clock(), placement.Serving, placement.Prefill)
	})
}

func (r *run) releasePlacement() {
	if r.placement != nil {
		r.runner.scheduler.Release(r.placement)
		r.placement = nil
	}
}

// leaveQueue gives up what the queue holds or has just granted.
func (r *run) leaveQueue() {
	if r.decision != nil {
		r.runner.scheduler.Leave(r.entry)
		select {
		case decision := <-r.decision:
			if decision.Placement != nil {
				r.runner.scheduler.Release(decision.Placement)
			}
		default:
		}
	}
	r.releasePlacement()
}
