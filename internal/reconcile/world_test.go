package reconcile

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// plantedFaults selects faults in the code or the model that the checks must detect.
type plantedFaults struct {
	// skipDrainWait issues orders without waiting for gateways.
	skipDrainWait bool
	// ignoreFence makes engines execute orders regardless of their fencing token.
	ignoreFence bool
	// skipReadBarrier lets a deposed leader answer heartbeats.
	skipReadBarrier bool
	// renewWithoutView renews the leases of gateways with an old view without
	// sending them the new one.
	renewWithoutView bool
	// uncommittedConfig serves configurations before they are committed.
	uncommittedConfig bool
}

// event is a function to run at a point in virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// testEnvironment simulates a zone in virtual time: a replicated log, its leaders,
// engines and gateways, and random faults.
type testEnvironment struct {
	random        *rand.Rand
	plantedFaults plantedFaults
	now           time.Duration
	queue         eventQueue
	sequence      int
	violations    []string

	group       *group
	engines     []*modelEngine
	gateways    []*modelGateway
	faultsEnded bool
	counts      eventCounts
}

// eventCounts counts events, to check that the cases of interest occur.
type eventCounts struct {
	ordersDone               int
	ordersFailed             int
	staleOrdersRejected      int
	dispatches               int
	isolatedDispatches       int
	sessionsSuperseded       int
	requestsRejectedByEngine int
	enginesReplaced          int
}

func (c *eventCounts) add(other eventCounts) {
	c.ordersDone += other.ordersDone
	c.ordersFailed += other.ordersFailed
	c.staleOrdersRejected += other.staleOrdersRejected
	c.dispatches += other.dispatches
	c.isolatedDispatches += other.isolatedDispatches
	c.sessionsSuperseded += other.sessionsSuperseded
	c.requestsRejectedByEngine += other.requestsRejectedByEngine
	c.enginesReplaced += other.enginesReplaced
}

const (
	modelEngines  = 5
	modelGateways = 3
	faultTime     = 4 * time.Minute
	// recoveryTime is longer than the isolation time with its margin.
	recoveryTime = 3 * time.Minute
)

func modelTerms() membership.Terms {
	return membership.Terms{HeartbeatMillis: 1000, LeaseMillis: 4000, IsolationMillis: 60_000}
}

func newTestEnvironment(seed uint64, faults plantedFaults) *testEnvironment {
	env := &testEnvironment{random: rand.New(rand.NewPCG(seed, 1)), plantedFaults: faults}
	env.group = newGroup(env)
	for i := range modelEngines {
		env.engines = append(env.engines, newModelEngine(env, i))
	}
	for i := range modelGateways {
		env.gateways = append(env.gateways, newModelGateway(env, i))
	}
	return env
}

// run injects faults for faultTime, then ends all faults and checks after
// recoveryTime that the zone has settled. It returns the violations.
func (env *testEnvironment) run() []string {
	env.group.elect()
	env.every(0, 2*time.Second, env.injectFault)
	env.every(3*time.Second, 4*time.Second, env.setRandomDesired)
	env.runUntil(faultTime)
	env.endFaults()
	env.runUntil(faultTime + recoveryTime)
	env.checkSettled()
	return env.violations
}

func (env *testEnvironment) runUntil(end time.Duration) {
	for len(env.queue) > 0 && env.queue[0].at <= end && len(env.violations) == 0 {
		next := heap.Pop(&env.queue).(event)
		env.now = next.at
		next.run()
	}
	env.now = end
}

func (env *testEnvironment) schedule(delay time.Duration, run func()) {
	env.sequence++
	heap.Push(&env.queue, event{at: env.now + delay, sequence: env.sequence, run: run})
}

// every calls run at random intervals of up to twice the period.
func (env *testEnvironment) every(first, period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		env.schedule(env.randomDuration(2*period), again)
	}
	env.schedule(first, again)
}

func (env *testEnvironment) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(env.random.Int64N(int64(limit))) + time.Microsecond
}

