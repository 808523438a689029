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
	// poolWaitShare of the contact time is how long a coordinator is waited for: longer than it
	// waits itself for the holder of the count, and small against what callers wait.
	poolWaitShare = 0.025
	// poolSilenceShare of the contact time is for how long a coordinator that has not answered is
	// asked last: by then another one leads, or the gateway polls another one.
	poolSilenceShare = 0.25
	// poolSilences in a row have a coordinator not waited for: the datagrams of one question may be lost.
	poolSilences = 2
	// poolAsked is the number of coordinators that are asked about a request: the one that is
	// polled, and another one if that has just gone.
	poolAsked = 2
	// poolSends is how often a question is sent within that time, since datagrams are lost; it is
	// charged once.
	poolSends = 2
	// poolLateTime is for how long the answer to a question that was given up is expected.
	poolLateTime = time.Second
)

// poolClient asks the coordinators' quota pools whether requests may go on. It may be used
// concurrently.
type poolClient struct {
	settings Settings
	logger   logr.Logger
	socket   *datagram.Socket
	// asks is the kind of the messages to coordinators.
	asks   datagram.Kind
	clock  func() time.Duration
	keeper *viewKeeper

	mutex  sync.Mutex
	lastID uint64
	// waiting are the questions that are asked; lost those that were given up, whose charge is
	// given back if an answer comes after all.
	waiting map[uint64]chan quota.GatewayReply
	lost    map[uint64]lostQuestion
	// silent are the coordinators that have not answered of late.
	silent map[string]silence
	// probeAt is when coordinators are next asked while all that would be are silent.
	probeAt time.Duration
	counts  poolCounts
}

// silence is until when a coordinator counts as silent, and how many questions in a row it has not
// answered.
type silence struct {
	until     time.Duration
	questions int
}

// lostQuestion is a question that was given up.
type lostQuestion struct {
	amount quota.Amount
	until  time.Duration
}

// poolCounts count what was decided since the start.
type poolCounts struct {
	// Asked requests, of which Refused were refused; Local were decided here.
	Asked, Refused, Local uint64
}

// poolVerdict is a pool's decision on a question.
type poolVerdict struct {
	quota.Answer
	mode        quota.Mode
	coordinator netip.AddrPort
}

func newPoolClient(settings Settings, socket *datagram.Socket, keeper *viewKeeper, asks, replies datagram.Kind) *poolClient {
	created := &poolClient{
		settings: settings,
		logger:   settings.Logger,
		// Names of an earlier process's questions are never used again.
		lastID:  uint64(time.Now().UnixNano()),
		socket:  socket,
		asks:    asks,
		clock:   keeper.now,
		keeper:  keeper,
		waiting: map[uint64]chan quota.GatewayReply{},
		lost:    map[uint64]lostQuestion{},
		silent:  map[string]silence{},
	}
	socket.Handle(replies, created.receive)
	return created
}

// charge is what a request was admitted for.
type charge struct {
	client *poolClient
	amount quota.Amount
	// coordinator has admitted it; it is not valid if this gateway has by itself.
	coordinator netip.AddrPort
}

// settle corrects the charge by how often the request has run: what never ran comes back, and each
// further run is charged.
func (c *charge) settle(runs int) {
	if c == nil || runs == 1 || !c.coordinator.IsValid() {
		return
	}
	c.client.give(quota.Amount{Account: c.amount.Account, Units: c.amount.Units * float64(1-runs)}, c.coordinator)
}

// give tells a coordinator of units that come back, or that are charged.
func (p *poolClient) give(amount quota.Amount, coordinator netip.AddrPort) {
	p.socket.Send(p.asks, &quota.GatewayMessage{Amounts: []quota.Amount{amount}}, coordinator)
}

// decide has coordinators decide on a question about a request. It reports false if none has, and
// fails if the request's caller has gone.
func (p *poolClient) decide(ctx context.Context, request string, asked quota.Question) (poolVerdict, bool, error) {
	candidates := p.candidates()
	if !p.mayAsk(candidates) {
		return poolVerdict{}, false, nil
	}
	for _, coordinator := range candidates {
		reply, answered := p.ask(ctx, coordinator, asked)
		if ctx.Err() != nil {
			if answered && reply.Answers[0].Admitted {
				p.chargeOf(asked, coordinator).settle(0)
			}
			return poolVerdict{}, false, failure.Wrap(ctx.Err(), failure.CallerGone)
		}
		if answered && !reply.Answers[0].Unsure {
			p.count(reply.Answers[0].Admitted, false)
			return poolVerdict{Answer: reply.Answers[0], mode: reply.Mode, coordinator: coordinator}, true, nil
		}
		p.logger.Info(event.QuotaSilent, "request", request, "account", asked.Account, "coordinator", coordinator.String(), "unsure", answered)
	}
	return poolVerdict{}, false, nil
}

