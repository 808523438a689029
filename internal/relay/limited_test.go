package relay_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// fakeCounter stands in for the coordinators that grant permits: it grants a given number for each replica.
type fakeCounter struct {
	mutex    sync.Mutex
	capacity map[string]int
	// asked, returned and withoutPermit are, by replica, the permits requested, the permits returned, and the
	// messages counted without a permit.
	asked, returned, withoutPermit map[string]int
	// wait is the wait of a denied permit.
	wait time.Duration
}

// useFakeCounter makes a fakeCounter enforce an environment's limits.
func (w *testEnvironment) useFakeCounter(capacity map[string]int) *fakeCounter {
	c := &fakeCounter{capacity: capacity, asked: map[string]int{}, returned: map[string]int{}, withoutPermit: map[string]int{}, wait: time.Minute}
	w.runner.EnforceLimits(&relay.ReplicaLimits{
		Ask:   c.ask,
		Count: func(incarnation string) { c.add(c.withoutPermit, incarnation) },
	})
	w.directory.SetPlacerCount(func() int { return 4 })
	return c
}

func (c *fakeCounter) add(to map[string]int, incarnation string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	to[incarnation]++
}

func (c *fakeCounter) ask(_ context.Context, asked relay.PermitRequest) relay.Permit {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked[asked.Life]++
	if c.capacity[asked.Life] <= 0 {
		return relay.Permit{Wait: c.wait}
	}
	c.capacity[asked.Life]--
	return relay.Permit{Granted: true, Return: func() { c.add(c.returned, asked.Life) }}
}

// count returns the count of a replica.
func (c *fakeCounter) count(from map[string]int, incarnation string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return from[incarnation]
}

// declareLimit makes replicas have a declared limit, as reported by another process.
func (w *testEnvironment) declareLimit(rate float64, ids ...string) {
	for _, id := range ids {
		w.directory.MergeLimits([]ratelimit.Report{{Replica: id, Declared: true, Rate: rate}})
	}
}

// declaring answers as a sealed replica that declares a limit.
func declaring(limit string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Limit", limit)
		respondSealed(http.StatusOK, "ok")(writer, request)
	}
}

func TestRequestGoesToAReplicaWithCapacity(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", declaring("1"))
	w.addReplica("b", "", respondSealed(http.StatusOK, "ok"))
	w.declareLimit(1, "a")
	c := w.useFakeCounter(map[string]int{"a": 2})
	for range 20 {
		answer := w.runCall(newCall(traffic.KindOnce, 1))
		assert.Equal(t, http.StatusOK, answer.status)
	}
	assert.Equal(t, 2, w.requestCount("a"), "its limit is used up")
	assert.Equal(t, 18, w.requestCount("b"))
	assert.Equal(t, 3, c.count(c.asked, "a"), "after a denial no permit is requested until the wait is over")
}

// A request that no replica has capacity for is rejected at once as not run, and each later one gets a later
// Retry-After.
func TestRequestWithoutCapacityIsRejectedAtOnce(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", declaring("2"))
	w.addReplica("b", "", declaring("2"))
	w.declareLimit(2, "a", "b")
	c := w.useFakeCounter(nil)
	c.wait = time.Second
	var waits []time.Duration
	begun := time.Now()
	for range 4 {
		answer := w.runCall(newCall(traffic.KindOnce, 1))
		require.Error(t, answer.err)
		assert.Equal(t, failure.RanNo, failure.AnswerFor(answer.err).Ran)
		waits = append(waits, failure.AnswerFor(answer.err).RetryAfter)
	}
	assert.Less(t, time.Since(begun), 10*time.Second, "each caller has a deadline of 20 s")
	assert.Zero(t, w.requestCount("a")+w.requestCount("b"))
	assert.GreaterOrEqual(t, waits[0], 900*time.Millisecond)
	for index := 1; index < len(waits); index++ {
		// Four gateways share four requests a second: each schedules one retry a second, at most 4 s ahead.
		assert.GreaterOrEqual(t, waits[index], min(waits[index-1]+900*time.Millisecond, 3900*time.Millisecond))
	}
	assert.Equal(t, 1, c.count(c.asked, "a"))
}

func TestOnlyPermitsOfUnsentRequestsAreReturned(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("doubtful", "", dropConnection)
	w.listReplica("closed", "", "127.0.0.1:1")
	w.declareLimit(5, "doubtful", "closed")
	c := w.useFakeCounter(map[string]int{"doubtful": 1, "closed": 1})
	answer := w.runCall(newCall(traffic.KindOnce, 1))
	require.Error(t, answer.err)
	assert.Zero(t, c.count(c.returned, "doubtful"), "it may have arrived")
	assert.Equal(t, c.count(c.asked, "closed"), c.count(c.returned, "closed"), "it was never sent")
}

