package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// shedder is a simulated replica that sheds load: it works on a number of requests at once, queues some, and
// rejects the others, asking the gateways that sent them for a backoff.
type shedder struct {
	slots, queue  int
	work, backoff time.Duration
	// sheds reports whether it rejects everything now; nil for never.
	sheds   func(now time.Duration) bool
	running []*shedRequest
	waiting []*shedRequest
	// backoffEnds is, by gateway, when the requested backoff ends; sentInBackoff counts the requests that
	// arrived before.
	backoffEnds   map[int]time.Duration
	sentInBackoff int
	// shed counts the requests that it rejected while it rejected everything.
	shed int
	// acceptedAt are the times at which requests were accepted.
	acceptedAt []time.Duration
}

// pace is the number of requests a second that it can serve.
func (s *shedder) pace() float64 { return float64(s.slots) / s.work.Seconds() }

// shedRequest is a request of a shedReplay.
type shedRequest struct {
	gateway int
	first   time.Duration
	ends    time.Duration
	lease   *relay.Lease
	retries int
}

// shedReplay simulates requests at gateways in front of replicas that request backoffs.
type shedReplay struct {
	now      time.Duration
	gateways []*relay.Directory
	gates    []*backpressure.Gate
	budgets  []*relay.RetryBudgets
	// limits treats a requested backoff as a declared limit; nil if it is not treated so.
	limits   *backoffLimits
	replicas map[string]*shedder
	random   *rand.Rand
	// scheduledRetries are, by time, the rejected requests whose callers retry then.
	scheduledRetries map[time.Duration][]*shedRequest
	deadline         time.Duration
	// ignoresBackoff is set if the gateways ignore requested backoffs.
	ignoresBackoff bool
	// asked counts the requests of callers, served those served within the deadline, refused those that are
	// not retried (again): each caller retries once, and only if the advised wait is at most a third of its time
	// left; rejected counts the sends that replicas rejected.
	asked    int
	served   int
	refused  int
	rejected int
}

const (
	shedStep = time.Millisecond
	// reportedPeers is the number of peers to which each gateway reports its work.
	reportedPeers = 12
)

func newShedReplay(gateways, replicas int, shape shedder, seed uint64, off mechanism.Set) *shedReplay {
	r := &shedReplay{replicas: map[string]*shedder{}, scheduledRetries: map[time.Duration][]*shedRequest{}, deadline: 3 * time.Second,
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Second}
	var list []region.Replica
	for number := range replicas {
		id := fmt.Sprint("r", number)
		each := shape
		each.backoffEnds = map[int]time.Duration{}
		r.replicas[id] = &each
		list = append(list, region.Replica{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: shape.slots})
	}
	clock := func() time.Duration { return r.now }
	for range gateways {
		gate := backpressure.NewGate(backpressure.Options{Clock: clock, Logger: logr.Discard()})
		directory := relay.NewDirectory(clock, "z", func(string, string) {}, logr.Discard())
		directory.SetRandom(r.random.Float64)
		directory.SetPlacerCount(func() int { return gateways })
		directory.Disable(off)
		directory.UseGate(gate)
		directory.Replace(list)
		r.gateways, r.gates = append(r.gateways, directory), append(r.gates, gate)
		r.budgets = append(r.budgets, relay.NewRetryBudgets(clock, relay.RetryBudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Slack: 54}, gateways))
	}
	return r
}

// play offers a rate of requests for a time, and returns the number of requests served per second.
func (r *shedReplay) play(perSecond float64, length time.Duration) float64 {
	perStep := perSecond * shedStep.Seconds()
	end, begun := r.now+length, r.served
	for r.now < end {
		for arrivals := perStep; arrivals > 0; arrivals-- {
			if r.random.Float64() < arrivals {
				r.asked++
				r.arrive(&shedRequest{gateway: r.random.IntN(len(r.gateways)), first: r.now})
			}
		}
		for _, back := range r.scheduledRetries[r.now] {
			back.gateway = r.random.IntN(len(r.gateways))
			r.arrive(back)
		}
		delete(r.scheduledRetries, r.now)
		r.step()
		r.now += shedStep
	}
	for drained := r.now + r.deadline; r.now < drained; r.now += shedStep {
		r.step()
	}
	return float64(r.served-begun) / length.Seconds()
}

