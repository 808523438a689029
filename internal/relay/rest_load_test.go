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

// shedder is a replica of a replay: it works on so many requests at once, keeps some waiting, and turns
// others away, asking whom it turns away for a rest.
type shedder struct {
	slots, queue int
	work, rest   time.Duration
	// sheds reports whether it turns all away now; nil for never.
	sheds   func(now time.Duration) bool
	running []*shedRequest
	waiting []*shedRequest
	// restEnds are by gateway when the rests end that it has asked for, and disturbed counts the requests
	// that came before.
	restEnds  map[int]time.Duration
	disturbed int
	// taken are when requests were taken in.
	taken []time.Duration
}

// pace is how many requests a second it serves.
func (s *shedder) pace() float64 { return float64(s.slots) / s.work.Seconds() }

// shedRequest is a request of a replay.
type shedRequest struct {
	gateway  int
	first    time.Duration
	ends     time.Duration
	lease    *relay.Lease
	returned int
}

// shedReplay plays requests at gateways before replicas that ask for rests.
type shedReplay struct {
	now      time.Duration
	gateways []*relay.Directory
	gates    []*backpressure.Gate
	budgets  []*relay.Budgets
	// limits take a rest for a limit, nil if it is none.
	limits   *restLimits
	replicas map[string]*shedder
	random   *rand.Rand
	returns  map[time.Duration][]*shedRequest
	deadline time.Duration
	// blind says that gateways don't hear what replicas ask for.
	blind     bool
	asked     int
	served    int
	refused   int
	turnedOff int
}

const (
	shedStep = time.Millisecond
	// toldPeers is how many others each gateway tells of its work.
	toldPeers = 12
)

func newShedReplay(gateways, replicas int, shape shedder, seed uint64, off mechanism.Set) *shedReplay {
	r := &shedReplay{replicas: map[string]*shedder{}, returns: map[time.Duration][]*shedRequest{}, deadline: 3 * time.Second,
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Second}
	var list []region.Replica
	for number := range replicas {
		id := fmt.Sprint("r", number)
		each := shape
		each.restEnds = map[int]time.Duration{}
		r.replicas[id] = &each
		list = append(list, region.Replica{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: shape.slots})
	}
	clock := func() time.Duration { return r.now }
	for range gateways {
		gate := backpressure.NewGate(backpressure.Options{Clock: clock, Logger: logr.Discard()})
		directory := relay.NewDirectory(clock, "z", func(string, string) {}, logr.Discard())
		directory.DrawFrom(r.random.Float64)
		directory.CountChoosers(func() int { return gateways })
		directory.SwitchOff(off)
		directory.Heed(gate)
		directory.Replace(list)
		r.gateways, r.gates = append(r.gateways, directory), append(r.gates, gate)
		r.budgets = append(r.budgets, relay.NewBudgets(clock, relay.BudgetTerms{Ratio: 0.2, Window: 10 * time.Second, Slack: 54}, gateways))
	}
	return r
}

// play offers a number of requests a second for a time, and returns how many were served a second.
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
		for _, back := range r.returns[r.now] {
			back.gateway = r.random.IntN(len(r.gateways))
			r.arrive(back)
		}
		delete(r.returns, r.now)
		r.step()
		r.now += shedStep
	}
	for drained := r.now + r.deadline; r.now < drained; r.now += shedStep {
		r.step()
	}
	return float64(r.served-begun) / length.Seconds()
}

// arrive sends a request, to another replica if one turns it away, or has its caller come back.
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
		if r.replicas[lease.Replica.ID].take(r.now, request, lease) {
			return
		}
		r.turnedOff++
		r.limits.turnedAway(r.now, lease.Replica.ID, r.replicas[lease.Replica.ID])
		if r.blind {
			lease.Refused(0)
			lease.Release()
			continue
		}
		gate.Hear(backpressure.Peer{Address: lease.Replica.Address, Instance: lease.Replica.ID}, http.StatusServiceUnavailable,
			http.Header{"Retry-After": {strconv.FormatFloat(r.replicas[lease.Replica.ID].rest.Seconds(), 'f', -1, 64)}})
		lease.Refused(lease.RestLeft())
		lease.Release()
	}
	left := request.first + r.deadline - r.now
	wait := directory.RestsReturn("s", 0)
	if wait == 0 {
		wait = 150 * time.Millisecond
	}
	if request.returned > 0 || wait > left/3 {
		r.refused++
		return
	}
	request.returned++
	at := (r.now + wait).Truncate(shedStep) + shedStep
	r.returns[at] = append(r.returns[at], request)
}

