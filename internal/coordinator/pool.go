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

// poolLeaseShare is the fraction of the contact time for which a coordinator's share of the limits counts
// at the leader after its last message. It also bounds the time for which a failed leader delays queries;
// an election takes twice as long.
const poolLeaseShare = 0.125

// messageKinds are the kinds of a pool's messages: a gateway's request, the reply to it, and those
// between pools.
type messageKinds struct{ request, reply, peer datagram.Kind }

// poolService runs a quota pool: it answers gateways' queries, and counts together with the pools of
// the other coordinators.
type poolService struct {
	*Coordinator
	socket *datagram.Socket
	kinds  messageKinds
	// limitsOf says in logs whose limits are counted.
	limitsOf string
	mutex    sync.Mutex
	pool     *quota.Pool
	// wakeups ends Run's wait early when a message may be due sooner than was known.
	wakeups chan struct{}
	// refresh updates the limits; it is called before each step, without the mutex held.
	refresh func()
	// onDecision is called for each decision, with the mutex held. It may be nil.
	onDecision func(quota.Decision)
	// requestCount, deniedCount and holderTimeoutCount count queries since the start: all, those that
	// were denied, and those that the holder of the count did not answer in time.
	requestCount, deniedCount, holderTimeoutCount uint64
}

func newPoolService(c *Coordinator, socket *datagram.Socket, limitsOf string, kinds messageKinds, enforcement quota.Enforcement) *poolService {
	service := &poolService{
		Coordinator: c,
		socket:      socket,
		kinds:       kinds,
		limitsOf:    limitsOf,
		pool: quota.NewPool(c.now(), quota.Options{
			Address:     c.settings.Address,
			Incarnation: time.Now().UnixNano(),
			Lease:       time.Duration(poolLeaseShare * float64(c.settings.ContactTime)),
			Enforcement: enforcement,
		}),
		wakeups: make(chan struct{}, 1),
		refresh: func() {},
	}
	socket.Handle(kinds.request, service.receiveGateway)
	socket.Handle(kinds.peer, service.receivePeer)
	return service
}

// Run keeps the pool up to date until the context ends. It refreshes the limits and calls step whenever the
// next step is due, or earlier if there is a wakeup.
func (p *poolService) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.wakeups:
		}
		p.refresh()
		timer.Reset(p.step())
	}
}

// step does the work that is due, and returns the time until the next step.
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

// receiveGateway handles a gateway's message: amounts to refund or charge, and queries.
func (p *poolService) receiveGateway(from netip.AddrPort, payload []byte) error {
	var message quota.GatewayMessage
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for _, each := range message.Amounts {
		p.pool.Adjust(now, each)
	}
	for _, each := range message.Queries {
		p.pool.HandleQuery(now, from.String(), each)
	}
	p.send()
	p.wakeUp()
	return nil
}

// receivePeer handles a message of another coordinator.
func (p *poolService) receivePeer(_ netip.AddrPort, payload []byte) error {
	var message quota.PeerMessage
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pool.Receive(p.now(), &message)
	p.send()
	p.wakeUp()
	return nil
}

// wakeUp makes Run start the next step at once.
func (p *poolService) wakeUp() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// send sends the pool's messages and decisions. The caller must hold p.mutex.
func (p *poolService) send() {
	ready := p.pool.Ready()
	for index := range ready.Messages {
		if to, err := netip.ParseAddrPort(ready.Recipients[index]); err == nil {
			p.socket.Send(p.kinds.peer, &ready.Messages[index], to)
		}
	}
	for _, each := range ready.Decisions {
		p.reply(each)
	}
	for _, each := range ready.ShareChanges {
		p.logger.Info(event.QuotaMode, "limits_of", p.limitsOf, "mode", string(each.Mode), "parts", each.Shares, "members", each.Members, "holder", each.Holder)
	}
}

// reply sends a decision to the gateway. The caller must hold p.mutex.
func (p *poolService) reply(decision quota.Decision) {
	p.count(decision)
	if p.onDecision != nil {
		p.onDecision(decision)
	}
	to, err := netip.ParseAddrPort(decision.From)
	if err != nil {
		return
	}
	p.socket.Send(p.kinds.reply, &quota.GatewayReply{Answers: []quota.Answer{decision.Answer}, Mode: decision.Mode}, to)
}

// count counts a decision unless it was counted before. The caller must hold p.mutex.
func (p *poolService) count(decision quota.Decision) {
	if decision.Repeated {
		return
	}
	p.requestCount++
	if !decision.Answer.Admitted {
		p.deniedCount++
	}
	if decision.HolderTimedOut {
		p.holderTimeoutCount++
	}
}

// status returns the pool's status.
func (p *poolService) status() quota.Status {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.Status(p.now())
}

// statusAtLeader returns the leader's status, queried at path. While there is no leader, or it can't be
// reached, it returns what this coordinator has counted locally.
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

// handleStatus answers another coordinator's status query at the leader.
func (p *poolService) handleStatus(context.Context, *quota.StatusRequest) (*quota.Status, error) {
	if !p.group.Leads() {
		return nil, rpc.NotLeader(p.group.LeaderAddress())
	}
	status := p.status()
	return &status, nil
}

// registerMetrics registers the pool's gauges. Their names begin with prefix. what is used in the help texts
// for whose limits are counted, such as "a tenant".
func (p *poolService) registerMetrics(registry *telemetry.Metrics, prefix, what string) {
	registerGauge := func(name, help string, read func() float64) {
		registry.GaugeFunc(prefix+name, help, func() float64 {
			p.mutex.Lock()
			defer p.mutex.Unlock()
			return read()
		})
	}
	registerGauge("_asked", "Questions of gateways whether a request may go on under the limit of "+what+" since the start.", func() float64 { return float64(p.requestCount) })
	registerGauge("_refused", "Questions that were answered with no since the start.", func() float64 { return float64(p.deniedCount) })
	registerGauge("_holder_silent", "Questions that were decided here since the holder of the count did not answer in time, since the start.", func() float64 { return float64(p.holderTimeoutCount) })
	registerGauge("_parts", "Coordinators whose parts of the limits count here; 0 at one that asks the leader.", func() float64 {
		return float64(p.pool.Status(p.now()).Parts)
	})
}
