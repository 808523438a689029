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
	// wholeInterval is the time between two messages that name all open leases, since
	// datagrams are lost.
	wholeInterval = time.Second
	// flushPause is how long what has happened waits for more to be told with it: far less
	// than what a request takes at a replica.
	flushPause = 3 * time.Millisecond
	// askAttempts is how often a question is sent within its time.
	askAttempts = 2
	// firstSuspension is for how long a coordinator that has not answered is not asked; it
	// doubles with each further question without an answer, up to longestSuspension.
	firstSuspension   = 100 * time.Millisecond
	longestSuspension = 2 * time.Second
	// maximumEvents and maximumOpen bound a message below datagram.MaximumBytes: an event
	// takes some 20 bytes, the name of a lease 5 at most for the first 4 billion.
	maximumEvents = 100
	maximumOpen   = 1000
)

// errNotAnswered says that the gateway has to choose by itself.
var errNotAnswered = errors.New("no coordinator has answered")

// Client asks a coordinator for leases and tells it what happens to them. It may be used
// concurrently.
type Client struct {
	name      string
	life      int64
	directory *relay.Directory
	socket    *datagram.Socket
	logger    logr.Logger

	mutex sync.Mutex
	// coordinator is the one to ask; it is not valid if there is none. Its life is 0 until
	// it has answered.
	coordinator     netip.AddrPort
	coordinatorLife int64
	sequence        uint64
	lastLease       uint64
	// open are the leases of this coordinator, those that are asked for included.
	open    map[uint64]bool
	waiting map[uint64]chan *region.PlacementAnswer
	events  []region.LeaseEvent
	// unanswered questions in a row, and until when no other is asked.
	unanswered     int
	suspendedUntil time.Time
	// toldWork says that the last whole message told of own work.
	toldWork bool
	counts   ClientCounts
	dirty    chan struct{}
}

// ClientCounts count what a client has done since its start.
type ClientCounts struct {
	// Asked questions, of which Unanswered were not answered in time; Suspended were not
	// asked.
	Asked, Unanswered, Suspended uint64
}

// NewClient returns a client for a gateway of a name. life is the start of the process.
func NewClient(name string, life int64, directory *relay.Directory, socket *datagram.Socket, logger logr.Logger) *Client {
	created := &Client{
		name:      name,
		life:      life,
		directory: directory,
		socket:    socket,
		logger:    logger,
		open:      map[uint64]bool{},
		waiting:   map[uint64]chan *region.PlacementAnswer{},
		dirty:     make(chan struct{}, 1),
	}
	socket.Handle(datagram.KindPlacementReply, created.receive)
	return created
}

// Remote is how a relay.Placer asks.
func (c *Client) Remote() *relay.RemotePlacement {
	return &relay.RemotePlacement{Ask: c.Ask, Tell: c.Tell}
}

// Counts returns what the client has done.
func (c *Client) Counts() ClientCounts {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counts
}

// SetCoordinator says whom to ask, by its IP:port; empty for nobody.
func (c *Client) SetCoordinator(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if address != "" && err != nil {
		c.logger.Info(event.PlacementBy, "coordinator", address, "error", err.Error())
	}
	if c.turnTo(parsed) {
		c.directory.ForgetGrants()
	}
}

// turnTo reports whether the coordinator is another one than before.
func (c *Client) turnTo(coordinator netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if coordinator == c.coordinator {
		return false
	}
	c.logger.Info(event.PlacementBy, "coordinator", coordinator.String(), "open", len(c.open))
	c.coordinator = coordinator
	c.coordinatorLife = 0
	c.unanswered = 0
	c.suspendedUntil = time.Time{}
	c.forget()
	return true
}

// Asks reports whether there is a coordinator to ask.
func (c *Client) Asks() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.coordinator.IsValid()
}

// forget gives up the leases of a coordinator that does not know them any more. It is called
// with the mutex held; the directory is told after it has been given back, since the
// directory calls Tell with its own mutex held.
func (c *Client) forget() {
	c.open = map[uint64]bool{}
	c.events = nil
	c.touch()
}

// touch has a message sent soon. It is called with the mutex held.
func (c *Client) touch() {
	select {
	case c.dirty <- struct{}{}:
	default:
	}
}

// Ask asks the coordinator, and returns its address with its answer.
func (c *Client) Ask(ctx context.Context, question *region.PlacementQuestion, within time.Duration) (*region.PlacementAnswer, string, error) {
	answers, coordinator, err := c.begin(question)
	if err != nil {
		return nil, "", err
	}
	timer := time.NewTimer(within / askAttempts)
	defer timer.Stop()
	for attempt := range askAttempts {
		if attempt > 0 {
			timer.Reset(within / askAttempts)
		}
		c.send(coordinator, question)
		select {
		case answer := <-answers:
			return answer, coordinator.String(), nil
		case <-timer.C:
		case <-ctx.Done():
			c.abandon(question, false)
			return nil, "", errNotAnswered
		}
	}
	c.abandon(question, true)
	return nil, "", errNotAnswered
}

