package simulation

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/coordination/versioned"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// proposeZone commits a command of the zone group, here.
func (c *controller) proposeZone(command *zonestate.Command, done func(*zonestate.Result, *callError)) {
	command.TimeMillis = c.wallMillis()
	data, err := command.Encode()
	if err != nil {
		done(nil, refused(failure.Internal, err.Error()))
		return
	}
	c.zoneReplica.propose(data, func(_ uint64, encoded []byte, failed *callError) {
		if failed != nil {
			done(nil, failed)
			return
		}
		result, err := zonestate.DecodeResult(encoded)
		if err != nil {
			done(nil, refused(failure.Internal, err.Error()))
			return
		}
		done(&result, nil)
	})
}

// outcomeKinds turn outcomes other than done into refusals; all of them mean
// that nothing was changed.
var outcomeKinds = map[zonestate.Outcome]failure.Kind{
	zonestate.OutcomeStale:         failure.RevisionConflict,
	zonestate.OutcomeNotFound:      failure.NotFound,
	zonestate.OutcomeFull:          failure.QueueFull,
	zonestate.OutcomeInvalid:       failure.InvalidDocument,
	zonestate.OutcomeNotReady:      failure.NotReady,
	zonestate.OutcomeAddressInUse:  failure.Forbidden,
	zonestate.OutcomeRequestReused: failure.IdempotencyKeyReused,
}

func refusal(result *zonestate.Result) *callError {
	if result.Outcome == zonestate.OutcomeDone {
		return nil
	}
	err := refused(outcomeKinds[result.Outcome], string(result.Outcome)+": "+result.Detail)
	err.ran = failure.RanNo
	return err
}

// notLeading refuses a call that only the zone group's leader can answer.
func (c *controller) notLeading() *callError {
	if c.zoneReplica.leads != 0 {
		return refused(failure.NotReady, "this controller has just begun to lead")
	}
	return c.zoneReplica.notLeader()
}

func (c *controller) openSession(e *exchange, request *wire.OpenSessionRequest) {
	if request.Ticket == 0 {
		c.issueTicket(e)
		return
	}
	arrived := c.now()
	command := &zonestate.Command{Kind: zonestate.KindOpenSession, Session: &zonestate.SessionCommand{
		GatewayID: request.GatewayID, Incarnation: request.Incarnation,
		Address: request.Address, PeerAddress: request.PeerAddress, Ticket: request.Ticket,
	}}
	c.proposeZone(command, func(result *zonestate.Result, err *callError) {
		if err == nil {
			err = refusal(result)
		}
		if err != nil {
			e.refuse(err)
			return
		}
		c.sessionOpened(e, request, arrived, result.SessionID)
	})
}

func (c *controller) issueTicket(e *exchange) {
	c.zoneReplica.readBarrier(func(err *callError) {
		switch {
		case err != nil:
			e.refuse(err)
		case !c.zoneState.Founded():
			e.refuse(refused(failure.NotReady, "the zone group is not founded yet"))
		default:
			e.reply(&wire.OpenSessionReply{Ticket: c.zoneState.Applied()})
		}
	})
}

func (c *controller) sessionOpened(e *exchange, request *wire.OpenSessionRequest, arrived time.Duration, sessionID uint64) {
	t := c.term
	if t == nil {
		e.refuse(refused(failure.NotReady, "the session can't be handed out now"))
		return
	}
	t.core.RecordSessionOpened(arrived, sessionID)
	if !t.core.MayReturnSession(sessionID) {
		e.refuse(refused(failure.NotReady, "the session can't be handed out now"))
		return
	}
	reply := &wire.OpenSessionReply{SessionID: sessionID}
	if session, open := c.zoneState.Sessions().Get(sessionID); open && session.MemberID == request.GatewayID {
		reply.Terms = wire.Terms(session.Terms)
	}
	reply.View = c.viewFor(&wire.WatchRequest{GatewayID: request.GatewayID, SessionID: sessionID})
	e.reply(reply)
}

// heartbeat renews a lease after a read barrier that is asked for after the
// heartbeat's arrival.
func (c *controller) heartbeat(e *exchange, request *wire.HeartbeatRequest) {
	t := c.term
	if t == nil {
		e.refuse(c.notLeading())
		return
	}
	t.core.RecordHeartbeat(c.now(), request, c.zoneState)
	t.hurry()
	c.zoneReplica.readBarrier(func(err *callError) {
		switch {
		case err != nil:
			e.refuse(err)
		case c.term != t:
			e.refuse(c.notLeading())
		default:
			reply := t.core.AnswerHeartbeat(request, c.zoneState)
			known := c.zoneState.Poison()
			reply.Poison = known.NewsSince(request.PoisonRevision)
			c.plantHeartbeat(&reply)
			e.reply(&reply)
		}
	})
}

