package placement

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

const (
	// fullMessageInterval is the time between two full messages, which name all open leases and so
	// repair the loss of datagrams.
	fullMessageInterval = time.Second
	// batchDelay is the time for which events wait to be sent together with later ones: far less
	// than the duration of a request at a replica.
	batchDelay = 3 * time.Millisecond
	// queryAttempts is the number of times that a query is sent within its time.
	queryAttempts = 2
	// minimumSuspension is the time without queries after a coordinator has not answered one. It
	// doubles with each further unanswered query, up to maximumSuspension.
	minimumSuspension = 100 * time.Millisecond
	maximumSuspension = 2 * time.Second
	// maximumEvents and maximumOpenLeases keep a message below datagram.MaximumBytes: an event
	// takes about 20 bytes, the id of a lease 5 at most for the first 4 billion leases.
	maximumEvents     = 100
	maximumOpenLeases = 1000
)

// errNotAnswered is returned if the gateway has to choose the replica itself.
var errNotAnswered = errors.New("no coordinator has answered")

// Client queries a coordinator for leases and reports their events to it. It is safe for concurrent
// use.
type Client struct {
	name        string
	incarnation int64
	directory   *relay.Directory
	socket      *datagram.Socket
	logger      logr.Logger

	mutex sync.Mutex
	// coordinator is the one to query; it is invalid if there is none. Its incarnation is 0 until
	// it has answered.
	coordinator            netip.AddrPort
	coordinatorIncarnation int64
	sequence               uint64
	lastLease              uint64
	// openLeases are the leases granted by this coordinator, and those in unanswered queries.
	openLeases map[uint64]bool
	// pending are the channels on which the callers of unanswered queries wait, by lease.
	pending      map[uint64]chan *region.PlacementAnswer
	unsentEvents []region.LeaseEvent
	// consecutiveUnanswered counts the unanswered queries in a row. No query is sent before
	// suspendedUntil.
	consecutiveUnanswered int
	suspendedUntil        time.Time
	// reportedWork is set if the last full message reported locally placed work.
	reportedWork bool
	counts       ClientCounts
	// sendRequested holds an element while Run is to send a message soon.
	sendRequested chan struct{}
}

// ClientCounts counts the queries of a client since its start.
type ClientCounts struct {
	// Queries is the number of queries begun, of which Unanswered were not answered in time.
	// Suspended is the number of further ones that were not sent because the coordinator had not
	// answered before.
	Queries, Unanswered, Suspended uint64
}

// NewClient returns a client for the gateway of a name. incarnation is the start time of the
// process.
func NewClient(name string, incarnation int64, directory *relay.Directory, socket *datagram.Socket, logger logr.Logger) *Client {
	created := &Client{
		name:          name,
		incarnation:   incarnation,
		directory:     directory,
		socket:        socket,
		logger:        logger,
		openLeases:    map[uint64]bool{},
		pending:       map[uint64]chan *region.PlacementAnswer{},
		sendRequested: make(chan struct{}, 1),
	}
	socket.Handle(datagram.KindPlacementReply, created.receive)
	return created
}

// Remote returns the client as used by a relay.Placer.
func (c *Client) Remote() *relay.RemotePlacement {
	return &relay.RemotePlacement{Query: c.Query, Report: c.Report}
}

// Counts returns the counts of the client's queries.
func (c *Client) Counts() ClientCounts {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counts
}

// SetCoordinator sets the IP:port of the coordinator to query; empty for none.
func (c *Client) SetCoordinator(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if address != "" && err != nil {
		c.logger.Info(event.PlacementBy, "coordinator", address, "error", err.Error())
	}
	if c.switchCoordinator(parsed) {
		c.directory.ForgetGrants()
	}
}

