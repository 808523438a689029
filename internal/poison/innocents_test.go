package poison

import (
	"bytes"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// regionModel simulates a region in virtual time: replicas that crash, because of a poison request or
// for other reasons, what the gateways report, and which requests the leader holds.
type regionModel struct {
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	replicas []*modelReplica
	state    State
	position uint64
	// due returns the requests to be held.
	due func(s *State, now int64, settle time.Duration) []Digest

	started, served, rejected int
	heldInnocents             map[Digest]bool
	poisonHeld                bool
	poisonCrashes             int
}

type modelReplica struct {
	number, incarnation int
	down                bool
	running             map[*modelCall]bool
}

// modelCall is a request with its caller's tries.
type modelCall struct {
	digest   Digest
	poison   bool
	duration time.Duration
	attempts int
	tries    int
	// sends is increased by each send and each retry, so that events of an earlier send are ignored.
	sends       int
	tried       map[int]bool
	lostReplica bool
}

type modelEvent struct {
	at time.Duration
	do func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(event any)    { *q = append(*q, event.(modelEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	modelReplicaCount = 18
	modelGatewayCount = 9
	modelRate         = 150.0 // requests a second
	modelAttempts     = 3
	modelTries        = 3
	modelRestartTime  = 4 * time.Second
	modelDuration     = time.Minute
	modelContactTime  = 3 * time.Second
)

func (w *regionModel) schedule(wait time.Duration, do func()) {
	heap.Push(&w.events, modelEvent{w.now + wait, do})
}

func (w *regionModel) run() {
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(modelEvent)
		if next.at > modelDuration {
			return
		}
		w.now = next.at
		next.do()
	}
}

// applyDelayed applies a command after a random delay, in which it reaches the leader.
func (w *regionModel) applyDelayed(command Command) {
	delay := 20*time.Millisecond + time.Duration(w.random.ExpFloat64()*float64(40*time.Millisecond))
	w.schedule(delay, func() { w.apply(command) })
}

func (w *regionModel) apply(command Command) {
	w.position++
	command.At = w.now.Nanoseconds() + 1
	w.state.Apply(w.position, &command)
}

// sendInnocents sends innocent requests, at random intervals.
func (w *regionModel) sendInnocents(number int) {
	length := time.Duration(w.random.ExpFloat64() * float64(400*time.Millisecond))
	if w.random.IntN(7) == 0 {
		length *= 5
	}
	w.started++
	w.send(&modelCall{digest: digestOf(fmt.Sprint("innocent ", number)), duration: length, tried: map[int]bool{}})
	w.schedule(time.Duration(w.random.ExpFloat64()/modelRate*float64(time.Second)), func() { w.sendInnocents(number + 1) })
}

// send sends a call to the replica with the fewest running requests that it has not tried.
func (w *regionModel) send(call *modelCall) {
	if w.state.Holds(call.digest) {
		w.reject(call)
		return
	}
	var best *modelReplica
	for _, index := range w.random.Perm(len(w.replicas)) {
		replica := w.replicas[index]
		if !replica.down && !call.tried[index] && (best == nil || len(replica.running) < len(best.running)) {
			best = replica
		}
	}
	if best == nil {
		return
	}
	call.attempts++
	call.sends++
	call.tried[best.number] = true
	best.running[call] = true
	send := call.sends
	if call.poison {
		w.schedule(60*time.Millisecond, func() { w.crashUnder(best, call, send) })
		return
	}
	w.schedule(call.duration, func() {
		if call.sends == send && best.running[call] {
			delete(best.running, call)
			w.served++
			if call.lostReplica {
				w.applyDelayed(Command{Completions: []Digest{call.digest}})
			}
		}
	})
}

func (w *regionModel) reject(call *modelCall) {
	if !call.poison {
		w.rejected++
		w.heldInnocents[call.digest] = true
	}
}

func (w *regionModel) crashUnder(replica *modelReplica, call *modelCall, send int) {
	if call.sends == send && replica.running[call] {
		w.poisonCrashes++
		w.crashReplica(replica)
	}
}

// crashReplica crashes a replica: the gateways report the requests that ran there, and retry them.
func (w *regionModel) crashReplica(replica *modelReplica) {
	replica.down = true
	replica.incarnation++
	id := fmt.Sprint(replica.number, ".", replica.incarnation)
	var byGateway [modelGatewayCount][]Digest
	running := slices.SortedFunc(maps.Keys(replica.running), func(a, b *modelCall) int {
		return bytes.Compare(a.digest[:], b.digest[:])
	})
	clear(replica.running)
	for _, call := range running {
		gateway := int(call.digest[5]) % modelGatewayCount
		byGateway[gateway] = append(byGateway[gateway], call.digest)
		call.lostReplica = true
		w.retry(call)
	}
	for _, requests := range byGateway {
		if len(requests) > 0 {
			w.applyDelayed(Command{Crashes: []Crash{{Replica: id, Requests: requests}}})
		}
	}
	w.schedule(modelRestartTime, func() { replica.down = false })
}

// retry sends a call to another replica or, once its attempts are used up, as its caller's next try.
func (w *regionModel) retry(call *modelCall) {
	call.sends++
	if call.attempts < modelAttempts {
		w.schedule(time.Millisecond, func() { w.send(call) })
		return
	}
	if call.tries++; call.tries < modelTries {
		call.attempts = 0
		clear(call.tried)
		w.schedule(50*time.Millisecond, func() { w.send(call) })
	}
}

// repeatPoison sends a poison request every three seconds.
func (w *regionModel) repeatPoison() {
	w.send(&modelCall{digest: digestOf("poison"), poison: true, tried: map[int]bool{}})
	w.schedule(modelContactTime, w.repeatPoison)
}

// sendNewPoisons starts to send a further poison request at each interval.
func (w *regionModel) sendNewPoisons(number int, every time.Duration) {
	var repeat func()
	digest := digestOf(fmt.Sprint("poison ", number))
	repeat = func() {
		w.send(&modelCall{digest: digest, poison: true, tried: map[int]bool{}})
		w.schedule(modelContactTime, repeat)
	}
	repeat()
	w.schedule(every, func() { w.sendNewPoisons(number+1, every) })
}

// crashShare crashes a share of the replicas at once, at each interval.
func (w *regionModel) crashShare(share float64, every time.Duration) {
	for _, index := range w.random.Perm(len(w.replicas))[:int(share*modelReplicaCount)] {
		if !w.replicas[index].down {
			w.crashReplica(w.replicas[index])
		}
	}
	w.schedule(every, func() { w.crashShare(share, every) })
}

func (w *regionModel) runLeader() {
	if due := w.due(&w.state, w.now.Nanoseconds()+1, SettleTime(modelContactTime)); len(due) > 0 {
		w.apply(Command{Hold: due})
	}
	w.poisonHeld = w.poisonHeld || w.state.Holds(digestOf("poison"))
	w.schedule(50*time.Millisecond, w.runLeader)
}

// dueByCount returns the requests under which enough replicas have crashed, whatever other requests ran
// there.
func dueByCount(s *State, now int64, settle time.Duration) []Digest {
	var due []Digest
	for _, candidate := range s.candidates(now, settle) {
		due = append(due, candidate.Digest)
	}
	return due
}

// simulateInnocents runs simulations with one kind of fault, each with its own seed. It returns how many
// innocent requests were sent and how many of these were wrongly held, in how many runs the poison
// request was held, and how many crashes poison requests caused in all.
func simulateInnocents(runs int, due func(*State, int64, time.Duration) []Digest, faults func(*regionModel)) (started, held, caught, crashes int) {
	for seed := range uint64(runs) {
		w := &regionModel{random: rand.New(rand.NewPCG(seed, 7)), due: due, heldInnocents: map[Digest]bool{}}
		for number := range modelReplicaCount {
			w.replicas = append(w.replicas, &modelReplica{number: number, running: map[*modelCall]bool{}})
		}
		w.schedule(0, func() { w.sendInnocents(0) })
		w.schedule(0, w.runLeader)
		w.schedule(time.Second, func() { faults(w) })
		w.run()
		started += w.started
		held += len(w.heldInnocents)
		crashes += w.poisonCrashes
		if w.poisonHeld {
			caught++
		}
	}
	return started, held, caught, crashes
}

// Replicas crash under innocent requests by bad luck: beside poison requests, or when many replicas
// crash at once. None may be held beside one poison request, and 1 in 10,000 at most where half of the
// replicas crash every five seconds, or where a further poison request starts each second.
func TestInnocentRequestsAreServed(t *testing.T) {
	const runs = 20
	for _, test := range []struct {
		name   string
		faults func(*regionModel)
		// poison says that there is one poison request, and none that no innocent request may be held.
		poison, none bool
	}{
		{"one poison request", (*regionModel).repeatPoison, true, true},
		{"half crash every 5 s", func(w *regionModel) { w.crashShare(0.5, 5*time.Second) }, false, false},
		{"both", func(w *regionModel) {
			w.repeatPoison()
			w.crashShare(0.5, 5*time.Second)
		}, true, false},
		{"a further poison request each second", func(w *regionModel) { w.sendNewPoisons(0, time.Second) }, false, false},
	} {
		started, held, caught, crashes := simulateInnocents(runs, (*State).Due, test.faults)
		_, counted, _, countedCrashes := simulateInnocents(runs, dueByCount, test.faults)
		t.Logf("%s: %d of %d innocent requests held (%d by the count of crashes alone); poison request held in %d of %d runs, after %.1f crashes (%.1f)",
			test.name, held, started, counted, caught, runs, float64(crashes)/runs, float64(countedCrashes)/runs)
		assert.LessOrEqual(t, float64(held), float64(started)/10_000, test.name)
		if test.none {
			assert.Zero(t, held, test.name)
		}
		if test.poison {
			assert.Equal(t, runs, caught, test.name)
			assert.LessOrEqual(t, crashes, 9*runs, test.name)
		}
	}
}
