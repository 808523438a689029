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
	// delay is the latency of a datagram.
	delay = time.Millisecond
	// electionDelay is the time between the failure of a leader and the election of another one.
	electionDelay = time.Second
)

// enforcement is that of a deployment with some tolerance.
var enforcement = quota.Enforcement{Window: 8 * time.Second, RelativeTolerance: 0.1, AbsoluteTolerance: 190_000}

// simulation runs the pools of some coordinators in virtual time. Datagrams take delay; tests change
// the state of coordinators and links in plain fields.
type simulation struct {
	t            *testing.T
	random       *rand.Rand
	now          time.Duration
	incarnations int64
	limit        quota.Limit
	enforcement  quota.Enforcement
	names        []string
	nodes        map[string]*coordinator
	events       eventHeap
	sequence     int
	// isLost reports whether a datagram is lost.
	isLost func(from, to string) bool
	// gateways is the number of gateways that ask; localLimiters are their own buckets.
	gateways      int
	localLimiters []*quota.LocalLimiter
	// decideLocally decides at a gateway that reaches no coordinator. onCoordinatorAnswer, which
	// may be nil, is called when a coordinator has answered a gateway.
	decideLocally       func(gateway int, q quota.Query) quota.Answer
	onCoordinatorAnswer func(gateway int)
	// onAnswer is called with each answer, and the gateway that had asked. It may be nil.
	onAnswer     func(gateway int, answer quota.Answer)
	admissions   []admission
	refusedUnits float64
}

// coordinator is a coordinator's process.
type coordinator struct {
	pool   *quota.Pool
	leader string
	// down is set while the process is dead. frozenUntil is the end of a freeze; datagrams that arrive
	// meanwhile are handled after it.
	down        bool
	frozenUntil time.Duration
}

// admission is an admitted request.
type admission struct {
	at    time.Duration
	units float64
}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

func newSimulation(t *testing.T, seed uint64, coordinators, gateways int, limit quota.Limit) *simulation {
	return newSimulationWithEnforcement(t, seed, coordinators, gateways, limit, enforcement)
}

func newSimulationWithEnforcement(t *testing.T, seed uint64, coordinators, gateways int, limit quota.Limit, enforcement quota.Enforcement) *simulation {
	g := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), limit: limit, enforcement: enforcement, gateways: gateways,
		nodes: map[string]*coordinator{}, isLost: func(string, string) bool { return false },
	}
	for index := range coordinators {
		name := string(rune('a' + index))
		g.names = append(g.names, name)
		g.nodes[name] = &coordinator{}
	}
	for range gateways {
		g.localLimiters = append(g.localLimiters, quota.NewLocalLimiter(g.enforcement))
	}
	g.decideLocally = func(gateway int, q quota.Query) quota.Answer {
		return g.localLimiters[gateway].Decide(g.now, g.limit, g.gateways, q)
	}
	for _, name := range g.names {
		g.start(name)
	}
	g.setLeader(g.names[0], g.names...)
	return g
}

// schedule adds an event.
func (g *simulation) schedule(when time.Duration, run func()) {
	g.sequence++
	heap.Push(&g.events, scheduledEvent{at: when, sequence: g.sequence, run: run})
}

// runUntil runs all events up to a time.
func (g *simulation) runUntil(until time.Duration) {
	for len(g.events) > 0 && g.events[0].at <= until {
		next := heap.Pop(&g.events).(scheduledEvent)
		g.now = max(g.now, next.at)
		next.run()
	}
	g.now = until
}