// take takes a request in, or turns it away.
func (s *shedder) take(now time.Duration, request *shedRequest, lease *relay.Lease) bool {
	if now < s.restEnds[request.gateway] {
		s.disturbed++
	}
	if s.sheds != nil && s.sheds(now) || len(s.waiting) >= s.queue && len(s.running) >= s.slots {
		s.restEnds[request.gateway] = max(s.restEnds[request.gateway], now+s.rest)
		return false
	}
	request.lease = lease
	s.taken = append(s.taken, now)
	s.waiting = append(s.waiting, request)
	return true
}

// step has the replicas work, and gateways tell each other.
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
		r.tell()
	}
}

// tell has each gateway tell those that follow it, as peers do.
func (r *shedReplay) tell() {
	for from, teller := range r.gateways {
		work, resting := teller.Outstanding(), teller.Resting()
		for step := range min(toldPeers, len(r.gateways)-1) {
			each := r.gateways[(from+step+1)%len(r.gateways)]
			each.TakeOutstanding(fmt.Sprint(from), work, true)
			each.TakeResting(resting)
		}
	}
}

// disturbed counts the requests that came to replicas within a rest.
func (r *shedReplay) disturbed() int {
	sum := 0
	for _, each := range r.replicas {
		sum += each.disturbed
	}
	return sum
}

// waysToBearRefusals are what may be done beside keeping to rests.
var waysToBearRefusals = []struct {
	name  string
	blind bool
	off   mechanism.Set
}{
	{"rests ignored", true, mechanism.Set{mechanism.RefusalBackoff: true, mechanism.RestHints: true}},
	{"rests kept", false, mechanism.Set{mechanism.RefusalBackoff: true, mechanism.RestHints: true}},
	{"and backoff", false, mechanism.Set{mechanism.RestHints: true}},
	{"and others told", false, nil},
}

// A part of the replicas turn everything away for some seconds. The others could take it all: a replica that
// turns requests away is empty, and drew them from all gateways.
func TestReplicasThatTurnRequestsAwayDrawNone(t *testing.T) {
	t.Parallel()
	const replicas, load = 12, 0.35
	for _, gateways := range []int{1, 9, 65} {
		for _, faulty := range []int{1, 6} {
			for _, rest := range []time.Duration{0, 200 * time.Millisecond, 3 * time.Second} {
				refused := map[string]float64{}
				for _, way := range waysToBearRefusals {
					shape := shedder{slots: 8, queue: 16, work: 200 * time.Millisecond, rest: rest}
					r := newShedReplay(gateways, replicas, shape, 1, way.off)
					r.blind = way.blind
					for number := range faulty {
						r.replicas[fmt.Sprint("r", number)].sheds = func(now time.Duration) bool { return now > 3*time.Second && now < 9*time.Second }
					}
					r.play(load*replicas*shape.pace(), 12*time.Second)
					refused[way.name] = float64(r.refused) / float64(r.asked)
					t.Logf("%d gateways, %d of %d turn away, rest %v, %s: refused %.4f, turned away %.3f of what was asked", gateways, faulty, replicas, rest,
						way.name, refused[way.name], float64(r.turnedOff)/float64(r.asked))
					if !way.blind {
						assert.Zero(t, r.disturbed(), "within a rest")
					}
				}
				assert.LessOrEqual(t, refused["and others told"], refused["rests ignored"])
				if gateways <= toldPeers {
					assert.Less(t, refused["and others told"], 0.02)
				}
			}
		}
	}
}

// A replica that gets more than it can do asks for a second's rest, again and again.
func TestARestingReplicaIsUsedToItsOwnPaceByAnyNumberOfGateways(t *testing.T) {
	t.Parallel()
	shape := shedder{slots: 8, queue: 16, work: 100 * time.Millisecond, rest: time.Second}
	for _, gateways := range []int{1, 9, 65, 985} {
		for _, load := range []float64{1, 1.5, 3} {
			r := newShedReplay(gateways, 1, shape, 1, nil)
			served := r.play(load*shape.pace(), 10*time.Second) / shape.pace()
			t.Logf("%d gateways, %.1f of the pace: %.3f of it served, %d turned away", gateways, load, served, r.turnedOff)
			assert.Zero(t, r.disturbed(), "within a rest")
			assert.Greater(t, served, 0.9)
		}
	}
}