// arrive sends a request, retries it at other replicas if it is rejected, and finally schedules the retry of its
// caller or refuses it.
func (r *shedReplay) arrive(request *shedRequest) {
	directory, gate, budget := r.gateways[request.gateway], r.gates[request.gateway], r.budgets[request.gateway]
	budget.Request("s")
	var tried []*relay.Replica
	for sends := range 4 {
		if sends > 0 && !budget.Withdraw("s") {
			break
		}
		lease := directory.PickAny("s", relay.Wanted{Excluded: tried})
		if lease == nil {
			break
		}
		tried = append(tried, lease.Replica)
		if !r.limits.allow(r.now, lease) {
			lease.Release()
			continue
		}
		if r.replicas[lease.Replica.ID].accept(r.now, request, lease) {
			return
		}
		r.rejected++
		r.limits.rejected(r.now, lease.Replica.ID, r.replicas[lease.Replica.ID])
		if r.ignoresBackoff {
			lease.Refused(0)
			lease.Release()
			continue
		}
		gate.Observe(backpressure.Peer{Address: lease.Replica.Address, Instance: lease.Replica.ID}, http.StatusServiceUnavailable,
			http.Header{"Retry-After": {strconv.FormatFloat(r.replicas[lease.Replica.ID].backoff.Seconds(), 'f', -1, 64)}})
		lease.Refused(lease.BackoffLeft())
		lease.Release()
	}
	left := request.first + r.deadline - r.now
	wait := directory.BackoffRetryAfter("s", 0)
	if wait == 0 {
		wait = 150 * time.Millisecond
	}
	if request.retries > 0 || wait > left/3 {
		r.refused++
		return
	}
	request.retries++
	at := (r.now + wait).Truncate(shedStep) + shedStep
	r.scheduledRetries[at] = append(r.scheduledRetries[at], request)
}

// accept accepts or rejects a request.
func (s *shedder) accept(now time.Duration, request *shedRequest, lease *relay.Lease) bool {
	if now < s.backoffEnds[request.gateway] {
		s.sentInBackoff++
	}
	sheds := s.sheds != nil && s.sheds(now)
	if sheds {
		s.shed++
	}
	if sheds || len(s.waiting) >= s.queue && len(s.running) >= s.slots {
		s.backoffEnds[request.gateway] = max(s.backoffEnds[request.gateway], now+s.backoff)
		return false
	}
	request.lease = lease
	s.acceptedAt = append(s.acceptedAt, now)
	s.waiting = append(s.waiting, request)
	return true
}

// step advances the replicas by one step, and lets gateways report to each other.
func (r *shedReplay) step() {
	for _, each := range r.replicas {
		kept := each.running[:0]
		for _, request := range each.running {
			if r.now < request.ends {
				kept = append(kept, request)
				continue
			}
			request.lease.Answered(false, nil)
			request.lease.Release()
			if r.now-request.first <= r.deadline {
				r.served++
			}
		}
		each.running = kept
		for len(each.running) < each.slots && len(each.waiting) > 0 {
			next := each.waiting[0]
			each.waiting = each.waiting[1:]
			next.ends = r.now + time.Duration((0.5+r.random.Float64())*float64(each.work))
			each.running = append(each.running, next)
		}
	}
	if r.now%(100*time.Millisecond) == 0 {
		r.reportToPeers()
	}
}

// reportToPeers makes each gateway report its work to the gateways that follow it, as peers do.
func (r *shedReplay) reportToPeers() {
	for from, teller := range r.gateways {
		work, inBackoff := teller.Outstanding(), teller.ReplicasInBackoff()
		for step := range min(reportedPeers, len(r.gateways)-1) {
			each := r.gateways[(from+step+1)%len(r.gateways)]
			each.TakeOutstanding(fmt.Sprint(from), work, true)
			each.ApplyBackoffs(inBackoff)
		}
	}
}

// sentInBackoff counts the requests that replicas received within a backoff.
func (r *shedReplay) sentInBackoff() int {
	sum := 0
	for _, each := range r.replicas {
		sum += each.sentInBackoff
	}
	return sum
}

// rejectionPolicies are combinations of the mechanisms that react to rejections.
var rejectionPolicies = []struct {
	name           string
	ignoresBackoff bool
	off            mechanism.Set
}{
	{"backoffs ignored", true, mechanism.Set{mechanism.RefusalBackoff: true, mechanism.RestHints: true}},
	{"backoffs honored", false, mechanism.Set{mechanism.RefusalBackoff: true, mechanism.RestHints: true}},
	{"and refusal backoff", false, mechanism.Set{mechanism.RestHints: true}},
	{"and peers informed", false, nil},
}

