package relay_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/window"
)

// limitedReplay is a replay in which prefill replicas declare limits, enforced by one quota pool.
type limitedReplay struct {
	*replay
	pool  *quota.Pool
	rates map[string]float64
	asked uint64
	sent  map[string][]time.Duration
}

func newLimitedReplay(readers int) *limitedReplay {
	r := &limitedReplay{replay: newReplay(readers), rates: map[string]float64{}, sent: map[string][]time.Duration{}}
	r.pool = quota.NewPool(0, quota.Options{Address: "a", Incarnation: 1, Lease: time.Second, Enforcement: ratelimit.PoolEnforcement()})
	r.pool.SetGroup(0, "a", []string{"a"})
	r.place = r.placeWithinLimits
	// A new pool grants nothing for one lease time, in which another pool may still count its share.
	r.now += 2 * time.Second
	return r
}

// limit makes a prefill replica declare a limit.
func (r *limitedReplay) limit(id string, rate float64) {
	r.rates[id] = rate
	r.MergeLimits([]ratelimit.Report{{Replica: id, Declared: true, Rate: rate}})
	r.pool.SetLimit(r.now, id, ratelimit.PoolLimit(rate, 3*time.Second))
}

// placeWithinLimits leases a prefill replica that has capacity under its limit.
func (r *limitedReplay) placeWithinLimits(request relay.PrefillRequest) (*relay.Lease, error) {
	for {
		lease, err := r.PlacePrefill("s", request)
		if err != nil {
			return nil, err
		}
		id := lease.Replica.ID
		if lease.Replica.Stage == region.StageDecode {
			// The decode replica stands for those that could read the prompt only between the tokens of other streams.
			lease.Release()
			return nil, errNoReader
		}
		if r.rates[id] == 0 {
			return lease, nil
		}
		r.asked++
		r.pool.HandleQuery(r.now, "gateway", quota.Query{ID: r.asked, Account: id, Units: 1, Rank: request.Rank})
		answer := r.pool.Ready().Decisions[0].Answer
		if answer.Admitted {
			r.sent[id] = append(r.sent[id], r.now)
			return lease, nil
		}
		r.NoteDenial(id, request.Rank, time.Duration(answer.WaitMicros)*time.Microsecond)
		lease.Release()
		request.Excluded = append(request.Excluded, lease.Replica)
	}
}

var errNoReader = errors.New("no prefill replica has capacity")

// requireLimits checks that no window of four seconds holds more than 1.5 times the requests that the declared
// limit allows and 5 more, the overrun that package ratelimit tolerates.
func (r *limitedReplay) requireLimits(t *testing.T) {
	t.Helper()
	for id, times := range r.sent {
		most := window.Most(len(times), 4*time.Second, func(first, last int) time.Duration { return times[last] - times[first] })
		if most > int(6*r.rates[id])+5 {
			t.Fatalf("%s declares %g requests a second, and received %d in 4 s", id, r.rates[id], most)
		}
	}
}

// minUsed is the smallest share of a prefill replica's limit that was used; limits below 0.1 are ignored.
func (r *limitedReplay) minUsed(length time.Duration) float64 {
	var shares []float64
	for id, rate := range r.rates {
		if rate >= 0.1 {
			shares = append(shares, float64(len(r.sent[id]))/rate/length.Seconds())
		}
	}
	return slices.Min(shares)
}

// Some prefill replicas declare limits far below their capacity. Load within the capacity of the others is read
// on time, and beyond it the limits are used up.
func TestLimitedPrefillReplicasLeaveWorkToOthers(t *testing.T) {
	const (
		readers = 12
		limit   = 2.0
		length  = 12 * time.Second
		seeds   = 4
	)
	for _, limited := range []int{0, 2, 6} {
		// Limits count light and heavy requests alike: using them for the longest prompts would exceed this
		// estimate of the remaining capacity.
		left := float64(readers-limited)/readers + float64(limited)*limit*meanTokens(mixedWork)/prefillRate/readers
		for _, load := range []float64{0.4, 0.9, 1.5} {
			goodputs, lights, leastUsed := 0.0, 0.0, 1.0
			for seed := range uint64(seeds) {
				r := newLimitedReplay(readers)
				r.seed = seed + 1
				for number := range limited {
					r.limit(fmt.Sprint("r", number), limit)
				}
				goodput := r.play(readers, load, mixedWork, length)
				r.requireLimits(t)
				assert.Greater(t, goodput, 0.88*min(load, left))
				if limited > 0 {
					leastUsed = min(leastUsed, r.minUsed(length))
				}
				goodputs += goodput
				lights += float64(r.inTime["light"]) / float64(r.replay.arrivals["light"])
			}
			t.Logf("%d of %d readers with limits, load %.1f of all, %.2f left: goodput %.3f, light %.3f, limits used %.2f at least",
				limited, readers, load, left, goodputs/seeds, lights/seeds, leastUsed)
			if load > left {
				assert.Greater(t, leastUsed, 0.9)
			}
		}
	}
}

// All prefill replicas declare limits whose sum is below the load. The number served on time stays level as the
// load grows, urgent work goes first, and the largest prompts are not put behind others because of their size.
func TestGoodputIsLevelAboveTheSumOfAllLimits(t *testing.T) {
	const (
		readers = 12
		limit   = 2.0
		length  = 12 * time.Second
	)
	served := 0
	for _, load := range []float64{0.6, 1, 2, 3} {
		r := newLimitedReplay(readers)
		for number := range readers {
			r.limit(fmt.Sprint("r", number), limit)
		}
		r.play(readers, load, mixedWork, length)
		r.requireLimits(t)
		share := func(name string) float64 { return float64(r.inTime[name]) / float64(r.replay.arrivals[name]) }
		all := r.inTime["light"] + r.inTime["middle"] + r.inTime["heavy"]
		t.Logf("load %.1f: %d in time, %.2f of the limits; light %.3f, middle %.3f, heavy %.3f, late %d, used %.2f at least",
			load, all, float64(all)/readers/limit/length.Seconds(), share("light"), share("middle"), share("heavy"), r.late, r.minUsed(length))
		served = max(served, all)
		assert.Greater(t, all, served*9/10, "it falls at %.1f of what the readers could read", load)
		assert.Greater(t, share("light"), share("middle"))
		assert.Greater(t, share("middle"), share("heavy"))
		assert.Greater(t, r.minUsed(length), 0.9)
	}
}

// Limits count requests, so large prompts are served as often as small ones.
func TestLimitsDoNotDisfavorLargePrompts(t *testing.T) {
	const readers = 12
	for _, load := range []float64{0.7, 1.5, 3} {
		r := newLimitedReplay(readers)
		for number := range readers {
			r.limit(fmt.Sprint("r", number), 1)
		}
		r.play(readers, load, sizedWork(), 20*time.Second)
		r.requireLimits(t)
		all, next, largest := r.servedBySize()
		t.Logf("load %.1f: served %.3f, next fifth %.3f, largest tenth %.3f", load, all, next, largest)
		assert.Greater(t, largest, all/2)
		assert.Greater(t, next, all/2)
	}
}
