package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/quota"
)

// testLimit is a limit whose bucket holds 16 requests of mean size.
var testLimit = quota.Limit{Rate: 160_000, Burst: 160_000}

const (
	// meanRequestUnits is the mean size of the requests, that of long prompts.
	meanRequestUnits = 10_000
	// warmUp is when all pools have been attached for a window, and the buckets are full.
	warmUp = 12 * time.Second
)

// A tenant below its limit is not refused, whether its requests come to one gateway or to many.
func TestTenantBelowItsLimitIsNotRefused(t *testing.T) {
	for _, gateways := range []int{1, 8, 65} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			refused, admitted := 0.0, 0.0
			for seed := range uint64(10) {
				g := newSimulation(t, seed, 6, gateways, testLimit)
				g.generateLoad(warmUp, warmUp+20*time.Second, 0.9, meanRequestUnits)
				g.runUntil(warmUp + 21*time.Second)
				refused += g.refusedUnits
				admitted += g.admittedUnits()
				g.requireBound()
			}
			require.Less(t, refused/(refused+admitted), 0.001)
		})
	}
}

// A tenant far above its limit gets its limit, whatever the number of gateways: no less, and no more
// than is tolerated.
func TestTenantFarAboveItsLimitGetsItsLimit(t *testing.T) {
	for _, gateways := range []int{1, 65, 480} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			g := newSimulation(t, 7, 6, gateways, testLimit)
			g.generateLoad(warmUp, warmUp+20*time.Second, 6, meanRequestUnits)
			g.runUntil(warmUp + 21*time.Second)
			g.requireBound()
			requireNear(t, 20*testLimit.Rate+testLimit.Burst*20/8, g.admittedUnits(), 0.1*20*testLimit.Rate)
		})
	}
}

// The holder is killed while a tenant is far above its limit: what it had counted is lost, another one
// takes over, and the bound holds over both. A tenant below its limit is still served.
func TestLimitHoldsWhenHolderIsKilled(t *testing.T) {
	for _, loadFactor := range []float64{0.6, 6} {
		t.Run(fmt.Sprint(loadFactor), func(t *testing.T) {
			g := newSimulation(t, 11, 6, 65, testLimit)
			g.generateLoad(warmUp, warmUp+20*time.Second, loadFactor, meanRequestUnits)
			g.schedule(warmUp+5*time.Second, func() { g.nodes["a"].down = true })
			g.schedule(warmUp+5*time.Second+electionDelay, func() { g.setLeader("b", "b", "c", "d", "e", "f") })
			g.schedule(warmUp+9*time.Second, func() { g.start("a"); g.setLeader("b", "a") })
			g.runUntil(warmUp + 21*time.Second)
			g.requireBound()
			if loadFactor < 1 {
				require.Less(t, g.refusedUnits/(g.refusedUnits+g.admittedUnits()), 0.05)
				return
			}
			require.Greater(t, g.admittedUnits(), 0.85*20*testLimit.Rate)
		})
	}
}

// The holder is frozen with a full bucket, another one takes over, and the first one resumes: it still
// takes itself for the leader, and gateways still ask it. Its level could admit the whole burst a second
// time.
func TestLimitHoldsWhenFrozenHolderResumes(t *testing.T) {
	g := newSimulation(t, 13, 6, 65, testLimit)
	g.schedule(warmUp, func() { g.nodes["a"].frozenUntil = warmUp + 4*time.Second })
	g.schedule(warmUp+electionDelay, func() { g.setLeader("b", "b", "c", "d", "e", "f") })
	g.generateLoad(warmUp+2*time.Second, warmUp+12*time.Second, 6, meanRequestUnits)
	// The former holder learns of its successor late.
	g.schedule(warmUp+8*time.Second, func() { g.setLeader("b", "a") })
	g.runUntil(warmUp + 13*time.Second)
	g.requireBound()
}

// The holder is replaced without knowing it: it is cut off with one other coordinator, and both sides
// serve their gateways. Together they admit no more than the limit.
func TestLimitHoldsWithPartitionedFormerHolder(t *testing.T) {
	g := newSimulation(t, 17, 6, 65, testLimit)
	side := map[string]bool{"a": true, "b": true}
	partitioned := false
	g.isLost = func(from, to string) bool {
		return partitioned && from != "gateways" && to != "gateways" && side[from] != side[to]
	}
	g.generateLoad(warmUp, warmUp+20*time.Second, 6, meanRequestUnits)
	g.schedule(warmUp+3*time.Second, func() { partitioned = true })
	g.schedule(warmUp+3*time.Second+electionDelay, func() { g.setLeader("c", "c", "d", "e", "f") })
	g.schedule(warmUp+12*time.Second, func() { partitioned = false; g.setLeader("c", "a", "b") })
	g.runUntil(warmUp + 21*time.Second)
	g.requireBound()
	require.Greater(t, g.admittedUnits(), 0.85*20*testLimit.Rate)
}

// All coordinators are killed at once and restart a second later: gateways admit little locally
// meanwhile, and the buckets begin empty.
func TestLimitHoldsWhenAllCoordinatorsRestart(t *testing.T) {
	g := newSimulation(t, 19, 6, 65, testLimit)
	g.generateLoad(warmUp, warmUp+20*time.Second, 6, meanRequestUnits)
	g.schedule(warmUp+4*time.Second, func() {
		for _, each := range g.nodes {
			each.down = true
		}
	})
	g.schedule(warmUp+5*time.Second, func() {
		for _, name := range g.names {
			g.start(name)
		}
		g.setLeader("", g.names...)
	})
	g.schedule(warmUp+6*time.Second, func() { g.setLeader("d", g.names...) })
	g.runUntil(warmUp + 21*time.Second)
	g.requireBound()
}