// viewFor is a view of committed state, encoded and decoded like on the wire.
func (c *controller) viewFor(request *wire.WatchRequest) wire.View {
	view := c.zoneState.ViewFor(request)
	c.plantConfig(&view)
	return view
}

func (c *controller) watch(e *exchange, request *wire.WatchRequest) {
	limit := time.Duration(request.WaitMillis) * time.Millisecond
	c.wait(limit, func() bool {
		view := c.viewFor(request)
		if view.Revision <= request.Revision && view.Config == nil {
			return false
		}
		e.reply(&wire.WatchReply{View: view})
		return true
	}, func() { e.reply(&wire.WatchReply{View: c.viewFor(request)}) })
}

func (c *controller) closeSession(e *exchange, request *wire.CloseSessionRequest) {
	command := &zonestate.Command{Kind: zonestate.KindEndSession, Session: &zonestate.SessionCommand{
		SessionID: request.SessionID, GatewayID: request.GatewayID,
	}}
	c.proposeZone(command, func(_ *zonestate.Result, err *callError) {
		if err != nil {
			e.refuse(err)
			return
		}
		e.reply(&wire.CloseSessionReply{})
	})
}

// claim answers only after the claim is committed.
func (c *controller) claim(e *exchange, request *wire.ClaimRequest) {
	command := &zonestate.Command{Kind: zonestate.KindClaim, OnceOnly: &zonestate.OnceOnlyCommand{
		Zone: request.Zone, GatewayID: request.GatewayID, SessionID: request.SessionID,
		Tenant: request.Tenant, Key: request.Key, BodyHash: request.BodyHash, AttemptID: request.AttemptID,
	}}
	c.proposeZone(command, func(result *zonestate.Result, err *callError) {
		switch {
		case err != nil:
			e.refuse(err)
		case result.Outcome == zonestate.OutcomeNotReady:
			e.reply(&wire.ClaimReply{Status: wire.ClaimNotReady})
		case result.OnceOnly == nil:
			e.refuse(refusal(result))
		default:
			e.reply(claimReply(result.OnceOnly))
		}
	})
}

func claimReply(found *onceonly.Reply) *wire.ClaimReply {
	reply := &wire.ClaimReply{Status: wire.ClaimStatus(found.Status), DispatchMillis: found.DispatchMillis}
	if found.Answer != nil {
		reply.AnswerStatus = found.Answer.Status
		reply.AnswerBody = found.Answer.Body
	}
	return reply
}

// endClaim carries out a complete or a release; its reply is the status.
func (c *controller) endClaim(e *exchange, command *zonestate.Command) {
	c.proposeZone(command, func(result *zonestate.Result, err *callError) {
		switch {
		case err != nil:
			e.refuse(err)
		case result.OnceOnly == nil:
			e.refuse(refusal(result))
		case result.OnceOnly.Status == onceonly.StatusInvalid:
			e.refuse(refused(failure.IdempotencyKeyInvalid, "the key does not belong to this zone"))
		default:
			e.reply(result.OnceOnly.Status)
		}
	})
}

// changeEngine carries out an operator's action on an engine.
func (c *controller) changeEngine(e *exchange, command zonestate.Command) {
	c.proposeZone(&command, func(result *zonestate.Result, err *callError) {
		if err == nil {
			err = refusal(result)
		}
		if err != nil {
			e.refuse(err)
			return
		}
		e.reply(result)
	})
}

// changeDocument commits an operator's change in the config group, here.
func (c *controller) changeDocument(e *exchange, command *versioned.Command) {
	data, err := command.Encode()
	if err != nil || c.configReplica == nil {
		e.refuse(refused(failure.NotFound, "this controller is no config voter"))
		return
	}
	c.configReplica.propose(data, func(_ uint64, encoded []byte, failed *callError) {
		if failed != nil {
			e.refuse(failed)
			return
		}
		result, err := versioned.DecodeResult(encoded)
		if err != nil {
			e.refuse(refused(failure.Internal, err.Error()))
			return
		}
		e.reply(&result)
	})
}

// readDocument reads a document at the config group's leader.
func (c *controller) readDocument(e *exchange, kind, name string) {
	if c.configReplica == nil {
		e.refuse(refused(failure.NotFound, "this controller is no config voter"))
		return
	}
	c.configReplica.readBarrier(func(err *callError) {
		if err != nil {
			e.refuse(err)
			return
		}
		document, _ := c.documents.store.Get(kind, name)
		e.reply(&document)
	})
}
