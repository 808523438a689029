package daemon

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/quota"
)

const (
	// poolTimeoutFraction is the fraction of the contact time to wait for a coordinator's answer.
	// It is longer than that coordinator itself waits for the holder, the coordinator that counts
	// the limit, and short compared to callers' waiting times.
	poolTimeoutFraction = 0.025
	// poolUnresponsiveFraction is the fraction of the contact time for which a coordinator that has
	// not answered is queried last. After that time, another coordinator leads the group, or the
	// gateway polls another one.
	poolUnresponsiveFraction = 0.25
	// poolUnresponsiveAfter is the number of consecutive unanswered queries after which requests no
	// longer wait for a coordinator. One is not enough, as the datagrams of a query may be lost.
	poolUnresponsiveAfter = 2
	// poolCoordinators is the maximum number of coordinators queried for a request: the polled one,
	// and another one if the polled one has just failed.
	poolCoordinators = 2
	// poolAttempts is how often a query is sent within the timeout, as datagrams can be lost. The
	// request is charged once.
	poolAttempts = 2
	// poolLateAnswerTime is how long an answer to an abandoned query is still expected.
	poolLateAnswerTime = time.Second
)

// poolClient asks the coordinators' quota pools whether requests may proceed. It is safe for
// concurrent use.
type poolClient struct {
	settings Settings
	logger   logr.Logger
	socket   *datagram.Socket
	// queryKind is the datagram kind of the messages to coordinators.
	queryKind datagram.Kind
	clock     func() time.Duration
	views     *viewClient

	mutex  sync.Mutex
	lastID uint64
	// pending holds the queries that await an answer, by ID. abandoned holds those that timed out
	// or whose caller has disconnected; their charge is returned if a late answer admits them.
	pending   map[uint64]chan quota.GatewayReply
	abandoned map[uint64]abandonedQuery
	// unresponsive holds the coordinators that have not answered recently.
	unresponsive map[string]unresponsiveState
	// nextProbeAt is the earliest time of the next query while all candidates are unresponsive.
	nextProbeAt time.Duration
	counts      poolCounts
}

// unresponsiveState is the time until which a coordinator counts as unresponsive, and the number of
// consecutive queries it has not answered.
type unresponsiveState struct {
	until      time.Duration
	unanswered int
}

// abandonedQuery is a query whose answer is no longer awaited: the amount to return if it is
// admitted after all, and the time until which such an answer is expected.
type abandonedQuery struct {
	amount quota.Amount
	until  time.Duration
}

// poolCounts counts decisions since the start.
type poolCounts struct {
	// Asked counts requests, Refused those of them that were refused, and Local those decided by
	// this gateway.
	Asked, Refused, Local uint64
}

// poolDecision is a pool's decision on a query, or this gateway's if coordinator is invalid.
type poolDecision struct {
	quota.Answer
	mode        quota.Mode
	coordinator netip.AddrPort
}

func newPoolClient(settings Settings, socket *datagram.Socket, views *viewClient, queryKind, replies datagram.Kind) *poolClient {
	created := &poolClient{
		settings: settings,
		logger:   settings.Logger,
		// Starting at the current time avoids reusing the query IDs of an earlier process.
		lastID:       uint64(time.Now().UnixNano()),
		socket:       socket,
		queryKind:    queryKind,
		clock:        views.now,
		views:        views,
		pending:      map[uint64]chan quota.GatewayReply{},
		abandoned:    map[uint64]abandonedQuery{},
		unresponsive: map[string]unresponsiveState{},
	}
	socket.Handle(replies, created.receive)
	return created
}

// charge is the amount that a request was admitted for.
type charge struct {
	client *poolClient
	amount quota.Amount
	// coordinator admitted the request; it is invalid if this gateway decided itself.
	coordinator netip.AddrPort
}

// settle adjusts the charge to the number of runs: a request that never ran is refunded, and each
// run after the first is charged.
func (c *charge) settle(runs int) {
	if c == nil || runs == 1 || !c.coordinator.IsValid() {
		return
	}
	c.client.sendAmount(quota.Amount{Account: c.amount.Account, Units: c.amount.Units * float64(1-runs)}, c.coordinator)
}

// sendAmount sends a coordinator an amount to return, or to charge if it is negative.
func (p *poolClient) sendAmount(amount quota.Amount, coordinator netip.AddrPort) {
	p.socket.Send(p.queryKind, &quota.GatewayMessage{Amounts: []quota.Amount{amount}}, coordinator)
}

// decide queries coordinators in turn until one decides on a request. It returns false if none has
// decided. If the request's caller has disconnected, it returns an error, and a charge that a
// coordinator has made is returned to it.
func (p *poolClient) decide(ctx context.Context, request string, query quota.Query) (poolDecision, bool, error) {
	candidates := p.candidates()
	if !p.shouldAsk(candidates) {
		return poolDecision{}, false, nil
	}
	for _, coordinator := range candidates {
		reply, answered := p.ask(ctx, coordinator, query)
		if ctx.Err() != nil {
			if answered && reply.Answers[0].Admitted {
				p.newCharge(query, coordinator).settle(0)
			}
			return poolDecision{}, false, failure.Wrap(ctx.Err(), failure.CallerGone)
		}
		if answered && !reply.Answers[0].Unsure {
			p.countDecision(reply.Answers[0].Admitted, false)
			return poolDecision{Answer: reply.Answers[0], mode: reply.Mode, coordinator: coordinator}, true, nil
		}
		p.logger.Info(event.QuotaSilent, "request", request, "account", query.Account, "coordinator", coordinator.String(), "unsure", answered)
	}
	return poolDecision{}, false, nil
}

