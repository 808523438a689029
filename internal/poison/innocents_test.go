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

// innocentsWorld is a region in virtual time whose replicas end, under a request that ends them or
// for reasons of their own, with what its gateways tell and what its leader makes of it.
type innocentsWorld struct {
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	replicas []*modelReplica
	state    State
	position uint64
	// due is the rule by which requests are held.
	due func(s *State, now int64, settle time.Duration) []Digest

	started, served, refused int
	heldInnocents            map[Digest]bool
	poisonHeld               bool
	poisonEnds               int
}

type modelReplica struct {
	number, life int
	down         bool
	running      map[*modelCall]bool
}

// modelCall is one caller's request with its tries.
type modelCall struct {
	digest   Digest
	poison   bool
	length   time.Duration
	attempts int
	tries    int
	// at counts the sends, so that what an earlier send was to do is void.
	at      int
	visited map[int]bool
	met     bool
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
	modelReplicas = 18
	modelGateways = 9
	modelRate     = 150.0 // requests a second
	modelAttempts = 3
	modelTries    = 3
	modelDown     = 4 * time.Second
	modelDay      = time.Minute
	modelContact  = 3 * time.Second
)

func (w *innocentsWorld) after(wait time.Duration, do func()) {
	heap.Push(&w.events, modelEvent{w.now + wait, do})
}

func (w *innocentsWorld) run() {
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(modelEvent)
		if next.at > modelDay {
			return
		}
		w.now = next.at
		next.do()
	}
}

// tell applies a command once it has reached the leader.
func (w *innocentsWorld) tell(command Command) {
	delay := 20*time.Millisecond + time.Duration(w.random.ExpFloat64()*float64(40*time.Millisecond))
	w.after(delay, func() { w.apply(command) })
}

func (w *innocentsWorld) apply(command Command) {
	w.position++
	command.At = w.now.Nanoseconds() + 1
	w.state.Apply(w.position, &command)
}

// arrive has innocent requests come, one after the other.
func (w *innocentsWorld) arrive(number int) {
	length := time.Duration(w.random.ExpFloat64() * float64(400*time.Millisecond))
	if w.random.IntN(7) == 0 {
		length *= 5
	}
	w.started++
	w.send(&modelCall{digest: digestOf(fmt.Sprint("innocent ", number)), length: length, visited: map[int]bool{}})
	w.after(time.Duration(w.random.ExpFloat64()/modelRate*float64(time.Second)), func() { w.arrive(number + 1) })
}

// send sends a call to the replica with the fewest requests that it has not been at.
func (w *innocentsWorld) send(call *modelCall) {
	if w.state.Holds(call.digest) {
		w.refuse(call)
		return
	}
	var best *modelReplica
	for _, index := range w.random.Perm(len(w.replicas)) {
		replica := w.replicas[index]
		if !replica.down && !call.visited[index] && (best == nil || len(replica.running) < len(best.running)) {
			best = replica
		}
	}
	if best == nil {
		return
	}
	call.attempts++
	call.at++
	call.visited[best.number] = true
	best.running[call] = true
	sent := call.at
	if call.poison {
		w.after(60*time.Millisecond, func() { w.endUnder(best, call, sent) })
		return
	}
	w.after(call.length, func() {
		if call.at == sent && best.running[call] {
			delete(best.running, call)
			w.served++
			if call.met {
				w.tell(Command{RanWell: []Digest{call.digest}})
			}
		}
	})
}

func (w *innocentsWorld) refuse(call *modelCall) {
	if !call.poison {
		w.refused++
		w.heldInnocents[call.digest] = true
	}
}

func (w *innocentsWorld) endUnder(replica *modelReplica, call *modelCall, sent int) {
	if call.at == sent && replica.running[call] {
		w.poisonEnds++
		w.end(replica)
	}
}

// end ends a replica: the gateways tell under which requests, and send these on.
func (w *innocentsWorld) end(replica *modelReplica) {
	replica.down = true
	replica.life++
	id := fmt.Sprint(replica.number, ".", replica.life)
	var byGateway [modelGateways][]Digest
	running := slices.SortedFunc(maps.Keys(replica.running), func(a, b *modelCall) int {
		return bytes.Compare(a.digest[:], b.digest[:])
	})
	clear(replica.running)
	for _, call := range running {
		gateway := int(call.digest[5]) % modelGateways
		byGateway[gateway] = append(byGateway[gateway], call.digest)
		call.met = true
		w.sendOn(call)
	}
	for _, under := range byGateway {
		if len(under) > 0 {
			w.tell(Command{Ends: []End{{Replica: id, Under: under}}})
		}
	}
	w.after(modelDown, func() { replica.down = false })
}

