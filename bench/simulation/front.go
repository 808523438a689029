package simulation

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// modelRequest is a model call as it travels.
type modelRequest struct {
	requestID     string
	tenant        string
	prompt        string
	maximumTokens int
	// left is the time until the deadline, at the sender.
	left      time.Duration
	forwarded bool
}

// applicationRequest is a call of a non-repeatable operation as it travels.
type applicationRequest struct {
	requestID string
	tenant    string
	key       string
	body      []byte
	left      time.Duration
	forwarded bool
}

// answerSink takes the answer to a model call where it was asked for.
type answerSink struct {
	tokens  func([]string)
	finish  func()
	refused func(*callError)
	// broken says that the connection failed; handedOver is false only with
	// proof that the gateway was not reached.
	broken func(handedOver bool)
}

// submitModel sends a model call to a gateway.
func (w *world) submitModel(from *process, target *gateway, asked modelRequest, sink answerSink) {
	if !w.network.passes(from, &target.process) {
		if w.chance(0.5) {
			from.after(dialTimeout, func() { sink.broken(false) })
		}
		return
	}
	fromLife := from.life
	w.after(w.network.reliableLatency(from, &target.process), func() {
		switch {
		case !w.network.passes(from, &target.process):
		case !target.alive:
			from.run(fromLife, func() { sink.broken(w.chance(0.5)) })
		default:
			answer := &relayedAnswer{stream: w.newStream(&target.process, from), sink: sink}
			answer.link = target.connect(func() { answer.send(func() { sink.broken(true) }) })
			target.run(target.life, func() { target.serveModel(asked, answer) })
		}
	})
}

// relayedAnswer carries an answer from a gateway to whoever asked.
type relayedAnswer struct {
	*stream
	sink answerSink
	link *connection
}

func (a *relayedAnswer) tokens(tokens []string) { a.send(func() { a.sink.tokens(tokens) }) }

func (a *relayedAnswer) finish() {
	a.link.closed = true
	a.send(a.sink.finish)
}

func (a *relayedAnswer) fail(refused *callError) {
	a.link.closed = true
	a.send(func() { a.sink.refused(refused) })
}

// tenantOf returns a tenant of the configuration in force.
func (g *gateway) tenantOf(name string) (*dynamic.Tenant, *callError) {
	configuration := g.fleet.Snapshot().Configuration
	if configuration == nil {
		return nil, errNoConfiguration
	}
	if tenant := configuration.Tenant(name); tenant != nil {
		return tenant, nil
	}
	return nil, refused(failure.Unauthenticated, name)
}

// serveModel takes a model call as the gateway's handlers do.
func (g *gateway) serveModel(asked modelRequest, answer modelAnswer) {
	if g.leaving {
		answer.fail(refused(failure.Leaving, ""))
		return
	}
	tenant, err := g.tenantOf(asked.tenant)
	if err != nil {
		answer.fail(err)
		return
	}
	model := g.fleet.Snapshot().Configuration.Model(modelName)
	if model == nil {
		answer.fail(refused(failure.UnknownModel, modelName))
		return
	}
	if !asked.forwarded {
		answer = &spillAnswer{modelAnswer: answer, gateway: g, asked: asked, deadline: g.now() + asked.left}
	}
	if err := g.ready(); err != nil {
		answer.fail(err)
		return
	}
	g.runModel(asked, tenant, model, g.now()+asked.left, answer)
}

// spillAnswer passes on to another zone what this one has refused unrun.
type spillAnswer struct {
	modelAnswer
	gateway  *gateway
	asked    modelRequest
	deadline time.Duration
	begun    bool
}

func (a *spillAnswer) tokens(tokens []string) {
	a.begun = true
	a.modelAnswer.tokens(tokens)
}

func (a *spillAnswer) fail(refusal *callError) {
	if a.begun || refusal.ran != failure.RanNo || !spills(refusal.kind) || !a.gateway.guard.MayForward(&a.asked) {
		a.modelAnswer.fail(refusal)
		return
	}
	a.gateway.spill(a.asked, a.deadline, a.gateway.peers(""), a.modelAnswer, refusal)
}

// spills reports whether a kind means that this zone is full or cut off.
func spills(kind failure.Kind) bool {
	switch kind {
	case failure.NoBackEnd, failure.BackEndRefused, failure.QueueFull, failure.DeadlineTooShort,
		failure.IsolationExpired, failure.NotReady:
		return true
	default:
		return false
	}
}