// eventHeap holds the scheduled events, the next first.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}
func (h *eventHeap) Push(added any) { *h = append(*h, added.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// start starts a new process of a coordinator.
func (g *simulation) start(name string) {
	g.incarnations++
	started := &coordinator{leader: g.nodes[name].leader}
	started.pool = quota.NewPool(g.now, quota.Options{Address: name, Incarnation: g.incarnations, Lease: lease, Enforcement: g.enforcement})
	started.pool.SetLimits(g.now, map[string]quota.Limit{tenant: g.limit})
	g.nodes[name] = started
	g.tick(name, started)
}

// tick runs a coordinator's timer for as long as its process runs.
func (g *simulation) tick(name string, ticked *coordinator) {
	if ticked.down || g.nodes[name] != ticked {
		return
	}
	if g.now < ticked.frozenUntil {
		g.schedule(ticked.frozenUntil, func() { g.tick(name, ticked) })
		return
	}
	ticked.runDue(g.now, g.names)
	g.flush(name)
	g.schedule(max(ticked.pool.Due(g.now), g.now+time.Millisecond), func() { g.tick(name, ticked) })
}

// runDue does what is due.
func (n *coordinator) runDue(now time.Duration, names []string) {
	n.pool.SetGroup(now, n.leader, names)
	n.pool.Tick(now)
}

// setLeader sets the leader that coordinators know, whether or not it is the right one.
func (g *simulation) setLeader(leader string, coordinators ...string) {
	for _, name := range coordinators {
		g.nodes[name].leader = leader
	}
}

// deliver delivers a datagram, after a freeze if there is one.
func (g *simulation) deliver(to string, handle func(*coordinator)) {
	receiver := g.nodes[to]
	if g.now < receiver.frozenUntil {
		g.schedule(receiver.frozenUntil, func() { g.deliver(to, handle) })
		return
	}
	if receiver.down {
		return
	}
	handle(receiver)
	g.flush(to)
	g.schedule(receiver.pool.Due(g.now), func() {
		if g.nodes[to] == receiver && !receiver.down && g.now >= receiver.frozenUntil {
			receiver.runDue(g.now, g.names)
			g.flush(to)
		}
	})
}

// flush sends a pool's messages and decisions.
func (g *simulation) flush(name string) {
	ready := g.nodes[name].pool.Ready()
	for index := range ready.Messages {
		message, to := ready.Messages[index], ready.Recipients[index]
		if !g.isLost(name, to) {
			g.schedule(g.now+delay, func() {
				g.deliver(to, func(n *coordinator) { n.pool.Receive(g.now, &message) })
			})
		}
	}
	for _, each := range ready.Decisions {
		g.schedule(g.now+delay, func() { g.deliverDecision(name, each) })
	}
}

// openQuery is a gateway's query. It is open until it is answered or has timed out.
type openQuery struct {
	onAnswer func(quota.Answer)
	open     bool
}

var openQueries = map[uint64]*openQuery{}

func (g *simulation) deliverDecision(from string, decided quota.Decision) {
	query := openQueries[decided.Answer.ID]
	if query != nil && query.open && !g.isLost(from, "gateways") {
		query.open = false
		query.onAnswer(decided.Answer)
	}
}

// request queries one coordinator for a request of a gateway, then another one, and then decides
// locally.
func (g *simulation) request(gateway int, units float64, rank int) {
	first := g.names[gateway%len(g.names)]
	second := g.names[(gateway+1+g.random.IntN(len(g.names)-1))%len(g.names)]
	q := quota.Query{Account: tenant, Units: units, Rank: rank}
	g.queryCoordinator(gateway, first, q, func() {
		g.queryCoordinator(gateway, second, q, func() {
			answer := g.decideLocally(gateway, q)
			g.record(units, answer)
			if g.onAnswer != nil {
				g.onAnswer(gateway, answer)
			}
		})
	})
}

const answerTimeout = lease / 5

func (g *simulation) queryCoordinator(gateway int, name string, q quota.Query, onTimeout func()) {
	id := uint64(len(openQueries) + 1)
	q.ID = id
	query := &openQuery{open: true, onAnswer: func(answer quota.Answer) {
		if answer.Unsure {
			onTimeout()
			return
		}
		g.record(q.Units, answer)
		if g.onAnswer != nil {
			g.onAnswer(gateway, answer)
		}
		if g.onCoordinatorAnswer != nil {
			g.onCoordinatorAnswer(gateway)
		}
	}}
	openQueries[id] = query
	send := func() {
		if query.open && !g.isLost("gateways", name) {
			g.schedule(g.now+delay, func() {
				g.deliver(name, func(n *coordinator) { n.pool.HandleQuery(g.now, "gateway", q) })
			})
		}
	}
	send()
	g.schedule(g.now+answerTimeout/2, send)
	g.schedule(g.now+answerTimeout, func() {
		if query.open {
			query.open = false
			onTimeout()
		}
	})
}

func (g *simulation) record(units float64, answer quota.Answer) {
	if answer.Admitted {
		g.admissions = append(g.admissions, admission{at: g.now, units: units})
		return
	}
	g.refusedUnits += units
}

// generateLoad schedules requests at random gateways for a time, at a multiple of the limit's rate.
// Sizes vary from 0.2 to 1.8 times the mean, as long and short prompts do.
func (g *simulation) generateLoad(from, until time.Duration, loadFactor, mean float64) {
	interval := time.Duration(mean / (loadFactor * g.limit.Rate) * float64(time.Second))
	for at := from; at < until; at += time.Duration(float64(interval) * g.random.ExpFloat64()) {
		units := mean * (0.2 + 1.6*g.random.Float64())
		gateway := g.random.IntN(g.gateways)
		g.schedule(at, func() { g.request(gateway, units, 0) })
	}
}

// admittedUnits returns the number of units admitted in all.
func (g *simulation) admittedUnits() float64 {
	sum := 0.0
	for _, each := range g.admissions {
		sum += each.units
	}
	return sum
}

// requireBound compares every window with the limit and its tolerance.
func (g *simulation) requireBound() {
	g.t.Helper()
	allowed := (g.limit.Rate*g.enforcement.Window.Seconds()+g.limit.Burst)*(1+g.enforcement.RelativeTolerance) + g.enforcement.AbsoluteTolerance
	most, at := g.mostInWindow()
	require.LessOrEqual(g.t, most, allowed, "admitted within a window that begins at %s", at)
}

// mostInWindow returns the most that was admitted within a window, and when that window begins.
func (g *simulation) mostInWindow() (most float64, at time.Duration) {
	slices.SortFunc(g.admissions, func(a, b admission) int { return cmp.Compare(a.at, b.at) })
	first, sum := 0, 0.0
	for _, each := range g.admissions {
		sum += each.units
		for each.at-g.admissions[first].at > g.enforcement.Window {
			sum -= g.admissions[first].units
			first++
		}
		if sum > most {
			most, at = sum, g.admissions[first].at
		}
	}
	return most, at
}

// requireNear compares a value with what is expected.
func requireNear(t *testing.T, expected, actual, within float64) {
	t.Helper()
	require.LessOrEqual(t, math.Abs(actual-expected), within, "expected %v, got %v", expected, actual)
}
