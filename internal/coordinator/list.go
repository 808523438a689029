package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
)

// keepList polls the platform's list of replicas while this coordinator leads,
// and replicates each change of it.
func (c *Coordinator) keepList(ctx context.Context) {
	reachable := true
	doubt := &listDoubt{}
	pause := c.settings.ListInterval
	for lifecycle.Sleep(ctx, pause) {
		if !c.group.Leads() {
			continue
		}
		begun := c.now()
		err := c.pollList(ctx, doubt)
		state, _ := c.machine.read()
		pause = listPause(c.settings.ListInterval, state.Replicas, c.now()-begun)
		if reached := err == nil; reached != reachable {
			reachable = reached
			c.logger.Info(event.ListReachable, "reachable", reached, "error", failure.Text(err))
		}
	}
}

// readingShare of the time is spent with reading the list at most, however long it is: the leader has other
// work.
const readingShare = 1.0 / 3

// listPause is the time until the list is read again after a reading that took some time. Replicas that the
// platform may take away leave with a shorter notice than the others: read once a second, and not twice,
// it cost a tenth of the answers in time in the seconds in which 38 of 96 were taken away.
func listPause(interval time.Duration, replicas []region.ListedReplica, took time.Duration) time.Duration {
	if slices.ContainsFunc(replicas, func(each region.ListedReplica) bool { return each.Replica.Preemptible }) {
		interval = min(interval, defaultListInterval)
	}
	return max(interval, time.Duration(float64(took)*(1/readingShare-1)))
}

func (c *Coordinator) pollList(ctx context.Context, doubt *listDoubt) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := c.settings.Lister.List(bounded)
	if err != nil {
		return err
	}
	state, _ := c.machine.read()
	change := listChange(state.Replicas, listed)
	if doubt.holdsBack(len(state.Replicas), change) {
		c.logger.Info(event.ListDoubted, "replicas_before", len(state.Replicas), "listed", len(listed), "kept", len(change.Removed))
		change.Removed = nil
		if len(change.Changed) == 0 {
			return nil
		}
	}
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
			"address", replica.Address, "draining", replica.Draining, "leaving", replica.Leaving, "stage", replica.Stage)
	}
	for _, id := range change.Removed {
		c.logger.Info(event.ReplicaGone, "replica", id)
	}
}

// listDoubt holds back the going of many replicas at once, which may be the platform's mistake: callers
// are served well by those that were known as long as these answer.
type listDoubt struct {
	// heldBack says that the list before was held back.
	heldBack bool
}

const (
	// doubtedShare of the replicas may go with one list without a doubt, and fewer than doubtedReplicas
	// are never doubted.
	doubtedShare    = 0.5
	doubtedReplicas = 8
)

// holdsBack reports whether the going of replicas is not to be believed: all at once never, more than half of
// them only if the next list says so, too.
func (d *listDoubt) holdsBack(before int, change *region.ListCommand) bool {
	gone := 0
	if change != nil {
		gone = len(change.Removed)
	}
	if gone < doubtedReplicas || float64(gone) <= doubtedShare*float64(before) {
		d.heldBack = false
		return false
	}
	wasHeldBack := d.heldBack
	d.heldBack = true
	return !wasHeldBack || gone == before && len(change.Changed) == 0
}
