package coordinator

import (
	"context"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
)

// keepList polls the platform's list of replicas while this coordinator leads,
// and replicates each change of it.
func (c *Coordinator) keepList(ctx context.Context) {
	reachable := true
	for lifecycle.Sleep(ctx, c.settings.ListInterval) {
		if !c.group.Leads() {
			continue
		}
		err := c.pollList(ctx)
		if reached := err == nil; reached != reachable {
			reachable = reached
			c.logger.Info(event.ListReachable, "reachable", reached, "error", failure.Text(err))
		}
	}
}

func (c *Coordinator) pollList(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := c.settings.Lister.List(bounded)
	if err != nil {
		return err
	}
	state, _ := c.machine.read()
	change := listChange(state.Replicas, listed)
	if change == nil {
		return nil
	}
	change.Standby = true
	c.logChanges(state.Replicas, change)
	// With the change of the list, so that gateways are never told of all replicas, and lose none that
	// leaves without being told of another.
	changeList(&state, state.ListRevision, change)
	_, err = c.commit(ctx, &region.Command{List: change, Activity: c.planActivity(state)})
	return err
}

// loggedReplicas bounds the lines of one change of the list; what is beyond is summed up in one.
const loggedReplicas = 100

// logChanges writes a line for each replica that has come, gone, changed or started again.
func (c *Coordinator) logChanges(before []region.ListedReplica, change *region.ListCommand) {
	for index, replica := range change.Changed {
		if index == loggedReplicas {
			c.logger.Info(event.ListChanged, "changed", len(change.Changed), "removed", len(change.Removed), "replicas_before", len(before))
			return
		}
		if known, found := findListed(before, replica.ID); found && known.Born != replica.Born {
			c.logger.Info(event.ReplicaRestarted, "replica", replica.ID, "born", replica.Born, "born_before", known.Born)
		}
		c.logger.Info(event.ReplicaListed, "replica", replica.ID, "born", replica.Born, "service", replica.Service,
			"address", replica.Address, "draining", replica.Draining, "stage", replica.Stage)
	}
	for _, id := range change.Removed {
		c.logger.Info(event.ReplicaGone, "replica", id)
	}
}