// All replicas get more than they can do. Who fills the first one up has shown how full the others get: else
// one after the other is left alone, and none is left.
func TestGoodputIsLevelWhileAllReplicasAskForRest(t *testing.T) {
	t.Parallel()
	const replicas = 12
	for _, gateways := range []int{1, 9, 65} {
		for _, rest := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 30 * time.Second} {
			for _, load := range []float64{0.9, 1.5, 3} {
				for _, off := range []mechanism.Set{{mechanism.LearnedRoom: true}, nil} {
					shape := shedder{slots: 8, queue: 16, work: 200 * time.Millisecond, rest: rest}
					r := newShedReplay(gateways, replicas, shape, 1, off)
					goodput := r.play(load*replicas*shape.pace(), 10*time.Second) / replicas / shape.pace()
					t.Logf("%d gateways, rest %v, load %.1f, learned room %t: goodput %.3f, refused %.3f, turned away %.3f of what was asked", gateways, rest, load,
						off == nil, goodput, float64(r.refused)/float64(r.asked), float64(r.turnedOff)/float64(r.asked))
					assert.Zero(t, r.disturbed(), "within a rest")
					if off == nil {
						assert.Greater(t, goodput, 0.9*min(load, 1))
					}
				}
			}
		}
	}
}

// restLimits take a rest for a limit of all gateways together: a replica that turns one away has named its
// pace, what it has taken in the second before. One pool counts.
type restLimits struct {
	pool  *quota.Pool
	asked uint64
	ends  map[string]time.Duration
}

// newRestLimits returns limits that none has been named for.
func newRestLimits() *restLimits {
	pool := quota.NewPool(0, quota.Options{Address: "a", Life: 1, Lease: time.Second, Terms: ratelimit.Terms()})
	pool.SetGroup(0, "a", []string{"a"})
	return &restLimits{pool: pool, ends: map[string]time.Duration{}}
}

func (l *restLimits) turnedAway(now time.Duration, id string, replica *shedder) {
	if l == nil {
		return
	}
	taken := 0
	for _, at := range replica.taken {
		if now-at <= time.Second {
			taken++
		}
	}
	l.ends[id] = max(l.ends[id], now+replica.rest)
	l.pool.SetLimit(now, id, ratelimit.PoolLimit(float64(taken), 3*time.Second))
}

// allow reports whether a request may go to a replica as far as its limit goes.
func (l *restLimits) allow(now time.Duration, lease *relay.Lease) bool {
	if l == nil || now >= l.ends[lease.Replica.ID] {
		return true
	}
	l.asked++
	l.pool.Ask(now, "gateway", quota.Question{ID: l.asked, Account: lease.Replica.ID, Units: 1})
	return l.pool.Ready().Decisions[0].Answer.Admitted
}

// TestWaysToBearRestsCompared plays the same load with each way to bear rests.
func TestWaysToBearRestsCompared(t *testing.T) {
	t.Parallel()
	const replicas = 12
	alone := mechanism.Set{mechanism.RefusalBackoff: true, mechanism.RestHints: true, mechanism.LearnedRoom: true}
	ways := []struct {
		name   string
		off    mechanism.Set
		limits bool
	}{
		{"each gateway for itself", alone, false},
		{"told to all", mechanism.Set{mechanism.LearnedRoom: true}, false},
		{"taken for a limit of all", alone, true},
		{"told, and room learned", nil, false},
	}
	for _, rest := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		for _, faulty := range []int{0, 6} {
			load := 1.5
			if faulty > 0 {
				load = 0.35
			}
			goodputs := map[string]float64{}
			for _, way := range ways {
				shape := shedder{slots: 8, queue: 16, work: 200 * time.Millisecond, rest: rest}
				r := newShedReplay(9, replicas, shape, 1, way.off)
				if way.limits {
					r.limits = newRestLimits()
					// The pool counts a part that another one may have counted before.
					r.now += 2 * time.Second
				}
				for number := range faulty {
					from := r.now + 2*time.Second
					r.replicas[fmt.Sprint("r", number)].sheds = func(now time.Duration) bool { return now > from && now < from+6*time.Second }
				}
				goodputs[way.name] = r.play(load*replicas*shape.pace(), 10*time.Second) / replicas / shape.pace()
				t.Logf("rest %v, %d of %d turn all away, load %.2f, %s: goodput %.3f, refused %.3f, turned away %.3f", rest, faulty, replicas, load, way.name,
					goodputs[way.name], float64(r.refused)/float64(r.asked), float64(r.turnedOff)/float64(r.asked))
				assert.Zero(t, r.disturbed(), "within a rest")
			}
			for name, goodput := range goodputs {
				assert.Greater(t, goodputs["told, and room learned"], goodput-0.03, name)
			}
		}
	}
}

