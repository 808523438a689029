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
	// gatewayTimeout is the time without a message after which a gateway's leases end: three
	// intervals of the full messages that it sends while it holds any.
	gatewayTimeout = 3 * fullMessageInterval
	// leaseGrace is the time by which a lease may outlive the deadline of its request, for the
	// message that ends it to arrive.
	leaseGrace = time.Second
	// sweepInterval is the time between two checks for expired leases.
	sweepInterval = 500 * time.Millisecond
	// maximumGateways and maximumLeases of each gateway bound the state of a server: the target
	// size is 480 gateways with 125 requests a second each, and a request takes some seconds.
	maximumGateways = 2048
	maximumLeases   = 4096
)

// Server leases replicas to gateways. It is safe for concurrent use.
type Server struct {
	directory   *relay.Directory
	clock       func() time.Duration
	logger      logr.Logger
	incarnation int64

	mutex    sync.Mutex
	gateways map[string]*gatewayLeases
	counts   ServerCounts
}

// ServerCounts counts what a server has done since its start.
type ServerCounts struct {
	// Queries is the number of queries answered, with a lease, a refusal or an idle time. Ignored
	// is the number of messages that were rejected or whose query was not answered.
	Queries, Ignored uint64
	// Expired is the number of leases that were not ended by their gateway, but by their deadline
	// or gatewayTimeout.
	Expired uint64
	// Leases is the number of leases held now.
	Leases int
}

// gatewayLeases holds the leases of one incarnation of a gateway.
type gatewayLeases struct {
	incarnation int64
	// fullSequence is the sequence number of the last full message, which named all open leases.
	fullSequence  uint64
	lastMessageAt time.Duration
	leases        map[uint64]*heldLease
}

// heldLease is a lease with the answer that was given, for a query that is sent again.
type heldLease struct {
	lease     *relay.Lease
	answer    *region.PlacementAnswer
	prompt    *relay.Prompt
	sequence  uint64
	expiresAt time.Duration
}

// NewServer returns a server that leases replicas of a directory. incarnation is the start time of
// the process, by which gateways detect that it has restarted.
func NewServer(directory *relay.Directory, clock func() time.Duration, incarnation int64, logger logr.Logger) *Server {
	return &Server{directory: directory, clock: clock, incarnation: incarnation, logger: logger, gateways: map[string]*gatewayLeases{}}
}

// Serve handles the placement messages that a socket receives.
func (s *Server) Serve(socket *datagram.Socket) {
	socket.Handle(datagram.KindPlacement, func(from netip.AddrPort, payload []byte) error {
		var message region.PlacementMessage
		if _, err := message.UnmarshalMsg(payload); err != nil {
			return err
		}
		if reply := s.HandleMessage(&message); reply != nil {
			socket.Send(datagram.KindPlacementReply, reply, from)
		}
		return nil
	})
}

// Sweep periodically ends expired leases until the context ends.
func (s *Server) Sweep(ctx context.Context) {
	for lifecycle.Sleep(ctx, sweepInterval) {
		s.Expire()
	}
}

// Counts returns the counts of the server.
func (s *Server) Counts() ServerCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := s.counts
	for _, gateway := range s.gateways {
		counts.Leases += len(gateway.leases)
	}
	return counts
}

// HandleMessage handles a gateway's message, and returns the reply, or nil if there is none.
func (s *Server) HandleMessage(message *region.PlacementMessage) *region.PlacementReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	gateway := s.leasesOf(message)
	if gateway == nil {
		s.counts.Ignored++
		return nil
	}
	gateway.lastMessageAt = s.clock()
	for index := range message.Events {
		gateway.applyEvent(&message.Events[index])
	}
	reply := &region.PlacementReply{Life: s.incarnation}
	if message.Whole {
		s.applyFullMessage(gateway, message)
		reply.Costs = s.directory.Costs()
	}
	if message.Question != nil {
		if reply.Answer = s.answerQuery(gateway, message); reply.Answer == nil {
			s.counts.Ignored++
			return nil
		}
		s.counts.Queries++
		return reply
	}
	if message.Whole {
		return reply
	}
	return nil
}

