package reconcile

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/applicationapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// backEndTracker is the leader's soft state of an application back end.
type backEndTracker struct {
	address  string
	polls    pollState
	hasState bool
	state    applicationapi.State
}

func backEndKey(id string) string { return "back_end/" + id }

func (c *Core) backEndTracker(now time.Duration, id string) *backEndTracker {
	tracker, found := c.backEndTrackers[id]
	if !found {
		tracker = &backEndTracker{polls: pollState{lastResponseAt: now}}
		c.backEndTrackers[id] = tracker
	}
	return tracker
}

// RecordBackEndState records the response to a poll that was sent at sentAt.
func (c *Core) RecordBackEndState(sentAt, now time.Duration, id string, state *applicationapi.State) {
	tracker := c.backEndTracker(now, id)
	if !tracker.polls.recordResponse(sentAt, now) {
		return
	}
	tracker.hasState = true
	tracker.state = *state
}

// RecordBackEndNoResponse records a poll that got no response.
func (c *Core) RecordBackEndNoResponse(now time.Duration, id string) {
	c.backEndTracker(now, id).polls.inFlight = false
}

func (c *Core) tickBackEnds(now time.Duration, state *zonestate.State) {
	backEnds := state.BackEnds()
	interval := c.pollInterval(len(backEnds))
	for _, backEnd := range backEnds {
		tracker := c.backEndTracker(now, backEnd.ID)
		if tracker.address != "" && tracker.address != backEnd.Address {
			*tracker = backEndTracker{polls: pollState{lastResponseAt: now, validFrom: now}}
		}
		tracker.address = backEnd.Address
		if tracker.polls.startIfDue(now, interval, c.config.PollTimeout) {
			c.outputs.BackEndPolls = append(c.outputs.BackEndPolls, Poll{ID: backEnd.ID, Address: backEnd.Address})
		}
		c.decideBackEnd(now, backEnd, tracker)
	}
	for id := range c.backEndTrackers {
		if _, found := state.BackEnd(id); !found {
			delete(c.backEndTrackers, id)
		}
	}
}

func (c *Core) decideBackEnd(now time.Duration, backEnd *zonestate.BackEnd, tracker *backEndTracker) {
	if c.goneLongEnough(now, tracker.polls.lastResponseAt, backEnd.ID) && !c.isConfigured(c.config.BackEnds, backEnd.ID) {
		c.propose(now, backEndKey(backEnd.ID), zonestate.Command{
			Kind:    zonestate.KindRemoveBackEnd,
			BackEnd: &zonestate.BackEndCommand{ID: backEnd.ID},
		})
		return
	}
	hinted := c.isReportedLeaving(backEnd.ID)
	if !tracker.hasState {
		if c.isReportedUnavailable(backEnd.ID) && backEnd.Serving {
			c.setServing(now, backEnd.ID, false)
		}
		return
	}
	serving := tracker.state.Phase == applicationapi.PhaseServing && !hinted
	if !sameElements(tracker.state.Applications, backEnd.Applications) {
		c.propose(now, backEndKey(backEnd.ID), zonestate.Command{
			Kind: zonestate.KindRegisterBackEnd,
			BackEnd: &zonestate.BackEndCommand{
				ID:           backEnd.ID,
				Address:      backEnd.Address,
				Applications: tracker.state.Applications,
				Serving:      serving,
			},
		})
		return
	}
	if serving != backEnd.Serving {
		c.setServing(now, backEnd.ID, serving)
	}
}

func (c *Core) setServing(now time.Duration, id string, serving bool) {
	c.propose(now, backEndKey(id), zonestate.Command{
		Kind:    zonestate.KindSetBackEndServing,
		BackEnd: &zonestate.BackEndCommand{ID: id, Serving: serving},
	})
}

func sameElements(left, right []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(left)), slices.Sorted(slices.Values(right)))
}
