package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
)

// leavingReports collects the replicas that have declared in a response that they are leaving, and tracks which of
// these were reported to the leader.
type leavingReports struct {
	// received queues the names of incarnations that have declared it to this process itself.
	received chan string

	mutex sync.Mutex
	// reportedAt holds, by Incarnation.Name, when a replica was last reported to the leader.
	reportedAt map[string]time.Duration
}

// maximumQueuedLeaving bounds the replicas that wait to be reported.
const maximumQueuedLeaving = 256

func newLeavingReports() *leavingReports {
	return &leavingReports{received: make(chan string, maximumQueuedLeaving), reportedAt: map[string]time.Duration{}}
}

// leavingReportInterval is the time after which a replica that the list does not yet show as leaving is reported to the
// leader again: up to a thousand gateways report it within that time.
const leavingReportInterval = time.Second

// due returns the replicas among names that were not reported within leavingReportInterval, and marks them as reported.
func (r *leavingReports) due(now time.Duration, names []string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name, at := range r.reportedAt {
		if now-at >= leavingReportInterval {
			delete(r.reportedAt, name)
		}
	}
	var due []string
	for _, name := range names {
		if _, reported := r.reportedAt[name]; !reported {
			r.reportedAt[name] = now
			due = append(due, name)
		}
	}
	return due
}

// forget makes replicas due again after a report to the leader has failed.
func (r *leavingReports) forget(names []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, name := range names {
		delete(r.reportedAt, name)
	}
}

// handleLeaving handles a process's report of leaving replicas: it marks them in the directory, and forwards those
// that are due to the leader, which commits a list change.
func (c *Coordinator) handleLeaving(ctx context.Context, report *region.LeavingReport) (*peer.Empty, error) {
	c.placement.directory.MarkLeaving(report.Replicas)
	state, _ := c.machine.read()
	unreported := c.leaving.due(c.now(), notYetListedAsLeaving(state.Replicas, report.Replicas))
	if len(unreported) == 0 {
		return &peer.Empty{}, nil
	}
	bounded, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	err := c.atLeader(bounded, func(ctx context.Context, leader string) error {
		if leader == c.settings.Address {
			return c.commitLeaving(ctx, unreported)
		}
		return c.client.Call(ctx, leader, region.PathLeaving, &region.LeavingReport{Replicas: unreported}, &peer.Empty{})
	})
	if err != nil {
		c.leaving.forget(unreported)
	}
	return &peer.Empty{}, err
}

// notYetListedAsLeaving returns the incarnations among names that are listed, but not as leaving.
func notYetListedAsLeaving(replicas []region.ListedReplica, names []string) []string {
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	var notLeaving []string
	for index := range replicas {
		replica := &replicas[index].Replica
		if name := replica.Incarnation().Name(); wanted[name] && !replica.IsLeaving() {
			notLeaving = append(notLeaving, name)
		}
	}
	return notLeaving
}

// commitLeaving commits a list change that marks replicas as leaving.
func (c *Coordinator) commitLeaving(ctx context.Context, names []string) error {
	c.listChange.Lock()
	defer c.listChange.Unlock()
	state, _ := c.machine.read()
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	change := &region.ListCommand{Standby: true, At: c.usage.clock.Now().UnixNano(), Gated: c.gatesSoftware(&state)}
	for index := range state.Replicas {
		replica := state.Replicas[index].Replica
		if !wanted[replica.Incarnation().Name()] || replica.IsLeaving() {
			continue
		}
		replica.Leaving = true
		change.Changed = append(change.Changed, replica)
	}
	if len(change.Changed) == 0 {
		return nil
	}
	c.logListChange(state.Replicas, change)
	_, err := c.commit(ctx, &region.Command{List: change})
	return err
}

// NotePeerState handles a change of the peer state of a replica. It does not block.
func (c *Coordinator) NotePeerState(replica backpressure.Peer, state *backpressure.PeerState) {
	if !state.Leaving() {
		return
	}
	select {
	case c.leaving.received <- replica.Instance:
	default:
		// The replica declares it again in each response.
	}
}

// forwardLeaving forwards what replicas have declared to this process itself, until the context ends.
func (c *Coordinator) forwardLeaving(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case incarnation := <-c.leaving.received:
			if _, err := c.handleLeaving(ctx, &region.LeavingReport{Replicas: []string{incarnation}}); err != nil {
				c.logger.Info(event.LeavingUntold, "life", incarnation, "error", failure.Text(err))
				lifecycle.Sleep(ctx, leavingReportInterval)
			}
		}
	}
}
