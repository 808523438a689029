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

// activityInterval is the time between two looks at the demand for active replicas: a burst is met
// before callers have waited for as long as reading a prompt takes.
const activityInterval = 250 * time.Millisecond

// activityKeeper is the leader's work on which replicas take work. It may be used concurrently.
type activityKeeper struct {
	mutex   sync.Mutex
	term    uint64
	planner *activeset.Planner
}

// keepActivity has as many replicas take work as the demand needs, at the leader.
func (c *Coordinator) keepActivity(ctx context.Context) {
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

// planActivity returns which replicas are to take work and which to stand by; nil if all stay as they
// are. A new leader begins anew, with the demand that it hears of.
func (c *Coordinator) planActivity(state region.State) *region.ActivityCommand {
	c.activity.mutex.Lock()
	defer c.activity.mutex.Unlock()
	if term := c.group.Runner.Status().Term; c.activity.planner == nil || term != c.activity.term {
		c.activity.term = term
		c.activity.planner = &activeset.Planner{}
	}
	c.activity.planner.Least = c.settings.ActiveReplicas
	if c.zones.anyEarlier(c.sortedMembers()) {
		// Gateways learn all replicas from such a coordinator, and must hear from the others when any of
		// them begins to leave.
		c.activity.planner.Least = math.MaxInt
	}
	now := c.now()
	told := c.toldByGroup(now)
	change := c.activity.planner.Step(now, activityInput(state, told, c.limits.lives(), c.settings.Topology.Group))
	if change.Empty() {
		return nil
	}
	c.logger.Info(event.ReplicaActivity, "activated", len(change.Activate), "standing_by", len(change.Rest), "replicas", len(state.Replicas))
	return &region.ActivityCommand{Activate: change.Activate, Rest: change.Rest}
}

// toldByGroup sums up what gateways tell of each service in each region.
func (c *Coordinator) toldByGroup(now time.Duration) map[activeset.Group]region.ServiceDemand {
	told := map[activeset.Group]region.ServiceDemand{}
	for _, each := range append(c.demand.sum(now), c.reported.sum(now)...) {
		group := activeset.Group{Service: each.Service, Region: each.Region}
		sum := told[group]
		addTo(&sum, each)
		told[group] = sum
	}
	return told
}

// activityInput describes the replicas and the demand to the planner. limited are the lives that name limits of
// requests: they go on with what they take, and others that stand by take over the rest at once. groupOf names the
// region of a zone.
func activityInput(state region.State, told map[activeset.Group]region.ServiceDemand, limited map[string]bool, groupOf func(zone string) string) activeset.Input {
	input := activeset.Input{
		Replicas: make([]activeset.Replica, 0, len(state.Replicas)),
		Demand:   make(map[activeset.Group]activeset.Demand, len(told)),
	}
	var reports []string
	for group, demand := range told {
		input.Demand[group] = activeset.Demand{
			Reading:    demand.Reading,
			Generating: max(demand.Generating, demand.Expected),
			Running:    demand.Running,
		}
		reports = append(reports, demand.Unreachable...)
	}
	unreachable := reportedByMany(reports)
	changing := changingReplicas(state)
	for _, listed := range state.Replicas {
		replica := listed.Replica
		sound := !replica.Leaves() && !changing[replica.ID]
		if sound && len(unreachable)+len(limited) > 0 {
			life := replica.Life().Name()
			sound = !unreachable[life] && !limited[life]
		}
		input.Replicas = append(input.Replicas, activeset.Replica{
			ID:          replica.ID,
			Group:       activeset.Group{Service: replica.Service, Region: groupOf(replica.Zone)},
			Zone:        replica.Zone,
			Role:        activityRole(replica.Stage),
			Slots:       replica.Slots,
			Preemptible: replica.Preemptible,
			Active:      !listed.Standby,
			Sound:       sound,
		})
	}
	return input
}

func activityRole(stage string) activeset.Role {
	switch stage {
	case "":
		return activeset.Plain
	case region.StagePrefill:
		return activeset.Reader
	default:
		return activeset.Generator
	}
}

// changingReplicas are those that change their stage.
func changingReplicas(state region.State) map[string]bool {
	changing := make(map[string]bool, len(state.Changes))
	for _, change := range state.Changes {
		changing[change.Replica] = true
	}
	return changing
}
