package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// heldShare is a share that a gateway has received and may be using.
type heldShare struct {
	share Share
	at    time.Duration
}

func (h heldShare) rate(now time.Duration) float64 {
	if now >= h.at+h.share.Valid {
		return h.share.TokensPerSecond * staleShareFactor
	}
	return h.share.TokensPerSecond
}

// TestLeasesNeverExceedTheBudget drops random replies: the gateway then continues
// to use the share that it has. No reply is dropped to a gateway whose share has
// expired.
func TestLeasesNeverExceedTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 10_000.0
		calculator := NewShareCalculator(0, DefaultShareOptions())
		gateways := []string{"g1", "g2", "g3"}
		held := map[string]heldShare{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "wait")) * time.Millisecond
			id := rapid.SampledFrom(gateways).Draw(t, "gateway")
			calculator.RecordUsage(id, "tenant", rapid.Float64Range(0, 30_000).Draw(t, "wanted"))
			share := calculator.Renew(now, id, "tenant", budget, budget, gateways)
			if !rapid.Bool().Draw(t, "the answer is lost") || held[id].at+share.Valid < now {
				held[id] = heldShare{share: share, at: now}
			}
			total := 0.0
			for _, each := range held {
				total += each.rate(now)
			}
			require.LessOrEqual(t, total, budget*(1+1e-9))
		}
	})
}

// Renewals before the lease has expired must not prolong earlier grants: the part
// that an idle gateway no longer gets would never become free for others.
func TestRenewalsDoNotProlongEarlierGrants(t *testing.T) {
	options := DefaultShareOptions()
	calculator := NewShareCalculator(0, options)
	gateways := []string{"busy", "idle"}
	var busy Share
	for now := time.Duration(0); now < 5*options.Valid; now += options.Valid / 5 {
		calculator.RecordUsage("busy", "tenant", 900)
		calculator.Renew(now, "idle", "tenant", 1000, 1000, gateways)
		busy = calculator.Renew(now, "busy", "tenant", 1000, 1000, gateways)
	}
	assert.InDelta(t, 900, busy.TokensPerSecond, 1)
}

func TestSharesFollowDemand(t *testing.T) {
	calculator := NewShareCalculator(0, DefaultShareOptions())
	gateways := []string{"busy", "idle"}
	var busy, idle Share
	for step := range 20 {
		now := time.Duration(step) * 2 * DefaultShareOptions().Valid
		calculator.RecordUsage("busy", "tenant", 900)
		calculator.RecordUsage("idle", "tenant", 0)
		idle = calculator.Renew(now, "idle", "tenant", 1000, 1000, gateways)
		busy = calculator.Renew(now, "busy", "tenant", 1000, 1000, gateways)
	}
	assert.Greater(t, busy.TokensPerSecond, 800.0)
	assert.Positive(t, idle.TokensPerSecond, "a first request of a quiet gateway must not be refused")
}

func TestExpiredShareIsHalved(t *testing.T) {
	limit := NewTenantLimit(0, 100, 100)
	limit.SetShare(0, 100, 100, 10*time.Second)
	spend := func(from, until time.Duration) float64 {
		total := 0.0
		for now := from; now < until; now += 100 * time.Millisecond {
			if ok, _ := limit.Allow(now, 20); ok {
				total += 20
			}
		}
		return total
	}
	assert.InDelta(t, 1100, spend(0, 10*time.Second), 60, "the full rate and one burst")
	assert.InDelta(t, 500, spend(10*time.Second, 20*time.Second), 60, "half the rate once the share has expired")
}

func TestRefusedTenantGetsRetryAfter(t *testing.T) {
	limit := NewTenantLimit(0, 10, 10)
	ok, _ := limit.Allow(0, 10)
	require.True(t, ok)
	ok, after := limit.Allow(0, 10)
	require.False(t, ok)
	assert.InDelta(t, 1, after.Seconds(), 0.01)
	ok, _ = limit.Allow(after, 10)
	assert.True(t, ok, "the request is allowed after the returned time")
}

func TestRemoveGatewayReleasesLeases(t *testing.T) {
	calculator := NewShareCalculator(0, DefaultShareOptions())
	for index := range 2 {
		calculator.Renew(0, fmt.Sprint("g", index), "tenant", 1000, 1000, []string{"g0", "g1"})
	}
	calculator.RemoveGateway("g0")
	share := calculator.Renew(time.Second, "g1", "tenant", 1000, 1000, []string{"g1"})
	assert.InDelta(t, 1000, share.TokensPerSecond, 1e-9)
}
