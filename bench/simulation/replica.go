package simulation

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// group is a replica group and what is known of it from outside.
type group struct {
	name    string
	number  uint64
	members []*controller
	// hosts maps each replica id that ever existed to its machine.
	hosts map[consensus.ReplicaID]*hostedReplica
}

const (
	snapshotEntries = 150
	segmentBytes    = 16 << 10
	chunkBytes      = 2 << 10
)

// hostedReplica is a controller's replica of one group: the part of the
// daemon's replica.Runner that a single goroutine can do.
type hostedReplica struct {
	owner     *controller
	group     *group
	directory string
	random    *rand.Rand
	machine   replica.StateMachine
	node      *replica.Node
	id        consensus.ReplicaID
	nextID    uint64
	proposals map[uint64]func(replica.Completion)
	reads     map[uint64]func(error)
	// leads is the term in which this replica last knew that it leads.
	leads uint64
	// changed is told when the replica begins or ceases to lead.
	changed func(term uint64)
}

// open reads what is on disk and starts the replica.
func (r *hostedReplica) open(machine replica.StateMachine) error {
	w := r.owner.world
	r.proposals = map[uint64]func(replica.Completion){}
	r.reads = map[uint64]func(error){}
	r.leads = 0
	r.machine = &checkedMachine{StateMachine: machine, replica: r}
	node, err := replica.OpenNode(replica.Config{
		Group:              r.group.number,
		Directory:          r.directory,
		FileSystem:         r.owner.disk,
		StateMachine:       r.machine,
		Random:             r.random,
		ElectionTimeout:    w.timing.electionTimeout,
		HeartbeatInterval:  w.timing.raftHeartbeat,
		SnapshotEntries:    snapshotEntries,
		SegmentBytes:       w.segmentBytes(),
		SnapshotChunkBytes: chunkBytes,
	}, r.owner.now())
	if err != nil {
		return err
	}
	r.node = node
	r.id = node.Status().ID
	r.group.hosts[r.id] = r
	return nil
}

// close is the end of the process: nothing is written.
func (r *hostedReplica) close() { r.node = nil }

func (r *hostedReplica) tick() {
	r.call(func(now time.Duration) (replica.Outputs, error) { return r.node.Tick(now) })
}

// call carries out one input and what follows from it.
func (r *hostedReplica) call(input func(now time.Duration) (replica.Outputs, error)) {
	if r.node == nil {
		return
	}
	outputs, err := input(r.owner.now())
	for _, message := range outputs.Messages {
		r.send(message)
	}
	for _, completion := range outputs.Completed {
		r.complete(completion)
	}
	for _, read := range outputs.Reads {
		if waiting, found := r.reads[read.RequestID]; found {
			delete(r.reads, read.RequestID)
			waiting(read.Err)
		}
	}
	if err != nil {
		r.owner.failed(err)
		return
	}
	if r.node != nil {
		r.observe()
	}
}

func (r *hostedReplica) complete(completion replica.Completion) {
	waiting, found := r.proposals[completion.RequestID]
	if !found {
		return
	}
	delete(r.proposals, completion.RequestID)
	r.owner.world.rules.completed(r, completion)
	waiting(completion)
}

// observe checks election safety and tells of a change of leadership.
func (r *hostedReplica) observe() {
	status := r.node.Status()
	leads := uint64(0)
	if status.Role == consensus.RoleLeader {
		leads = status.Term
		r.owner.world.rules.leads(r, status.Term)
	}
	if leads == r.leads {
		return
	}
	r.leads = leads
	r.owner.world.note(r.owner.name, "%s: leads in term %d", r.group.name, leads)
	if r.changed != nil {
		r.changed(leads)
	}
}

// send encodes a message, as the wire does, so that no memory is shared.
func (r *hostedReplica) send(message consensus.Message) {
	host := r.group.hosts[message.To]
	if host == nil || r.owner.world.plant == PlantUntoldRemoval && message.Kind == consensus.MessageRemoved {
		return
	}
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		r.owner.world.rules.violate(ruleInternal, "%s: encode message: %v", r.owner.name, err)
		return
	}
	r.owner.world.datagram(&r.owner.process, &host.owner.process, func() {
		var received consensus.Message
		if _, err := received.UnmarshalMsg(encoded); err != nil {
			host.owner.world.rules.violate(ruleInternal, "%s: decode message: %v", host.owner.name, err)
			return
		}
		host.call(func(now time.Duration) (replica.Outputs, error) { return host.node.Receive(now, received) })
	})
}

// propose commits a command; done gets its result or why there is none. The
// wait is bounded as in the daemon.
func (r *hostedReplica) propose(command []byte, done func(index uint64, result []byte, err *callError)) {
	if r.node == nil {
		done(0, nil, refused(failure.StorageFailed, "replica takes no part"))
		return
	}
	r.nextID++
	id := r.nextID
	r.proposals[id] = func(completion replica.Completion) {
		done(completion.Index, completion.Result, r.translate(completion.Err))
	}
	r.owner.after(r.owner.world.timing.proposalTimeout, func() {
		if _, waits := r.proposals[id]; waits {
			delete(r.proposals, id)
			done(0, nil, answeredUnknown)
		}
	})
	r.call(func(now time.Duration) (replica.Outputs, error) { return r.node.Propose(now, id, command) })
}

// answeredUnknown is a leader's own word that a proposal may take effect.
var answeredUnknown = &callError{kind: failure.OutcomeUnknown, ran: failure.RanUnknown, answered: true, detail: "outcome unknown"}

// readBarrier proves that this replica still leads.
func (r *hostedReplica) readBarrier(done func(err *callError)) {
	if r.node == nil {
		done(refused(failure.StorageFailed, "replica takes no part"))
		return
	}
	if r.owner.world.plant == PlantLocalRead {
		done(nil)
		return
	}
	r.nextID++
	id := r.nextID
	r.reads[id] = func(err error) { done(r.translate(err)) }
	r.owner.after(r.owner.world.timing.proposalTimeout, func() {
		if _, waits := r.reads[id]; waits {
			delete(r.reads, id)
			done(refused(failure.NoQuorum, "no majority has confirmed the leadership"))
		}
	})
	r.call(func(now time.Duration) (replica.Outputs, error) { return r.node.ReadBarrier(now, id) })
}

// changeMembership makes one change; done gets consensus errors as they are.
func (r *hostedReplica) changeMembership(change consensus.MembershipChange, done func(error)) {
	r.nextID++
	id := r.nextID
	r.proposals[id] = func(completion replica.Completion) { done(completion.Err) }
	r.call(func(now time.Duration) (replica.Outputs, error) {
		return r.node.ChangeMembership(now, id, change)
	})
}

// translate gives an error of package replica its kind, as the daemon does.
func (r *hostedReplica) translate(err error) *callError {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replica.ErrNotLeader), errors.Is(err, replica.ErrDropped):
		return r.notLeader()
	case errors.Is(err, replica.ErrOverloaded):
		return refused(failure.QueueFull, err.Error())
	default:
		return answeredUnknown
	}
}

func (r *hostedReplica) notLeader() *callError {
	err := refused(failure.NotLeader, "this controller does not lead "+r.group.name)
	err.leader = r.leaderAddress()
	return err
}

func (r *hostedReplica) leaderAddress() string {
	if r.node == nil {
		return ""
	}
	status := r.node.Status()
	leader, _ := status.Member(status.Leader)
	return leader.Address
}
