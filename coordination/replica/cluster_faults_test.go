package replica

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// operator repairs the membership after a disk loss, as the controllers do.
type operator struct {
	cluster *cluster
	next    uint64
}

const firstOperatorRequest = 1 << 40

func (o *operator) start() {
	o.cluster.after(50*time.Millisecond, func() {
		o.repair()
		o.start()
	})
}

func (o *operator) repair() {
	leader := o.cluster.leader()
	if leader == nil {
		return
	}
	change, needed := o.nextChange(leader.node.Status())
	if !needed {
		return
	}
	number := o.newRequestID()
	leader.call(func() (Outputs, error) { return leader.node.ChangeMembership(leader.now(), number, change) })
}

// newRequestID returns a request id that no client uses.
func (o *operator) newRequestID() uint64 {
	o.next++
	number := firstOperatorRequest + o.next
	o.cluster.clients.membership[number] = true
	return number
}

// nextChange returns the next step to replace a lost member, in the order of
// Runner.Replace.
func (o *operator) nextChange(status Status) (consensus.MembershipChange, bool) {
	for _, m := range o.cluster.machines {
		if m.node == nil {
			continue
		}
		id := m.node.Status().ID
		if _, found := status.Member(id); !found {
			return consensus.MembershipChange{Kind: consensus.AddLearner, Member: consensus.Member{ID: id, Address: m.address()}}, true
		}
	}
	for _, member := range status.Members {
		if !member.Learner || member.MatchIndex < status.CommitIndex || !o.isCurrent(member.ID) {
			continue
		}
		if stale, found := o.staleMember(status); found {
			return consensus.MembershipChange{Kind: consensus.RemoveMember, Member: stale}, true
		}
		return consensus.MembershipChange{Kind: consensus.PromoteLearner, Member: member.Member}, true
	}
	// A learner may have been promoted before the lost member was removed.
	if stale, found := o.staleMember(status); found && len(status.Members) > len(o.cluster.machines) {
		return consensus.MembershipChange{Kind: consensus.RemoveMember, Member: stale}, true
	}
	return consensus.MembershipChange{}, false
}

func (o *operator) staleMember(status Status) (consensus.Member, bool) {
	for _, member := range status.Members {
		if !o.isCurrent(member.ID) {
			return member.Member, true
		}
	}
	return consensus.Member{}, false
}

// isCurrent reports whether the replica with the id is on a machine's current
// disk.
func (o *operator) isCurrent(id consensus.ReplicaID) bool {
	m := o.cluster.byID[id]
	return m != nil && m.id == id
}

// isFullyRepaired reports whether every machine's replica is a voter in a
// committed membership, so that one more disk may be lost.
func (o *operator) isFullyRepaired() bool {
	leader := o.cluster.leader()
	if leader == nil {
		return false
	}
	status := leader.node.Status()
	if status.CommitIndex < status.MembershipIndex || len(status.Members) != len(o.cluster.machines) {
		return false
	}
	for _, member := range status.Members {
		if member.Learner || !o.isCurrent(member.ID) {
			return false
		}
	}
	return true
}

// faults injects random faults, one or two at a time, which may overlap with
// earlier ones.
type faults struct {
	cluster     *cluster
	operator    *operator
	maintenance *maintenance
	stopped     bool
	lostDisks   int
	flippedBits int
	restored    int
}

func (f *faults) start() {
	f.cluster.after(f.cluster.randomDuration(700*time.Millisecond), func() {
		if f.stopped {
			return
		}
		f.inject()
		if f.cluster.random.IntN(4) == 0 {
			f.inject()
		}
		f.start()
	})
}

func (f *faults) inject() {
	c := f.cluster
	m := c.machines[c.random.IntN(len(c.machines))]
	switch c.random.IntN(16) {
	case 0:
		m.crash()
	case 1:
		m.kill()
	case 2:
		m.pause(c.randomDuration(1500 * time.Millisecond))
	case 3:
		f.isolate(m)
	case 4:
		f.blockSomeOutgoing(m)
	case 5:
		f.degradeNetwork()
	case 6:
		m.disk.FailSyncs(1)
	case 7:
		f.fillDisk(m)
	case 8:
		f.loseDisk(m)
	case 9:
		f.crashAll()
	case 10:
		f.crashLeader()
	case 11, 12:
		m.disk.CrashAfter(c.random.IntN(40))
	case 13:
		f.flipBit(m)
	case 14:
		m.backUp()
	case 15:
		f.restoreBackup(m)
	}
}

