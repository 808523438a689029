package replication

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/eventlog"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/wire"
)

const (
	// maximumQueuedMessages and maximumQueuedBytes bound what waits for one
	// peer.
	maximumQueuedMessages = 4096
	maximumQueuedBytes    = 8 << 20
	// maximumBatchBytes ends a batch; a single larger message goes alone.
	maximumBatchBytes = 1 << 20
	// maximumPeers bounds the peers that are sent to at the same time.
	maximumPeers = 256
)

// Transport sends consensus messages to other controllers, one batch in flight
// for each. What does not fit into a peer's queue, and what waits while a peer
// does not answer, is dropped: the protocol repeats what it needs, and old
// messages are worth less than new ones.
type Transport struct {
	client  *rpc.Client
	self    string
	timeout time.Duration
	logger  logr.Logger
	pool    *ants.Pool
	routes  *routeTable

	mutex  sync.Mutex
	peers  map[string]*outbox
	closed bool
	// senders are the drains under way.
	senders sync.WaitGroup
}

// outbox is the queue of one peer.
type outbox struct {
	messages []consensus.Message
	bytes    int
	sending  bool
	dropped  uint64
}

// NewTransport returns a transport that calls peers as self, an IP:port, and
// bounds each call by a timeout.
func NewTransport(client *rpc.Client, self string, timeout time.Duration, logger logr.Logger) (*Transport, error) {
	pool, err := ants.NewPool(maximumPeers, ants.WithNonblocking(true),
		ants.WithPanicHandler(eventlog.PanicHandler(logger, "sender of consensus messages")))
	if err != nil {
		return nil, err
	}
	return &Transport{
		client:  client,
		self:    self,
		timeout: timeout,
		logger:  logger,
		pool:    pool,
		routes:  newRouteTable(),
		peers:   map[string]*outbox{},
	}, nil
}

// Send implements replica.Transport.
func (t *Transport) Send(messages []consensus.Message) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return
	}
	for _, message := range messages {
		if address := t.routes.find(message.Group, message.To); address != "" {
			t.enqueue(address, message)
		}
	}
	for address, box := range t.peers {
		t.startSending(address, box)
	}
}

func (t *Transport) enqueue(address string, message consensus.Message) {
	box, found := t.peers[address]
	if !found {
		box = &outbox{}
		t.peers[address] = box
	}
	size := message.Msgsize()
	if len(box.messages) >= maximumQueuedMessages || box.bytes+size > maximumQueuedBytes {
		box.dropped++
		return
	}
	box.messages = append(box.messages, message)
	box.bytes += size
}

func (t *Transport) startSending(address string, box *outbox) {
	if box.sending || len(box.messages) == 0 {
		return
	}
	t.senders.Add(1)
	if err := t.pool.Submit(func() { t.drain(address, box) }); err != nil {
		t.senders.Done()
		return
	}
	box.sending = true
}

// drain sends batches until the queue is empty.
func (t *Transport) drain(address string, box *outbox) {
	defer t.senders.Done()
	for {
		batch := t.take(box)
		if len(batch) == 0 {
			return
		}
		if err := t.post(address, batch); err != nil {
			t.logger.V(1).Info(event.BatchFailed, "peer", address, "messages", len(batch), "error", err.Error())
			t.clear(box)
		}
	}
}

// take removes the next batch; with an empty queue the sending ends.
func (t *Transport) take(box *outbox) []consensus.Message {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	bytes, count := 0, 0
	for count < len(box.messages) {
		size := box.messages[count].Msgsize()
		if count > 0 && bytes+size > maximumBatchBytes {
			break
		}
		bytes += size
		count++
	}
	batch := box.messages[:count:count]
	box.messages = box.messages[count:]
	box.bytes -= bytes
	if count == 0 || t.closed {
		box.sending = false
		return nil
	}
	return batch
}

func (t *Transport) clear(box *outbox) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	box.dropped += uint64(len(box.messages))
	box.messages = nil
	box.bytes = 0
}

func (t *Transport) post(address string, batch []consensus.Message) error {
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	request := &peer.ConsensusBatch{From: t.self, Messages: batch}
	return t.client.Call(ctx, address, wire.PathConsensus, request, &peer.Empty{})
}

// Close stops the sending and waits for the batch under way to each peer, which
// the transport's timeout bounds. The pool's own waiting release is not used: in
// ants v2.12.1 it spins until its other goroutines have run, which on a single
// processor without preemption they never do.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	t.mutex.Unlock()
	t.senders.Wait()
	t.pool.Release()
}

// Dropped counts the messages that were not sent, over all peers.
func (t *Transport) Dropped() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var sum uint64
	for _, box := range t.peers {
		sum += box.dropped
	}
	return sum
}

// Learn notes the address that a replica's message came from.
func (t *Transport) Learn(group uint64, id consensus.ReplicaID, address string) {
	t.routes.learn(group, id, address)
}
