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

// counter stands for the coordinators that count under limits: it has so much room for each replica.
type counter struct {
	mutex sync.Mutex
	room  map[string]int
	// asked, returned and unasked are by replica the questions, what came back, and what was counted
	// without asking.
	asked, returned, unasked map[string]int
	// wait is what those are told for whom there is no room.
	wait time.Duration
}

// counted has a world's limits kept by a counter.
func (w *world) counted(room map[string]int) *counter {
	c := &counter{room: room, asked: map[string]int{}, returned: map[string]int{}, unasked: map[string]int{}, wait: time.Minute}
	w.runner.KeepLimits(&relay.ReplicaLimits{
		Ask:   c.ask,
		Count: func(life string) { c.add(c.unasked, life) },
	})
	w.directory.CountChoosers(func() int { return 4 })
	return c
}

func (c *counter) add(to map[string]int, life string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	to[life]++
}

func (c *counter) ask(_ context.Context, asked relay.LimitQuestion) relay.Permit {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked[asked.Life]++
	if c.room[asked.Life] <= 0 {
		return relay.Permit{Wait: c.wait}
	}
	c.room[asked.Life]--
	return relay.Permit{Granted: true, GiveBack: func() { c.add(c.returned, asked.Life) }}
}

// read returns a count of a replica.
func (c *counter) read(from map[string]int, life string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return from[life]
}

// limit has replicas name a limit, as others have told.
func (w *world) limit(rate float64, ids ...string) {
	for _, id := range ids {
		w.directory.TakeLimits([]ratelimit.Word{{Replica: id, Named: true, Rate: rate}})
	}
}

// naming answers as a sealed replica that names a limit.
func naming(limit string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Limit", limit)
		sealed(http.StatusOK, "ok")(writer, request)
	}
}

func TestARequestGoesWhereThereIsRoom(t *testing.T) {
	w := newWorld(t)
	w.add("a", "", naming("1"))
	w.add("b", "", sealed(http.StatusOK, "ok"))
	w.limit(1, "a")
	c := w.counted(map[string]int{"a": 2})
	for range 20 {
		answer := w.run(callOf(traffic.KindOnce, 1))
		assert.Equal(t, http.StatusOK, answer.status)
	}
	assert.Equal(t, 2, w.visits("a"), "it is used as far as it goes")
	assert.Equal(t, 18, w.visits("b"))
	assert.Equal(t, 3, c.read(c.asked, "a"), "after a refusal it is not asked about until there should be room")
}

// A caller that no replica has room for is told at once, and truly: nobody has run its request, and
// those who are refused after it are told later times.
func TestARequestThatNoReplicaHasRoomForIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.add("a", "", naming("2"))
	w.add("b", "", naming("2"))
	w.limit(2, "a", "b")
	c := w.counted(nil)
	c.wait = time.Second
	var waits []time.Duration
	begun := time.Now()
	for range 4 {
		answer := w.run(callOf(traffic.KindOnce, 1))
		require.Error(t, answer.err)
		assert.Equal(t, failure.RanNo, failure.AnswerFor(answer.err).Ran)
		waits = append(waits, failure.AnswerFor(answer.err).RetryAfter)
	}
	assert.Less(t, time.Since(begun), 10*time.Second, "of the 20 s that each caller has")
	assert.Zero(t, w.visits("a")+w.visits("b"))
	assert.GreaterOrEqual(t, waits[0], 900*time.Millisecond)
	for index := 1; index < len(waits); index++ {
		// Four gateways share four requests a second: each calls one back a second, 4 s ahead at most.
		assert.GreaterOrEqual(t, waits[index], min(waits[index-1]+900*time.Millisecond, 3900*time.Millisecond))
	}
	assert.Equal(t, 1, c.read(c.asked, "a"))
}