// sendOn sends a call to another replica or, when its attempts are used up, has its caller come
// again.
func (w *innocentsWorld) sendOn(call *modelCall) {
	call.at++
	if call.attempts < modelAttempts {
		w.after(time.Millisecond, func() { w.send(call) })
		return
	}
	if call.tries++; call.tries < modelTries {
		call.attempts = 0
		clear(call.visited)
		w.after(50*time.Millisecond, func() { w.send(call) })
	}
}

// repeatPoison has a request that ends replicas come every three seconds.
func (w *innocentsWorld) repeatPoison() {
	w.send(&modelCall{digest: digestOf("poison"), poison: true, visited: map[int]bool{}})
	w.after(modelContact, w.repeatPoison)
}

// storm has a further request that ends replicas begin to come every so often.
func (w *innocentsWorld) storm(number int, every time.Duration) {
	var repeat func()
	digest := digestOf(fmt.Sprint("poison ", number))
	repeat = func() {
		w.send(&modelCall{digest: digest, poison: true, visited: map[int]bool{}})
		w.after(modelContact, repeat)
	}
	repeat()
	w.after(every, func() { w.storm(number+1, every) })
}

// crash ends a share of the replicas at once, every so often.
func (w *innocentsWorld) crash(share float64, every time.Duration) {
	for _, index := range w.random.Perm(len(w.replicas))[:int(share*modelReplicas)] {
		if !w.replicas[index].down {
			w.end(w.replicas[index])
		}
	}
	w.after(every, func() { w.crash(share, every) })
}

func (w *innocentsWorld) lead() {
	if due := w.due(&w.state, w.now.Nanoseconds()+1, Settle(modelContact)); len(due) > 0 {
		w.apply(Command{Hold: due})
	}
	w.poisonHeld = w.poisonHeld || w.state.Holds(digestOf("poison"))
	w.after(50*time.Millisecond, w.lead)
}

// byCount holds whatever has met enough ends, whoever was beside it.
func byCount(s *State, now int64, settle time.Duration) []Digest {
	var due []Digest
	for _, candidate := range s.candidates(now, settle) {
		due = append(due, candidate.Digest)
	}
	return due
}

// playInnocents plays days of a kind, and returns the innocent requests, those of them that were
// wrongly held, and on how many days the request that ends replicas was held, with how many ends.
func playInnocents(days int, due func(*State, int64, time.Duration) []Digest, faults func(*innocentsWorld)) (started, held, caught, ends int) {
	for seed := range uint64(days) {
		w := &innocentsWorld{random: rand.New(rand.NewPCG(seed, 7)), due: due, heldInnocents: map[Digest]bool{}}
		for number := range modelReplicas {
			w.replicas = append(w.replicas, &modelReplica{number: number, running: map[*modelCall]bool{}})
		}
		w.after(0, func() { w.arrive(0) })
		w.after(0, w.lead)
		w.after(time.Second, func() { faults(w) })
		w.run()
		started += w.started
		held += len(w.heldInnocents)
		ends += w.poisonEnds
		if w.poisonHeld {
			caught++
		}
	}
	return started, held, caught, ends
}

// Innocent requests meet ends by bad luck: beside requests that end replicas, or when many replicas
// end at once. None may be held beside one such request, and 1 in 10,000 at most where half of the
// replicas crash every five seconds, or where a further request that ends replicas comes each
// second.
func TestInnocentRequestsAreServed(t *testing.T) {
	const days = 20
	for _, test := range []struct {
		name   string
		faults func(*innocentsWorld)
		// poison says that one request ends replicas, and none says that no innocent one may be held.
		poison, none bool
	}{
		{"one request that ends replicas", (*innocentsWorld).repeatPoison, true, true},
		{"half crash every 5 s", func(w *innocentsWorld) { w.crash(0.5, 5*time.Second) }, false, false},
		{"both", func(w *innocentsWorld) {
			w.repeatPoison()
			w.crash(0.5, 5*time.Second)
		}, true, false},
		{"a further request that ends replicas each second", func(w *innocentsWorld) { w.storm(0, time.Second) }, false, false},
	} {
		started, held, caught, ends := playInnocents(days, (*State).Due, test.faults)
		_, counted, _, countedEnds := playInnocents(days, byCount, test.faults)
		t.Logf("%s: %d of %d held wrongly (%d by the count of ends alone); held rightly on %d of %d days, after %.1f ends (%.1f)",
			test.name, held, started, counted, caught, days, float64(ends)/days, float64(countedEnds)/days)
		assert.LessOrEqual(t, float64(held), float64(started)/10_000, test.name)
		if test.none {
			assert.Zero(t, held, test.name)
		}
		if test.poison {
			assert.Equal(t, days, caught, test.name)
			assert.LessOrEqual(t, ends, 9*days, test.name)
		}
	}
}