func TestRejectedRequestsCount(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", rejectRequest)
	w.declareLimit(5, "a")
	c := w.useFakeCounter(map[string]int{"a": 9})
	w.runCall(newCall(traffic.KindRepeatable, 2))
	assert.Equal(t, w.requestCount("a"), c.count(c.asked, "a"))
	assert.Zero(t, c.count(c.returned, "a"))
}

// A limit applies from the response that declares it until one that declares none. A rejection without a limit,
// or an unreadable limit, changes nothing.
func TestNewestResponseSetsTheLimit(t *testing.T) {
	w := newTestEnvironment(t)
	limitHeader, notRun := "", false
	w.addReplica("a", "", func(writer http.ResponseWriter, request *http.Request) {
		if limitHeader != "" {
			writer.Header().Set("Limit", limitHeader)
		}
		if notRun {
			rejectRequest(writer, request)
			return
		}
		respondSealed(http.StatusOK, "ok")(writer, request)
	})
	for _, each := range []struct {
		limitHeader string
		notRun      bool
		limited     int
	}{
		{"", false, 0}, {"3", false, 1}, {"rubbish", false, 1}, {"", true, 1}, {"0", false, 1}, {"", false, 0}, {"2", true, 1},
	} {
		limitHeader, notRun = each.limitHeader, each.notRun
		w.runCall(newCall(traffic.KindOnce, 1))
		assert.Equal(t, each.limited, w.directory.LimitedCount(), "%q", each.limitHeader)
	}
	w.directory.ProcessEnded("a")
	assert.Zero(t, w.directory.LimitedCount(), "the process that declared it has ended")
}

// Guards against limits that a spoiled answer lifts: a replica begins answers with a good status, names no limit, and does not
// get as far as an event, a body or a handle.
func TestAnAnswerThatIsNeverWholeLiftsNoLimit(t *testing.T) {
	spoiled := func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Sealed", "yes")
		cutAfterHead(writer, request)
	}
	for name, kind := range map[string]traffic.Kind{"body": traffic.KindOnce, "stream": traffic.KindStream} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvironment(t)
			w.addReplica("a", "", spoiled)
			w.declareLimit(1, "a")
			require.Error(t, w.runCall(newCall(kind, 1)).err)
			assert.Equal(t, 1, w.directory.LimitedCount())
		})
	}
	t.Run("handle", func(t *testing.T) {
		w := newTestEnvironment(t)
		w.addReplica("reader", region.StagePrefill, spoiled)
		w.addReplica("generator", region.StageDecode, streamEvents(1, 2, false))
		w.declareLimit(1, "reader")
		require.NoError(t, w.runCall(newModelCall(8000, "own")).err)
		assert.Equal(t, 1, w.directory.LimitedCount())
	})
}

func TestLimitEndsWithItsReplica(t *testing.T) {
	w := newTestEnvironment(t)
	w.listReplica("a", "", "127.0.0.1:1")
	w.declareLimit(1, "a")
	require.Equal(t, 1, w.directory.LimitedCount())
	w.replicaList[0].Address = "127.0.0.1:2"
	w.directory.Replace(w.replicaList)
	assert.Zero(t, w.directory.LimitedCount(), "another replica has the id")
	w.declareLimit(1, "a")
	require.Equal(t, 1, w.directory.LimitedCount(), "reports on the new one count")
	w.directory.Replace(nil)
	assert.Zero(t, w.directory.LimitedCount())
	assert.Zero(t, w.directory.LimitedReplicasHash())
}

// A prompt read at one replica and answered at another counts as one request at each of them.
func TestPrefillAndDecodeCountSeparately(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("reader", region.StagePrefill, respondSealed(http.StatusOK, "handle"))
	w.addReplica("generator", region.StageDecode, streamEvents(1, 3, false))
	w.declareLimit(5, "reader", "generator")
	c := w.useFakeCounter(map[string]int{"reader": 5, "generator": 5})
	answer := w.runCall(newModelCall(20_000, "own"))
	require.True(t, answer.ended, "%v", answer.err)
	assert.Equal(t, 1, c.count(c.asked, "reader"))
	assert.Equal(t, 1, c.count(c.asked, "generator"))
	assert.Zero(t, c.count(c.returned, "generator"))
}

