package coordinator

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/activeset"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
)

// activityInterval is the interval at which the set of active replicas is planned: a burst is met before
// callers have waited for as long as the prefill of a prompt takes.
const activityInterval = 250 * time.Millisecond

// activityPlanner plans at the leader which replicas are active. It is safe for concurrent use.
type activityPlanner struct {
	mutex sync.Mutex
	// term is the leader's term for which planner was created.
	term    uint64
	planner *activeset.Planner
}

// planActiveReplicas keeps as many replicas active as the demand needs while this coordinator leads.
func (c *Coordinator) planActiveReplicas(ctx context.Context) {
	for lifecycle.Sleep(ctx, activityInterval) {
		if !c.group.Leads() {
			continue
		}
		state, _ := c.machine.read()
		if len(state.Replicas) == 0 {
			continue
		}
		change := c.planActivity(state)
		if change == nil {
			continue
		}
		if _, err := c.commit(ctx, &region.Command{Activity: change}); err != nil {
			c.logger.Info(event.ReplicaActivityLost, "error", failure.Text(err))
		}
	}
}

// planActivity returns which replicas to activate and which to send to standby, nil if nothing changes.
// A new leader starts with an empty planner and the demand that is reported to it.
func (c *Coordinator) planActivity(state region.State) *region.ActivityCommand {
	c.activity.mutex.Lock()
	defer c.activity.mutex.Unlock()
	if term := c.group.Runner.Status().Term; c.activity.planner == nil || term != c.activity.term {
		c.activity.term = term
		c.activity.planner = &activeset.Planner{}
	}
	c.activity.planner.MinimumActive = c.settings.MinimumActiveReplicas
	if c.zones.hasLegacyMember(c.sortedMembers()) {
		// A coordinator of an earlier version sends gateways all replicas, but the others send changes of
		// active ones only. With all of them active, a gateway that polls another coordinator next still
		// learns when any of them begins to leave.
		c.activity.planner.MinimumActive = math.MaxInt
	}
	now := c.now()
	demands := c.demandByGroup(now)
	change := c.activity.planner.Step(now, activityInput(state, demands, c.limits.limitedReplicas(), c.settings.Topology.Group))
	if change.Empty() {
		return nil
	}
	c.logger.Info(event.ReplicaActivity, "activated", len(change.Activate), "standing_by", len(change.Deactivate), "replicas", len(state.Replicas))
	return &region.ActivityCommand{Activate: change.Activate, Rest: change.Deactivate}
}

// demandByGroup sums up the demand that gateways report of each service in each region.
func (c *Coordinator) demandByGroup(now time.Duration) map[activeset.Group]region.ServiceDemand {
	demands := map[activeset.Group]region.ServiceDemand{}
	for _, each := range append(c.gatewayDemand.sum(now), c.coordinatorDemand.sum(now)...) {
		group := activeset.Group{Service: each.Service, Region: each.Region}
		sum := demands[group]
		addTo(&sum, each)
		demands[group] = sum
	}
	return demands
}

// activityInput describes the replicas and the demand to the planner. limited are the incarnations, by Incarnation.Name,
// that declare a rate limit. They are ineligible: the planner leaves them as they are but does not count them, so
// that active ones continue to serve up to their limit and replicas on standby are activated at once for the
// excess. groupOf returns the region of a zone.
func activityInput(state region.State, demands map[activeset.Group]region.ServiceDemand, limited map[string]bool, groupOf func(zone string) string) activeset.Input {
	input := activeset.Input{
		Replicas: make([]activeset.Replica, 0, len(state.Replicas)),
		Demand:   make(map[activeset.Group]activeset.Demand, len(demands)),
	}
	var reports []string
	for group, demand := range demands {
		input.Demand[group] = activeset.Demand{
			BusyPrefillReplicas: demand.Reading,
			DecodingAnswers:     max(demand.Generating, demand.Expected),
			NonModelRequests:    demand.Running,
		}
		reports = append(reports, demand.Unreachable...)
	}
	unreachable := reportedByEnough(reports)
	changing := changingReplicas(state)
	for _, listed := range state.Replicas {
		replica := listed.Replica
		eligible := !replica.IsLeaving() && !changing[replica.ID]
		if eligible && len(unreachable)+len(limited) > 0 {
			name := replica.Incarnation().Name()
			eligible = !unreachable[name] && !limited[name]
		}
		input.Replicas = append(input.Replicas, activeset.Replica{
			ID:          replica.ID,
			Group:       activeset.Group{Service: replica.Service, Region: groupOf(replica.Zone)},
			Zone:        replica.Zone,
			Role:        activityRole(replica.Stage),
			Slots:       replica.Slots,
			Preemptible: replica.Preemptible,
			Active:      !listed.Standby,
			Eligible:    eligible,
			Software:    replica.Software,
		})
	}
	return input
}

func activityRole(stage string) activeset.Role {
	switch stage {
	case "":
		return activeset.NonModel
	case region.StagePrefill:
		return activeset.Prefill
	default:
		return activeset.Decode
	}
}

// changingReplicas returns the ids of the replicas that are changing their stage.
func changingReplicas(state region.State) map[string]bool {
	changing := make(map[string]bool, len(state.Changes))
	for _, change := range state.Changes {
		changing[change.Replica] = true
	}
	return changing
}
