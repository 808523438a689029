package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/replication"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

// joinGroup makes this coordinator a member of the group. Until the context ends, it asks the other
// coordinators to be added whenever this one is not a member, or can't tell. A seed that may
// bootstrap the group also tries at the same time to found it together with the other seeds, which
// only one of them coordinates (replication.Founder).
func (c *Coordinator) joinGroup(ctx context.Context) {
	seeds := c.settings.Seeds()
	if c.settings.Bootstrap && slices.Contains(seeds, c.settings.Address) {
		founding, cancel := context.WithCancel(ctx)
		defer cancel()
		founder := &replication.Founder{Group: c.group, Client: c.client, Self: c.settings.Address, Logger: c.logger}
		go founder.Found(founding, seeds)
	}
	asking := false
	lastError := ""
	for lifecycle.Sleep(ctx, joinInterval) {
		status := c.group.Runner.Status()
		if !mustJoin(status) {
			asking = false
			continue
		}
		err := c.requestFromOthers(ctx, region.PathJoin)
		if text := failure.Text(err); !asking || text != lastError {
			asking, lastError = true, text
			c.logger.Info(event.JoinAsked, "replica", uint64(status.ID), "removed_at", status.RemovedAt,
				"leader_silent_ms", status.LeaderSilence.Milliseconds(), "error", text)
		}
	}
}

// mustJoin reports whether a replica has to ask for its membership. It may have been removed
// without learning of it once it has heard from no leader for longer than voterSilence; a member's
// request changes nothing. One that could not keep the log does not ask.
func mustJoin(status replica.Status) bool {
	if status.Quarantined != nil || status.Stalled != nil {
		return false
	}
	return !status.IsMember() || status.LeaderSilence > voterSilence
}

// isMember reports whether this replica is a member of the group, as far as it
// knows.
func (c *Coordinator) isMember() bool { return c.group.Runner.Status().IsMember() }

// IsVoter reports whether this coordinator is a voter, knows that the membership
// change that made it one is committed, and is the only voter at its address: the
// voter that it replaces has been removed. Only then does the group keep a majority
// if it loses another voter.
func (c *Coordinator) IsVoter() bool {
	status := c.group.Runner.Status()
	self, listed := status.Member(status.ID)
	return listed && !self.Learner && status.CommitIndex >= status.MembershipIndex && hasUniqueAddress(status.Members, self)
}

// Leads reports whether this coordinator believes that it leads.
func (c *Coordinator) Leads() bool { return c.group.Leads() }

// requestFromOthers makes a request about this coordinator's membership: it asks each other
// coordinator in turn, and the leader that this one names, until one of them has done it.
func (c *Coordinator) requestFromOthers(ctx context.Context, path string) error {
	request := &region.JoinRequest{
		Address: c.settings.Address,
		Replica: uint64(c.group.Runner.Status().ID),
	}
	var last error
	for _, address := range c.others() {
		last = c.callWithRedirect(ctx, address, path, request, &peer.Empty{})
		if last == nil {
			return nil
		}
	}
	return last
}