func (env *testEnvironment) chance(probability float64) bool {
	return env.random.Float64() < probability
}

// messageDelay returns a random message delay: up to 5 ms, or up to 8 s for 3% of the
// messages while faults last.
func (env *testEnvironment) messageDelay() time.Duration {
	if !env.faultsEnded && env.chance(0.03) {
		return env.randomDuration(8 * time.Second)
	}
	return env.randomDuration(5 * time.Millisecond)
}

// messageLost reports whether a message is lost, at random.
func (env *testEnvironment) messageLost() bool { return !env.faultsEnded && env.chance(0.03) }

func (env *testEnvironment) addViolation(format string, values ...any) {
	env.violations = append(env.violations, fmt.Sprintf("%v: ", env.now)+fmt.Sprintf(format, values...))
}

func (env *testEnvironment) injectFault() {
	if env.faultsEnded {
		return
	}
	switch env.random.IntN(9) {
	case 0:
		env.group.elect()
	case 1, 2:
		env.engines[env.random.IntN(len(env.engines))].crash()
	case 3:
		env.gateways[env.random.IntN(len(env.gateways))].kill()
	case 4:
		env.gateways[env.random.IntN(len(env.gateways))].pause(env.randomDuration(20 * time.Second))
	case 5:
		env.gateways[env.random.IntN(len(env.gateways))].disconnect(env.randomDuration(90 * time.Second))
	case 6:
		env.group.publishConfig()
	case 7:
		env.drainOrUndrain()
	case 8:
		env.engines[env.random.IntN(len(env.engines))].replace()
	}
}

// drainOrUndrain drains or undrains a random engine, as an operator does.
func (env *testEnvironment) drainOrUndrain() {
	kind := zonestate.KindDrainEngine
	if env.chance(0.6) {
		kind = zonestate.KindUndrainEngine
	}
	env.group.append(zonestate.Command{
		Kind:      kind,
		RequestID: fmt.Sprintf("request-%d", env.random.Uint64()),
		Engine:    &zonestate.EngineCommand{ID: env.engines[env.random.IntN(len(env.engines))].id},
	})
}

// setRandomDesired sets a random desired configuration, in place of the planner.
func (env *testEnvironment) setRandomDesired() {
	if env.faultsEnded {
		return
	}
	roles := []engineapi.Role{engineapi.RolePrefill, engineapi.RoleDecode, engineapi.RoleMixed}
	env.group.append(zonestate.Command{
		Kind: zonestate.KindSetDesired,
		Desired: []zonestate.DesiredEntry{{
			EngineID: env.engines[env.random.IntN(len(env.engines))].id,
			Target: engineapi.Configuration{
				Role:    roles[env.random.IntN(len(roles))],
				Model:   "model",
				Version: fmt.Sprint(env.random.IntN(3)),
			},
		}},
	})
}

func (env *testEnvironment) endFaults() {
	env.faultsEnded = true
	for _, gateway := range env.gateways {
		gateway.restore()
	}
	for _, engine := range env.engines {
		if engine.down {
			engine.restart()
		}
		env.group.append(zonestate.Command{
			Kind:   zonestate.KindUndrainEngine,
			Engine: &zonestate.EngineCommand{ID: engine.id},
		})
	}
}

// checkSettled checks that every engine has reached its desired configuration and is
// in service, and that gateways have the newest configuration, after faults ended.
func (env *testEnvironment) checkSettled() {
	if len(env.violations) > 0 {
		return
	}
	for _, engine := range env.group.state.Engines() {
		if engine.Order != nil || engine.NeedsChange() || !engine.Dispatchable() {
			env.addViolation("%s has not settled: %+v, reason %q", engine.ID, *engine, env.group.reasonOf(engine.ID))
		}
	}
	for _, gateway := range env.gateways {
		if revision := gateway.session.MergedView().ConfigRevision(); revision != env.group.publishedConfig {
			env.addViolation("%s has configuration %d, want %d", gateway.id, revision, env.group.publishedConfig)
		}
	}
}