// peers lists the gateways of one other zone, or of all, in turn.
func (g *gateway) peers(zone string) []*gateway {
	var peers []*gateway
	for _, each := range g.world.gateways {
		if each.zone != g.zone && (zone == "" || each.zone == zone) {
			peers = append(peers, each)
		}
	}
	if len(peers) == 0 {
		return nil
	}
	g.peerTurn++
	turn := g.peerTurn % len(peers)
	return append(peers[turn:len(peers):len(peers)], peers[:turn]...)
}

// spill forwards a model call; further gateways are tried as long as nothing
// was sent. The refusal is given if nobody took the request.
func (g *gateway) spill(asked modelRequest, deadline time.Duration, peers []*gateway, answer modelAnswer, refusal *callError) {
	left := deadline - g.now()
	if len(peers) == 0 || left <= 0 {
		answer.fail(refusal)
		return
	}
	asked.forwarded = true
	asked.left = left
	begun, ended := false, false
	end := func(action func()) {
		if !ended {
			ended = true
			action()
		}
	}
	broken := func(handedOver bool) {
		switch {
		case !handedOver:
			g.spill(asked, deadline, peers[1:], answer, refusal)
		case begun:
			answer.fail(refused(failure.AnswerBroken, "the other zone's answer broke off"))
		default:
			answer.fail(refused(failure.AttemptsExhausted, "the other zone did not answer"))
		}
	}
	g.after(left+500*time.Millisecond, func() { end(func() { broken(true) }) })
	g.world.submitModel(&g.process, peers[0], asked, answerSink{
		tokens: func(tokens []string) {
			if !ended {
				begun = true
				answer.tokens(tokens)
			}
		},
		finish:  func() { end(answer.finish) },
		refused: func(err *callError) { end(func() { answer.fail(err) }) },
		broken:  func(handedOver bool) { end(func() { broken(handedOver) }) },
	})
}

// serveOnce takes an application call as the gateway's handlers do.
func (g *gateway) serveOnce(asked applicationRequest, tell func(onceAnswer)) {
	refuse := func(err *callError) { tell(onceAnswer{refused: err}) }
	if g.leaving {
		refuse(refused(failure.Leaving, ""))
		return
	}
	tenant, err := g.tenantOf(asked.tenant)
	if err != nil {
		refuse(err)
		return
	}
	key, problem := onceonly.ParseKey(asked.key, tenant.HomeZone, g.world.isZone)
	if problem != nil {
		refuse(refused(failure.IdempotencyKeyInvalid, problem.Error()))
		return
	}
	if key.Zone == g.zone {
		g.runOnce(asked, g.now()+asked.left, 1, nil, tell)
		return
	}
	if asked.forwarded {
		refuse(homeZoneUnreachable(key.Zone))
		return
	}
	asked.forwarded = true
	g.forwardOnce(asked, g.now()+asked.left, key.Zone, g.peers(key.Zone), tell)
}

func homeZoneUnreachable(zone string) *callError {
	err := refused(failure.HomeZoneUnreachable, "the key's home zone is "+zone)
	// An earlier request under the same key may have run.
	err.ran = failure.RanUnknown
	return err
}

// forwardOnce hands a call to a gateway of its home zone; one that may have
// arrived is not sent again.
func (g *gateway) forwardOnce(asked applicationRequest, deadline time.Duration, zone string, peers []*gateway, tell func(onceAnswer)) {
	asked.left = deadline - g.now()
	if len(peers) == 0 || asked.left <= 0 {
		tell(onceAnswer{refused: homeZoneUnreachable(zone)})
		return
	}
	target := peers[0]
	g.world.call(&g.process, &target.process, asked.left+500*time.Millisecond,
		func(e *exchange) { target.serveOnce(asked, func(answer onceAnswer) { e.reply(answer) }) },
		func(reply any, err *callError) {
			switch {
			case err == nil:
				tell(reply.(onceAnswer))
			case err.notDelivered:
				g.forwardOnce(asked, deadline, zone, peers[1:], tell)
			default:
				tell(onceAnswer{refused: refused(failure.OutcomeUnknown, "the home zone did not answer")})
			}
		})
}
