package scheduler

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/gateway/fleet"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// oldestWaitAge bounds the age of queue.oldest_wait, which takes a look at the
// whole queue.
const oldestWaitAge = 50 * time.Millisecond

// ranking is what the ranking programs need besides the request.
type ranking struct {
	policies *policy.Set
	zone     policy.Zone
	// oldest holds the oldest wait by model.
	oldest map[string]oldestWait
}

type oldestWait struct {
	at   time.Duration
	wait time.Duration
}

// update takes the policies and the description of the zone from a snapshot.
func (r *ranking) update(zone string, snapshot *fleet.Snapshot) {
	if snapshot.Configuration != nil {
		r.policies = snapshot.Configuration.Policies()
	}
	r.zone = describeZone(zone, snapshot)
}

func describeZone(name string, snapshot *fleet.Snapshot) policy.Zone {
	zone := policy.Zone{Name: name, Gateways: max(1, snapshot.GatewayCount)}
	for _, engine := range snapshot.Engines() {
		zone.AddEngine(engine.Role, !engine.Dispatchable)
	}
	return zone
}

// rank runs the ranking program of the policy that governs the request's model.
// Without one the nearer deadline goes first, whenever the requests came.
func (s *Scheduler) rank(now time.Duration, entering *Request) float64 {
	program := s.ranking.policies.ProgramFor(entering.Model.Name)
	if !program.HasRanking() {
		return policy.BuiltinRankAt(entering.Deadline)
	}
	variables := s.rankingVariables(now, entering)
	if program.RankingReadsCachedTokens() {
		variables.Request.CachedTokens = s.cachedTokens(now, entering)
	}
	return program.Rank(variables)
}

func (s *Scheduler) rankingVariables(now time.Duration, entering *Request) policy.RankingVariables {
	queue := s.queue(entering.Model.Name)
	zone := s.ranking.zone
	zone.CutOff = s.isolationSet(now) != nil
	return policy.RankingVariables{
		Request: s.requestVariables(now, entering),
		Tenant: policy.Tenant{
			Weight:      effectiveWeight(entering.Tenant.Weight),
			BudgetShare: s.limit(now, entering.Tenant).BurstUtilization(now),
			Queued:      queue.TenantLen(entering.Tenant.Name),
		},
		Queue: policy.Queue{
			Length:        queue.Len(),
			OldestWait:    s.oldestWait(now, entering.Model.Name).Seconds(),
			PredictedWait: queue.PredictedWait().Seconds(),
		},
		Zone:  zone,
		Clock: policy.ClockAt(time.Now()),
	}
}

func (s *Scheduler) requestVariables(now time.Duration, entering *Request) policy.Request {
	variables := policy.Request{
		Tenant:       entering.Tenant.Name,
		Model:        entering.Model.Name,
		Adapter:      entering.Adapter,
		Priority:     entering.Priority,
		PromptTokens: entering.PromptTokens,
		OutputTokens: entering.OutputTokens,
		HasDeadline:  entering.Deadline > 0,
		Batch:        entering.Batch,
		Spilled:      entering.Spilled,
		ArrivedAt:    now.Seconds(),
	}
	if variables.HasDeadline {
		variables.DeadlineAt = entering.Deadline.Seconds()
		variables.DeadlineIn = (entering.Deadline - now).Seconds()
	}
	return variables
}

// cachedTokens estimates the part of the prompt that the engine which would be
// chosen now has in its prefix cache.
func (s *Scheduler) cachedTokens(now time.Duration, entering *Request) int {
	choice, found := s.choose(now, &waiting{request: entering, enteredAt: now})
	if !found {
		return 0
	}
	return max(0, entering.PromptTokens-choice.NewTokens)
}

// oldestWait returns the age of a model's oldest queued request, looked at
// oldestWaitAge ago at most.
func (s *Scheduler) oldestWait(now time.Duration, model string) time.Duration {
	known, found := s.ranking.oldest[model]
	if found && now-known.at < oldestWaitAge {
		return known.wait
	}
	if s.ranking.oldest == nil {
		s.ranking.oldest = map[string]oldestWait{}
	}
	known = oldestWait{at: now, wait: s.queue(model).OldestWait(now)}
	s.ranking.oldest[model] = known
	return known.wait
}

// effectiveWeight is the share that a tenant has in fair queueing.
func effectiveWeight(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// Bounds of what a heartbeat tells of failed programs.
const (
	maximumReportedFailures = 16
	maximumFailureMessage   = 256
)

// policyFailures tells the zone's leader which programs have failed here, and
// which do not compile.
func (s *Scheduler) policyFailures() []wire.PolicyFailure {
	var reported []wire.PolicyFailure
	for _, failed := range s.ranking.policies.Failures() {
		if len(reported) == maximumReportedFailures {
			break
		}
		reported = append(reported, wire.PolicyFailure{
			Policy: failed.Policy,
			Field:  failed.Field,
			Count:  failed.Count,
			Last:   failed.Last[:min(len(failed.Last), maximumFailureMessage)],
		})
	}
	return reported
}

// PolicyFailures counts the run-time failures of the ranking programs, since
// each policy's last change.
func (s *Scheduler) PolicyFailures() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return policy.CountFailures(s.ranking.policies.Failures())
}
