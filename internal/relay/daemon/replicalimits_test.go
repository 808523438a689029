package daemon_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/window"
)

const (
	// limitWindow is the time over which a replica's limit is judged. Within it all gateways together
	// may send half as much again as the limit allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitSlack  = 5
)

// takes notes a request that has come to a replica, and names the replica's limit in its answer.
func (s *replicaSet) takes(replica *mortalReplica, writer http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.taken[replica.id] = append(s.taken[replica.id], time.Now())
	if limit, named := s.limits[replica.id]; named {
		writer.Header().Set("Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if s.leaving[replica.id] {
		writer.Header().Set("Leaving", "1")
	}
}

// name has a replica name a limit from now on.
func (s *replicaSet) name(replica string, limit float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limits[replica] = limit
}

// unname has a replica name no limit from now on.
func (s *replicaSet) unname(replica string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.limits, replica)
}

// drop has a replica end for good.
func (s *replicaSet) drop(replica string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, each := range s.running {
		if each.id == replica {
			delete(s.running, address)
			_ = each.server.Close()
		}
	}
}

// takenSince are the times at which requests came to a replica from a time on.
func (s *replicaSet) takenSince(replica string, from time.Time) []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var times []time.Time
	for _, at := range s.taken[replica] {
		if !at.Before(from) {
			times = append(times, at)
		}
	}
	return times
}

// mostAtOnce is the greatest number of times that lie within the window of limits.
func mostAtOnce(times []time.Time) int {
	return window.Most(len(times), limitWindow, func(first, last int) time.Duration { return times[last].Sub(times[first]) })
}

// allowed is how many requests a replica with a limit may get within the window.
func allowed(limit float64) int {
	return int(limitShare*limit*limitWindow.Seconds()) + limitSlack
}

// load sends requests to all gateways until the context ends, and returns how many were sent and
// how many of them were answered.
func (r *endingRegion) load(ctx context.Context, callers int, pause time.Duration) (sent, served int64) {
	var sending sync.WaitGroup
	var asked, answered atomic.Int64
	for caller := range callers {
		sending.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				asked.Add(1)
				if status, _ := r.ask((caller+number)%len(r.gateways), fmt.Sprint(caller, "-", number), "body"); status == http.StatusOK {
					answered.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	sending.Wait()
	return asked.Load(), answered.Load()
}

// A replica in need named 5 requests a second, and went on getting 18 a second from nine gateways, for
// as long as it was watched. No process read what it named: choices, repeats and moves went by load and
// kept prompts alone. At the replica, 73 requests in 4 s where 35 are allowed; in the gateways' lines
// "request sent", 72 sends to it in those 4 s, of one gateway 30, and no line that differs from those before.
func TestAReplicaGetsNoMoreThanItNames(t *testing.T) {
	const limit = 2.0
	r := newEndingRegion(t, 5, 3)
	r.replicas.name("i-1", limit)
	named := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), contactTime+2*limitWindow)
	defer cancel()
	sent, served := r.load(ctx, 12, 100*time.Millisecond)
	taken := r.replicas.takenSince("i-1", named.Add(contactTime))
	assert.LessOrEqual(t, mostAtOnce(taken), allowed(limit))
	assert.GreaterOrEqual(t, len(taken), int(limit*limitWindow.Seconds()), "the replica is used")
	assert.Equal(t, sent, served, "other replicas have room")
}

// knownLimits are the replicas that name limits, as the coordinator knows it.
func (r *endingRegion) knownLimits() map[string]float64 {
	known := map[string]float64{}
	for _, each := range r.running.ReplicaLimits(r.t.Context()).Replicas {
		known[each.Replica] = each.Rate
	}
	return known
}

// awaitLimits waits until the coordinator knows just these limits.
func (r *endingRegion) awaitLimits(wanted map[string]float64) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return maps.Equal(wanted, r.knownLimits()) }, 30*time.Second, 10*time.Millisecond)
}

// learnLimits sends requests to a gateway until the coordinator knows the limit of a replica.
func (r *endingRegion) learnLimits(gateway int, replica string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		r.askAll(gateway)
		return r.knownLimits()[replica] != 0
	}, 30*time.Second, 10*time.Millisecond)
}

// askAll sends so many requests to a gateway at once that each replica gets one.
func (r *endingRegion) askAll(gateway int) {
	var sending sync.WaitGroup
	for number := range 8 {
		sending.Go(func() { r.ask(gateway, fmt.Sprint("learning-", number), "body") })
	}
	sending.Wait()
}

// What one gateway has been told is known to the others, to one that joins and to a coordinator that
// begins anew, though none of them has had an answer that says so.
func TestALimitIsKnownToAll(t *testing.T) {
	const limit = 0.25
	r := newEndingRegion(t, 4, 2)
	r.replicas.name("i-1", limit)
	r.learnLimits(0, "i-1")
	r.stop()
	r.startCoordinator()
	r.awaitLimits(map[string]float64{"i-1": limit})
	r.gateways = append(r.gateways, r.startGateway(2))
	// Gateways are shown limits with their views, which they poll for twice a second.
	time.Sleep(contactTime)
	from := time.Now()
	for number := range 60 {
		status, answer := r.ask(1+number%2, fmt.Sprint("known-", number), "body")
		require.Equal(t, http.StatusOK, status, answer)
	}
	assert.LessOrEqual(t, mostAtOnce(r.replicas.takenSince("i-1", from)), allowed(limit))
}

// A limit ends with the first answer that names none, and with the replica.
func TestALimitThatIsNamedNoMoreIsForgotten(t *testing.T) {
	r := newEndingRegion(t, 3, 2)
	r.replicas.name("i-1", 1)
	r.replicas.name("i-2", 2)
	r.learnLimits(0, "i-1")
	r.learnLimits(1, "i-2")
	r.replicas.unname("i-1")
	require.Eventually(t, func() bool {
		r.ask(1, "ending", "body")
		return maps.Equal(map[string]float64{"i-2": 2}, r.knownLimits())
	}, 30*time.Second, 10*time.Millisecond)
	r.replicas.drop("i-2")
	r.awaitLimits(map[string]float64{})
}

// A gateway that reaches no coordinator sends next to nothing to replicas that name limits: it does not
// know what others send. Callers are told at once when to come back, and nobody has run their requests.
func TestAGatewayThatReachesNoCoordinatorSendsASmallPart(t *testing.T) {
	const limit = 4.0
	r := newEndingRegion(t, 1, 1)
	r.replicas.name("i-1", limit)
	r.learnLimits(0, "i-1")
	r.stop()
	r.stop = func() {}
	time.Sleep(contactTime / 2)
	from, refused := time.Now(), 0
	for number := 0; time.Since(from) < limitWindow; number++ {
		status, answer := r.ask(0, fmt.Sprint("cut-off-", number), "body")
		if status != http.StatusOK {
			refused++
			assert.Contains(t, answer, `"ran":"no"`)
			assert.Contains(t, answer, "retry_after_ms")
		}
		time.Sleep(20 * time.Millisecond)
	}
	taken := r.replicas.takenSince("i-1", from)
	assert.LessOrEqual(t, len(taken), 4, "an eighth of the limit, and one")
	assert.Positive(t, refused)
}
