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

// syncReplicaList polls the platform's list of replicas while this coordinator is the
// leader, and commits each change of it to the group's log.
func (c *Coordinator) syncReplicaList(ctx context.Context) {
	reachable := true
	guard := &removalGuard{}
	delay := c.settings.ListInterval
	for lifecycle.Sleep(ctx, delay) {
		if !c.group.Leads() {
			continue
		}
		start := c.now()
		err := c.pollList(ctx, guard)
		state, _ := c.machine.read()
		delay = listPollDelay(c.settings.ListInterval, state.Replicas, c.now()-start)
		if reached := err == nil; reached != reachable {
			reachable = reached
			c.logger.Info(event.ListReachable, "reachable", reached, "error", failure.Text(err))
		}
	}
}

// maximumListReadShare bounds the share of the time that is spent on reading the list, however long the list
// is: the leader has other work.
const maximumListReadShare = 1.0 / 3

// listPollDelay returns the time to wait before the list is read again, given how long the last read took.
// If there are preemptible replicas, which leave with shorter notice than others, the interval is
// defaultListInterval at most, which is two reads a second: when the list was read only once a second, a tenth
// of the on-time answers was lost in the seconds in which 38 of 96 replicas were preempted.
func listPollDelay(interval time.Duration, replicas []region.ListedReplica, took time.Duration) time.Duration {
	if slices.ContainsFunc(replicas, func(each region.ListedReplica) bool { return each.Replica.Preemptible }) {
		interval = min(interval, defaultListInterval)
	}
	return max(interval, time.Duration(float64(took)*(1/maximumListReadShare-1)))
}

func (c *Coordinator) pollList(ctx context.Context, guard *removalGuard) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := c.settings.Lister.List(bounded)
	if err != nil {
		return err
	}
	state, _ := c.machine.read()
	change := diffLists(state.Replicas, listed)
	if guard.suppresses(len(state.Replicas), change) {
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
	c.logListChange(state.Replicas, change)
	// The activity is planned in the same command, so that gateways are never shown all replicas, and lose
	// no replica that leaves without being shown another one.
	applyListChange(&state, state.ListRevision, change)
	_, err = c.commit(ctx, &region.Command{List: change, Activity: c.planActivity(state)})
	return err
}

// maximumLoggedReplicas bounds the log lines for the changed replicas of one list change. One line with the
// counts stands for the rest.
const maximumLoggedReplicas = 100

// logListChange logs each replica that was added, removed, changed or restarted.
func (c *Coordinator) logListChange(before []region.ListedReplica, change *region.ListCommand) {
	for index, replica := range change.Changed {
		if index == maximumLoggedReplicas {
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

// removalGuard suppresses the removal of many replicas at once, which may be an error of the platform.
// Meanwhile the known replicas can serve requests as long as they answer.
type removalGuard struct {
	// suspect reports whether the removals of the previous list were suspect.
	suspect bool
}

const (
	// suspectRemovalShare is the share of the replicas that one list may remove without being suspect.
	// Fewer removals than minimumSuspectRemovals are never suspect.
	suspectRemovalShare    = 0.5
	minimumSuspectRemovals = 8
)

// suppresses reports whether the removals of a change must not be applied. Suspect removals are applied only
// if those of the previous list were suspect, too. The removal of all replicas without any new one is never
// applied, unless there were fewer than minimumSuspectRemovals.
func (g *removalGuard) suppresses(before int, change *region.ListCommand) bool {
	removed := 0
	if change != nil {
		removed = len(change.Removed)
	}
	if removed < minimumSuspectRemovals || float64(removed) <= suspectRemovalShare*float64(before) {
		g.suspect = false
		return false
	}
	wasSuspect := g.suspect
	g.suspect = true
	return !wasSuspect || removed == before && len(change.Changed) == 0
}