// countDecision counts a decision; local is set if this gateway made it.
func (p *poolClient) countDecision(admitted, local bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.Asked++
	if !admitted {
		p.counts.Refused++
	}
	if local {
		p.counts.Local++
	}
}

// newCharge returns the charge of a request that a coordinator has admitted.
func (p *poolClient) newCharge(query quota.Query, coordinator netip.AddrPort) *charge {
	return &charge{client: p, amount: quota.Amount{Account: query.Account, Units: query.Units}, coordinator: coordinator}
}

// candidates returns up to poolCoordinators coordinators to query: first the polled one, then the
// others. Unresponsive ones come last.
func (p *poolClient) candidates() []netip.AddrPort {
	addresses := p.views.coordinators()
	now := p.clock()
	p.mutex.Lock()
	rank := func(address string) int {
		if now < p.unresponsive[address].until {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return rank(a) - rank(b) })
	p.mutex.Unlock()
	var parsed []netip.AddrPort
	for _, address := range addresses[:min(len(addresses), poolCoordinators)] {
		if coordinator, err := netip.ParseAddrPort(address); err == nil {
			parsed = append(parsed, coordinator)
		}
	}
	return parsed
}

// shouldAsk reports whether a request should wait for coordinators. While all candidates are
// unresponsive, one request at a time checks whether they still are: the others would wait for the
// timeout and be decided locally anyway.
func (p *poolClient) shouldAsk(candidates []netip.AddrPort) bool {
	now := p.clock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, each := range candidates {
		if known := p.unresponsive[each.String()]; now >= known.until || known.unanswered < poolUnresponsiveAfter {
			return true
		}
	}
	if now < p.nextProbeAt {
		return false
	}
	p.nextProbeAt = now + poolCoordinators*p.contactFraction(poolTimeoutFraction)
	return true
}

// ask sends a query to one coordinator up to poolAttempts times, and waits for the answer.
func (p *poolClient) ask(ctx context.Context, coordinator netip.AddrPort, query quota.Query) (quota.GatewayReply, bool) {
	answers := make(chan quota.GatewayReply, 1)
	p.mutex.Lock()
	p.lastID++
	query.ID = p.lastID
	p.pending[query.ID] = answers
	p.mutex.Unlock()
	message := &quota.GatewayMessage{Queries: []quota.Query{query}}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for range poolAttempts {
		p.socket.Send(p.queryKind, message, coordinator)
		timer.Reset(p.contactFraction(poolTimeoutFraction) / poolAttempts)
		select {
		case reply := <-answers:
			return reply, true
		case <-timer.C:
		case <-ctx.Done():
			return p.abandon(ctx, coordinator, query, answers)
		}
	}
	return p.abandon(ctx, coordinator, query, answers)
}

// abandon stops waiting for the answer to a query, unless it has just arrived.
func (p *poolClient) abandon(ctx context.Context, coordinator netip.AddrPort, query quota.Query, answers chan quota.GatewayReply) (quota.GatewayReply, bool) {
	now := p.clock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case reply := <-answers:
		return reply, true
	default:
	}
	delete(p.pending, query.ID)
	for id, each := range p.abandoned {
		if now >= each.until {
			delete(p.abandoned, id)
		}
	}
	p.abandoned[query.ID] = abandonedQuery{amount: quota.Amount{Account: query.Account, Units: query.Units}, until: now + poolLateAnswerTime}
	if ctx.Err() == nil {
		p.unresponsive[coordinator.String()] = unresponsiveState{
			until:      now + p.contactFraction(poolUnresponsiveFraction),
			unanswered: p.unresponsive[coordinator.String()].unanswered + 1,
		}
	}
	return quota.GatewayReply{}, false
}

// contactFraction returns a fraction of the contact time.
func (p *poolClient) contactFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(p.settings.ContactTime))
}

// receive handles a coordinator's answers.
func (p *poolClient) receive(from netip.AddrPort, payload []byte) error {
	var reply quota.GatewayReply
	if _, err := reply.UnmarshalMsg(payload); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.unresponsive, from.String())
	for _, each := range reply.Answers {
		if answers, found := p.pending[each.ID]; found {
			delete(p.pending, each.ID)
			answers <- quota.GatewayReply{Answers: []quota.Answer{each}, Mode: reply.Mode}
			continue
		}
		if query, found := p.abandoned[each.ID]; found && each.Admitted {
			delete(p.abandoned, each.ID)
			p.sendAmount(query.amount, from)
		}
	}
	return nil
}

// readCounts returns the counts since the start.
func (p *poolClient) readCounts() poolCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}
