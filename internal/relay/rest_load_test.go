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
		if r.replicas[lease.Replica.ID].take(r.now, request, lease) {
			return
		}
		r.turnedOff++
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
	wait := directory.RestsReturn("s")
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