// A prompt is not read if no decode replica has capacity: the work of the prefill replica would be wasted.
func TestPromptIsNotPrefilledWithoutDecodeCapacity(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("reader", region.StagePrefill, respondSealed(http.StatusOK, "handle"))
	w.addReplica("generator", region.StageDecode, streamEvents(1, 3, false))
	w.declareLimit(5, "generator")
	w.useFakeCounter(nil)
	answer := w.runCall(newModelCall(20_000, "own"))
	require.Error(t, answer.err)
	assert.Zero(t, w.requestCount("reader"))
	assert.Positive(t, failure.AnswerFor(answer.err).RetryAfter)
}

// Prompts go to the other prefill replica if one has no capacity under its limit.
func TestPromptsAvoidPrefillReplicaWithoutCapacity(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("limited", region.StagePrefill, respondSealed(http.StatusOK, "handle"))
	w.addReplica("free", region.StagePrefill, respondSealed(http.StatusOK, "handle"))
	w.addReplica("generator", region.StageDecode, streamEvents(1, 3, false))
	w.declareLimit(5, "limited")
	w.useFakeCounter(nil)
	for number := range 6 {
		answer := w.runCall(newModelCall(20_000, string(rune('a'+number))))
		require.True(t, answer.ended, "%v", answer.err)
	}
	assert.Zero(t, w.requestCount("limited"))
	assert.Equal(t, 6, w.requestCount("free"))
}

// A replica without a limit is found with few permit requests, however many replicas deny.
func TestReplicaWithoutLimitIsFoundWithFewPermitRequests(t *testing.T) {
	w := newTestEnvironment(t)
	for number := range 100 {
		w.listReplica(string(rune('A'+number)), "", "127.0.0.1:1")
		w.declareLimit(5, string(rune('A'+number)))
	}
	w.addReplica("free", "", respondSealed(http.StatusOK, "ok"))
	c := w.useFakeCounter(nil)
	answer := w.runCall(newCall(traffic.KindOnce, 1))
	assert.Equal(t, http.StatusOK, answer.status)
	questions := 0
	for _, count := range c.asked {
		questions += count
	}
	assert.LessOrEqual(t, questions, 8)
}

// BenchmarkLimits measures what limits add to choosing one of 18 replicas and to processing its response;
// without limits the cost should be negligible.
func BenchmarkLimits(b *testing.B) {
	for name, limited := range map[string]int{"no limits": 0, "one limit": 1, "all limited": 18} {
		b.Run(name, func(b *testing.B) {
			var list []region.Replica
			for number := range 18 {
				list = append(list, replica(string(rune('a'+number)), ""))
			}
			d := newDirectory(list...)
			for _, each := range list[:limited] {
				d.MergeLimits([]ratelimit.Report{{Replica: each.ID, Declared: true, Rate: 5}})
			}
			b.ReportAllocs()
			for b.Loop() {
				lease := d.PickAny("s", relay.Wanted{})
				if lease.Limit() >= 0 {
					lease.NoteLimit(relay.RateLimit{Declared: true, Rate: 5}, true)
				} else {
					lease.NoteLimit(relay.RateLimit{}, true)
				}
				lease.Release()
			}
		})
	}
}

var errCallerDisconnected = errors.New("the caller has disconnected")

// No further permit is requested after a caller disconnects while a permit request is pending.
func TestNoPermitIsRequestedAfterTheCallerDisconnects(t *testing.T) {
	w := newTestEnvironment(t)
	for _, id := range []string{"a", "b", "c"} {
		w.listReplica(id, "", "127.0.0.1:1")
		w.declareLimit(5, id)
	}
	ctx, leave := context.WithCancelCause(t.Context())
	asked := 0
	w.runner.EnforceLimits(&relay.ReplicaLimits{
		Ask: func(context.Context, relay.PermitRequest) relay.Permit {
			asked++
			leave(errCallerDisconnected)
			return relay.Permit{}
		},
		Count: func(string) {},
	})
	w.runner.Run(ctx, newCall(traffic.KindOnce, 1), &recordingResponder{})
	assert.Equal(t, 1, asked)
}

// A replica that denied a request's first attempt may be used by the second one.
func TestRetryMayUseAReplicaThatDeniedTheFirstAttempt(t *testing.T) {
	w := newTestEnvironment(t)
	c := w.useFakeCounter(map[string]int{})
	c.wait = time.Millisecond
	w.addReplica("limited", "", respondSealed(http.StatusOK, "ok"))
	w.addReplica("failing", "", func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(30 * time.Millisecond)
		c.mutex.Lock()
		c.capacity["limited"] = 1
		c.mutex.Unlock()
		respondSealed(http.StatusInternalServerError, "failed")(writer, request)
	})
	w.declareLimit(5, "limited")
	answer := w.runCall(newCall(traffic.KindRepeatable, 2))
	assert.Equal(t, http.StatusOK, answer.status)
}
