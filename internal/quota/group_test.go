package quota_test

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/quota"
)

const (
	tenant = "tenant"
	lease  = 500 * time.Millisecond
	// delay is what a datagram takes.
	delay = time.Millisecond
	// heard is how long after a leader has gone another one is elected.
	heard = time.Second
)

// terms are those of a deployment with some tolerance.
var terms = quota.Terms{Window: 8 * time.Second, Over: 0.1, Slack: 190_000}

// group runs the pools of some coordinators in virtual time. Datagrams take delay; what a test
// does to coordinators and links is held in plain fields.
type group struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	lives  int64
	limit  quota.Limit
	terms  quota.Terms
	names  []string
	nodes  map[string]*node
	events eventHeap
	order  int
	// cut reports whether a datagram is lost.
	cut func(from, to string) bool
	// gateways is the number of gateways that ask; local are their own counts.
	gateways int
	local    []*quota.Local
	// alone is how a gateway decides that reaches no coordinator, and heardBack is told when one has
	// answered it.
	alone     func(gateway int, q quota.Question) quota.Answer
	heardBack func(gateway int)
	// told is given each answer, with the gateway that had asked. It may be nil.
	told    func(gateway int, answer quota.Answer)
	charges []charged
	refused float64
}

// node is a coordinator.
type node struct {
	pool   *quota.Pool
	leader string
	// down is set while the process is dead, and frozenUntil ends a freeze; what came meanwhile is
	// taken after it.
	down        bool
	frozenUntil time.Duration
}

// charged is an admitted request.
type charged struct {
	at    time.Duration
	units float64
}

type scheduled struct {
	at    time.Duration
	order int
	run   func()
}

func newGroup(t *testing.T, seed uint64, coordinators, gateways int, limit quota.Limit) *group {
	return newGroupUnder(t, seed, coordinators, gateways, limit, terms)
}

func newGroupUnder(t *testing.T, seed uint64, coordinators, gateways int, limit quota.Limit, terms quota.Terms) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), limit: limit, terms: terms, gateways: gateways,
		nodes: map[string]*node{}, cut: func(string, string) bool { return false },
	}
	for index := range coordinators {
		name := string(rune('a' + index))
		g.names = append(g.names, name)
		g.nodes[name] = &node{}
	}
	for range gateways {
		g.local = append(g.local, quota.NewLocal(g.terms))
	}
	g.alone = func(gateway int, q quota.Question) quota.Answer {
		return g.local[gateway].Ask(g.now, g.limit, g.gateways, q)
	}
	for _, name := range g.names {
		g.start(name)
	}
	g.elect(g.names[0], g.names...)
	return g
}

// at schedules something.
func (g *group) at(when time.Duration, run func()) {
	g.order++
	heap.Push(&g.events, scheduled{at: when, order: g.order, run: run})
}

// run goes on until a time.
func (g *group) run(until time.Duration) {
	for len(g.events) > 0 && g.events[0].at <= until {
		next := heap.Pop(&g.events).(scheduled)
		g.now = max(g.now, next.at)
		next.run()
	}
	g.now = until
}

