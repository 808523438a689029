package quota_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/window"
)

// contactTime is the time within which processes that reach each other know what one of them knows.
const contactTime = 3 * time.Second

// limitedReplica simulates a replica that declares a limit, and many gateways: each gateway asks for
// a permit before it sends there, and after a denial not before its retry delay is over.
type limitedReplica struct {
	*simulation
	rate float64
	// deniedUntil is indexed by gateway.
	deniedUntil    []time.Duration
	permitLimiters []*ratelimit.LocalLimiter
	queries        int
}

func newLimitedReplica(t *testing.T, seed uint64, coordinators, gateways int, rate float64) *limitedReplica {
	r := &limitedReplica{
		simulation:  newSimulationWithEnforcement(t, seed, coordinators, gateways, ratelimit.PoolLimit(rate, contactTime), ratelimit.PoolEnforcement()),
		rate:        rate,
		deniedUntil: make([]time.Duration, gateways),
	}
	for range gateways {
		r.permitLimiters = append(r.permitLimiters, ratelimit.NewLocalLimiter(r.random.Float64))
	}
	r.decideLocally = func(gateway int, q quota.Query) quota.Answer {
		granted, wait := r.permitLimiters[gateway].Allow(r.now, q.Account, r.rate, gateways)
		return quota.Answer{Admitted: granted, WaitMicros: wait.Microseconds()}
	}
	r.onCoordinatorAnswer = func(gateway int) { r.permitLimiters[gateway].Reset() }
	r.onAnswer = func(gateway int, answer quota.Answer) {
		if !answer.Admitted {
			r.deniedUntil[gateway] = r.now + time.Duration(answer.WaitMicros)*time.Microsecond
		}
	}
	return r
}

// generateDemand schedules requests at random gateways at a mean rate, each of which would best be sent
// to the replica.
func (r *limitedReplica) generateDemand(from, until time.Duration, perSecond float64) {
	for at := from; at < until; at += time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)) {
		gateway := r.random.IntN(r.gateways)
		r.schedule(at, func() {
			if r.now >= r.deniedUntil[gateway] {
				r.queries++
				r.request(gateway, 1, gateway%3)
			}
		})
	}
}

// requireLimit compares every window of four seconds with what the replica may get.
func (r *limitedReplica) requireLimit() {
	r.t.Helper()
	most, at := r.mostInWindow()
	require.LessOrEqual(r.t, most, math.Floor(1.5*4*r.rate)+5, "rate %g, in a window that begins at %s", r.rate, at)
}

// sentBetween counts the requests that were sent to the replica.
func (r *limitedReplica) sentBetween(from, until time.Duration) float64 {
	sent := 0.0
	for _, each := range r.admissions {
		if each.at >= from && each.at < until {
			sent += each.units
		}
	}
	return sent
}

// Whatever the number of gateways, a replica gets its declared rate while there is demand for it, and no
// more. A limit below one request a second does not depend on any gateway's share of it.
func TestReplicaGetsItsDeclaredRateFromAnyNumberOfGateways(t *testing.T) {
	for _, gateways := range []int{1, 9, 65, 985} {
		for _, rate := range []float64{0.5, 1, 5.9, 40} {
			t.Run(fmt.Sprint(gateways, " gateways, ", rate, " a second"), func(t *testing.T) {
				r := newLimitedReplica(t, 1, 3, gateways, rate)
				r.generateDemand(warmUp, warmUp+40*time.Second, max(40, 4*rate))
				r.runUntil(warmUp + 41*time.Second)
				r.requireLimit()
				for from := warmUp; from < warmUp+30*time.Second; from += 10 * time.Second {
					assert.GreaterOrEqual(t, r.sentBetween(from, from+10*time.Second), math.Floor(0.9*rate*10), "from %s", from)
				}
				overrun := 0.5*4*rate + 5
				assert.LessOrEqual(t, r.admittedUnits(), rate*40+overrun, "the overrun of one window must not repeat")
			})
		}
	}
}

// Kills and freezes of the holder, loss of all coordinators, partitions and lost datagrams at random
// times do not overrun a limit, while the demand is far above it.
func TestStrictLimitHoldsUnderFaults(t *testing.T) {
	faults := map[string]func(r *limitedReplica, at time.Duration){
		"holder is killed": func(r *limitedReplica, at time.Duration) {
			r.schedule(at, func() { r.nodes["a"].down = true })
			r.schedule(at+electionDelay, func() { r.setLeader("b", "b", "c") })
			r.schedule(at+5*time.Second, func() { r.start("a"); r.setLeader("b", "a") })
		},
		"holder is frozen and resumes": func(r *limitedReplica, at time.Duration) {
			r.schedule(at, func() { r.nodes["a"].frozenUntil = at + 4*time.Second })
			r.schedule(at+electionDelay, func() { r.setLeader("b", "b", "c") })
			r.schedule(at+7*time.Second, func() { r.setLeader("b", "a") })
		},
		"all coordinators restart": func(r *limitedReplica, at time.Duration) {
			r.schedule(at, func() {
				for _, each := range r.nodes {
					each.down = true
				}
			})
			r.schedule(at+2*time.Second, func() {
				for _, name := range r.names {
					r.start(name)
				}
				r.setLeader("", r.names...)
			})
			r.schedule(at+3*time.Second, func() { r.setLeader("c", r.names...) })
		},
		"gateways are cut off": func(r *limitedReplica, at time.Duration) {
			off := false
			r.isLost = func(from, to string) bool { return off && (from == "gateways" || to == "gateways") }
			r.schedule(at, func() { off = true })
			r.schedule(at+6*time.Second, func() { off = false })
		},
		"datagrams are lost": func(r *limitedReplica, _ time.Duration) {
			r.isLost = func(string, string) bool { return r.random.Float64() < 0.05 }
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				for _, rate := range []float64{0.2, 1, 6, 50} {
					r := newLimitedReplica(t, seed, 3, 20, rate)
					r.generateDemand(warmUp, warmUp+20*time.Second, 10*rate+20)
					fault(r, warmUp+time.Duration(r.random.Float64()*float64(5*time.Second)))
					r.runUntil(warmUp + 21*time.Second)
					r.requireLimit()
				}
			}
		})
	}
}