// switchCoordinator sets the coordinator, and reports whether it is another one than before.
func (c *Client) switchCoordinator(coordinator netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if coordinator == c.coordinator {
		return false
	}
	c.logger.Info(event.PlacementBy, "coordinator", coordinator.String(), "open", len(c.openLeases))
	c.coordinator = coordinator
	c.coordinatorIncarnation = 0
	c.consecutiveUnanswered = 0
	c.suspendedUntil = time.Time{}
	c.dropLeases()
	return true
}

// HasCoordinator reports whether there is a coordinator to query.
func (c *Client) HasCoordinator() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.coordinator.IsValid()
}

// dropLeases deletes the leases of a coordinator that no longer knows them. The caller must hold
// c.mutex. The directory's ForgetGrants must be called only after c.mutex has been released, since
// the directory calls Report while it holds its own mutex.
func (c *Client) dropLeases() {
	c.openLeases = map[uint64]bool{}
	c.unsentEvents = nil
	c.scheduleSend()
}

// scheduleSend makes Run send a message soon. The caller must hold c.mutex.
func (c *Client) scheduleSend() {
	select {
	case c.sendRequested <- struct{}{}:
	default:
	}
}

// Query sends a query to the coordinator, up to queryAttempts times within a time, and returns the
// answer and the coordinator's address.
func (c *Client) Query(ctx context.Context, query *region.PlacementQuery, within time.Duration) (*region.PlacementAnswer, string, error) {
	answers, coordinator, err := c.registerQuery(query)
	if err != nil {
		return nil, "", err
	}
	timer := time.NewTimer(within / queryAttempts)
	defer timer.Stop()
	for attempt := range queryAttempts {
		if attempt > 0 {
			timer.Reset(within / queryAttempts)
		}
		c.send(coordinator, query)
		select {
		case answer := <-answers:
			return answer, coordinator.String(), nil
		case <-timer.C:
		case <-ctx.Done():
			c.abandonQuery(query, false)
			return nil, "", errNotAnswered
		}
	}
	c.abandonQuery(query, true)
	return nil, "", errNotAnswered
}

// registerQuery registers a query and assigns its lease id.
func (c *Client) registerQuery(query *region.PlacementQuery) (<-chan *region.PlacementAnswer, netip.AddrPort, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.coordinator.IsValid() {
		return nil, netip.AddrPort{}, errNotAnswered
	}
	if time.Now().Before(c.suspendedUntil) {
		c.counts.Suspended++
		return nil, netip.AddrPort{}, errNotAnswered
	}
	if query.Kind != region.QueryIdle {
		c.lastLease++
		query.Lease = c.lastLease
		c.openLeases[query.Lease] = true
	}
	c.counts.Queries++
	answers := make(chan *region.PlacementAnswer, 1)
	c.pending[query.Lease] = answers
	return answers, c.coordinator, nil
}

// abandonQuery gives a query up, and releases its lease. timedOut says that the coordinator did not
// answer in time.
func (c *Client) abandonQuery(query *region.PlacementQuery, timedOut bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, query.Lease)
	if query.Kind != region.QueryIdle {
		c.releaseLease(query.Lease)
	}
	if !timedOut {
		return
	}
	c.counts.Unanswered++
	c.consecutiveUnanswered++
	suspension := min(minimumSuspension<<min(c.consecutiveUnanswered-1, 8), maximumSuspension)
	c.suspendedUntil = time.Now().Add(suspension)
	if c.consecutiveUnanswered == 1 {
		c.logger.Info(event.PlacementSilent, "coordinator", c.coordinator.String(), "for_ms", suspension.Milliseconds())
	}
}

// releaseLease reports to the coordinator that a lease has ended. The caller must hold c.mutex.
func (c *Client) releaseLease(lease uint64) {
	if !c.openLeases[lease] {
		return
	}
	delete(c.openLeases, lease)
	c.unsentEvents = append(c.unsentEvents, region.LeaseEvent{Lease: lease, Kind: region.LeaseReleased})
	c.scheduleSend()
}

