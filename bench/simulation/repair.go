package simulation

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
)

// repairer is the operator who puts new replicas in the place of lost ones. It
// makes the steps of replica.Runner.Replace one by one.
type repairer struct {
	process
}

const repairInterval = 250 * time.Millisecond

func (w *world) newRepairer() *repairer {
	return &repairer{process: w.newProcess("repairer", w.zones[0].name)}
}

func (r *repairer) start() {
	r.begin()
	r.again()
}

func (r *repairer) again() {
	r.after(repairInterval, func() {
		for _, each := range r.world.controllers {
			if each.quarantined {
				each.quarantined = false
				each.loseDisk()
				each.startLater()
			}
		}
		for _, each := range r.world.groups {
			r.repair(each)
		}
		r.again()
	})
}

// repair asks the leader of a group for the next change that it needs.
func (r *repairer) repair(g *group) {
	leader := g.leader()
	if leader == nil {
		return
	}
	r.world.call(&r.process, &leader.owner.process, operatorTimeout,
		func(e *exchange) {
			if leader.node == nil {
				return
			}
			change, needed := g.nextChange(leader.node.Status())
			if !needed {
				return
			}
			r.world.note(leader.owner.name, "%s: membership change %d of %x", g.name, change.Kind, uint64(change.Member.ID))
			leader.changeMembership(change, func(error) {})
		}, func(any, *callError) {})
}

// leader is the replica that leads in the highest term.
func (g *group) leader() *hostedReplica {
	var leader *hostedReplica
	for _, owner := range g.members {
		hosted := owner.replicaOf(g)
		if hosted == nil || hosted.node == nil || !owner.alive || owner.paused {
			continue
		}
		if hosted.leads != 0 && (leader == nil || hosted.leads > leader.leads) {
			leader = hosted
		}
	}
	return leader
}

func (c *controller) replicaOf(g *group) *hostedReplica {
	for _, hosted := range c.replicas() {
		if hosted.group == g {
			return hosted
		}
	}
	return nil
}

// nextChange is the next step of replacing lost replicas: the new one becomes a
// learner and catches up before the voters change.
func (g *group) nextChange(status replica.Status) (consensus.MembershipChange, bool) {
	for _, owner := range g.members {
		hosted := owner.replicaOf(g)
		if hosted.node == nil {
			continue
		}
		if _, found := status.Member(hosted.id); !found && hosted.asksToJoin() {
			member := consensus.Member{ID: hosted.id, Address: owner.name}
			return consensus.MembershipChange{Kind: consensus.AddLearner, Member: member}, true
		}
	}
	for _, member := range status.Members {
		if !member.Learner || member.MatchIndex < status.CommitIndex || !g.isCurrent(member.ID) {
			continue
		}
		if stale, found := g.staleMember(status); found {
			return consensus.MembershipChange{Kind: consensus.RemoveMember, Member: stale}, true
		}
		return consensus.MembershipChange{Kind: consensus.PromoteLearner, Member: member.Member}, true
	}
	return consensus.MembershipChange{}, false
}

// asksToJoin reports whether a replica knows that it is no member.
func (r *hostedReplica) asksToJoin() bool {
	return r.owner.alive && !r.owner.paused && !r.node.Status().IsMember()
}

// remove takes a replica out of the group if another one leads.
func (g *group) remove(id consensus.ReplicaID) {
	if leader := g.leader(); leader != nil && leader.id != id {
		leader.changeMembership(consensus.MembershipChange{Kind: consensus.RemoveMember, Member: consensus.Member{ID: id}}, func(error) {})
	}
}

func (g *group) staleMember(status replica.Status) (consensus.Member, bool) {
	for _, member := range status.Members {
		if !g.isCurrent(member.ID) {
			return member.Member, true
		}
	}
	return consensus.Member{}, false
}

// isCurrent reports whether the replica lives on the disk of a machine.
func (g *group) isCurrent(id consensus.ReplicaID) bool {
	hosted := g.hosts[id]
	return hosted != nil && hosted.id == id
}

// isWhole reports whether every machine's replica is a voter of a committed
// membership, so that one more disk may be lost.
func (g *group) isWhole() bool {
	leader := g.leader()
	if leader == nil {
		return false
	}
	status := leader.node.Status()
	if status.CommitIndex < status.MembershipIndex || len(status.Members) != len(g.members) {
		return false
	}
	for _, member := range status.Members {
		if member.Learner || !g.isCurrent(member.ID) {
			return false
		}
	}
	for _, owner := range g.members {
		if hosted := owner.replicaOf(g); hosted.node == nil {
			return false
		}
	}
	return true
}
