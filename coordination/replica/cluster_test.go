package replica

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

const (
	testGroup        = 7
	testDirectory    = "/data/group"
	testTick         = 10 * time.Millisecond
	testElectionTime = 200 * time.Millisecond
)

// event is a function that runs at a point in virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// network holds the current network faults.
type network struct {
	lossPercent      int
	duplicatePercent int
	maxDelay         time.Duration
	// blockedLinks holds the pairs of sender and receiver whose messages are
	// dropped.
	blockedLinks map[[2]int]bool
}

// plantedBugs selects bugs that are introduced on purpose to test the checks.
type plantedBugs struct {
	ignoreSyncs             bool
	reuseOldIdentity        bool
	acceptOldCopy           bool
	readsWithoutBarrier     bool
	unknownReportedAsNotRun bool
}

type cluster struct {
	seed      uint64
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	lastEvent uint64
	machines  []*machine
	byID      map[consensus.ReplicaID]*machine
	network   network
	planted   plantedBugs
	clients   *clients
	checks    *checks
	founding  Founding
}

func newCluster(seed uint64, size int, planted plantedBugs) *cluster {
	c := &cluster{
		seed:    seed,
		random:  rand.New(rand.NewPCG(seed, 1)),
		byID:    map[consensus.ReplicaID]*machine{},
		network: network{maxDelay: 5 * time.Millisecond, blockedLinks: map[[2]int]bool{}},
		planted: planted,
		checks:  newChecks(),
	}
	c.clients = newClients(c)
	for number := range size {
		c.machines = append(c.machines, c.newMachine(number))
	}
	for _, m := range c.machines {
		m.start()
	}
	c.foundGroup()
	return c
}

func (c *cluster) newMachine(number int) *machine {
	m := &machine{
		cluster:     c,
		number:      number,
		random:      rand.New(rand.NewPCG(c.seed, uint64(number)+2)),
		clockRate:   0.95 + c.random.Float64()/10,
		clockOffset: time.Duration(c.random.Int64N(int64(time.Hour))),
	}
	m.replaceDisk()
	return m
}

// foundGroup founds the group as the controllers do.
func (c *cluster) foundGroup() {
	request := FoundingRequest{Group: testGroup, Token: 99}
	var promises []FoundingPromise
	var addresses []string
	for _, m := range c.machines {
		promise, err := m.node.PromiseFounding(request)
		c.checks.noError("promise", err)
		promise.Address = m.address()
		promises = append(promises, promise)
		addresses = append(addresses, m.address())
	}
	founding, err := NewFounding(request, 1, addresses, promises)
	c.checks.noError("founding", err)
	c.founding = founding
	// The last of several machines learns of the founding only from the leader.
	for _, m := range c.machines[:max(1, len(c.machines)-1)] {
		outputs, err := m.node.Found(m.now(), founding)
		m.handle(outputs, err)
	}
}

// segmentBytes returns the segment size. If the disk ignores syncs, there is only
// one segment, since a torn write in an earlier segment is reported as damage
// instead of being truncated.
func (c *cluster) segmentBytes() int64 {
	if c.planted.ignoreSyncs {
		return 1 << 30
	}
	return 2000
}

func (c *cluster) after(delay time.Duration, run func()) {
	c.lastEvent++
	heap.Push(&c.events, event{c.now + delay, c.lastEvent, run})
}

// runFor advances the virtual time, running the events that are due. It stops
// running events after a violation.
func (c *cluster) runFor(duration time.Duration) {
	end := c.now + duration
	for len(c.events) > 0 && c.events[0].at <= end && c.checks.violation == "" {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

func (c *cluster) send(from *machine, message consensus.Message) {
	if c.random.IntN(100) < c.network.lossPercent {
		return
	}
	c.deliverLater(from, message)
	if c.random.IntN(100) < c.network.duplicatePercent {
		c.deliverLater(from, message)
	}
}

func (c *cluster) deliverLater(from *machine, message consensus.Message) {
	encoded, err := message.MarshalMsg(nil)
	c.checks.noError("encode", err)
	delay := time.Duration(c.random.Int64N(int64(c.network.maxDelay)))
	c.after(delay, func() {
		to := c.byID[message.To]
		if to == nil || c.network.blockedLinks[[2]int{from.number, to.number}] {
			return
		}
		var received consensus.Message
		_, err := received.UnmarshalMsg(encoded)
		c.checks.noError("decode", err)
		to.call(func() (Outputs, error) { return to.node.Receive(to.now(), received) })
	})
}

// leader returns the running machine that leads in the highest term, or nil.
func (c *cluster) leader() *machine {
	var leader *machine
	var term uint64
	for _, m := range c.machines {
		if m.node == nil || m.paused {
			continue
		}
		status := m.node.Status()
		if status.Role == consensus.RoleLeader && status.Term > term {
			leader, term = m, status.Term
		}
	}
	return leader
}

func (c *cluster) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit))) + time.Millisecond
}
