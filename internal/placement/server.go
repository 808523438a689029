package placement

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

const (
	// gatewaySilence is after how long without a message a gateway's leases end: three of
	// the messages that it sends while it holds any.
	gatewaySilence = 3 * wholeInterval
	// leaseSlack is how long a lease may outlive the deadline of its request, for the
	// message that ends it.
	leaseSlack = time.Second
	// sweepInterval is the time between two looks for leases that have expired.
	sweepInterval = 500 * time.Millisecond
	// maximumGateways and maximumLeases of each bound what is held here: letter 1's target
	// has 480 gateways with 125 requests a second each, which take some seconds.
	maximumGateways = 2048
	maximumLeases   = 4096
)

// Server leases replicas to gateways. It may be used concurrently.
type Server struct {
	directory *relay.Directory
	clock     func() time.Duration
	logger    logr.Logger
	life      int64

	mutex    sync.Mutex
	gateways map[string]*gatewayLeases
	counts   ServerCounts
}

// ServerCounts count what a server has done since its start.
type ServerCounts struct {
	// Questions were answered with a lease or a refusal; Ignored were not answered.
	Questions, Ignored uint64
	// Expired leases were not ended by their gateway.
	Expired uint64
	// Leases are held now.
	Leases int
}

// gatewayLeases are the leases of one life of a gateway.
type gatewayLeases struct {
	life int64
	// wholeSequence is that of the last message that named all open leases.
	wholeSequence uint64
	heardAt       time.Duration
	leases        map[uint64]*heldLease
}

// heldLease is a lease with the answer that was given, for a question that comes again.
type heldLease struct {
	lease     *relay.Lease
	answer    *region.PlacementAnswer
	prompt    *relay.Prompt
	sequence  uint64
	expiresAt time.Duration
}

// NewServer returns a server that leases replicas of a directory. life is the start of the
// process, by which gateways tell that it has restarted.
func NewServer(directory *relay.Directory, clock func() time.Duration, life int64, logger logr.Logger) *Server {
	return &Server{directory: directory, clock: clock, life: life, logger: logger, gateways: map[string]*gatewayLeases{}}
}

// Serve answers the messages that come to a socket.
func (s *Server) Serve(socket *datagram.Socket) {
	socket.Handle(datagram.KindPlacement, func(from netip.AddrPort, payload []byte) error {
		var message region.PlacementMessage
		if _, err := message.UnmarshalMsg(payload); err != nil {
			return err
		}
		if reply := s.Take(&message); reply != nil {
			socket.Send(datagram.KindPlacementReply, reply, from)
		}
		return nil
	})
}

// Sweep ends expired leases until the context ends.
func (s *Server) Sweep(ctx context.Context) {
	for lifecycle.Sleep(ctx, sweepInterval) {
		s.Expire()
	}
}

// Counts returns what the server has done.
func (s *Server) Counts() ServerCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := s.counts
	for _, gateway := range s.gateways {
		counts.Leases += len(gateway.leases)
	}
	return counts
}

// Take takes a gateway's message in, and returns the reply to it; nil if there is none.
func (s *Server) Take(message *region.PlacementMessage) *region.PlacementReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	gateway := s.gatewayOf(message)
	if gateway == nil {
		s.counts.Ignored++
		return nil
	}
	gateway.heardAt = s.clock()
	for index := range message.Events {
		gateway.note(&message.Events[index])
	}
	reply := &region.PlacementReply{Life: s.life}
	if message.Whole {
		s.takeWhole(gateway, message)
		reply.Costs = s.directory.Costs()
	}
	if message.Question != nil {
		if reply.Answer = s.answer(gateway, message); reply.Answer == nil {
			s.counts.Ignored++
			return nil
		}
		s.counts.Questions++
		return reply
	}
	if message.Whole {
		return reply
	}
	return nil
}

// gatewayOf returns the leases of a message's sender, nil if an older life of it has sent
// the message or there are too many gateways. It is called with the mutex held.
func (s *Server) gatewayOf(message *region.PlacementMessage) *gatewayLeases {
	known, found := s.gateways[message.Gateway]
	if found && message.Life < known.life {
		return nil
	}
	if found && message.Life == known.life {
		return known
	}
	if found {
		known.releaseAll()
	}
	if !found && len(s.gateways) >= maximumGateways {
		s.logger.Info(event.PlacementRefused, "gateway", message.Gateway, "reason", "too many gateways")
		return nil
	}
	created := &gatewayLeases{life: message.Life, leases: map[uint64]*heldLease{}}
	s.gateways[message.Gateway] = created
	return created
}