// Some replicas reject everything for several seconds, while the others have the capacity for all requests. A
// rejecting replica is empty, and so attracted the requests of all gateways.
func TestRejectingReplicasDrawNoRequests(t *testing.T) {
	t.Parallel()
	const replicas, load = 12, 0.35
	for _, gateways := range []int{1, 9, 65} {
		for _, faulty := range []int{1, 6} {
			for _, backoff := range []time.Duration{0, 200 * time.Millisecond, 3 * time.Second} {
				refused := map[string]float64{}
				for _, policy := range rejectionPolicies {
					shape := shedder{slots: 8, queue: 16, work: 200 * time.Millisecond, backoff: backoff}
					r := newShedReplay(gateways, replicas, shape, 1, policy.off)
					r.ignoresBackoff = policy.ignoresBackoff
					for number := range faulty {
						r.replicas[fmt.Sprint("r", number)].sheds = func(now time.Duration) bool { return now > 3*time.Second && now < 9*time.Second }
					}
					r.play(load*replicas*shape.pace(), 12*time.Second)
					refused[policy.name] = float64(r.refused) / float64(r.asked)
					t.Logf("%d gateways, %d of %d reject, backoff %v, %s: refused %.4f, rejected %.3f of all requests", gateways, faulty, replicas, backoff,
						policy.name, refused[policy.name], float64(r.rejected)/float64(r.asked))
					if !policy.ignoresBackoff {
						assert.Zero(t, r.sentInBackoff(), "within a backoff")
					}
				}
				assert.LessOrEqual(t, refused["and peers informed"], refused["backoffs ignored"])
				if gateways <= reportedPeers {
					assert.Less(t, refused["and peers informed"], 0.02)
				}
			}
		}
	}
}

// Most replicas reject everything for several seconds, and the others are full. A rejecting replica is empty, and was
// tried again and again once the others were full, with the retry budget of all requests.
func TestRejectingReplicasDrawFewRequestsThoughTheOthersAreFull(t *testing.T) {
	t.Parallel()
	const replicas, sound, load = 12, 3, 0.4
	for _, gateways := range []int{1, 12} {
		for _, backoff := range []time.Duration{0, 3 * time.Second} {
			shape := shedder{slots: 8, queue: 16, work: 200 * time.Millisecond, backoff: backoff}
			r := newShedReplay(gateways, replicas, shape, 1, nil)
			for number := range replicas - sound {
				r.replicas[fmt.Sprint("r", number)].sheds = func(now time.Duration) bool { return now > 3*time.Second && now < 9*time.Second }
			}
			r.play(load*replicas*shape.pace(), 8*time.Second)
			shed := 0
			for _, each := range r.replicas {
				shed += each.shed
			}
			t.Logf("%d gateways, backoff %v: %d served of %d, %d refused, %d rejected, %d of them by those that reject everything",
				gateways, backoff, r.served, r.asked, r.refused, r.rejected, shed)
			// Delays that double from 60 ms on add up to five seconds after seven tries.
			const tries = 8
			assert.LessOrEqual(t, shed, gateways*(replicas-sound)*tries)
		}
	}
}

// An overloaded replica requests a backoff of a second, again and again, and still serves at its full rate.
func TestReplicaThatRequestsBackoffsServesAtFullRate(t *testing.T) {
	t.Parallel()
	shape := shedder{slots: 8, queue: 16, work: 100 * time.Millisecond, backoff: time.Second}
	for _, gateways := range []int{1, 9, 65, 985} {
		for _, load := range []float64{1, 1.5, 3} {
			r := newShedReplay(gateways, 1, shape, 1, nil)
			served := r.play(load*shape.pace(), 10*time.Second) / shape.pace()
			t.Logf("%d gateways, %.1f of the pace: %.3f of it served, %d rejected", gateways, load, served, r.rejected)
			assert.Zero(t, r.sentInBackoff(), "within a backoff")
			assert.Greater(t, served, 0.9)
		}
	}
}

