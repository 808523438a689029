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
	// limitWindow is the window in which a replica's limit is checked. Within it, all gateways
	// together may send limitFactor times the limit plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// recordRequest records a request received by a replica, and adds the replica's limit and leaving
// mark to its response.
func (s *replicaSet) recordRequest(replica *crashableReplica, writer http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received[replica.id] = append(s.received[replica.id], time.Now())
	if limit, declared := s.limits[replica.id]; declared {
		writer.Header().Set("Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if s.leaving[replica.id] {
		writer.Header().Set("Leaving", "1")
	}
}

// setLimit makes a replica declare a limit from now on.
func (s *replicaSet) setLimit(replica string, limit float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limits[replica] = limit
}

// clearLimit makes a replica declare no limit from now on.
func (s *replicaSet) clearLimit(replica string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.limits, replica)
}

// remove stops a replica permanently.
func (s *replicaSet) remove(replica string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, each := range s.running {
		if each.id == replica {
			delete(s.running, address)
			_ = each.server.Close()
		}
	}
}

// receivedSince returns the times at which a replica received requests, beginning at from.
func (s *replicaSet) receivedSince(replica string, from time.Time) []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var times []time.Time
	for _, at := range s.received[replica] {
		if !at.Before(from) {
			times = append(times, at)
		}
	}
	return times
}

// maximumInWindow returns the maximum number of times within any limitWindow.
func maximumInWindow(times []time.Time) int {
	return window.Most(len(times), limitWindow, func(first, last int) time.Duration { return times[last].Sub(times[first]) })
}

// allowedInWindow returns how many requests a replica with a limit may receive within limitWindow.
func allowedInWindow(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
}

// load sends requests to all gateways until the context ends, and returns how many were sent and
// how many of them succeeded.
func (r *testRegion) load(ctx context.Context, callers int, pause time.Duration) (sent, served int64) {
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

// Guards against ignored replica limits: a replica that declared 5 requests per second kept
// receiving 18 per second from nine gateways, because replica selection, retries and moves
// considered only load and cached prompts. The replica received 73 requests in 4 s where 35 are
// allowed. The gateways' "request sent" lines show 72 of them, 30 from one gateway, and do not
// differ from earlier lines.
func TestReplicaGetsNoMoreThanItsDeclaredLimit(t *testing.T) {
	const limit = 2.0
	r := newTestRegion(t, 5, 3)
	r.replicas.setLimit("i-1", limit)
	declaredAt := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), contactTime+2*limitWindow)
	defer cancel()
	sent, served := r.load(ctx, 12, 100*time.Millisecond)
	received := r.replicas.receivedSince("i-1", declaredAt.Add(contactTime))
	assert.LessOrEqual(t, maximumInWindow(received), allowedInWindow(limit))
	assert.GreaterOrEqual(t, len(received), int(limit*limitWindow.Seconds()), "the replica is used")
	assert.Equal(t, sent, served, "other replicas serve the rest")
}

// knownLimits returns the limits of replicas that the coordinator knows.
func (r *testRegion) knownLimits() map[string]float64 {
	known := map[string]float64{}
	for _, each := range r.running.ReplicaLimits(r.t.Context()).Replicas {
		known[each.Replica] = each.Rate
	}
	return known
}

// awaitLimits waits until the coordinator knows exactly these limits.
func (r *testRegion) awaitLimits(wanted map[string]float64) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return maps.Equal(wanted, r.knownLimits()) }, 30*time.Second, 10*time.Millisecond)
}

// learnLimits sends requests to a gateway until the coordinator knows a replica's limit.
func (r *testRegion) learnLimits(gateway int, replica string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		r.askEachReplica(gateway)
		return r.knownLimits()[replica] != 0
	}, 30*time.Second, 10*time.Millisecond)
}

// askEachReplica sends enough concurrent requests to a gateway that each replica receives one.
func (r *testRegion) askEachReplica(gateway int) {
	var sending sync.WaitGroup
	for number := range 8 {
		sending.Go(func() { r.ask(gateway, fmt.Sprint("learning-", number), "body") })
	}
	sending.Wait()
}

// A limit learned by one gateway becomes known to the other gateways, to one that joins and to a
// coordinator that restarts, though none of them has received a response that declares it.
func TestALimitIsKnownToAll(t *testing.T) {
	const limit = 0.25
	r := newTestRegion(t, 4, 2)
	r.replicas.setLimit("i-1", limit)
	r.learnLimits(0, "i-1")
	r.stop()
	r.startCoordinator()
	r.awaitLimits(map[string]float64{"i-1": limit})
	r.gateways = append(r.gateways, r.startGateway(2))
	// Gateways receive limits with their views, which they poll twice per second.
	time.Sleep(contactTime)
	from := time.Now()
	for number := range 60 {
		status, answer := r.ask(1+number%2, fmt.Sprint("known-", number), "body")
		require.Equal(t, http.StatusOK, status, answer)
	}
	assert.LessOrEqual(t, maximumInWindow(r.replicas.receivedSince("i-1", from)), allowedInWindow(limit))
}

// A limit ends with the first response that declares none, and with the replica.
func TestLimitEndsWhenNoLongerDeclared(t *testing.T) {
	r := newTestRegion(t, 3, 2)
	r.replicas.setLimit("i-1", 1)
	r.replicas.setLimit("i-2", 2)
	r.learnLimits(0, "i-1")
	r.learnLimits(1, "i-2")
	r.replicas.clearLimit("i-1")
	require.Eventually(t, func() bool {
		r.ask(1, "ending", "body")
		return maps.Equal(map[string]float64{"i-2": 2}, r.knownLimits())
	}, 30*time.Second, 10*time.Millisecond)
	r.replicas.remove("i-2")
	r.awaitLimits(map[string]float64{})
}

// A gateway that reaches no coordinator sends only a small share of the limit to replicas that
// declare one, as it does not know what other gateways send. Callers are refused at once with a
// retry time, and no replica runs their requests.
func TestIsolatedGatewaySendsASmallShareOfTheLimit(t *testing.T) {
	const limit = 4.0
	r := newTestRegion(t, 1, 1)
	r.replicas.setLimit("i-1", limit)
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
	received := r.replicas.receivedSince("i-1", from)
	assert.LessOrEqual(t, len(received), 4, "an eighth of the limit, plus one")
	assert.Positive(t, refused)
}