// fillDisk leaves little or no free space on a disk for a random time.
func (f *faults) fillDisk(m *machine) {
	disk := m.disk
	disk.SetCapacity(disk.UsedBytes() + int64(f.cluster.random.IntN(2000)))
	f.cluster.after(f.cluster.randomDuration(1500*time.Millisecond), func() { disk.SetCapacity(0) })
}

func (f *faults) isolate(m *machine) {
	for _, other := range f.cluster.machines {
		f.blockLink(m, other)
		f.blockLink(other, m)
	}
}

func (f *faults) blockSomeOutgoing(m *machine) {
	for _, other := range f.cluster.machines {
		if f.cluster.random.IntN(2) == 0 {
			f.blockLink(m, other)
		}
	}
}

func (f *faults) blockLink(from, to *machine) {
	pair := [2]int{from.number, to.number}
	f.cluster.network.blockedLinks[pair] = true
	f.cluster.after(f.cluster.randomDuration(2500*time.Millisecond), func() { delete(f.cluster.network.blockedLinks, pair) })
}

func (f *faults) degradeNetwork() {
	f.cluster.network.lossPercent = f.cluster.random.IntN(40)
	f.cluster.network.duplicatePercent = f.cluster.random.IntN(30)
	f.cluster.network.maxDelay = f.cluster.randomDuration(150 * time.Millisecond)
	f.cluster.after(f.cluster.randomDuration(2*time.Second), f.restoreNetwork)
}

func (f *faults) restoreNetwork() {
	f.cluster.network.lossPercent = 0
	f.cluster.network.duplicatePercent = 0
	f.cluster.network.maxDelay = 5 * time.Millisecond
}

// loseDisk replaces a machine's disk if the previous repair is complete. Half the
// time, a random machine's disk is lost as soon as that repair is complete.
func (f *faults) loseDisk(m *machine) {
	if !f.mayLoseDisk() {
		return
	}
	f.lostDisks++
	m.loseDisk()
	if f.cluster.random.IntN(2) == 0 {
		f.loseDiskAfterRepair()
	}
}

func (f *faults) flipBit(m *machine) {
	if m.node == nil || !f.mayLoseDisk() {
		return
	}
	f.flippedBits++
	m.flipBit()
}

func (f *faults) restoreBackup(m *machine) {
	if m.backup == nil || m.node == nil || !f.mayLoseDisk() {
		return
	}
	f.restored++
	m.restoreBackup()
	if f.cluster.planted.acceptOldCopy {
		// Otherwise a leader that knows what the replica had acknowledged would
		// detect that entries are missing.
		f.cluster.after(f.cluster.randomDuration(testTick), f.crashLeader)
	}
}

// mayLoseDisk reports whether one more disk may be lost. If so, it defers planned
// removals and further disk losses by voterLossInterval.
func (f *faults) mayLoseDisk() bool {
	if len(f.cluster.machines) < 3 || !f.operator.isFullyRepaired() || f.cluster.now < f.maintenance.noVoterLossUntil {
		return false
	}
	f.maintenance.noVoterLossUntil = f.cluster.now + voterLossInterval
	return true
}

func (f *faults) loseDiskAfterRepair() {
	f.cluster.after(testTick, func() {
		switch {
		case f.stopped:
		case f.mayLoseDisk():
			f.lostDisks++
			f.cluster.machines[f.cluster.random.IntN(len(f.cluster.machines))].loseDisk()
		default:
			f.loseDiskAfterRepair()
		}
	})
}

func (f *faults) crashAll() {
	for _, m := range f.cluster.machines {
		m.crash()
	}
}

func (f *faults) crashLeader() {
	if leader := f.cluster.leader(); leader != nil {
		leader.crash()
	}
}

// heal stops the injection and ends the network and disk faults. Crashed machines
// restart on their own.
func (f *faults) heal() {
	f.stopped = true
	f.restoreNetwork()
	f.cluster.network.blockedLinks = map[[2]int]bool{}
	for _, m := range f.cluster.machines {
		m.disk.FailSyncs(0)
		m.disk.SetCapacity(0)
	}
}
