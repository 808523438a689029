package controller

import (
	"context"

	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// handleClaim replies only after the claim is committed. An error with unknown
// outcome means that the claim may be granted; the gateway must then not
// dispatch the request, and may retry the claim with the same attempt ID.
func (c *Controller) handleClaim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	result, err := c.proposeZone(ctx, &zonestate.Command{
		Kind: zonestate.KindClaim,
		OnceOnly: &zonestate.OnceOnlyCommand{
			Zone:      request.Zone,
			GatewayID: request.GatewayID,
			SessionID: request.SessionID,
			Tenant:    request.Tenant,
			Key:       request.Key,
			BodyHash:  request.BodyHash,
			AttemptID: request.AttemptID,
		},
	})
	if err != nil {
		return nil, err
	}
	if result.Outcome == zonestate.OutcomeNotReady {
		return &wire.ClaimReply{Status: wire.ClaimNotReady}, nil
	}
	if result.OnceOnly == nil {
		return nil, resultError(result)
	}
	reply := &wire.ClaimReply{
		Status:         wire.ClaimStatus(result.OnceOnly.Status),
		DispatchMillis: result.OnceOnly.DispatchMillis,
	}
	if answer := result.OnceOnly.Answer; answer != nil {
		reply.AnswerStatus = answer.Status
		reply.AnswerBody = answer.Body
	}
	return reply, nil
}

// handleComplete stores the answer of an executed request.
func (c *Controller) handleComplete(ctx context.Context, request *wire.CompleteRequest) (*wire.CompleteReply, error) {
	status, err := c.proposeOnceOnly(ctx, zonestate.KindComplete, &zonestate.OnceOnlyCommand{
		Tenant:    request.Tenant,
		Key:       request.Key,
		AttemptID: request.AttemptID,
		Answer:    &onceonly.Answer{Status: request.AnswerStatus, Body: c.truncateAnswer(request.AnswerBody)},
	})
	if err != nil {
		return nil, err
	}
	return &wire.CompleteReply{Stored: status == onceonly.StatusDone}, nil
}

// truncateAnswer truncates an answer that is too large to be stored to one byte
// more than the limit: the table of claims still sees that it is too large, and
// the log need not carry the rest.
func (c *Controller) truncateAnswer(body []byte) []byte {
	var limit int
	c.zoneMachine.Read(func(state *zonestate.State) { limit = state.Parameters().OnceOnly.AnswerBytes })
	return body[:min(len(body), limit+1)]
}

// handleRelease releases a claim if its attempt has not run and never will;
// otherwise it marks the claim unknown permanently.
func (c *Controller) handleRelease(ctx context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	status, err := c.proposeOnceOnly(ctx, zonestate.KindRelease, &zonestate.OnceOnlyCommand{
		Tenant:    request.Tenant,
		Key:       request.Key,
		AttemptID: request.AttemptID,
		NotRun:    request.NotRun,
	})
	if err != nil {
		return nil, err
	}
	return &wire.ReleaseReply{Released: status == onceonly.StatusDone}, nil
}

func (c *Controller) proposeOnceOnly(ctx context.Context, kind zonestate.Kind, command *zonestate.OnceOnlyCommand) (onceonly.Status, error) {
	result, err := c.proposeZone(ctx, &zonestate.Command{Kind: kind, OnceOnly: command})
	if err != nil {
		return "", err
	}
	if result.OnceOnly == nil {
		return "", resultError(result)
	}
	if result.OnceOnly.Status == onceonly.StatusInvalid {
		return "", failure.New(failure.IdempotencyKeyInvalid, "the key does not belong to this zone")
	}
	return result.OnceOnly.Status, nil
}
