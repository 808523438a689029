package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// smoothing is the weight of a new sample in the running means.
const smoothing = 0.05

// demand is what was seen of one model since the last report.
type demand struct {
	requests     int
	promptTokens int
	outputTokens int
	missed       int
	since        time.Duration

	lengths *admission.AnswerLengthEstimator
	// service is the running mean of the time to a whole answer.
	service time.Duration
}

func newDemand(now time.Duration) *demand {
	return &demand{since: now, lengths: admission.NewAnswerLengthEstimator()}
}

// arrived counts a request with the answer that it is expected to get, served or
// not: what was answered is what the engines could do, and not what was asked for.
func (d *demand) arrived(promptTokens, outputLimit int) {
	d.requests++
	d.promptTokens += promptTokens
	d.outputTokens += d.lengths.Expected(outputLimit)
}

func (d *demand) answered(outputLimit, outputTokens int, took time.Duration) {
	d.lengths.Observe(outputLimit, outputTokens)
	d.service += time.Duration(smoothing * float64(took-d.service))
}

// report returns the rates since the last report and starts anew.
func (d *demand) report(now time.Duration, model string) wire.ModelDemand {
	window := now - d.since
	seconds := max(window.Seconds(), time.Millisecond.Seconds())
	reported := wire.ModelDemand{
		Model:        model,
		Requests:     float32(float64(d.requests) / seconds),
		PromptTokens: float32(float64(d.promptTokens) / seconds),
		OutputTokens: float32(float64(d.outputTokens) / seconds),
		Missed:       float32(float64(d.missed) / seconds),
		WindowMillis: window.Milliseconds(),
	}
	d.requests, d.promptTokens, d.outputTokens, d.missed, d.since = 0, 0, 0, 0, now
	return reported
}

// DemandInterval is the least time between two reports of the demand; the
// heartbeats between carry none. It is just below the time of two heartbeats.
const DemandInterval = 1800 * time.Millisecond

// reportDemand lists what was seen of each model since the last report, by
// name.
func (s *Scheduler) reportDemand(now time.Duration) []wire.ModelDemand {
	var reported []wire.ModelDemand
	for model, seen := range s.demands {
		row := seen.report(now, model)
		if queue, found := s.queues[model]; found {
			row.Queued = queue.Len()
			row.OldestWaitMillis = queue.OldestWait(now).Milliseconds()
		}
		reported = append(reported, row)
	}
	slices.SortFunc(reported, func(a, b wire.ModelDemand) int { return strings.Compare(a.Model, b.Model) })
	return reported
}

// Report fills in a heartbeat's demand and tenants' usage.
func (s *Scheduler) Report(heartbeat *wire.HeartbeatRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	if now-s.demandReportedAt >= DemandInterval {
		s.demandReportedAt = now
		heartbeat.Demand = s.reportDemand(now)
	}
	for tenant, limit := range s.limits {
		if wanted, due := limit.limit.DueUsage(now); due {
			heartbeat.Usage = append(heartbeat.Usage, wire.TenantUsage{Tenant: tenant, Wanted: float32(wanted)})
		}
	}
	heartbeat.Versions = s.versions.report(now)
	heartbeat.PolicyFailures = s.policyFailures()
	slices.SortFunc(heartbeat.Usage, func(a, b wire.TenantUsage) int { return strings.Compare(a.Tenant, b.Tenant) })
}

// Grant takes the shares of tenants' budgets that came with a heartbeat.
func (s *Scheduler) Grant(shares []wire.TenantShare) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	for _, share := range shares {
		limit, found := s.limits[share.Tenant]
		if !found {
			continue
		}
		valid := time.Duration(share.ValidMillis) * time.Millisecond
		limit.limit.SetShare(now, share.TokensPerSecond, limit.burst, valid)
	}
}