// leasesOf returns the leases of a message's sender, or nil if the message is from an older
// incarnation of it or there are too many gateways. The caller must hold s.mutex.
func (s *Server) leasesOf(message *region.PlacementMessage) *gatewayLeases {
	known, found := s.gateways[message.Gateway]
	if found && message.Life < known.incarnation {
		return nil
	}
	if found && message.Life == known.incarnation {
		return known
	}
	if found {
		known.releaseAll()
	}
	if !found && len(s.gateways) >= maximumGateways {
		s.logger.Info(event.PlacementRefused, "gateway", message.Gateway, "reason", "too many gateways")
		return nil
	}
	created := &gatewayLeases{incarnation: message.Life, leases: map[uint64]*heldLease{}}
	s.gateways[message.Gateway] = created
	return created
}

// applyFullMessage ends the leases that a gateway no longer holds, and records the work that it has
// placed locally. The caller must hold s.mutex.
func (s *Server) applyFullMessage(gateway *gatewayLeases, message *region.PlacementMessage) {
	if message.Sequence <= gateway.fullSequence {
		return
	}
	gateway.fullSequence = message.Sequence
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

// answerQuery answers a query, or returns nil if a later full message has overtaken it or if the
// gateway has too many leases. The caller must hold s.mutex.
func (s *Server) answerQuery(gateway *gatewayLeases, message *region.PlacementMessage) *region.PlacementAnswer {
	query := message.Question
	held, known := gateway.leases[query.Lease]
	if query.Kind == region.QueryIdle {
		return idleAnswer(query.Lease, held)
	}
	if known {
		return held.answer
	}
	if message.Sequence < gateway.fullSequence {
		return nil
	}
	if len(gateway.leases) >= maximumLeases {
		s.logger.Info(event.PlacementRefused, "gateway", message.Gateway, "reason", "too many leases")
		return nil
	}
	lease, answer := s.directory.Place(query)
	if lease != nil {
		left := min(max(time.Duration(query.LeftMicros)*time.Microsecond, 0), maximumLeaseTime)
		gateway.leases[query.Lease] = &heldLease{
			lease:     lease,
			answer:    answer,
			prompt:    relay.PromptOf(query),
			sequence:  message.Sequence,
			expiresAt: s.clock() + left + leaseGrace,
		}
	}
	return answer
}

// idleAnswer reports for how long the replica of a lease has prefilled nothing that any gateway
// knows of.
func idleAnswer(id uint64, held *heldLease) *region.PlacementAnswer {
	if held == nil {
		return &region.PlacementAnswer{Lease: id, Outcome: region.PlacementNoReplica}
	}
	return &region.PlacementAnswer{Lease: id, Outcome: region.PlacementGranted, IdleMicros: held.lease.IdleTime().Microseconds()}
}

// maximumLeaseTime bounds the time for which a gateway may hold a lease, whatever deadline it
// reports for its request.
const maximumLeaseTime = 10 * time.Minute

// Expire ends the leases whose requests are past their deadline, and those of unresponsive
// gateways.
func (s *Server) Expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	for name, gateway := range s.gateways {
		if now-gateway.lastMessageAt > gatewayTimeout {
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

// applyEvent applies an event at the replica of a lease.
func (g *gatewayLeases) applyEvent(reported *region.LeaseEvent) {
	held, known := g.leases[reported.Lease]
	if !known {
		return
	}
	lease := held.lease
	switch reported.Kind {
	case region.LeaseReleased:
		if reported.Micros > 0 {
			lease.ObserveGap(time.Duration(reported.Micros) * time.Microsecond)
		}
		g.release(reported.Lease)
	case region.LeasePrefilled:
		lease.PrefillDone()
	case region.LeaseCached:
		lease.PromptCached(held.prompt)
	case region.LeaseStarted:
		lease.StreamBegun("", reported.HandedOver)
	case region.LeaseGap:
		lease.ObserveGap(time.Duration(reported.Micros) * time.Microsecond)
	case region.LeaseAnswered:
		lease.Answered(reported.Failed, reportedLoad(reported))
	case region.LeaseRejected:
		lease.Refused(time.Duration(max(reported.Micros, 0)) * time.Microsecond)
	case region.LeaseUnreachable:
		lease.Unreachable(reported.HandedOver)
	case region.LeaseMisdirected:
		// The replica list will show whether the replica has ended; until then it is avoided.
		lease.Unreachable(false)
	}
}

// reportedLoad returns the load that a replica reported in an event, or nil if there is none.
func reportedLoad(reported *region.LeaseEvent) *relay.Load {
	if reported.Slots <= 0 {
		return nil
	}
	return &relay.Load{Running: max(reported.Running, 0), Waiting: max(reported.Waiting, 0), Slots: reported.Slots}
}