func TestOnlyWhatWasNotSentComesBack(t *testing.T) {
	w := newWorld(t)
	w.add("doubtful", "", dropping)
	w.list("closed", "", "127.0.0.1:1")
	w.limit(5, "doubtful", "closed")
	c := w.counted(map[string]int{"doubtful": 1, "closed": 1})
	answer := w.run(callOf(traffic.KindOnce, 1))
	require.Error(t, answer.err)
	assert.Zero(t, c.read(c.returned, "doubtful"), "it may have come")
	assert.Equal(t, c.read(c.asked, "closed"), c.read(c.returned, "closed"), "it was never sent")
}

func TestRejectedRequestsCount(t *testing.T) {
	w := newWorld(t)
	w.add("a", "", refusing)
	w.limit(5, "a")
	c := w.counted(map[string]int{"a": 9})
	w.run(callOf(traffic.KindRepeatable, 2))
	assert.Equal(t, w.visits("a"), c.read(c.asked, "a"))
	assert.Zero(t, c.read(c.returned, "a"))
}

// A limit is in force with the answer that names it, and until one names none. What a refusal does not
// say, or what can't be read, changes nothing.
func TestALimitGoesByTheNewestAnswer(t *testing.T) {
	w := newWorld(t)
	says, notRun := "", false
	w.add("a", "", func(writer http.ResponseWriter, request *http.Request) {
		if says != "" {
			writer.Header().Set("Limit", says)
		}
		if notRun {
			refusing(writer, request)
			return
		}
		sealed(http.StatusOK, "ok")(writer, request)
	})
	for _, each := range []struct {
		says   string
		notRun bool
		named  int
	}{
		{"", false, 0}, {"3", false, 1}, {"rubbish", false, 1}, {"", true, 1}, {"0", false, 1}, {"", false, 0}, {"2", true, 1},
	} {
		says, notRun = each.says, each.notRun
		w.run(callOf(traffic.KindOnce, 1))
		assert.Equal(t, each.named, w.directory.LimitedCount(), "%q", each.says)
	}
	w.directory.Ended("a")
	assert.Zero(t, w.directory.LimitedCount(), "the process that named it has ended")
}

func TestALimitEndsWithItsReplica(t *testing.T) {
	w := newWorld(t)
	w.list("a", "", "127.0.0.1:1")
	w.limit(1, "a")
	require.Equal(t, 1, w.directory.LimitedCount())
	w.replicas[0].Address = "127.0.0.1:2"
	w.directory.Replace(w.replicas)
	assert.Zero(t, w.directory.LimitedCount(), "another one has the id")
	w.limit(1, "a")
	require.Equal(t, 1, w.directory.LimitedCount(), "words on the new one count")
	w.directory.Replace(nil)
	assert.Zero(t, w.directory.LimitedCount())
	assert.Zero(t, w.directory.LimitNames())
}

// Prompts that are read apart, and their answers elsewhere, are two requests at two replicas.
func TestPromptsThatAreReadApartCount(t *testing.T) {
	w := newWorld(t)
	w.add("reader", region.StagePrefill, sealed(http.StatusOK, "handle"))
	w.add("generator", region.StageDecode, events(1, 3, false))
	w.limit(5, "reader", "generator")
	c := w.counted(map[string]int{"reader": 5, "generator": 5})
	answer := w.run(modelCall(20_000, "own"))
	require.True(t, answer.ended, "%v", answer.err)
	assert.Equal(t, 1, c.read(c.asked, "reader"))
	assert.Equal(t, 1, c.read(c.asked, "generator"))
	assert.Zero(t, c.read(c.returned, "generator"))
}

// A prompt is not read where no replica could generate for it: it would be read in vain.
func TestNoPromptIsReadForWhichNoReplicaHasRoom(t *testing.T) {
	w := newWorld(t)
	w.add("reader", region.StagePrefill, sealed(http.StatusOK, "handle"))
	w.add("generator", region.StageDecode, events(1, 3, false))
	w.limit(5, "generator")
	w.counted(nil)
	answer := w.run(modelCall(20_000, "own"))
	require.Error(t, answer.err)
	assert.Zero(t, w.visits("reader"))
	assert.Positive(t, failure.AnswerFor(answer.err).RetryAfter)
}

