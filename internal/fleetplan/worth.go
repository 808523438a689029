package fleetplan

import (
	"math"
	"time"
)

// Load is the demand of the prompts on a service's replicas.
type Load struct {
	// Reported is false while no gateway reports its load.
	Reported bool
	// Busy is the number of replicas that the work would keep fully busy.
	Busy float64
	// CacheSavings is the number of replicas that prefill would keep busy in addition to Busy if no
	// replica had prefixes cached.
	CacheSavings float64
	// Prompts is the number of prompts a second.
	Prompts float64
	// Delayed is the number of prompts a second that are late because no replica was free.
	Delayed float64
	// Replicas is the number of replicas that served, and PrefillReplicas that of the prefill replicas
	// among them.
	Replicas, PrefillReplicas float64
	// Slack is the average time that a prompt may wait and still be answered within its objective.
	Slack time.Duration
	// ResidualPrefill is the average time that a prompt waits for the prefill in progress before it:
	// half the mean square of the prefill times divided by their mean.
	ResidualPrefill time.Duration
}

// known reports whether there is enough data to estimate what a further replica would add.
func (l Load) known() bool { return l.Prompts > 0 && l.Busy > 0 && l.ResidualPrefill > 0 }

const (
	// maximumPrefillShare is the share of the replicas that can be used for prefill: at least a
	// quarter is left to decode (internal/stageplan).
	maximumPrefillShare = 0.75
	// prefillCandidates is the number of replicas either of which prefills a prompt as soon as
	// possible: one that has its prefix cached, and one that prefills all of it.
	prefillCandidates = 2
	// saturationLoad is the utilization above which prompts are refused rather than late.
	saturationLoad = 0.95
	// priorDelayed is the number of delayed prompts that have to be expected before the observed
	// number outweighs the expectation: a smaller number may be chance.
	priorDelayed = 20.0
	// maximumDelayRatio bounds the ratio of observed to expected delayed prompts. More replicas
	// would not reduce the delays beyond it, and with an unbounded ratio all prompts would appear
	// late whatever the number of replicas, so that the fleet would shrink.
	maximumDelayRatio = 2.0
)

// lateShare is the share of the prompts that miss their objective with a number of prefill
// replicas.
//
// A prompt waits if all replicas that suit it are busy. The wait is exponential with a mean of
// ResidualPrefill / (1 - utilization), thus longer the busier the replicas are (the tail of an M/M/n
// queue: Kleinrock, Queueing Systems 1, 3.5). Load beyond what the replicas can serve at all is lost
// in addition. delayRatio is the observed number of delayed prompts as a share of the number that
// this model predicts.
func (l Load) lateShare(prefillReplicas, delayRatio float64) float64 {
	if prefillReplicas <= 0 {
		return 1
	}
	load := l.Busy / prefillReplicas
	utilization := min(load, saturationLoad)
	normalizedSlack := l.Slack.Seconds() / l.ResidualPrefill.Seconds()
	late := 1 - math.Pow(1-math.Pow(utilization, prefillCandidates)*math.Exp(-(1-utilization)*normalizedSlack), delayRatio)
	if load <= saturationLoad {
		return late
	}
	return late + (1-late)*(1-saturationLoad/load)
}

// prefillShare is the share of the replicas that are prefill replicas.
func (l Load) prefillShare() float64 {
	if l.Replicas <= 0 || l.PrefillReplicas <= 0 {
		return maximumPrefillShare
	}
	return l.PrefillReplicas / l.Replicas
}

// afterLoss is the load after a share of the replicas has been lost with their cached prefixes,
// until these have been prefilled again.
func (l Load) afterLoss(share float64) Load {
	l.Busy += share * l.CacheSavings
	return l
}

// history is the recent load: the highest load of each of several time spans, the latest last.
type history struct {
	loads     []Load
	spanStart time.Duration
	// delayRatio is the number of prompts recently delayed, divided by the number that lateShare
	// predicts.
	delayRatio float64
}

// historySpans is the number of time spans of a history.
const historySpans = 16

// add records a load. Loads older than the window are dropped.
func (h *history) add(now, window time.Duration, load Load) {
	span := max(window/historySpans, 1)
	if len(h.loads) == 0 || now-h.spanStart >= span {
		h.loads = append(h.loads, load)
		h.spanStart = now
	} else if last := &h.loads[len(h.loads)-1]; load.Busy > last.Busy {
		*last = load
	}
	if excess := len(h.loads) - historySpans; excess > 0 {
		h.loads = append(h.loads[:0], h.loads[excess:]...)
	}
}

// full reports whether the history covers its whole window.
func (h *history) full() bool { return len(h.loads) == historySpans }

// lateRate is the number of prompts a second that would have missed their objective recently with a
// number of replicas, at least maximumPrefillShare of them in prefill. Spans without prompts do not
// count: they do not show that none will come.
func (h *history) lateRate(replicas float64) float64 {
	return h.mean(func(load Load) float64 {
		return load.lateShare(max(load.prefillShare(), maximumPrefillShare)*replicas, h.delayRatio)
	})
}

// lateRateAfterLoss is the late rate just after a share of the replicas has been lost: the
// remaining ones prefill what the lost ones had cached, and none has changed its stage yet.
func (h *history) lateRateAfterLoss(replicas, lost float64) float64 {
	return h.mean(func(load Load) float64 { return load.afterLoss(lost).lateShare(load.prefillShare()*replicas, 1) })
}

func (h *history) mean(late func(Load) float64) float64 {
	sum, count := 0.0, 0
	for _, load := range h.loads {
		if load.known() {
			sum += load.Prompts * late(load)
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// updateDelayRatio compares the number of prompts recently delayed with the number expected for the
// replicas that served. priorDelayed is added to both numbers.
func (h *history) updateDelayRatio(span time.Duration) {
	seen, expected := priorDelayed, priorDelayed
	for _, load := range h.loads {
		if load.known() {
			seen += load.Delayed * span.Seconds()
			expected += load.Prompts * load.lateShare(max(load.prefillShare(), maximumPrefillShare)*load.Replicas, 1) * span.Seconds()
		}
	}
	h.delayRatio = min(seen/expected, maximumDelayRatio)
}

// price is the cost of a stable replica per second in a zone with Price 1, in prompts answered within
// their objective. It is 0 if the history contains no work.
func (h *history) price() float64 {
	prompts, busy := 0.0, 0.0
	for _, load := range h.loads {
		prompts += load.Prompts
		busy += load.Busy
	}
	if busy <= 0 {
		return 0
	}
	return stableCost * prompts / busy
}