// count counts a decision, which may have been made here.
func (p *poolClient) count(admitted, local bool) {
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

// chargeOf is the charge of a request that a coordinator has admitted.
func (p *poolClient) chargeOf(asked quota.Question, coordinator netip.AddrPort) *charge {
	return &charge{client: p, amount: quota.Amount{Account: asked.Account, Units: asked.Units}, coordinator: coordinator}
}

// candidates are the coordinators to ask: the one that is polled, then others; those that were
// silent of late come last.
func (p *poolClient) candidates() []netip.AddrPort {
	addresses := p.keeper.coordinators()
	now := p.clock()
	p.mutex.Lock()
	silent := func(address string) int {
		if now < p.silent[address].until {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return silent(a) - silent(b) })
	p.mutex.Unlock()
	var parsed []netip.AddrPort
	for _, address := range addresses[:min(len(addresses), poolAsked)] {
		if coordinator, err := netip.ParseAddrPort(address); err == nil {
			parsed = append(parsed, coordinator)
		}
	}
	return parsed
}

// mayAsk reports whether a request is to wait for the answers of coordinators. While all of them are silent
// one request at a time finds out whether they still are: the others would wait in vain, and then be
// decided here all the same.
func (p *poolClient) mayAsk(candidates []netip.AddrPort) bool {
	now := p.clock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, each := range candidates {
		if known := p.silent[each.String()]; now >= known.until || known.questions < poolSilences {
			return true
		}
	}
	if now < p.probeAt {
		return false
	}
	p.probeAt = now + poolAsked*p.share(poolWaitShare)
	return true
}

// ask asks a coordinator once.
func (p *poolClient) ask(ctx context.Context, coordinator netip.AddrPort, asked quota.Question) (quota.GatewayReply, bool) {
	answers := make(chan quota.GatewayReply, 1)
	p.mutex.Lock()
	p.lastID++
	asked.ID = p.lastID
	p.waiting[asked.ID] = answers
	p.mutex.Unlock()
	message := &quota.GatewayMessage{Questions: []quota.Question{asked}}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for range poolSends {
		p.socket.Send(p.asks, message, coordinator)
		timer.Reset(p.share(poolWaitShare) / poolSends)
		select {
		case reply := <-answers:
			return reply, true
		case <-timer.C:
		case <-ctx.Done():
			return p.giveUp(ctx, coordinator, asked, answers)
		}
	}
	return p.giveUp(ctx, coordinator, asked, answers)
}

// giveUp forgets a question, unless its answer has come at the last moment.
func (p *poolClient) giveUp(ctx context.Context, coordinator netip.AddrPort, asked quota.Question, answers chan quota.GatewayReply) (quota.GatewayReply, bool) {
	now := p.clock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case reply := <-answers:
		return reply, true
	default:
	}
	delete(p.waiting, asked.ID)
	for id, each := range p.lost {
		if now >= each.until {
			delete(p.lost, id)
		}
	}
	p.lost[asked.ID] = lostQuestion{amount: quota.Amount{Account: asked.Account, Units: asked.Units}, until: now + poolLateTime}
	if ctx.Err() == nil {
		p.silent[coordinator.String()] = silence{
			until:     now + p.share(poolSilenceShare),
			questions: p.silent[coordinator.String()].questions + 1,
		}
	}
	return quota.GatewayReply{}, false
}

// share is a part of the contact time.
func (p *poolClient) share(part float64) time.Duration {
	return time.Duration(part * float64(p.settings.Contact))
}

// receive takes a coordinator's answers.
func (p *poolClient) receive(from netip.AddrPort, payload []byte) error {
	var reply quota.GatewayReply
	if _, err := reply.UnmarshalMsg(payload); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.silent, from.String())
	for _, each := range reply.Answers {
		if answers, found := p.waiting[each.ID]; found {
			delete(p.waiting, each.ID)
			answers <- quota.GatewayReply{Answers: []quota.Answer{each}, Mode: reply.Mode}
			continue
		}
		if given, found := p.lost[each.ID]; found && each.Admitted {
			delete(p.lost, each.ID)
			p.give(given.amount, from)
		}
	}
	return nil
}

// read returns what was decided since the start.
func (p *poolClient) read() poolCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}