// Gateways that reach no coordinator neither overrun the limit nor refuse everything: short calls
// pass.
func TestGatewaysWithoutCoordinatorsStayWithinTheLimit(t *testing.T) {
	g := newSimulation(t, 23, 6, 65, testLimit)
	g.generateLoad(warmUp, warmUp+20*time.Second, 6, meanRequestUnits)
	cutOff := false
	g.isLost = func(from, to string) bool { return cutOff && (from == "gateways" || to == "gateways") }
	g.schedule(warmUp+4*time.Second, func() { cutOff = true })
	before := 0.0
	g.schedule(warmUp+5*time.Second, func() { before = g.admittedUnits() })
	for at := warmUp + 5*time.Second; at < warmUp+14*time.Second; at += 50 * time.Millisecond {
		g.schedule(at, func() { g.request(g.random.IntN(65), 200, 0) })
	}
	g.schedule(warmUp+14*time.Second, func() {
		require.Greater(t, g.admittedUnits()-before, 100*200.0)
		cutOff = false
	})
	g.runUntil(warmUp + 21*time.Second)
	g.requireBound()
}

// Limits are lowered while requests are in flight: a window that begins after the change keeps the
// lower limit.
func TestLoweredLimitHolds(t *testing.T) {
	g := newSimulation(t, 29, 6, 65, testLimit)
	g.generateLoad(warmUp, warmUp+20*time.Second, 6, meanRequestUnits)
	lowered := quota.Limit{Rate: 20_000, Burst: 20_000}
	g.schedule(warmUp+4*time.Second, func() {
		g.limit = lowered
		g.admissions = nil
		for _, each := range g.nodes {
			each.pool.SetLimits(g.now, map[string]quota.Limit{tenant: lowered})
		}
	})
	g.runUntil(warmUp + 21*time.Second)
	g.requireBound()
	require.Greater(t, g.admittedUnits(), 10*lowered.Rate)
}

// A tenant whose limit was removed is not refused.
func TestRemovedLimitRefusesNothing(t *testing.T) {
	g := newSimulation(t, 31, 6, 8, testLimit)
	g.schedule(warmUp, func() {
		for _, each := range g.nodes {
			each.pool.SetLimits(g.now, nil)
		}
	})
	g.generateLoad(warmUp+time.Second, warmUp+3*time.Second, 6, meanRequestUnits)
	g.runUntil(warmUp + 4*time.Second)
	require.Zero(t, g.refusedUnits)
}

// Lost datagrams leave requests charged, so that less is admitted, and not more.
func TestLostDatagramsDoNotOverrunTheLimit(t *testing.T) {
	for _, loadFactor := range []float64{0.6, 6} {
		g := newSimulation(t, 37, 6, 65, testLimit)
		g.isLost = func(string, string) bool { return g.random.Float64() < 0.05 }
		g.generateLoad(warmUp, warmUp+20*time.Second, loadFactor, meanRequestUnits)
		g.runUntil(warmUp + 21*time.Second)
		g.requireBound()
		if loadFactor < 1 {
			require.Less(t, g.refusedUnits/(g.refusedUnits+g.admittedUnits()), 0.02)
		}
	}
}

// A coordinator joins while a tenant is far above its limit.
func TestLimitHoldsWhenCoordinatorJoins(t *testing.T) {
	g := newSimulation(t, 41, 5, 65, testLimit)
	g.generateLoad(warmUp, warmUp+20*time.Second, 6, meanRequestUnits)
	g.schedule(warmUp+4*time.Second, func() {
		g.names = append(g.names, "f")
		g.nodes["f"] = &coordinator{}
		g.start("f")
		g.setLeader("a", "f")
	})
	g.runUntil(warmUp + 21*time.Second)
	g.requireBound()
}

// regressionSeeds are seeds after the first 40 that once broke the bound: two coordinators that each
// took the other for the holder, or that were both holders, counted each other's shares.
var regressionSeeds = []uint64{168, 758}

func firstSeeds(count uint64) []uint64 {
	seeds := make([]uint64, count)
	for index := range seeds {
		seeds[index] = uint64(index)
	}
	return seeds
}

// The bound holds under any sequence of faults of coordinators and links.
func TestLimitHoldsUnderRandomFaults(t *testing.T) {
	for _, seed := range append(firstSeeds(40), regressionSeeds...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := newSimulation(t, seed, 3+int(seed%4), 65, testLimit)
			g.generateLoad(warmUp, warmUp+30*time.Second, 6, meanRequestUnits)
			for at := warmUp; at < warmUp+30*time.Second; at += time.Duration(g.random.IntN(2500)) * time.Millisecond {
				g.schedule(at, g.injectFault)
			}
			g.runUntil(warmUp + 31*time.Second)
			g.requireBound()
		})
	}
}

// injectFault injects one fault at a coordinator or on the links.
func (g *simulation) injectFault() {
	name := g.names[g.random.IntN(len(g.names))]
	other := g.names[g.random.IntN(len(g.names))]
	until := g.now + time.Duration(g.random.IntN(4000))*time.Millisecond
	switch g.random.IntN(4) {
	case 0:
		g.nodes[name].down = true
		g.schedule(until, func() {
			if g.nodes[name].down {
				g.start(name)
			}
		})
	case 1:
		g.nodes[name].frozenUntil = until
	case 2:
		g.setLeader(other, name)
	case 3:
		side := map[string]bool{name: true, other: true}
		g.isLost = func(from, to string) bool {
			return g.now < until && from != "gateways" && to != "gateways" && side[from] != side[to]
		}
	}
}
