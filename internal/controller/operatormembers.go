package controller

import (
	"context"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/replication"
)

// Members implements operatorapi.Backend. It returns the leader's state of the
// group or, if no leader answers, that of any member that does.
func (c *Controller) Members(ctx context.Context, name string) (operatorapi.MemberList, error) {
	call, err := c.groupLeaderCall(name)
	if err != nil {
		return operatorapi.MemberList{}, err
	}
	var best operatorapi.GroupState
	var last error
	for _, address := range call.addresses {
		state, err := c.queryGroupState(ctx, address, name)
		if err != nil {
			last = err
			continue
		}
		if best.Name == "" || state.Leader == state.ReplicaID && state.Term >= best.Term {
			best = state
		}
		if best.Leader == best.ReplicaID && best.Leader != 0 {
			break
		}
	}
	if best.Name == "" {
		return operatorapi.MemberList{}, failure.Wrap(last, failure.NoQuorum, failure.WithRan(failure.RanNo))
	}
	return memberList(best), nil
}

func memberList(state operatorapi.GroupState) operatorapi.MemberList {
	if state.Members == nil {
		state.Members = []operatorapi.Member{}
	}
	return operatorapi.MemberList{Group: state}
}

func (c *Controller) queryGroupState(ctx context.Context, address, name string) (operatorapi.GroupState, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var state operatorapi.GroupState
	err := c.client.Call(ctx, address, peer.PathState, &peer.GroupRequest{Group: groupNumber(name)}, &state)
	return state, err
}

// groupLeaderCall returns a call to the leader of the config group or of a zone
// group. The caller sets its attempt.
func (c *Controller) groupLeaderCall(name string) (*leaderCall, error) {
	if name == operatorapi.GroupConfig {
		return c.configLeaderCall(nil), nil
	}
	return c.zoneLeaderCall(name, nil)
}

// CommandMembers implements operatorapi.Backend.
func (c *Controller) CommandMembers(ctx context.Context, name string, command operatorapi.MemberCommand) (operatorapi.MemberList, error) {
	call, err := c.groupLeaderCall(name)
	if err != nil {
		return operatorapi.MemberList{}, err
	}
	request := &peer.MembershipRequest{
		Group:   groupNumber(name),
		Action:  string(command.Action),
		Replica: command.ReplicaID,
		Address: command.Address,
	}
	if command.Action == operatorapi.MemberAdd || command.Action == operatorapi.MemberReplace {
		if request.NewReplica, err = c.replicaIDAt(ctx, name, command.Address); err != nil {
			return operatorapi.MemberList{}, err
		}
	}
	if request.NewReplica != 0 && request.NewReplica == request.Replica {
		return operatorapi.MemberList{}, failure.New(failure.InvalidDocument,
			"address: the replica there is the one to be replaced; its data folder must be empty")
	}
	var state operatorapi.GroupState
	call.attempt = func(ctx context.Context, address string) error {
		ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
		defer cancel()
		return c.membershipClient.Call(ctx, address, peer.PathMembership, request, &state)
	}
	if err := call.run(ctx); err != nil {
		return operatorapi.MemberList{}, err
	}
	return memberList(state), nil
}

// replicaIDAt asks the controller at an address for the id of its replica of a
// group. The id is bound to the replica's data folder: after the loss of a disk
// the replica has a new id and must be added again.
func (c *Controller) replicaIDAt(ctx context.Context, name, address string) (uint64, error) {
	identity, err := replication.AskIdentity(ctx, c.client, address, groupNumber(name))
	if err != nil {
		return 0, failure.Wrap(err, failure.NotReady, failure.WithRan(failure.RanNo))
	}
	return identity.Replica, nil
}
