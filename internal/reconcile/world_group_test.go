package reconcile

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// group simulates the replicated log with its current leader. Deposed leaders
// continue to act for a while, on the state at the time they were deposed.
type group struct {
	env       *testEnvironment
	logLength uint64
	state     *zonestate.State
	leader    *modelLeader
	// staleLeaders holds the deposed leaders. Each acts as a leader until it is
	// stopped.
	staleLeaders    []*modelLeader
	publishedConfig uint64
}

type modelLeader struct {
	group *group
	core  *Core
	// staleState is the state when the leader was deposed, nil before that.
	staleState *zonestate.State
	clockRate  float64
	// inFlight holds the proposals that are neither committed nor dropped.
	inFlight     map[int]Proposal
	nextProposal int
	stopped      bool
}

func newGroup(env *testEnvironment) *group { return &group{env: env, state: zonestate.New()} }

// append commits a command.
func (g *group) append(command zonestate.Command) zonestate.Result {
	data, err := command.Encode()
	if err != nil {
		panic(err)
	}
	g.logLength++
	result, err := zonestate.DecodeResult(g.state.Apply(g.logLength, data))
	if err != nil {
		panic(err)
	}
	return result
}

// publishConfig commits a configuration in the config group. The zone's leader pulls
// it later.
func (g *group) publishConfig() {
	g.publishedConfig++
	g.offerConfigLater(g.leader)
}

// offerConfigLater lets a leader pull the newest configuration after a random delay,
// if one has been published by then.
func (g *group) offerConfigLater(leader *modelLeader) {
	g.env.schedule(g.env.randomDuration(20*time.Second), func() {
		if g.publishedConfig > 0 {
			leader.core.UpdateConfig(&dynamic.Snapshot{Revision: g.publishedConfig})
		}
	})
}

// elect replaces the leader. Each pending proposal of the old leader is either
// committed before the new one begins or dropped.
func (g *group) elect() {
	env := g.env
	if old := g.leader; old != nil {
		old.depose()
		g.staleLeaders = append(g.staleLeaders, old)
		env.schedule(env.randomDuration(40*time.Second), func() { old.stopped = true })
	}
	config := Config{
		Zone:          "zone-a",
		Generation:    1,
		Parameters:    zonestate.DefaultParameters([]string{"zone-a", "zone-b"}),
		MaximumAway:   2,
		SkipDrainWait: env.plantedFaults.skipDrainWait,
	}
	config.Parameters.Terms = modelTerms()
	for _, engine := range env.engines {
		config.Engines = append(config.Engines, Target{ID: engine.id, Address: engine.id})
	}
	leader := &modelLeader{
		group:     g,
		clockRate: env.clockRate(),
		inFlight:  make(map[int]Proposal),
	}
	leader.core = New(leader.clock(), config)
	g.offerConfigLater(leader)
	g.leader = leader
	leader.tick()
}

// clockRate returns the rate of a clock that drifts by at most 1%.
func (env *testEnvironment) clockRate() float64 { return 0.99 + 0.02*env.random.Float64() }

func (g *group) reasonOf(engineID string) string {
	for _, status := range g.leader.core.Status(g.leader.clock(), g.state) {
		if status.Engine.ID == engineID {
			return status.Reason
		}
	}
	return ""
}

func (l *modelLeader) clock() time.Duration {
	return time.Duration(float64(l.group.env.now) * l.clockRate)
}

func (l *modelLeader) leads() bool { return l.group.leader == l }

func (l *modelLeader) visibleState() *zonestate.State {
	if l.staleState != nil {
		return l.staleState
	}
	return l.group.state
}

func (l *modelLeader) depose() {
	for number := range l.nextProposal {
		proposal, found := l.inFlight[number]
		if found && l.group.env.chance(0.5) {
			l.group.append(proposal.Command)
		}
	}
	data, err := l.group.state.Snapshot()
	if err != nil {
		panic(err)
	}
	l.staleState = zonestate.New()
	if err := l.staleState.Restore(data); err != nil {
		panic(err)
	}
}

func (l *modelLeader) tick() {
	if l.stopped {
		return
	}
	env := l.group.env
	outputs := l.core.Tick(l.clock(), env.now.Milliseconds(), l.visibleState())
	for _, proposal := range outputs.Proposals {
		l.propose(proposal)
	}
	for _, poll := range outputs.EnginePolls {
		l.poll(poll)
	}
	for _, order := range outputs.Orders {
		l.send(order)
	}
	env.schedule(100*time.Millisecond, l.tick)
}