// begin notes a question, and names its lease.
func (c *Client) begin(question *region.PlacementQuestion) (<-chan *region.PlacementAnswer, netip.AddrPort, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.coordinator.IsValid() {
		return nil, netip.AddrPort{}, errNotAnswered
	}
	if time.Now().Before(c.suspendedUntil) {
		c.counts.Suspended++
		return nil, netip.AddrPort{}, errNotAnswered
	}
	if question.Kind != region.AskIdle {
		c.lastLease++
		question.Lease = c.lastLease
		c.open[question.Lease] = true
	}
	c.counts.Asked++
	answers := make(chan *region.PlacementAnswer, 1)
	c.waiting[question.Lease] = answers
	return answers, c.coordinator, nil
}

// abandon gives a question up. silent says that the coordinator was waited for in vain.
func (c *Client) abandon(question *region.PlacementQuestion, silent bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, question.Lease)
	if question.Kind != region.AskIdle {
		c.end(question.Lease)
	}
	if !silent {
		return
	}
	c.counts.Unanswered++
	c.unanswered++
	pause := min(firstSuspension<<min(c.unanswered-1, 8), longestSuspension)
	c.suspendedUntil = time.Now().Add(pause)
	if c.unanswered == 1 {
		c.logger.Info(event.PlacementSilent, "coordinator", c.coordinator.String(), "for_ms", pause.Milliseconds())
	}
}

// end has the coordinator told that a lease has ended. It is called with the mutex held.
func (c *Client) end(lease uint64) {
	if !c.open[lease] {
		return
	}
	delete(c.open, lease)
	c.events = append(c.events, region.LeaseEvent{Lease: lease, Kind: region.LeaseReleased})
	c.touch()
}

// Tell passes on what has happened at the replica of a lease, as long as the coordinator
// that granted it knows it.
func (c *Client) Tell(told region.LeaseEvent) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.open[told.Lease] {
		return
	}
	if told.Kind == region.LeaseReleased {
		delete(c.open, told.Lease)
	}
	c.events = append(c.events, told)
	c.touch()
}

// Run tells the coordinator what has happened until the context ends.
func (c *Client) Run(ctx context.Context) {
	whole := time.NewTicker(wholeInterval)
	defer whole.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-whole.C:
			c.sendWhole()
		case <-c.dirty:
			time.Sleep(flushPause)
			c.flush()
		}
	}
}

// flush sends what has happened, if anything has.
func (c *Client) flush() {
	for {
		c.mutex.Lock()
		idle := len(c.events) == 0 || !c.coordinator.IsValid()
		to := c.coordinator
		c.mutex.Unlock()
		if idle {
			return
		}
		c.send(to, nil)
	}
}

// send sends a message with what has happened, and a question if there is one.
func (c *Client) send(to netip.AddrPort, question *region.PlacementQuestion) {
	c.mutex.Lock()
	message := c.message()
	message.Question = question
	c.mutex.Unlock()
	c.socket.Send(datagram.KindPlacement, message, to)
}

// message begins a message. It is called with the mutex held.
func (c *Client) message() *region.PlacementMessage {
	c.sequence++
	count := min(len(c.events), maximumEvents)
	message := &region.PlacementMessage{Gateway: c.name, Life: c.life, Sequence: c.sequence, Events: c.events[:count:count]}
	c.events = c.events[count:]
	return message
}

// sendWhole names all open leases and the gateway's own work, if there is any.
func (c *Client) sendWhole() {
	work := c.directory.Outstanding()
	c.mutex.Lock()
	to := c.coordinator
	if !to.IsValid() || len(c.open) == 0 && len(work) == 0 && !c.toldWork {
		c.mutex.Unlock()
		return
	}
	c.toldWork = len(work) > 0
	message := c.message()
	if len(c.open) <= maximumOpen {
		message.Whole = true
		message.Work = work
		for id := range c.open {
			message.Open = append(message.Open, id)
		}
	}
	c.mutex.Unlock()
	c.socket.Send(datagram.KindPlacement, message, to)
}

// receive takes a reply.
func (c *Client) receive(from netip.AddrPort, payload []byte) error {
	var reply region.PlacementReply
	if _, err := reply.UnmarshalMsg(payload); err != nil {
		return err
	}
	if c.take(from, &reply) {
		c.directory.ForgetGrants()
		c.sendWhole()
	}
	if len(reply.Costs) > 0 {
		c.directory.TakeCosts(reply.Costs)
	}
	return nil
}

// take takes a reply over, and reports whether the coordinator has forgotten what it had
// granted.
func (c *Client) take(from netip.AddrPort, reply *region.PlacementReply) (forgotten bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if from != c.coordinator || reply.Life < c.coordinatorLife {
		return false
	}
	if c.coordinatorLife != 0 && reply.Life != c.coordinatorLife {
		forgotten = true
		c.logger.Info(event.PlacementForgotten, "coordinator", from.String(), "open", len(c.open))
		c.forget()
	}
	c.coordinatorLife = reply.Life
	c.unanswered = 0
	c.suspendedUntil = time.Time{}
	answer := reply.Answer
	if answer == nil {
		return forgotten
	}
	answers, found := c.waiting[answer.Lease]
	if !found {
		return forgotten
	}
	delete(c.waiting, answer.Lease)
	if answer.Outcome == region.PlacementGranted {
		c.open[answer.Lease] = true
	} else {
		delete(c.open, answer.Lease)
	}
	answers <- answer
	return forgotten
}