// The next holder begins with empty buckets, and goes on at the limit.
func TestStrictLimitIsUsedAfterHolderIsKilled(t *testing.T) {
	r := newLimitedReplica(t, 3, 3, 9, 5)
	r.generateDemand(warmUp, warmUp+25*time.Second, 60)
	r.schedule(warmUp+5*time.Second, func() { r.nodes["a"].down = true })
	r.schedule(warmUp+5*time.Second+electionDelay, func() { r.setLeader("b", "b", "c") })
	r.runUntil(warmUp + 26*time.Second)
	r.requireLimit()
	// The stopped coordinator's share is lost until the group has removed it.
	assert.GreaterOrEqual(t, r.sentBetween(warmUp+8*time.Second, warmUp+18*time.Second), 0.9*5*10*2/3)
}

// Urgent requests pass while others wait.
func TestUrgentRequestsGoFirstUnderStrictLimit(t *testing.T) {
	r := newLimitedReplica(t, 5, 3, 9, 5)
	admitted := [2]int{}
	for at := warmUp; at < warmUp+20*time.Second; at += 100 * time.Millisecond {
		for which, rank := range []int{0, 3} {
			gateway := r.random.IntN(r.gateways)
			r.schedule(at+time.Duration(which)*50*time.Millisecond, func() {
				before := len(r.admissions)
				r.request(gateway, 1, rank)
				r.schedule(r.now+20*time.Millisecond, func() { admitted[which] += len(r.admissions) - before })
			})
		}
	}
	r.runUntil(warmUp + 21*time.Second)
	r.requireLimit()
	assert.Greater(t, admitted[0], 4*admitted[1])
}

// Compares the pools with static shares of a limit, and logs for both the most requests sent within a
// window and the fraction of the limit used.
func TestPoolsComparedWithStaticShares(t *testing.T) {
	const seconds = 30
	for _, gateways := range []int{9, 985} {
		for _, rate := range []float64{0.5, 5} {
			static := newStaticShares(gateways, rate)
			demand := max(40.0, 4*rate)
			r := newLimitedReplica(t, 9, 3, gateways, rate)
			r.generateDemand(warmUp, warmUp+seconds*time.Second, demand)
			r.runUntil(warmUp + (seconds+1)*time.Second)
			for at := 0.0; at < seconds; at += r.random.ExpFloat64() / demand {
				static.request(r.random.IntN(gateways), at)
			}
			most, _ := r.mostInWindow()
			t.Logf("%d gateways, %g a second: allowed %.0f in 4 s; static shares: most %d, %.2f of the limit; pools: most %.0f, %.2f of the limit, %.1f queries a second",
				gateways, rate, math.Floor(6*rate)+5, static.most(), float64(len(static.sent))/seconds/rate, most, r.admittedUnits()/seconds/rate, float64(r.queries)/seconds)
		}
	}
}

// staticShares simulates gateways that each send their share of a limit, with a burst of one request.
type staticShares struct {
	rate      float64
	levels    []float64
	updatedAt []float64
	sent      []float64
}

func newStaticShares(gateways int, rate float64) *staticShares {
	s := &staticShares{rate: rate / float64(gateways), levels: make([]float64, gateways), updatedAt: make([]float64, gateways)}
	for gateway := range s.levels {
		s.levels[gateway] = 1
	}
	return s
}

func (s *staticShares) request(gateway int, at float64) {
	s.levels[gateway] = min(1, s.levels[gateway]+(at-s.updatedAt[gateway])*s.rate)
	s.updatedAt[gateway] = at
	if s.levels[gateway] >= 1 {
		s.levels[gateway]--
		s.sent = append(s.sent, at)
	}
}

// most returns the largest number of requests sent within four seconds.
func (s *staticShares) most() int {
	slices.Sort(s.sent)
	return window.Most(len(s.sent), 4*time.Second, func(first, last int) time.Duration {
		return time.Duration((s.sent[last] - s.sent[first]) * float64(time.Second))
	})
}