// Report reports an event at the replica of a lease, as long as the coordinator that granted the
// lease knows it.
func (c *Client) Report(reported region.LeaseEvent) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.openLeases[reported.Lease] {
		return
	}
	if reported.Kind == region.LeaseReleased {
		delete(c.openLeases, reported.Lease)
	}
	c.unsentEvents = append(c.unsentEvents, reported)
	c.scheduleSend()
}

// Run sends events and full messages to the coordinator until the context ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(fullMessageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.sendFull()
		case <-c.sendRequested:
			time.Sleep(batchDelay)
			c.flush()
		}
	}
}

// flush sends all pending events.
func (c *Client) flush() {
	for {
		c.mutex.Lock()
		idle := len(c.unsentEvents) == 0 || !c.coordinator.IsValid()
		to := c.coordinator
		c.mutex.Unlock()
		if idle {
			return
		}
		c.send(to, nil)
	}
}

// send sends a message with pending events, and with a query unless it is nil.
func (c *Client) send(to netip.AddrPort, query *region.PlacementQuery) {
	c.mutex.Lock()
	message := c.nextMessage()
	message.Question = query
	c.mutex.Unlock()
	c.socket.Send(datagram.KindPlacement, message, to)
}

// nextMessage returns a message with the next sequence number and pending events. The caller must
// hold c.mutex.
func (c *Client) nextMessage() *region.PlacementMessage {
	c.sequence++
	count := min(len(c.unsentEvents), maximumEvents)
	message := &region.PlacementMessage{Gateway: c.name, Life: c.incarnation, Sequence: c.sequence, Events: c.unsentEvents[:count:count]}
	c.unsentEvents = c.unsentEvents[count:]
	return message
}

// sendFull sends a message that names all open leases and the work that the gateway has placed
// locally. It sends nothing if there are neither, unless the last full message reported such work,
// and the message is not a full one if more than maximumOpenLeases are open.
func (c *Client) sendFull() {
	work := c.directory.Outstanding()
	c.mutex.Lock()
	to := c.coordinator
	if !to.IsValid() || len(c.openLeases) == 0 && len(work) == 0 && !c.reportedWork {
		c.mutex.Unlock()
		return
	}
	c.reportedWork = len(work) > 0
	message := c.nextMessage()
	if len(c.openLeases) <= maximumOpenLeases {
		message.Whole = true
		message.Work = work
		for id := range c.openLeases {
			message.Open = append(message.Open, id)
		}
	}
	c.mutex.Unlock()
	c.socket.Send(datagram.KindPlacement, message, to)
}

// receive handles a reply.
func (c *Client) receive(from netip.AddrPort, payload []byte) error {
	var reply region.PlacementReply
	if _, err := reply.UnmarshalMsg(payload); err != nil {
		return err
	}
	if c.processReply(from, &reply) {
		c.directory.ForgetGrants()
		c.sendFull()
	}
	if len(reply.Costs) > 0 {
		c.directory.MergeCosts(reply.Costs)
	}
	return nil
}

// processReply applies a reply, and reports whether the coordinator has lost the leases that it had
// granted.
func (c *Client) processReply(from netip.AddrPort, reply *region.PlacementReply) (leasesLost bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if from != c.coordinator || reply.Life < c.coordinatorIncarnation {
		return false
	}
	if c.coordinatorIncarnation != 0 && reply.Life != c.coordinatorIncarnation {
		leasesLost = true
		c.logger.Info(event.PlacementForgotten, "coordinator", from.String(), "open", len(c.openLeases))
		c.dropLeases()
	}
	c.coordinatorIncarnation = reply.Life
	c.consecutiveUnanswered = 0
	c.suspendedUntil = time.Time{}
	answer := reply.Answer
	if answer == nil {
		return leasesLost
	}
	answers, found := c.pending[answer.Lease]
	if !found {
		return leasesLost
	}
	delete(c.pending, answer.Lease)
	if answer.Outcome == region.PlacementGranted {
		c.openLeases[answer.Lease] = true
	} else {
		delete(c.openLeases, answer.Lease)
	}
	answers <- answer
	return leasesLost
}
