package coordinator

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/telemetry"
)

// poolLeaseShare of the contact time is for how long a coordinator's part of the limits counts at
// the leader after its last message: a leader that has gone holds up questions for no longer, and
// an election takes twice as long.
const poolLeaseShare = 0.125

// poolKinds are the messages of a pool: a gateway's, the reply to it, and those between pools.
type poolKinds struct{ ask, reply, peer datagram.Kind }

// poolService runs a quota pool: it takes the questions of gateways, and counts together with the
// pools of the other coordinators.
type poolService struct {
	*Coordinator
	socket *datagram.Socket
	kinds  poolKinds
	// limitsOf names whose limits are counted, in logs.
	limitsOf string
	mutex    sync.Mutex
	pool     *quota.Pool
	// woken has a message sent that is due sooner than was known.
	woken chan struct{}
	// refresh brings the limits up to date; it is called before each step.
	refresh func()
	// decided is told of each decision, with the mutex held. It may be nil.
	decided func(quota.Decision)
	// asked, refused and silent count questions since the start: all, those that were refused,
	// and those that the holder did not answer in time.
	asked, refused, silent uint64
}

func newPoolService(c *Coordinator, socket *datagram.Socket, limitsOf string, kinds poolKinds, terms quota.Terms) *poolService {
	created := &poolService{
		Coordinator: c,
		socket:      socket,
		kinds:       kinds,
		limitsOf:    limitsOf,
		pool: quota.NewPool(c.now(), quota.Options{
			Address: c.settings.Address,
			Life:    time.Now().UnixNano(),
			Lease:   time.Duration(poolLeaseShare * float64(c.settings.Contact)),
			Terms:   terms,
		}),
		woken:   make(chan struct{}, 1),
		refresh: func() {},
	}
	socket.Handle(kinds.ask, created.receiveGateway)
	socket.Handle(kinds.peer, created.receivePeer)
	return created
}

// Run does what is due until the context ends.
func (p *poolService) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.woken:
		}
		p.refresh()
		timer.Reset(p.step())
	}
}

// step does what is due now, and returns in how long something is due again.
func (p *poolService) step() time.Duration {
	leader := p.group.LeaderAddress()
	if p.group.Leads() {
		leader = p.settings.Address
	}
	members := slices.Sorted(slices.Values(p.group.MemberAddresses()))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	p.pool.SetGroup(now, leader, members)
	p.pool.Tick(now)
	p.send()
	return max(p.pool.Due(now)-now, time.Millisecond)
}

// receiveGateway takes a gateway's questions.
func (p *poolService) receiveGateway(from netip.AddrPort, payload []byte) error {
	var message quota.GatewayMessage
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for _, each := range message.Amounts {
		p.pool.Give(now, each)
	}
	for _, each := range message.Questions {
		p.pool.Ask(now, from.String(), each)
	}
	p.send()
	p.wake()
	return nil
}

// receivePeer takes a message of another coordinator.
func (p *poolService) receivePeer(_ netip.AddrPort, payload []byte) error {
	var message quota.PeerMessage
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pool.Receive(p.now(), &message)
	p.send()
	p.wake()
	return nil
}

// wake has the loop look anew at what is due.
func (p *poolService) wake() {
	select {
	case p.woken <- struct{}{}:
	default:
	}
}

// send sends what the pool has decided. It is called with the mutex held.
func (p *poolService) send() {
	ready := p.pool.Ready()
	for index := range ready.Messages {
		if to, err := netip.ParseAddrPort(ready.To[index]); err == nil {
			p.socket.Send(p.kinds.peer, &ready.Messages[index], to)
		}
	}
	for _, each := range ready.Decisions {
		p.reply(each)
	}
	for _, each := range ready.Modes {
		p.logger.Info(event.QuotaMode, "limits_of", p.limitsOf, "mode", string(each.Mode), "parts", each.Parts, "members", each.Of, "holder", each.Holder)
	}
}

// reply tells a gateway a decision.
func (p *poolService) reply(decided quota.Decision) {
	p.count(decided)
	if p.decided != nil {
		p.decided(decided)
	}
	to, err := netip.ParseAddrPort(decided.From)
	if err != nil {
		return
	}
	p.socket.Send(p.kinds.reply, &quota.GatewayReply{Answers: []quota.Answer{decided.Answer}, Mode: decided.Mode}, to)
}

// count counts a decision, once. It is called with the mutex held.
func (p *poolService) count(decided quota.Decision) {
	if decided.Again {
		return
	}
	p.asked++
	if !decided.Answer.Admitted {
		p.refused++
	}
	if decided.Silent {
		p.silent++
	}
}

// status is what the pool knows.
func (p *poolService) status() quota.Status {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.Status(p.now())
}

// statusAtLeader is what the leader counts, asked for at a path. While there is no leader, or it can't
// be reached, it is what this coordinator counts alone.
func (p *poolService) statusAtLeader(ctx context.Context, path string) quota.Status {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	status := &quota.Status{}
	err := p.atLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == p.settings.Address {
			*status = p.status()
			return nil
		}
		return p.client.Call(ctx, leader, path, &quota.StatusRequest{}, status)
	})
	if err != nil {
		p.logger.Info(event.QuotaStatusHere, "limits_of", p.limitsOf, "error", failure.Text(err))
		return p.status()
	}
	return *status
}

// handleStatus answers another coordinator at the leader.
func (p *poolService) handleStatus(context.Context, *quota.StatusRequest) (*quota.Status, error) {
	if !p.group.Leads() {
		return nil, rpc.NotLeader(p.group.LeaderAddress())
	}
	status := p.status()
	return &status, nil
}

// registerMetrics registers what is read when it is asked for; names begin with a prefix, and what
// names what is limited.
func (p *poolService) registerMetrics(registry *telemetry.Metrics, prefix, what string) {
	counted := func(name, help string, read func() float64) {
		registry.GaugeFunc(prefix+name, help, func() float64 {
			p.mutex.Lock()
			defer p.mutex.Unlock()
			return read()
		})
	}
	counted("_asked", "Questions of gateways whether a request may go on under the limit of "+what+" since the start.", func() float64 { return float64(p.asked) })
	counted("_refused", "Questions that were answered with no since the start.", func() float64 { return float64(p.refused) })
	counted("_holder_silent", "Questions that were decided here since the holder of the count did not answer in time, since the start.", func() float64 { return float64(p.silent) })
	counted("_parts", "Coordinators whose parts of the limits count here; 0 at one that asks the leader.", func() float64 {
		return float64(p.pool.Status(p.now()).Parts)
	})
}
