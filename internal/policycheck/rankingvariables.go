package policycheck

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/policy"
)

// rankingReplay holds the variables of ranking programs other than the call's own.
// All calls of a zone and window are assumed to wait in the queues of one gateway.
type rankingReplay struct {
	settings ReplaySettings
	zones    map[string]policy.Zone
	weights  map[string]float64
	window   int64
	// queued counts the window's calls so far by zone and model, and by zone,
	// model and tenant; the other fields of the key are not set.
	queued map[queueKey]int
}

func newRankingReplay(settings ReplaySettings) *rankingReplay {
	replay := &rankingReplay{settings: settings, zones: map[string]policy.Zone{}, weights: map[string]float64{}}
	for index := range settings.Zones {
		replay.zones[settings.Zones[index].Name] = settings.Zones[index].describe()
	}
	for _, tenant := range settings.Tenants {
		if tenant.Weight > 0 {
			replay.weights[tenant.Name] = tenant.Weight
		}
	}
	return replay
}

// variables returns the variables of a call when it enters the queue, and counts
// the call. The budget share and the predicted wait are not replayed; they are 0.
// Spilled is always false. The prefix tokens in the trace count as cached, and the
// oldest call in the queue is assumed to have waited since the start of the window.
func (r *rankingReplay) variables(call *Call) policy.RankingVariables {
	window := int64(call.Arrival / rankingWindow)
	if r.queued == nil || window != r.window {
		r.queued, r.window = map[queueKey]int{}, window
	}
	queue := queueKey{zone: call.Zone, model: call.Model}
	tenant := queueKey{zone: call.Zone, model: call.Model, tenant: call.Tenant}
	variables := policy.RankingVariables{
		Request: policy.Request{
			Tenant:       call.Tenant,
			Model:        call.Model,
			Adapter:      call.Adapter,
			Priority:     call.Priority,
			PromptTokens: call.PromptTokens,
			OutputTokens: call.OutputTokens,
			CachedTokens: call.PrefixTokens,
			HasDeadline:  call.Deadline > 0,
			DeadlineIn:   call.Deadline.Seconds(),
			Batch:        call.Batch,
			ArrivedAt:    call.Arrival.Seconds(),
		},
		Tenant: policy.Tenant{Weight: r.weight(call.Tenant), Queued: r.queued[tenant]},
		Queue:  policy.Queue{Length: r.queued[queue]},
		Zone:   r.zones[call.Zone],
		Clock:  r.settings.clockAt(call.Arrival),
	}
	if call.Deadline > 0 {
		variables.Request.DeadlineAt = (call.Arrival + call.Deadline).Seconds()
	}
	if variables.Queue.Length > 0 {
		variables.Queue.OldestWait = (call.Arrival - time.Duration(window)*rankingWindow).Seconds()
	}
	r.queued[queue]++
	r.queued[tenant]++
	return variables
}

func (r *rankingReplay) weight(tenant string) float64 {
	if weight, found := r.weights[tenant]; found {
		return weight
	}
	return 1
}