// restingReaders is a replay whose readers keep some prompts waiting, and turn others away and ask for a rest.
type restingReaders struct {
	*replay
	gate       *backpressure.Gate
	most       int
	rest       time.Duration
	turnedAway int
	// restEnds is when each reader's rest ends, and rested the sum of them.
	restEnds map[string]time.Duration
	rested   time.Duration
}

func newRestingReaders(readers, most int, rest time.Duration, seed uint64, heeds bool) *restingReaders {
	r := &restingReaders{replay: newReplay(readers), most: most, rest: rest, restEnds: map[string]time.Duration{}}
	r.seed = seed
	r.gate = backpressure.NewGate(backpressure.Options{Clock: func() time.Duration { return r.now + time.Second }, Logger: logr.Discard()})
	if heeds {
		r.Heed(r.gate)
	}
	r.place = r.placeOrTurnAway
	return r
}

func (r *restingReaders) placeOrTurnAway(request relay.ReadRequest) (*relay.Lease, error) {
	for range 4 {
		lease, err := r.PlaceReading("s", request)
		if err != nil {
			return nil, err
		}
		id := lease.Replica.ID
		if lease.Replica.Stage == region.StageDecode {
			lease.Release()
			return nil, errNoReader
		}
		if len(r.waiting[id]) < r.most {
			return lease, nil
		}
		r.turnedAway++
		r.rested += r.now + r.rest - max(r.restEnds[id], r.now)
		r.restEnds[id] = r.now + r.rest
		turnedAway := http.Header{"Retry-After": {strconv.FormatFloat(r.rest.Seconds(), 'f', -1, 64)}}
		r.gate.Hear(backpressure.Peer{Address: lease.Replica.Address, Instance: id}, http.StatusServiceUnavailable, turnedAway)
		lease.Refused(lease.RestLeft())
		lease.Release()
		request.Excluded = append(request.Excluded, lease.Replica)
	}
	return nil, errNoReader
}

// Readers that are full turn prompts away for a time. Urgent prompts go first as before, and large ones are
// served like others.
func TestUrgentAndLargePromptsAreServedWhileReadersAskForRest(t *testing.T) {
	t.Parallel()
	const (
		readers = 12
		most    = 4
		length  = 12 * time.Second
		seeds   = 4
	)
	for _, rest := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 30 * time.Second} {
		for _, load := range []float64{1.5, 3} {
			goodputs := map[bool]float64{}
			for _, heeds := range []bool{false, true} {
				var light, middle, heavy, all, largest float64
				away, rested := 0, 0.0
				for seed := range uint64(seeds) {
					r := newRestingReaders(readers, most, rest, seed+1, heeds)
					goodputs[heeds] += r.play(readers, load, mixedWork, length) / seeds
					light += float64(r.inTime["light"]) / float64(r.asked["light"]) / seeds
					middle += float64(r.inTime["middle"]) / float64(r.asked["middle"]) / seeds
					heavy += float64(r.inTime["heavy"]) / float64(r.asked["heavy"]) / seeds
					away += r.turnedAway
					rested += min(r.rested, time.Duration(r.turnedAway)*length).Seconds() / readers / length.Seconds() / seeds
					s := newRestingReaders(readers, most, rest, seed+1, heeds)
					s.play(readers, load, sizedWork(), length)
					each, _, most := s.servedBySize()
					all, largest = all+each/seeds, largest+most/seeds
				}
				t.Logf("rest %v, load %.1f, kept %t: goodput %.3f, light %.3f, middle %.3f, heavy %.3f, turned away %d, rested %.3f; by size %.3f, largest tenth %.3f",
					rest, load, heeds, goodputs[heeds], light, middle, heavy, away, rested, all, largest)
				if heeds {
					assert.Greater(t, light, middle)
					assert.Greater(t, middle, heavy)
					assert.Greater(t, largest, all/2)
					assert.Less(t, rested, 1.0/3, "most readers stay in use")
					assert.Greater(t, goodputs[true], 0.9*(1-rested)*goodputs[false], "what does not rest is used as before")
				}
			}
		}
	}
}