// All replicas are overloaded. The first one that is full shows the gateways how full the others may get: without
// this learned limit, one replica after the other enters a backoff, until none is left.
func TestGoodputIsLevelWhileAllReplicasRequestBackoff(t *testing.T) {
	t.Parallel()
	const replicas = 12
	for _, gateways := range []int{1, 9, 65} {
		for _, backoff := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 30 * time.Second} {
			for _, load := range []float64{0.9, 1.5, 3} {
				for _, off := range []mechanism.Set{{mechanism.LearnedRoom: true}, nil} {
					shape := shedder{slots: 8, queue: 16, work: 200 * time.Millisecond, backoff: backoff}
					r := newShedReplay(gateways, replicas, shape, 1, off)
					goodput := r.play(load*replicas*shape.pace(), 10*time.Second) / replicas / shape.pace()
					t.Logf("%d gateways, backoff %v, load %.1f, learned limit %t: goodput %.3f, refused %.3f, rejected %.3f of all requests", gateways, backoff, load,
						off == nil, goodput, float64(r.refused)/float64(r.asked), float64(r.rejected)/float64(r.asked))
					assert.Zero(t, r.sentInBackoff(), "within a backoff")
					if off == nil {
						assert.Greater(t, goodput, 0.9*min(load, 1))
					}
				}
			}
		}
	}
}

// backoffLimits treats a requested backoff as a limit for all gateways together: a replica that rejects a request
// is taken to declare the rate at which it accepted requests in the preceding second. One pool counts.
type backoffLimits struct {
	pool  *quota.Pool
	asked uint64
	ends  map[string]time.Duration
}

// newBackoffLimits returns a backoffLimits without limits.
func newBackoffLimits() *backoffLimits {
	pool := quota.NewPool(0, quota.Options{Address: "a", Incarnation: 1, Lease: time.Second, Enforcement: ratelimit.PoolEnforcement()})
	pool.SetGroup(0, "a", []string{"a"})
	return &backoffLimits{pool: pool, ends: map[string]time.Duration{}}
}

func (l *backoffLimits) rejected(now time.Duration, id string, replica *shedder) {
	if l == nil {
		return
	}
	taken := 0
	for _, at := range replica.acceptedAt {
		if now-at <= time.Second {
			taken++
		}
	}
	l.ends[id] = max(l.ends[id], now+replica.backoff)
	l.pool.SetLimit(now, id, ratelimit.PoolLimit(float64(taken), 3*time.Second))
}

// allow reports whether a request may be sent to a replica under its limit.
func (l *backoffLimits) allow(now time.Duration, lease *relay.Lease) bool {
	if l == nil || now >= l.ends[lease.Replica.ID] {
		return true
	}
	l.asked++
	l.pool.HandleQuery(now, "gateway", quota.Query{ID: l.asked, Account: lease.Replica.ID, Units: 1})
	return l.pool.Ready().Decisions[0].Answer.Admitted
}

// TestBackoffPoliciesCompared plays the same load with each policy for requested backoffs.
func TestBackoffPoliciesCompared(t *testing.T) {
	t.Parallel()
	const replicas = 12
	alone := mechanism.Set{mechanism.RefusalBackoff: true, mechanism.RestHints: true, mechanism.LearnedRoom: true}
	policies := []struct {
		name   string
		off    mechanism.Set
		limits bool
	}{
		{"each gateway on its own", alone, false},
		{"reported to all", mechanism.Set{mechanism.LearnedRoom: true}, false},
		{"treated as a limit of all", alone, true},
		{"reported, and limits learned", nil, false},
	}
	for _, backoff := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		for _, faulty := range []int{0, 6} {
			load := 1.5
			if faulty > 0 {
				load = 0.35
			}
			goodputs := map[string]float64{}
			for _, policy := range policies {
				shape := shedder{slots: 8, queue: 16, work: 200 * time.Millisecond, backoff: backoff}
				r := newShedReplay(9, replicas, shape, 1, policy.off)
				if policy.limits {
					r.limits = newBackoffLimits()
					// A new pool grants nothing for one lease time, in which another pool may still count its share.
					r.now += 2 * time.Second
				}
				for number := range faulty {
					from := r.now + 2*time.Second
					r.replicas[fmt.Sprint("r", number)].sheds = func(now time.Duration) bool { return now > from && now < from+6*time.Second }
				}
				goodputs[policy.name] = r.play(load*replicas*shape.pace(), 10*time.Second) / replicas / shape.pace()
				t.Logf("backoff %v, %d of %d reject all, load %.2f, %s: goodput %.3f, refused %.3f, rejected %.3f", backoff, faulty, replicas, load, policy.name,
					goodputs[policy.name], float64(r.refused)/float64(r.asked), float64(r.rejected)/float64(r.asked))
				assert.Zero(t, r.sentInBackoff(), "within a backoff")
			}
			for name, goodput := range goodputs {
				assert.Greater(t, goodputs["reported, and limits learned"], goodput-0.03, name)
			}
		}
	}
}

