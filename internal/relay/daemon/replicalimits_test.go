package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
}

// name has a replica name a limit from now on.
func (s *replicaSet) name(replica string, limit float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limits[replica] = limit
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

// mostWithin is the greatest number of times that lie within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
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
	assert.LessOrEqual(t, mostWithin(taken, limitWindow), allowed(limit))
	assert.GreaterOrEqual(t, len(taken), int(limit*limitWindow.Seconds()), "the replica is used")
	assert.Equal(t, sent, served, "other replicas have room")
}