// takeWhole ends the leases that a gateway does not hold, and notes what it has placed by
// itself. It is called with the mutex held.
func (s *Server) takeWhole(gateway *gatewayLeases, message *region.PlacementMessage) {
	if message.Sequence <= gateway.wholeSequence {
		return
	}
	gateway.wholeSequence = message.Sequence
	open := make(map[uint64]bool, len(message.Open))
	for _, id := range message.Open {
		open[id] = true
	}
	for id, held := range gateway.leases {
		if !open[id] && held.sequence < message.Sequence {
			gateway.release(id)
		}
	}
	s.directory.TakeOutstanding(message.Gateway, message.Work, true)
}

// answer answers a question, nil if it has been overtaken or can't be answered. It is called
// with the mutex held.
func (s *Server) answer(gateway *gatewayLeases, message *region.PlacementMessage) *region.PlacementAnswer {
	question := message.Question
	held, known := gateway.leases[question.Lease]
	if question.Kind == region.AskIdle {
		return idleAnswer(question.Lease, held)
	}
	if known {
		return held.answer
	}
	if message.Sequence < gateway.wholeSequence {
		return nil
	}
	if len(gateway.leases) >= maximumLeases {
		s.logger.Info(event.PlacementRefused, "gateway", message.Gateway, "reason", "too many leases")
		return nil
	}
	lease, answer := s.directory.Place(question)
	if lease != nil {
		left := min(max(time.Duration(question.LeftMicros)*time.Microsecond, 0), longestLease)
		gateway.leases[question.Lease] = &heldLease{
			lease:     lease,
			answer:    answer,
			prompt:    relay.PromptOf(question),
			sequence:  message.Sequence,
			expiresAt: s.clock() + left + leaseSlack,
		}
	}
	return answer
}

// idleAnswer tells for how long the replica of a lease has read nothing.
func idleAnswer(id uint64, held *heldLease) *region.PlacementAnswer {
	if held == nil {
		return &region.PlacementAnswer{Lease: id, Outcome: region.PlacementNoReplica}
	}
	return &region.PlacementAnswer{Lease: id, Outcome: region.PlacementGranted, IdleMicros: held.lease.IdleTime().Microseconds()}
}

// longestLease bounds the time for which a gateway may hold a lease, whatever it says of its
// request.
const longestLease = 10 * time.Minute

// Expire ends the leases whose requests are over, and those of silent gateways.
func (s *Server) Expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	for name, gateway := range s.gateways {
		if now-gateway.heardAt > gatewaySilence {
			s.counts.Expired += uint64(len(gateway.leases))
			gateway.releaseAll()
			delete(s.gateways, name)
			continue
		}
		for id, held := range gateway.leases {
			if now > held.expiresAt {
				s.counts.Expired++
				gateway.release(id)
			}
		}
	}
}

func (g *gatewayLeases) release(id uint64) {
	g.leases[id].lease.Release()
	delete(g.leases, id)
}

func (g *gatewayLeases) releaseAll() {
	for id := range g.leases {
		g.release(id)
	}
}

// note applies what has happened at the replica of a lease.
func (g *gatewayLeases) note(told *region.LeaseEvent) {
	held, known := g.leases[told.Lease]
	if !known {
		return
	}
	lease := held.lease
	switch told.Kind {
	case region.LeaseReleased:
		if told.Micros > 0 {
			lease.StreamPaused(time.Duration(told.Micros) * time.Microsecond)
		}
		g.release(told.Lease)
	case region.LeaseRead:
		lease.PromptRead()
	case region.LeaseKept:
		lease.PromptKept(held.prompt)
	case region.LeaseBegun:
		lease.StreamBegun("", told.HandedOver)
	case region.LeasePaused:
		lease.StreamPaused(time.Duration(told.Micros) * time.Microsecond)
	case region.LeaseAnswered:
		lease.Answered(told.Failed, loadOf(told))
	case region.LeaseFull:
		lease.Refused(time.Duration(max(told.Micros, 0)) * time.Microsecond)
	case region.LeaseUnreachable:
		lease.Unreachable(told.HandedOver)
	case region.LeaseMisdirected:
		// The list will say whether the replica has ended; until then it is avoided.
		lease.Unreachable(false)
	}
}

// loadOf is a replica's account of its work, nil if there is none.
func loadOf(told *region.LeaseEvent) *relay.Load {
	if told.Slots <= 0 {
		return nil
	}
	return &relay.Load{Running: max(told.Running, 0), Waiting: max(told.Waiting, 0), Slots: told.Slots}
}
