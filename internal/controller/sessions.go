package controller

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// maximumWatchTime bounds one long poll.
const maximumWatchTime = 30 * time.Second

// proposeZone proposes a command to this controller's replica of the zone group
// and returns its result after the commit.
func (c *Controller) proposeZone(ctx context.Context, command *zonestate.Command) (zonestate.Result, error) {
	command.TimeMillis = time.Now().UnixMilli()
	data, err := command.Encode()
	if err != nil {
		return zonestate.Result{}, failure.Wrap(err, failure.Internal, failure.WithRan(failure.RanNo))
	}
	_, encoded, err := c.zone.Propose(ctx, data)
	if err != nil {
		return zonestate.Result{}, err
	}
	result, err := zonestate.DecodeResult(encoded)
	if err != nil {
		return zonestate.Result{}, failure.Wrap(err, failure.Internal)
	}
	return result, nil
}

// resultError returns an error for any outcome but OutcomeDone. All of these outcomes
// mean that the command has changed nothing.
func resultError(result zonestate.Result) error {
	kinds := map[zonestate.Outcome]failure.Kind{
		zonestate.OutcomeStale:         failure.RevisionConflict,
		zonestate.OutcomeNotFound:      failure.NotFound,
		zonestate.OutcomeFull:          failure.QueueFull,
		zonestate.OutcomeInvalid:       failure.InvalidDocument,
		zonestate.OutcomeNotReady:      failure.NotReady,
		zonestate.OutcomeAddressInUse:  failure.Forbidden,
		zonestate.OutcomeRequestReused: failure.IdempotencyKeyReused,
	}
	if result.Outcome == zonestate.OutcomeDone {
		return nil
	}
	kind, known := kinds[result.Outcome]
	if !known {
		kind = failure.Internal
	}
	return failure.New(kind, string(result.Outcome)+": "+result.Detail, failure.WithRan(failure.RanNo))
}

// handleOpenSession issues a ticket, or opens a session with one. See
// docs/design/zone-group.md for why it takes two calls.
func (c *Controller) handleOpenSession(ctx context.Context, request *wire.OpenSessionRequest) (*wire.OpenSessionReply, error) {
	if request.Ticket == 0 {
		return c.issueTicket(ctx)
	}
	arrived := c.now()
	result, err := c.proposeZone(ctx, &zonestate.Command{
		Kind: zonestate.KindOpenSession,
		Session: &zonestate.SessionCommand{
			GatewayID:   request.GatewayID,
			Incarnation: request.Incarnation,
			Address:     request.Address,
			PeerAddress: request.PeerAddress,
			Ticket:      request.Ticket,
		},
	})
	if err != nil {
		return nil, err
	}
	if err := resultError(result); err != nil {
		return nil, err
	}
	term := c.currentTerm()
	if term == nil || !term.sessionOpened(arrived, result.SessionID) {
		return nil, failure.New(failure.NotReady, "the session can't be handed out now")
	}
	reply := &wire.OpenSessionReply{SessionID: result.SessionID}
	reply.Terms, _ = c.sessionTerms(result.SessionID, request.GatewayID)
	reply.View = c.zoneMachine.ViewFor(&wire.WatchRequest{GatewayID: request.GatewayID, SessionID: result.SessionID})
	return reply, nil
}

func (c *Controller) issueTicket(ctx context.Context) (*wire.OpenSessionReply, error) {
	if err := c.zone.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	reply := &wire.OpenSessionReply{}
	founded := false
	c.zoneMachine.Read(func(state *zonestate.State) {
		founded = state.Founded()
		reply.Ticket = state.Applied()
	})
	if !founded {
		return nil, failure.New(failure.NotReady, "the zone group is not founded yet")
	}
	return reply, nil
}

// sessionTerms returns the terms of a gateway's session; known is false if the gateway
// has no such open session.
func (c *Controller) sessionTerms(sessionID uint64, gatewayID string) (terms wire.Terms, known bool) {
	c.zoneMachine.Read(func(state *zonestate.State) {
		session, open := state.Sessions().Get(sessionID)
		if !open || session.MemberID != gatewayID {
			return
		}
		terms, known = wireTerms(session.Terms), true
	})
	return terms, known
}

func wireTerms(terms membership.Terms) wire.Terms {
	return wire.Terms{
		HeartbeatMillis: terms.HeartbeatMillis,
		LeaseMillis:     terms.LeaseMillis,
		IsolationMillis: terms.IsolationMillis,
	}
}

// handleHeartbeat renews a gateway's lease. The read barrier is requested after the
// heartbeat's arrival, so that a deposed leader renews no lease.
func (c *Controller) handleHeartbeat(ctx context.Context, request *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	arrived := c.now()
	term := c.currentTerm()
	if term == nil {
		return nil, c.notLeading()
	}
	term.heartbeatArrived(arrived, request)
	if err := c.zone.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	if c.currentTerm() != term {
		return nil, c.notLeading()
	}
	return term.heartbeatReply(c.now(), request, len(c.settings.Zones)), nil
}

// notLeading returns the error of a call that only the leader of the zone group can
// handle: NotReady if this controller leads but its term is not set up yet, otherwise
// a referral to the leader.
func (c *Controller) notLeading() error {
	if c.zone.Leads() {
		return failure.New(failure.NotReady, "this controller has just begun to lead")
	}
	return rpc.NotLeader(c.zone.LeaderAddress())
}

// handleCloseSession ends a session whose gateway has no requests in flight. It
// succeeds if the session has ended before.
func (c *Controller) handleCloseSession(ctx context.Context, request *wire.CloseSessionRequest) (*wire.CloseSessionReply, error) {
	result, err := c.proposeZone(ctx, &zonestate.Command{
		Kind:    zonestate.KindEndSession,
		Session: &zonestate.SessionCommand{SessionID: request.SessionID, GatewayID: request.GatewayID},
	})
	if err != nil {
		return nil, err
	}
	if result.Outcome == zonestate.OutcomeNotFound {
		return &wire.CloseSessionReply{}, nil
	}
	return &wire.CloseSessionReply{}, resultError(result)
}

// handleWatch serves a long poll for a newer view than the watcher's. Every
// replica can serve it: views are built from committed state, and a watcher never
// goes back to an older one.
func (c *Controller) handleWatch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchReply, error) {
	if !c.watches.TryAcquire(1) {
		return nil, failure.New(failure.QueueFull, "too many watches wait")
	}
	defer c.watches.Release(1)
	wait := min(time.Duration(request.WaitMillis)*time.Millisecond, maximumWatchTime)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := c.zoneMachine.changed.wait()
		view := c.zoneMachine.ViewFor(request)
		if view.Revision > request.Revision || view.BringsConfig() {
			return &wire.WatchReply{View: view}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return &wire.WatchReply{View: view}, nil
		case <-c.stopping.Done():
			return nil, failure.New(failure.Leaving, "the controller is leaving")
		case <-ctx.Done():
			return nil, failure.Wrap(ctx.Err(), failure.DeadlineExceeded)
		}
	}
}