// A reader without room leaves its prompts to the other one.
func TestAReaderWithoutRoomLeavesItsPromptsToOthers(t *testing.T) {
	w := newWorld(t)
	w.add("limited", region.StagePrefill, sealed(http.StatusOK, "handle"))
	w.add("free", region.StagePrefill, sealed(http.StatusOK, "handle"))
	w.add("generator", region.StageDecode, events(1, 3, false))
	w.limit(5, "limited")
	w.counted(nil)
	for number := range 6 {
		answer := w.run(modelCall(20_000, string(rune('a'+number))))
		require.True(t, answer.ended, "%v", answer.err)
	}
	assert.Zero(t, w.visits("limited"))
	assert.Equal(t, 6, w.visits("free"))
}

// However many replicas have no room, one without a limit is found with few questions.
func TestFewQuestionsFindAReplicaWithoutALimit(t *testing.T) {
	w := newWorld(t)
	for number := range 100 {
		w.list(string(rune('A'+number)), "", "127.0.0.1:1")
		w.limit(5, string(rune('A'+number)))
	}
	w.add("free", "", sealed(http.StatusOK, "ok"))
	c := w.counted(nil)
	answer := w.run(callOf(traffic.KindOnce, 1))
	assert.Equal(t, http.StatusOK, answer.status)
	questions := 0
	for _, count := range c.asked {
		questions += count
	}
	assert.LessOrEqual(t, questions, 8)
}

// BenchmarkLimits gives what limits add to the choice of a replica among 18 and to its answer:
// nothing to speak of where none names one.
func BenchmarkLimits(b *testing.B) {
	for name, limited := range map[string]int{"none names a limit": 0, "one does": 1, "all do": 18} {
		b.Run(name, func(b *testing.B) {
			var list []region.Replica
			for number := range 18 {
				list = append(list, replica(string(rune('a'+number)), ""))
			}
			d := newDirectory(list...)
			for _, each := range list[:limited] {
				d.TakeLimits([]ratelimit.Word{{Replica: each.ID, Named: true, Rate: 5}})
			}
			b.ReportAllocs()
			for b.Loop() {
				lease := d.PickAny("s", relay.Wanted{})
				if lease.Limit() >= 0 {
					lease.NoteLimit(relay.RateLimit{Named: true, Rate: 5}, true)
				} else {
					lease.NoteLimit(relay.RateLimit{}, true)
				}
				lease.Release()
			}
		})
	}
}

var errGone = errors.New("the caller has gone")

// A caller that leaves while its request waits for an answer on a limit is asked for no further.
func TestACallerThatLeavesIsNotAskedForAgain(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"a", "b", "c"} {
		w.list(id, "", "127.0.0.1:1")
		w.limit(5, id)
	}
	ctx, leave := context.WithCancelCause(t.Context())
	asked := 0
	w.runner.KeepLimits(&relay.ReplicaLimits{
		Ask: func(context.Context, relay.LimitQuestion) relay.Permit {
			asked++
			leave(errGone)
			return relay.Permit{}
		},
		Count: func(string) {},
	})
	w.runner.Run(ctx, callOf(traffic.KindOnce, 1), &recorder{})
	assert.Equal(t, 1, asked)
}

// A replica that had no room for a request's first try may have room for its second one.
func TestASecondTryMayGoWhereTheFirstHadNoRoom(t *testing.T) {
	w := newWorld(t)
	c := w.counted(map[string]int{})
	c.wait = time.Millisecond
	w.add("limited", "", sealed(http.StatusOK, "ok"))
	w.add("failing", "", func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(30 * time.Millisecond)
		c.mutex.Lock()
		c.room["limited"] = 1
		c.mutex.Unlock()
		sealed(http.StatusInternalServerError, "failed")(writer, request)
	})
	w.limit(5, "limited")
	answer := w.run(callOf(traffic.KindRepeatable, 2))
	assert.Equal(t, http.StatusOK, answer.status)
}
