package ratelimit_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/ratelimit"
)

// contact is the time within which information reaches all connected processes.
const contact = 3 * time.Second

// At any declared rate, the pools and the gateways without a pool together send at most 1.5 times the limit
// and 5 requests in a window, even if each request was permitted up to PermitTime earlier.
func TestAllSharesOfALimitFitIntoTheWindow(t *testing.T) {
	enforcement := ratelimit.PoolEnforcement()
	for _, rate := range []float64{0, 1e-9, 0.1, 1.0 / 3, 0.5, 1, 2, 5.9, 20, 400, 1e9} {
		limit := ratelimit.PoolLimit(rate, contact)
		overrun := (limit.Rate*enforcement.Window.Seconds()+limit.Burst)*enforcement.RelativeTolerance + enforcement.AbsoluteTolerance
		pools := limit.Rate*(enforcement.Window+ratelimit.PermitTime).Seconds() + limit.Burst + overrun
		withoutPool := rate / 8 * enforcement.Window.Seconds()
		assert.LessOrEqual(t, pools+withoutPool, 1.5*rate*enforcement.Window.Seconds()+5, "rate %g", rate)
		assert.GreaterOrEqual(t, limit.Burst, 1.0, "one request passes")
	}
}

// Gateways that reach no pool send an eighth of the limit together, whatever their number, and their first
// requests are spread over time.
func TestGatewaysWithoutAPoolSendAnEighth(t *testing.T) {
	for _, gateways := range []int{1, 9, 65, 985} {
		const rate, seconds = 40.0, 200
		sent := 0
		inSecond := make([]int, seconds)
		for gateway := range gateways {
			random := rand.New(rand.NewPCG(uint64(gateway), 1))
			fallback := ratelimit.NewLocalLimiter(random.Float64)
			for at := time.Duration(0); at < seconds*time.Second; at += 20 * time.Millisecond {
				if granted, wait := fallback.Allow(at, "r", rate, gateways); granted {
					sent++
					inSecond[at/time.Second]++
				} else if wait <= 0 {
					t.Fatal("denied without a positive wait")
				}
			}
		}
		assert.InDelta(t, rate*seconds/8, sent, 0.15*rate*seconds/8+1, "%d gateways", gateways)
		assert.LessOrEqual(t, slices.Max(inSecond), 15, "%d gateways", gateways)
	}
}

func TestALimitOfZeroIsProbed(t *testing.T) {
	assert.InDelta(t, 1/contact.Seconds(), ratelimit.PoolLimit(0, contact).Rate, 1e-9)
	granted, _ := ratelimit.NewLocalLimiter(func() float64 { return 0.999 }).Allow(time.Hour, "r", 0, 1)
	assert.False(t, granted)
}

// The newest response of a replica counts, in whatever order reports arrive.
func TestNewestResponseCounts(t *testing.T) {
	reports := []ratelimit.Report{
		{Replica: "a", Declared: true, Rate: 5, AgeMicros: 3e6},
		{Replica: "a", Declared: true, Rate: 2, AgeMicros: 2e6},
		{Replica: "a", AgeMicros: 1e6},
		{Replica: "b", Declared: true, Rate: 7, AgeMicros: 5e5},
	}
	random := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		table := ratelimit.NewTable()
		now := time.Minute
		for _, index := range random.Perm(len(reports)) {
			sent := reports[index]
			late := time.Duration(random.IntN(1000)) * time.Millisecond
			sent.AgeMicros += late.Microseconds()
			table.Merge(now+late, sent)
		}
		limits := table.Limits()
		if len(limits) == 2 {
			// The report without a limit arrived first, and is ignored for an unknown replica.
			require.Equal(t, 2.0, limits[0].Rate)
			continue
		}
		require.Len(t, limits, 1)
		assert.Equal(t, "b", limits[0].Replica)
		assert.Equal(t, now-500*time.Millisecond, limits[0].Since)
	}
}

func TestTablesWithTheSameLimitsHaveTheSameHash(t *testing.T) {
	first, second := ratelimit.NewTable(), ratelimit.NewTable()
	assert.Zero(t, first.LimitsHash())
	first.Merge(0, ratelimit.Report{Replica: "a", Declared: true, Rate: 1})
	first.Merge(0, ratelimit.Report{Replica: "b", Declared: true, Rate: 2})
	second.Merge(0, ratelimit.Report{Replica: "b", Declared: true, Rate: 3})
	second.Merge(0, ratelimit.Report{Replica: "a", Declared: true, Rate: 1})
	assert.NotEqual(t, first.LimitsHash(), second.LimitsHash())
	assert.Equal(t, first.ReplicasHash(), second.ReplicasHash(), "the same replicas")
	for _, report := range first.Reports(time.Second) {
		second.Merge(time.Second, report)
	}
	second.Merge(2*time.Second, ratelimit.Report{Replica: "b", Declared: true, Rate: 2})
	assert.Equal(t, first.LimitsHash(), second.LimitsHash())
	listed := func(replica string) bool { return replica == "a" }
	assert.Empty(t, first.Expire(listed, 0), "it was reported since")
	assert.Equal(t, []string{"b"}, first.Expire(listed, time.Second))
	first.Merge(3*time.Second, ratelimit.Report{Replica: "a"})
	assert.Zero(t, first.LimitsHash())
	assert.Zero(t, first.ReplicasHash())
}

// The size of a table depends on the number of replicas, not on how often their limits change.
func TestTableSizeIsBoundedByReplicas(t *testing.T) {
	table := ratelimit.NewTable()
	for number := range 40_000 {
		table.Merge(time.Duration(number), ratelimit.Report{Replica: string(rune('a'+number%1000)) + "x", Declared: true, Rate: float64(number)})
	}
	assert.Len(t, table.Reports(time.Second), 1000)
	assert.Zero(t, table.Dropped)
	for _, rate := range []float64{math.MaxFloat64, math.SmallestNonzeroFloat64} {
		limit := ratelimit.PoolLimit(rate, contact)
		assert.False(t, math.IsNaN(limit.Rate) || math.IsInf(limit.Burst, 0))
	}
}
