package soak

import (
	"context"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	// restEvery is the mean time between two engines that begin to rest, and restFor the mean time for which one does.
	restEvery = 1500 * time.Millisecond
	restFor   = 2500 * time.Millisecond
	// restDelay is how long after an engine has asked a gateway for rest it may still get what was under way, and
	// restSlack how many requests besides.
	restDelay = 500 * time.Millisecond
	restSlack = 2
	// leaveEvery is the mean time between two engines that begin to say that they leave.
	leaveEvery = 2500 * time.Millisecond
	// leaveTime is how long after a gateway has passed on that an engine leaves a caller may send a request that
	// reaches it. leaveSlack is for the way to the gateway.
	leaveTime  = 2 * time.Second
	leaveSlack = 500 * time.Millisecond
)

// engineLife identifies a life of an engine.
type engineLife struct {
	engine string
	life   int
}

// askedGateway is a life of an engine, with a gateway that it has asked for something.
type askedGateway struct {
	engineLife
	gateway string
}

// rest is a time for which a gateway was asked to send nothing, in the answer to a request, and what came nevertheless.
type rest struct {
	asked arrival
	until time.Time
	came  []arrival
}

// asks is what engines ask of gateways, and what they got after that. It is guarded by the truth's mutex.
type asks struct {
	lives map[string]int
	// restUntil are the engines that rest, leaving those that say that they leave.
	restUntil map[string]time.Time
	leaving   map[engineLife]bool
	rests     map[askedGateway][]*rest
	// drainingAt is when the list showed an engine as draining.
	drainingAt map[engineLife]time.Time
	// leavingAnswers are the requests that run and whose answers say that their engine leaves.
	leavingAnswers map[askedGateway][]string
}

func newAsks() asks {
	return asks{
		lives:          map[string]int{},
		restUntil:      map[string]time.Time{},
		leaving:        map[engineLife]bool{},
		rests:          map[askedGateway][]*rest{},
		drainingAt:     map[engineLife]time.Time{},
		leavingAnswers: map[askedGateway][]string{},
	}
}

// askToLeave has engines say that they leave until the context ends.
func (s *soak) askToLeave(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, s.around(leaveEvery))
		s.truth.leaves(engineName(int(s.draw() * engines)))
	}
}

// askForRest has engines rest until the context ends.
func (s *soak) askForRest(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, s.around(restEvery))
		s.truth.rest(engineName(int(s.draw()*engines)), s.around(restFor))
	}
}

// rest has an engine want to rest for a time.
func (t *truth) rest(engine string, length time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.asks.restUntil[engine] = time.Now().Add(length)
}

// leaves has an engine say that it leaves, until it starts again.
func (t *truth) leaves(engine string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.asks.leaving[engineLife{engine, t.asks.lives[engine]}] = true
}

// ask returns what an engine asks of the gateway that has sent it a request, and notes the request.
func (t *truth) ask(engine, request string) platformtest.Ask {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	life := engineLife{engine, t.asks.lives[engine]}
	gateway := askedGateway{life, t.sentTo[request]}
	ask := platformtest.Ask{Leaving: t.asks.leaving[life], Rest: max(t.asks.restUntil[engine].Sub(now), 0)}
	if ask.Leaving {
		t.judgeArrival(gateway, request)
	}
	t.judgeDraining(gateway, request)
	t.noteRest(gateway, request, ask.Rest, now)
	return ask
}

// answersLeaving notes that an engine runs a request, and says in the answer that it leaves if it does. Other answers
// that say so are not passed on to a caller.
func (t *truth) answersLeaving(engine, request string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	life := engineLife{engine, t.asks.lives[engine]}
	if t.asks.leaving[life] {
		gateway := askedGateway{life, t.sentTo[request]}
		t.asks.leavingAnswers[gateway] = append(t.asks.leavingAnswers[gateway], request)
	}
}

// noteRest notes a request that comes in a rest that its gateway was asked for, or asks for one, unless the call has ended:
// then its gateway no longer waits for an answer. It is called with the mutex held.
func (t *truth) noteRest(gateway askedGateway, request string, wanted time.Duration, now time.Time) {
	known := t.asks.rests[gateway]
	if len(known) > 0 {
		if last := known[len(known)-1]; now.Before(last.until) {
			if now.After(last.asked.at.Add(restDelay)) && !t.isDisturbed(gateway.gateway, gateway.engine, now) {
				t.judgeRest(gateway, last, arrival{at: now, request: request})
			}
			return
		}
	}
	if wanted > 0 && !t.hasEnded(request) {
		t.asks.rests[gateway] = append(known, &rest{asked: arrival{at: now, request: request}, until: now.Add(wanted)})
	}
}

// hasEnded reports whether a call has ended at its caller. It is called with the mutex held.
func (t *truth) hasEnded(request string) bool {
	_, answered := t.answeredAt[request]
	return answered || slices.ContainsFunc(t.cuts, func(each cutCall) bool { return each.id == request })
}

// judgeRest checks that a gateway leaves an engine alone that wants to rest. It is called with the mutex held.
func (t *truth) judgeRest(gateway askedGateway, kept *rest, came arrival) {
	kept.came = append(kept.came, came)
	if len(kept.came) > restSlack {
		t.violate("%s has asked %s for %s of rest, and got %s; asked by the answer to %s", gateway.engine, gateway.gateway,
			kept.until.Sub(kept.asked.at), listed(kept.came), listed([]arrival{kept.asked}))
	}
}

// judgeArrival checks that a gateway sends nothing new to an engine that leaves. It is called with the mutex held.
func (t *truth) judgeArrival(gateway askedGateway, request string) {
	from, passedOn := t.passedOn(t.asks.leavingAnswers[gateway])
	sent := t.sentAt[request]
	if passedOn && sent.After(from.Add(leaveTime+leaveSlack)) && !t.isDisturbed(gateway.gateway, gateway.engine, sent) {
		t.violate("%s has told %s that it leaves, and got %s, which was sent %s later", gateway.engine, gateway.gateway, request, sent.Sub(from))
	}
}

// drains notes that the list shows an engine as draining.
func (t *truth) drains(engine string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.asks.drainingAt[engineLife{engine, t.asks.lives[engine]}] = at
	t.drained++
}

// judgeDraining checks that a gateway sends nothing new to an engine that the list shows as draining. It is called with the mutex
// held.
func (t *truth) judgeDraining(gateway askedGateway, request string) {
	from, draining := t.asks.drainingAt[gateway.engineLife]
	sent := t.sentAt[request]
	if draining && sent.After(from.Add(leaveTime+leaveSlack)) && !t.isDisturbed(gateway.gateway, gateway.engine, sent) {
		t.violate("the list shows that %s leaves, and it got %s from %s, which was sent %s later", gateway.engine, request, gateway.gateway, sent.Sub(from))
	}
}

// countAsks counts the rests, and the engines that have told a gateway that they leave.
func (t *truth) countAsks() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, rests := range t.asks.rests {
		t.rested += len(rests)
	}
	for _, answers := range t.asks.leavingAnswers {
		if _, passedOn := t.passedOn(answers); passedOn {
			t.left++
		}
	}
}

// passedOn returns when the first of some answers came to its caller. It is called with the mutex held.
func (t *truth) passedOn(requests []string) (first time.Time, found bool) {
	for _, request := range requests {
		if at, answered := t.answeredAt[request]; answered && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}
