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

// leavingWords are what this coordinator has been told of replicas that leave by their own word, and has
// handed to the leader.
type leavingWords struct {
	// heard are the lives' names that have said so to this process itself.
	heard chan string

	mutex sync.Mutex
	// toldAt is by Life.Name when the leader was last told.
	toldAt map[string]time.Duration
}

// maximumHeard bounds the words that wait to be handed on.
const maximumHeard = 256

func newLeavingWords() *leavingWords {
	return &leavingWords{heard: make(chan string, maximumHeard), toldAt: map[string]time.Duration{}}
}

// leavingAgain is after how long the leader is told again of a replica that the list does not show as leaving
// yet: a thousand gateways hear of it within that time.
const leavingAgain = time.Second

// due are those of some replicas of which the leader has not been told of late.
func (w *leavingWords) due(now time.Duration, names []string) []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for name, at := range w.toldAt {
		if now-at >= leavingAgain {
			delete(w.toldAt, name)
		}
	}
	var due []string
	for _, name := range names {
		if _, told := w.toldAt[name]; !told {
			w.toldAt[name] = now
			due = append(due, name)
		}
	}
	return due
}

// forget has the leader told again of some replicas: telling it has failed.
func (w *leavingWords) forget(names []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, name := range names {
		delete(w.toldAt, name)
	}
}

// handleLeaving takes what a process has heard, and hands it to the leader.
func (c *Coordinator) handleLeaving(ctx context.Context, report *region.LeavingReport) (*peer.Empty, error) {
	c.placement.directory.TakeLeaving(report.Replicas)
	state, _ := c.machine.read()
	news := c.leaving.due(c.now(), notListedLeaving(state.Replicas, report.Replicas))
	if len(news) == 0 {
		return &peer.Empty{}, nil
	}
	bounded, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	err := c.atLeader(bounded, func(ctx context.Context, leader string) error {
		if leader == c.settings.Address {
			return c.commitLeaving(ctx, news)
		}
		return c.client.Call(ctx, leader, region.PathLeaving, &region.LeavingReport{Replicas: news}, &peer.Empty{})
	})
	if err != nil {
		c.leaving.forget(news)
	}
	return &peer.Empty{}, err
}

// notListedLeaving are those of some lives that are listed, and not as leaving.
func notListedLeaving(replicas []region.ListedReplica, names []string) []string {
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	var unlisted []string
	for index := range replicas {
		replica := &replicas[index].Replica
		if name := replica.Life().Name(); wanted[name] && !replica.Leaves() {
			unlisted = append(unlisted, name)
		}
	}
	return unlisted
}

// commitLeaving has the list show that some replicas leave by their own word.
func (c *Coordinator) commitLeaving(ctx context.Context, names []string) error {
	state, _ := c.machine.read()
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	change := &region.ListCommand{Standby: true}
	for index := range state.Replicas {
		replica := state.Replicas[index].Replica
		if !wanted[replica.Life().Name()] || replica.Leaves() {
			continue
		}
		replica.Leaving = true
		change.Changed = append(change.Changed, replica)
	}
	if len(change.Changed) == 0 {
		return nil
	}
	c.logChanges(state.Replicas, change)
	_, err := c.commit(ctx, &region.Command{List: change})
	return err
}

// NoteStanding notes what a replica asks of this process. It does not wait.
func (c *Coordinator) NoteStanding(replica backpressure.Peer, asks *backpressure.Standing) {
	if !asks.Leaving() {
		return
	}
	select {
	case c.leaving.heard <- replica.Instance:
	default:
		// It says so with each answer.
	}
}

// tellLeaving hands on what this process hears itself, until the context ends.
func (c *Coordinator) tellLeaving(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case life := <-c.leaving.heard:
			if _, err := c.handleLeaving(ctx, &region.LeavingReport{Replicas: []string{life}}); err != nil {
				c.logger.Info(event.LeavingUntold, "life", life, "error", failure.Text(err))
				lifecycle.Sleep(ctx, leavingAgain)
			}
		}
	}
}