// backoffReplay is a replay whose prefill replicas queue some prompts, and reject others and request a backoff.
type backoffReplay struct {
	*replay
	gate       *backpressure.Gate
	maxWaiting int
	backoff    time.Duration
	rejected   int
	// backoffEnds is when each prefill replica's backoff ends, and totalBackoff the sum of all backoffs.
	backoffEnds  map[string]time.Duration
	totalBackoff time.Duration
}

func newBackoffReplay(readers, maxWaiting int, backoff time.Duration, seed uint64, honors bool) *backoffReplay {
	r := &backoffReplay{replay: newReplay(readers), maxWaiting: maxWaiting, backoff: backoff, backoffEnds: map[string]time.Duration{}}
	r.seed = seed
	r.gate = backpressure.NewGate(backpressure.Options{Clock: func() time.Duration { return r.now + time.Second }, Logger: logr.Discard()})
	if honors {
		r.UseGate(r.gate)
	}
	r.place = r.placeOrReject
	return r
}

func (r *backoffReplay) placeOrReject(request relay.PrefillRequest) (*relay.Lease, error) {
	for range 4 {
		lease, err := r.PlacePrefill("s", request)
		if err != nil {
			return nil, err
		}
		id := lease.Replica.ID
		if lease.Replica.Stage == region.StageDecode {
			lease.Release()
			return nil, errNoReader
		}
		if len(r.waiting[id]) < r.maxWaiting {
			return lease, nil
		}
		r.rejected++
		r.totalBackoff += r.now + r.backoff - max(r.backoffEnds[id], r.now)
		r.backoffEnds[id] = r.now + r.backoff
		header := http.Header{"Retry-After": {strconv.FormatFloat(r.backoff.Seconds(), 'f', -1, 64)}}
		r.gate.Observe(backpressure.Peer{Address: lease.Replica.Address, Instance: id}, http.StatusServiceUnavailable, header)
		lease.Refused(lease.BackoffLeft())
		lease.Release()
		request.Excluded = append(request.Excluded, lease.Replica)
	}
	return nil, errNoReader
}

// Full prefill replicas reject prompts for a time. Urgent prompts are still read first, and large prompts are
// served like others.
func TestUrgentAndLargePromptsAreServedWhilePrefillReplicasRequestBackoff(t *testing.T) {
	t.Parallel()
	const (
		readers    = 12
		maxWaiting = 4
		length     = 12 * time.Second
		seeds      = 4
	)
	for _, backoff := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 30 * time.Second} {
		for _, load := range []float64{1.5, 3} {
			goodputs := map[bool]float64{}
			for _, honors := range []bool{false, true} {
				var light, middle, heavy, all, largest float64
				rejected, backoffShare := 0, 0.0
				for seed := range uint64(seeds) {
					r := newBackoffReplay(readers, maxWaiting, backoff, seed+1, honors)
					goodputs[honors] += r.play(readers, load, mixedWork, length) / seeds
					light += float64(r.inTime["light"]) / float64(r.arrivals["light"]) / seeds
					middle += float64(r.inTime["middle"]) / float64(r.arrivals["middle"]) / seeds
					heavy += float64(r.inTime["heavy"]) / float64(r.arrivals["heavy"]) / seeds
					rejected += r.rejected
					backoffShare += min(r.totalBackoff, time.Duration(r.rejected)*length).Seconds() / readers / length.Seconds() / seeds
					s := newBackoffReplay(readers, maxWaiting, backoff, seed+1, honors)
					s.play(readers, load, sizedWork(), length)
					each, _, most := s.servedBySize()
					all, largest = all+each/seeds, largest+most/seeds
				}
				t.Logf("backoff %v, load %.1f, honored %t: goodput %.3f, light %.3f, middle %.3f, heavy %.3f, rejected %d, in backoff %.3f; by size %.3f, largest tenth %.3f",
					backoff, load, honors, goodputs[honors], light, middle, heavy, rejected, backoffShare, all, largest)
				if honors {
					assert.Greater(t, light, middle)
					assert.Greater(t, middle, heavy)
					assert.Greater(t, largest, all/2)
					assert.Less(t, backoffShare, 1.0/3, "most prefill replicas stay in use")
					assert.Greater(t, goodputs[true], 0.9*(1-backoffShare)*goodputs[false], "the capacity outside of backoffs is used as before")
				}
			}
		}
	}
}
