package coordinator

import (
	"cmp"
	"context"
	"slices"

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
	slices.SortFunc(listed, func(a, b region.Replica) int { return cmp.Compare(a.ID, b.ID) })
	state, _ := c.machine.read()
	if slices.Equal(state.Replicas, listed) {
		return nil
	}
	c.logChanges(state.Replicas, listed)
	_, err = c.commit(ctx, &region.Command{List: &region.ListCommand{Replicas: listed}})
	return err
}

// logChanges writes a line for each replica that has come, gone or begun to
// drain.
func (c *Coordinator) logChanges(before, after []region.Replica) {
	old := make(map[string]region.Replica, len(before))
	for _, replica := range before {
		old[replica.ID] = replica
	}
	for _, replica := range after {
		if known, found := old[replica.ID]; !found || known != replica {
			c.logger.Info(event.ReplicaListed, "replica", replica.ID, "service", replica.Service,
				"address", replica.Address, "draining", replica.Draining, "stage", replica.Stage)
		}
		delete(old, replica.ID)
	}
	for _, replica := range old {
		c.logger.Info(event.ReplicaGone, "replica", replica.ID, "address", replica.Address)
	}
}