// eventHeap is what is scheduled, the next first.
type eventHeap []scheduled

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h *eventHeap) Push(added any) { *h = append(*h, added.(scheduled)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// start begins a new life of a coordinator.
func (g *group) start(name string) {
	g.lives++
	started := &node{leader: g.nodes[name].leader}
	started.pool = quota.NewPool(g.now, quota.Options{Address: name, Life: g.lives, Lease: lease, Terms: g.terms})
	started.pool.SetLimits(g.now, map[string]quota.Limit{tenant: g.limit})
	g.nodes[name] = started
	g.tick(name, started)
}

// tick runs a coordinator's timer for as long as its process lives.
func (g *group) tick(name string, ticked *node) {
	if ticked.down || g.nodes[name] != ticked {
		return
	}
	if g.now < ticked.frozenUntil {
		g.at(ticked.frozenUntil, func() { g.tick(name, ticked) })
		return
	}
	ticked.step(g.now, g.names)
	g.flush(name)
	g.at(max(ticked.pool.Due(g.now), g.now+time.Millisecond), func() { g.tick(name, ticked) })
}

// step does what is due.
func (n *node) step(now time.Duration, names []string) {
	n.pool.SetGroup(now, n.leader, names)
	n.pool.Tick(now)
}

// elect has coordinators believe in a leader.
func (g *group) elect(leader string, believers ...string) {
	for _, name := range believers {
		g.nodes[name].leader = leader
	}
}

// deliver hands a datagram over, after a freeze if there is one.
func (g *group) deliver(to string, take func(*node)) {
	receiver := g.nodes[to]
	if g.now < receiver.frozenUntil {
		g.at(receiver.frozenUntil, func() { g.deliver(to, take) })
		return
	}
	if receiver.down {
		return
	}
	take(receiver)
	g.flush(to)
	g.at(receiver.pool.Due(g.now), func() {
		if g.nodes[to] == receiver && !receiver.down && g.now >= receiver.frozenUntil {
			receiver.step(g.now, g.names)
			g.flush(to)
		}
	})
}

// flush sends what a pool has decided.
func (g *group) flush(name string) {
	ready := g.nodes[name].pool.Ready()
	for index := range ready.Messages {
		message, to := ready.Messages[index], ready.To[index]
		if !g.cut(name, to) {
			g.at(g.now+delay, func() {
				g.deliver(to, func(n *node) { n.pool.Receive(g.now, &message) })
			})
		}
	}
	for _, each := range ready.Decisions {
		g.at(g.now+delay, func() { g.answers(name, each) })
	}
}

// openQuestion is a question of a gateway.
type openQuestion struct {
	done func(quota.Answer)
	open bool
}

var questions = map[uint64]*openQuestion{}

func (g *group) answers(from string, decided quota.Decision) {
	question := questions[decided.Answer.ID]
	if question != nil && question.open && !g.cut(from, "gateways") {
		question.open = false
		question.done(decided.Answer)
	}
}

// request has a gateway ask for a request, at one coordinator and then at another one, and then
// decide by itself.
func (g *group) request(gateway int, units float64, rank int) {
	first := g.names[gateway%len(g.names)]
	second := g.names[(gateway+1+g.random.IntN(len(g.names)-1))%len(g.names)]
	q := quota.Question{Account: tenant, Units: units, Rank: rank}
	g.ask(gateway, first, q, func() {
		g.ask(gateway, second, q, func() {
			answer := g.alone(gateway, q)
			g.note(units, answer)
			if g.told != nil {
				g.told(gateway, answer)
			}
		})
	})
}

const answerWait = lease / 5

func (g *group) ask(gateway int, coordinator string, q quota.Question, silent func()) {
	id := uint64(len(questions) + 1)
	q.ID = id
	question := &openQuestion{open: true, done: func(answer quota.Answer) {
		if answer.Unsure {
			silent()
			return
		}
		g.note(q.Units, answer)
		if g.told != nil {
			g.told(gateway, answer)
		}
		if g.heardBack != nil {
			g.heardBack(gateway)
		}
	}}
	questions[id] = question
	send := func() {
		if question.open && !g.cut("gateways", coordinator) {
			g.at(g.now+delay, func() {
				g.deliver(coordinator, func(n *node) { n.pool.Ask(g.now, "gateway", q) })
			})
		}
	}
	send()
	g.at(g.now+answerWait/2, send)
	g.at(g.now+answerWait, func() {
		if question.open {
			question.open = false
			silent()
		}
	})
}

func (g *group) note(units float64, answer quota.Answer) {
	if answer.Admitted {
		g.charges = append(g.charges, charged{at: g.now, units: units})
		return
	}
	g.refused += units
}

// load has requests come at random gateways for a time, at a share of the limit. Sizes vary from a
// fifth to three times the mean, as long and short prompts do.
func (g *group) load(from, until time.Duration, share, mean float64) {
	pause := time.Duration(mean / (share * g.limit.Rate) * float64(time.Second))
	for at := from; at < until; at += time.Duration(float64(pause) * g.random.ExpFloat64()) {
		units := mean * (0.2 + 1.6*g.random.Float64())
		gateway := g.random.IntN(g.gateways)
		g.at(at, func() { g.request(gateway, units, 0) })
	}
}

// admitted is what was admitted in all.
func (g *group) admitted() float64 {
	sum := 0.0
	for _, each := range g.charges {
		sum += each.units
	}
	return sum
}

// requireBound holds every window against the limit with its tolerance.
func (g *group) requireBound() {
	g.t.Helper()
	allowed := (g.limit.Rate*g.terms.Window.Seconds()+g.limit.Burst)*(1+g.terms.Over) + g.terms.Slack
	most, at := g.mostInWindow()
	require.LessOrEqual(g.t, most, allowed, "admitted within a window that begins at %s", at)
}

// mostInWindow is the most that was admitted within a window.
func (g *group) mostInWindow() (most float64, at time.Duration) {
	slices.SortFunc(g.charges, func(a, b charged) int { return cmp.Compare(a.at, b.at) })
	first, sum := 0, 0.0
	for _, each := range g.charges {
		sum += each.units
		for each.at-g.charges[first].at > g.terms.Window {
			sum -= g.charges[first].units
			first++
		}
		if sum > most {
			most, at = sum, g.charges[first].at
		}
	}
	return most, at
}

// requireNear holds a share against what is expected.
func requireNear(t *testing.T, expected, actual, within float64) {
	t.Helper()
	require.LessOrEqual(t, math.Abs(actual-expected), within, "expected %v, got %v", expected, actual)
}
