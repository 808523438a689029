package controller

import (
	"context"
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/replication"
)

// membershipTimeout bounds a membership change, which waits until a new replica
// has caught up.
const membershipTimeout = 2 * time.Minute

var errUnknownAction = errors.New("unknown action on members")

// groupByNumber returns the group with a number if this controller hosts a replica
// of it.
func (c *Controller) groupByNumber(number uint64) (*replication.Group, error) {
	for _, g := range c.groups() {
		if g.Number == number {
			return g, nil
		}
	}
	return nil, failure.New(failure.NotFound, "this controller hosts no replica of the group")
}

func (c *Controller) handleConsensus(_ context.Context, batch *peer.ConsensusBatch) (*peer.Empty, error) {
	for _, message := range batch.Messages {
		g, err := c.groupByNumber(message.Group)
		if err != nil {
			continue
		}
		c.transport.Learn(message.Group, message.From, batch.From)
		g.Runner.Receive(message)
	}
	return &peer.Empty{}, nil
}

func (c *Controller) handlePropose(ctx context.Context, request *peer.ProposeRequest) (*peer.ProposeReply, error) {
	g, err := c.groupByNumber(request.Group)
	if err != nil {
		return nil, err
	}
	index, result, err := g.Propose(ctx, request.Command)
	if err != nil {
		return nil, err
	}
	return &peer.ProposeReply{Index: index, Result: result}, nil
}

func (c *Controller) handleIdentity(_ context.Context, request *peer.GroupRequest) (*peer.IdentityReply, error) {
	g, err := c.groupByNumber(request.Group)
	if err != nil {
		return nil, err
	}
	return g.Identity(), nil
}

func (c *Controller) handleGroupState(_ context.Context, request *peer.GroupRequest) (*operatorapi.GroupState, error) {
	g, err := c.groupByNumber(request.Group)
	if err != nil {
		return nil, err
	}
	state := groupState(g)
	return &state, nil
}

// handleMembership executes one membership change at the group's leader. Callers
// may repeat it.
func (c *Controller) handleMembership(ctx context.Context, request *peer.MembershipRequest) (*operatorapi.GroupState, error) {
	g, err := c.groupByNumber(request.Group)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	if err := translateMembershipError(g, changeMembers(ctx, g, request)); err != nil {
		return nil, err
	}
	state := groupState(g)
	return &state, nil
}

func changeMembers(ctx context.Context, g *replication.Group, request *peer.MembershipRequest) error {
	added := consensus.Member{ID: consensus.ReplicaID(request.NewReplica), Address: request.Address}
	existing := consensus.ReplicaID(request.Replica)
	switch operatorapi.MemberAction(request.Action) {
	case operatorapi.MemberAdd:
		return g.Runner.AddLearner(ctx, added)
	case operatorapi.MemberPromote:
		return g.Runner.Promote(ctx, existing)
	case operatorapi.MemberRemove:
		return g.Runner.Remove(ctx, existing)
	case operatorapi.MemberReplace:
		return g.Runner.Replace(ctx, existing, added)
	}
	return errUnknownAction
}

// translateMembershipError sets the failure kind of an error of a membership
// change.
func translateMembershipError(g *replication.Group, err error) error {
	switch {
	case errors.Is(err, consensus.ErrUnknownMember):
		return failure.Wrap(err, failure.NotFound)
	case errors.Is(err, consensus.ErrQuorumAtRisk):
		return failure.Wrap(err, failure.NoQuorum)
	case errors.Is(err, errUnknownAction):
		return failure.Wrap(err, failure.InvalidDocument)
	}
	return g.Translate(err)
}

func (c *Controller) handleDocuments(ctx context.Context, request *peer.DocumentsRequest) (*peer.DocumentsReply, error) {
	if c.config == nil {
		return nil, failure.New(failure.NotFound, "this controller is not a config voter")
	}
	if err := c.config.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	revision, documents := c.configMachine.documents(request.Kind, request.Name)
	return &peer.DocumentsReply{Revision: revision, Documents: documents}, nil
}
