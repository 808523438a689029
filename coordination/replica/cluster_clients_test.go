package replica

import (
	"encoding/json"
	"errors"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	clientCount  = 4
	registerKeys = 6
)

// operation is one client request.
type operation struct {
	client   int
	number   uint64
	machine  *machine
	input    registerInput
	calledAt time.Duration
}

// clients send requests to random machines, mostly to the leader. Each client has
// one request in progress at a time.
type clients struct {
	cluster *cluster
	next    uint64
	pending map[uint64]*operation
	// membership holds the request ids of membership changes and leadership
	// transfers.
	membership map[uint64]bool
	stopped    bool
	succeeded  int
	unknown    int
}

func newClients(c *cluster) *clients {
	return &clients{cluster: c, pending: map[uint64]*operation{}, membership: map[uint64]bool{}}
}

func (c *clients) start() {
	for client := range clientCount {
		c.scheduleNext(client)
	}
}

func (c *clients) scheduleNext(client int) {
	c.cluster.after(c.cluster.randomDuration(80*time.Millisecond), func() { c.issueRequest(client) })
}

func (c *clients) issueRequest(client int) {
	if c.stopped {
		return
	}
	random := c.cluster.random
	m := c.cluster.machines[random.IntN(len(c.cluster.machines))]
	if leader := c.cluster.leader(); leader != nil && random.IntN(4) > 0 {
		m = leader
	}
	if m.node == nil {
		c.scheduleNext(client)
		return
	}
	c.next++
	op := &operation{client: client, number: c.next, machine: m, calledAt: c.cluster.now}
	op.input = registerInput{
		key: random.IntN(registerKeys), isRead: random.IntN(3) == 0, isSwap: random.IntN(2) == 0,
		old: random.IntN(5), new: random.IntN(5),
	}
	c.pending[op.number] = op
	c.cluster.after(2*time.Second, func() { c.timeOut(op) })
	if op.input.isRead {
		c.read(op)
		return
	}
	c.write(op)
}

func (c *clients) write(op *operation) {
	data, err := json.Marshal(testCommand{
		Number: op.number, Key: op.input.key, IsSwap: op.input.isSwap, Old: op.input.old, New: op.input.new,
	})
	c.cluster.checks.noError("command", err)
	m := op.machine
	m.call(func() (Outputs, error) { return m.node.Propose(m.now(), op.number, data) })
}

func (c *clients) read(op *operation) {
	m := op.machine
	if c.cluster.planted.readsWithoutBarrier {
		c.finishRead(op)
		return
	}
	m.call(func() (Outputs, error) { return m.node.ReadBarrier(m.now(), op.number) })
}

// complete handles the completions that a machine returned.
func (c *clients) complete(m *machine, outputs Outputs) {
	for _, completion := range outputs.Completed {
		if c.membership[completion.RequestID] {
			delete(c.membership, completion.RequestID)
			continue
		}
		if op := c.pending[completion.RequestID]; op != nil {
			c.finishWrite(op, completion)
		} else if completion.Err == nil {
			c.cluster.checks.checkAcknowledged(completion)
		}
	}
	for _, read := range outputs.Reads {
		op := c.pending[read.RequestID]
		if op == nil {
			continue
		}
		if read.Err == nil {
			c.finishRead(op)
		} else {
			c.finish(op)
		}
	}
}

func (c *clients) finishWrite(op *operation, completion Completion) {
	switch {
	case completion.Err == nil:
		c.succeeded++
		c.cluster.checks.checkAcknowledged(completion)
		c.record(op, registerOutput{swapped: string(completion.Result) == "yes"}, c.cluster.now)
	case errors.Is(completion.Err, ErrOutcomeUnknown) && !c.cluster.planted.unknownReportedAsNotRun:
		c.recordUnknown(op)
	default:
		c.cluster.checks.recordNotRun(op.number)
	}
	c.finish(op)
}

func (c *clients) finishRead(op *operation) {
	c.succeeded++
	c.record(op, registerOutput{value: op.machine.state.Values[op.input.key]}, c.cluster.now)
	c.finish(op)
}

func (c *clients) recordUnknown(op *operation) {
	c.unknown++
	c.record(op, registerOutput{isUnknown: true}, math.MaxInt64)
}

func (c *clients) record(op *operation, output registerOutput, returnedAt time.Duration) {
	c.cluster.checks.history = append(c.cluster.checks.history, porcupine.Operation{
		ClientId: int(op.number), Input: op.input, Call: int64(op.calledAt), Output: output, Return: int64(returnedAt),
	})
}

func (c *clients) finish(op *operation) {
	delete(c.pending, op.number)
	c.scheduleNext(op.client)
}

// timeOut ends an operation if it is still pending; the outcome of a write is
// recorded as unknown.
func (c *clients) timeOut(op *operation) {
	if c.pending[op.number] != op {
		return
	}
	if !op.input.isRead {
		c.recordUnknown(op)
	}
	c.finish(op)
}

// abandonPending ends the pending operations of a process that has stopped.
func (c *clients) abandonPending(m *machine) {
	for number := uint64(1); number <= c.next; number++ {
		if op := c.pending[number]; op != nil && op.machine == m {
			c.timeOut(op)
		}
	}
}
