package replica

import (
	"errors"
	"path"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// maintenance makes planned changes to the cluster while faults are injected: it
// transfers leadership, promotes learners too early, and removes members,
// including the leader, which the operator then adds again. Changes go to every
// machine that believes it is the leader, so that they race.
type maintenance struct {
	cluster  *cluster
	operator *operator
	stopped  bool
	// noVoterLossUntil separates planned removals from disk losses: no algorithm
	// survives the removal of one of three voters while another is lost.
	noVoterLossUntil time.Duration
	transfers        int
	removals         int
}

const voterLossInterval = 1500 * time.Millisecond

func (m *maintenance) start() {
	m.cluster.after(m.cluster.randomDuration(900*time.Millisecond), func() {
		if m.stopped {
			return
		}
		for _, leader := range m.cluster.machines {
			if leader.node != nil && leader.node.Status().Role == consensus.RoleLeader {
				m.runRandomAction(leader)
			}
		}
		m.start()
	})
}

func (m *maintenance) runRandomAction(leader *machine) {
	switch m.cluster.random.IntN(4) {
	case 0:
		m.transfer(leader)
	case 1:
		m.promoteEarly(leader)
	case 2, 3:
		m.remove(leader)
	}
}

func (m *maintenance) transfer(leader *machine) {
	target := m.cluster.machines[m.cluster.random.IntN(len(m.cluster.machines))]
	if m.cluster.random.IntN(3) == 0 {
		// The id of zero lets the leader choose the target.
		target = &machine{}
	}
	m.transfers++
	number := m.operator.newRequestID()
	leader.call(func() (Outputs, error) { return leader.node.Transfer(leader.now(), number, target.id) })
}

func (m *maintenance) promoteEarly(leader *machine) {
	for _, member := range leader.node.Status().Members {
		if member.Learner {
			m.change(leader, consensus.PromoteLearner, member.ID)
		}
	}
}

// remove requests the removal of one or two members at the same time; at most one
// removal can succeed.
func (m *maintenance) remove(leader *machine) {
	if len(m.cluster.machines) < 3 || !m.operator.isFullyRepaired() || m.cluster.now < m.noVoterLossUntil {
		return
	}
	m.noVoterLossUntil = m.cluster.now + voterLossInterval
	m.removals++
	for range 1 + m.cluster.random.IntN(2) {
		removed := m.cluster.machines[m.cluster.random.IntN(len(m.cluster.machines))]
		m.change(leader, consensus.RemoveMember, removed.id)
	}
}

func (m *maintenance) change(leader *machine, kind consensus.MembershipChangeKind, id consensus.ReplicaID) {
	number := m.operator.newRequestID()
	change := consensus.MembershipChange{Kind: kind, Member: consensus.Member{ID: id}}
	leader.call(func() (Outputs, error) { return leader.node.ChangeMembership(leader.now(), number, change) })
}

// flipBit ends a machine's process and damages one of its files. Damage that
// cannot be distinguished from a torn write is undone.
func (m *machine) flipBit() {
	m.stop()
	m.disk.KillProcess()
	names, err := m.disk.List(testDirectory)
	m.cluster.checks.noError("list", err)
	name := path.Join(testDirectory, names[m.cluster.random.IntN(len(names))])
	content, err := m.disk.ReadFile(name)
	m.cluster.checks.noError("read", err)
	if len(content) > 0 {
		offset := m.cluster.random.IntN(len(content))
		m.cluster.checks.noError("flip", m.disk.Corrupt(name, offset))
		m.isDamaged = errors.Is(storage.Verify(m.disk, testDirectory), storage.ErrCorrupt)
		if !m.isDamaged {
			m.cluster.checks.noError("flip back", m.disk.Corrupt(name, offset))
		}
	}
	m.cluster.after(m.cluster.randomDuration(300*time.Millisecond), m.start)
}

// backUp copies the disk, for restoreBackup.
func (m *machine) backUp() {
	// Without a running node the disk may still be empty. A copy of an empty disk
	// would open as a new replica instead of being quarantined, which is what the
	// checks expect of a restored copy.
	if m.node != nil {
		m.backup = m.disk.Copy()
	}
}

// restoreBackup replaces the disk with an earlier copy.
func (m *machine) restoreBackup() {
	m.stop()
	m.disk = m.backup
	m.backup = nil
	m.isDamaged = true
	if m.cluster.planted.acceptOldCopy {
		m.isDamaged = false
		m.cluster.checks.noError("accept", storage.AcceptCopy(m.disk, testDirectory))
	}
	m.cluster.after(m.cluster.randomDuration(20*time.Millisecond), m.start)
}

// discard removes the data of a quarantined replica, as an operator would. It is
// retried if a crash interrupts it.
func (m *machine) discard() {
	err := storage.Discard(m.disk, testDirectory)
	if err != nil {
		m.cluster.checks.checkOpenError(m, err)
		m.disk.Crash(m.cluster.random)
		m.cluster.after(m.cluster.randomDuration(300*time.Millisecond), m.discard)
		return
	}
	m.isDamaged = false
	m.id = 0
	m.cluster.after(m.cluster.randomDuration(300*time.Millisecond), m.start)
}