// others returns the addresses of the other seeds, and those of the other members that the log
// names: each may name only coordinators that are gone.
func (c *Coordinator) others() []string {
	others := slices.Clone(c.settings.Seeds())
	for _, address := range c.group.MemberAddresses() {
		if !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	return slices.DeleteFunc(others, func(address string) bool { return address == c.settings.Address })
}

// callWithRedirect calls a coordinator and, if that is not the leader, the leader that it
// names.
func (c *Coordinator) callWithRedirect(ctx context.Context, address, path string, request message, reply reply) error {
	err := c.client.Call(ctx, address, path, request, reply)
	leader := rpc.LeaderAddress(err)
	if leader == "" || leader == address {
		return err
	}
	return c.client.Call(ctx, leader, path, request, reply)
}

// handleJoin adds a coordinator's replica of the log to the consensus group as a learner, if it is not
// a member yet. Only the leader does so; other coordinators return its address.
func (c *Coordinator) handleJoin(ctx context.Context, request *region.JoinRequest) (*peer.Empty, error) {
	status := c.group.Runner.Status()
	if status.Role != consensus.RoleLeader {
		return nil, rpc.NotLeader(c.group.LeaderAddress())
	}
	if request.Replica == 0 {
		return nil, failure.New(failure.InvalidDocument, "replica ID 0 is invalid: the replica's data folder can't be used")
	}
	id := consensus.ReplicaID(request.Replica)
	if _, known := status.Member(id); known {
		return &peer.Empty{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.checkIdentity(ctx, request); err != nil {
		return nil, err
	}
	err := c.group.Runner.AddLearner(ctx, consensus.Member{ID: id, Address: request.Address})
	c.logger.Info(event.ReplicaJoins, "replica", request.Replica, "address", request.Address, "error", failure.Text(err))
	return &peer.Empty{}, c.group.Translate(err)
}

// checkIdentity checks that the replica that asks to be added is reached at its address. If it
// were not, it would be added and removed again and again.
func (c *Coordinator) checkIdentity(ctx context.Context, request *region.JoinRequest) error {
	identity, err := replication.AskIdentity(ctx, c.client, request.Address, groupNumber)
	if err != nil {
		return failure.Wrap(err, failure.NotReady, failure.WithRan(failure.RanNo))
	}
	if identity.Replica != request.Replica {
		return failure.New(failure.InvalidDocument, "another replica is at the address "+request.Address)
	}
	return nil
}

// memberWatch records when the leader last heard from each member.
type memberWatch struct {
	term      uint64
	lastHeard map[uint64]time.Duration
}

// silences returns for how long each member has been silent. The times start at zero
// in each term.
func (w *memberWatch) silences(now time.Duration, status replica.Status) map[consensus.ReplicaID]time.Duration {
	if w.term != status.Term {
		w.term = status.Term
		w.lastHeard = map[uint64]time.Duration{}
	}
	silent := make(map[consensus.ReplicaID]time.Duration, len(status.Members))
	for _, member := range status.Members {
		id := uint64(member.ID)
		_, known := w.lastHeard[id]
		if !known || member.RecentlyActive || member.ID == status.ID {
			w.lastHeard[id] = now
		}
		silent[member.ID] = now - w.lastHeard[id]
	}
	return silent
}

// manageMembers makes the membership changes that are due while this coordinator is the
// leader, one at a time.
func (c *Coordinator) manageMembers(ctx context.Context) {
	for lifecycle.Sleep(ctx, membershipInterval) {
		status := c.group.Runner.Status()
		if status.Role != consensus.RoleLeader {
			continue
		}
		silences := c.members.silences(c.now(), status)
		c.retirements.addTo(silences, c.now())
		change := nextChange(status, silences, c.settings.Voters)
		if change.kind == changeNone {
			continue
		}
		member, _ := status.Member(change.replica)
		old, _ := status.Member(change.old)
		err := c.applyMemberChange(ctx, change)
		c.logger.Info(event.MembershipChanged, "change", change.kind, "replica", uint64(change.replica),
			"address", member.Address, "silent_ms", silences[change.replica].Milliseconds(),
			"old", uint64(change.old), "old_address", old.Address, "old_silent_ms", silences[change.old].Milliseconds(),
			"error", failure.Text(err))
	}
}

// membershipTimeout bounds one membership change.
const membershipTimeout = 3 * time.Second

func (c *Coordinator) applyMemberChange(ctx context.Context, change memberChange) error {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	switch change.kind {
	case changePromote:
		return c.group.Runner.Promote(ctx, change.replica)
	case changeRemove:
		return c.group.Runner.Remove(ctx, change.replica)
	default:
		member, _ := c.group.Runner.Status().Member(change.replica)
		return c.group.Runner.Replace(ctx, change.old, member.Member)
	}
}