func (l *modelLeader) propose(proposal Proposal) {
	number := l.nextProposal
	l.nextProposal++
	l.inFlight[number] = proposal
	l.group.env.schedule(l.group.env.messageDelay(), func() {
		if _, found := l.inFlight[number]; !found {
			return
		}
		delete(l.inFlight, number)
		if l.leads() {
			l.group.append(proposal.Command)
		}
		l.core.ProposalEnded(proposal.Key)
	})
}

func (l *modelLeader) poll(poll Poll) {
	env := l.group.env
	sentAt := l.clock()
	engine := env.engine(poll.ID)
	if env.messageLost() {
		return
	}
	env.schedule(env.messageDelay(), func() {
		if engine.down {
			l.core.RecordEngineNoResponse(l.clock(), poll.ID)
			return
		}
		state := engine.report()
		env.schedule(env.messageDelay(), func() { l.core.RecordEngineState(sentAt, l.clock(), poll.ID, &state) })
	})
}

func (l *modelLeader) send(call OrderCall) {
	env := l.group.env
	sentAt := l.clock()
	engine := env.engine(call.Order.EngineID)
	if env.messageLost() {
		return
	}
	env.schedule(env.messageDelay(), func() {
		if engine.down {
			return
		}
		reply := engine.executeOrder(&call.Order)
		env.schedule(env.messageDelay(), func() { l.core.RecordOrderReply(sentAt, l.clock(), &call.Order, &reply) })
	})
}

// open handles a gateway's request to open a session.
func (l *modelLeader) open(request *wire.OpenSessionRequest) *wire.OpenSessionReply {
	if !l.leads() || !l.group.state.Founded() {
		return nil
	}
	if request.Ticket == 0 {
		return &wire.OpenSessionReply{Ticket: l.group.state.Applied()}
	}
	receivedAt := l.clock()
	earlier, hadSession := l.group.state.Sessions().ByMember(request.GatewayID)
	result := l.group.append(zonestate.Command{
		Kind: zonestate.KindOpenSession,
		Session: &zonestate.SessionCommand{
			GatewayID:   request.GatewayID,
			Incarnation: request.Incarnation,
			Address:     request.Address,
			Ticket:      request.Ticket,
		},
	})
	if result.Outcome != zonestate.OutcomeDone || !l.core.MayReturnSession(result.SessionID) {
		return nil
	}
	if hadSession && earlier.ID != result.SessionID {
		l.group.env.counts.sessionsSuperseded++
	}
	l.core.RecordSessionOpened(receivedAt, result.SessionID)
	session, _ := l.group.state.Sessions().Get(result.SessionID)
	view := l.group.state.ViewFor(&wire.WatchRequest{SessionID: result.SessionID})
	l.exposeUncommittedConfig(&view)
	return &wire.OpenSessionReply{SessionID: result.SessionID, View: view, Terms: wire.Terms(session.Terms)}
}

// heartbeat handles a heartbeat. The leader may be deposed during the read barrier.
func (l *modelLeader) heartbeat(request *wire.HeartbeatRequest, answer func(*wire.HeartbeatReply)) {
	env := l.group.env
	l.core.RecordHeartbeat(l.clock(), request, l.visibleState())
	env.schedule(env.messageDelay(), func() {
		if !l.leads() && !env.plantedFaults.skipReadBarrier {
			answer(nil)
			return
		}
		reply := l.core.AnswerHeartbeat(request, l.visibleState())
		if env.plantedFaults.renewWithoutView {
			reply.View, reply.Revision = nil, 0
		}
		if reply.View != nil {
			l.exposeUncommittedConfig(reply.View)
		}
		answer(&reply)
	})
}

// exposeUncommittedConfig implements the planted fault uncommittedConfig: the offered
// configuration is served before it is committed.
func (l *modelLeader) exposeUncommittedConfig(view *wire.View) {
	offered := l.core.offeredConfig
	if l.group.env.plantedFaults.uncommittedConfig && offered != nil {
		view.Config = offered
		view.ConfigRevision = offered.Revision
	}
}
