package backpressure

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/event"
)

// testGate is a gate whose clock is set by the test.
type testGate struct {
	*Gate
	now time.Duration
}

func newTestGate(logger logr.Logger) *testGate {
	t := &testGate{now: time.Hour}
	t.Gate = NewGate(Options{
		Clock:        func() time.Duration { return t.now },
		Leaving:      func(header http.Header) bool { return header.Get("Leaving") != "" },
		LeavingGrace: leavingGrace,
		Logger:       logger,
	})
	return t
}

// leavingGrace is the testGate's.
const leavingGrace = 3 * time.Second

// reject makes a peer reject a call with a Retry-After in seconds.
func (t *testGate) reject(peer Peer, seconds float64) {
	t.Observe(peer, http.StatusServiceUnavailable, http.Header{"Retry-After": {strconv.FormatFloat(seconds, 'f', -1, 64)}})
}

var (
	peerA   = Peer{Address: "a:1", Instance: "a"}
	peerB   = Peer{Address: "b:1", Instance: "b"}
	leaving = http.Header{"Leaving": {"1"}}
)

func TestLatestBackoffEndCounts(t *testing.T) {
	g := newTestGate(logr.Discard())
	assert.True(t, g.Empty())
	assert.Nil(t, g.MarkListed(peerA))
	g.reject(peerA, 3)
	g.now += time.Second
	g.reject(peerA, 1)
	assert.Equal(t, 2*time.Second, g.MarkListed(peerA).BackoffLeft(g.now), "a shorter backoff")
	g.Observe(peerA, http.StatusOK, http.Header{})
	g.reject(peerA, 0)
	assert.Equal(t, 2*time.Second, g.MarkListed(peerA).BackoffLeft(g.now), "no other response ends it")
	g.reject(peerA, 5)
	assert.Equal(t, 5*time.Second, g.MarkListed(peerA).BackoffLeft(g.now), "a longer backoff")
	g.now += 5 * time.Second
	assert.Zero(t, g.MarkListed(peerA).BackoffLeft(g.now))
	assert.Nil(t, g.MarkListed(peerB), "another peer")
	assert.Nil(t, g.MarkListed(Peer{Address: peerA.Address, Instance: "a@2"}), "another incarnation at its address")
}

func TestMisdirectedResponseIsIgnored(t *testing.T) {
	g := newTestGate(logr.Discard())
	g.Observe(peerA, http.StatusMisdirectedRequest, leaving)
	assert.True(t, g.Empty())
}

func TestLeavingHoldsUntilTheProcessEnds(t *testing.T) {
	g := newTestGate(logr.Discard())
	notified := 0
	g.OnChange(func(peer Peer, state *PeerState) {
		assert.Equal(t, peerA, peer)
		assert.True(t, state.Leaving())
		notified++
	})
	g.Observe(peerA, http.StatusOK, leaving)
	g.Observe(peerA, http.StatusOK, leaving)
	g.Observe(peerA, http.StatusOK, http.Header{})
	assert.Equal(t, 1, notified)
	assert.True(t, g.MarkListed(peerA).Leaving(), "a response without the header does not revoke it")
	backingOff, leaving := g.Counts()
	assert.Zero(t, backingOff)
	assert.Equal(t, 1, leaving)
}

func TestForgetDeletesThePeerState(t *testing.T) {
	g := newTestGate(logr.Discard())
	g.reject(peerA, 600)
	g.Observe(peerA, http.StatusOK, leaving)
	g.Forget(peerA)
	g.Forget(peerB)
	assert.True(t, g.Empty())
	require.NoError(t, g.Permits(peerA, true))
}

// A list that is outdated or wrongly lacks a replica drops it, and a later one shows it again.
func TestStateOutlivesAbsenceFromTheList(t *testing.T) {
	g := newTestGate(logr.Discard())
	g.reject(peerA, 600)
	g.Observe(peerB, http.StatusOK, leaving)
	g.MarkUnlisted(peerA)
	g.MarkUnlisted(peerB)
	for number := range 1000 {
		g.reject(Peer{Address: "c:1", Instance: strconv.Itoa(number)}, 1)
	}
	require.NotNil(t, g.MarkListed(peerA))
	require.NotNil(t, g.MarkListed(peerB))
}

func TestStatesOfUnlistedPeersExpire(t *testing.T) {
	g := newTestGate(logr.Discard())
	for number := range 100_000 {
		peer := Peer{Address: "c:1", Instance: strconv.Itoa(number)}
		g.reject(peer, 1)
		g.MarkUnlisted(peer)
		g.now += retention / 100
	}
	assert.Less(t, len(g.states), 500)
	assert.EqualValues(t, len(g.states), g.stateCount.Load())
}

func TestLogsAreLimitedToOneLinePerSecondAndPeer(t *testing.T) {
	lines := map[string]int{}
	g := newTestGate(funcr.NewJSON(func(line string) {
		for _, each := range []event.Event{event.RestAsked, event.RestUnreadable, event.LeavingSaid} {
			if strings.Contains(line, `"`+each+`"`) {
				lines[each]++
			}
		}
	}, funcr.Options{}))
	for range 1000 {
		g.reject(peerA, 2)
		g.Observe(peerA, http.StatusServiceUnavailable, http.Header{"Retry-After": {"soon"}})
		g.Observe(peerA, http.StatusOK, leaving)
		g.now += 10 * time.Millisecond
	}
	assert.Equal(t, 1, lines[event.LeavingSaid])
	assert.LessOrEqual(t, lines[event.RestAsked]+lines[event.RestUnreadable], 11)
	assert.GreaterOrEqual(t, lines[event.RestAsked]+lines[event.RestUnreadable], 9)
}

func TestNextIncarnationInheritsWhatWasAskedSinceItsStart(t *testing.T) {
	g := newTestGate(logr.Discard())
	next := Peer{Address: peerA.Address, Instance: "a@9"}
	g.Inherit(peerA, next, time.Hour)
	assert.True(t, g.Empty(), "nothing was asked")

	g.reject(peerA, 60)
	g.now += 2 * time.Second
	g.Inherit(peerA, next, time.Second)
	assert.NoError(t, g.Permits(next, true), "the former one has asked")

	g.Observe(peerA, http.StatusOK, leaving)
	g.Inherit(peerA, next, time.Second)
	assert.Zero(t, g.MarkListed(next).BackoffLeft(g.now))
	assert.True(t, g.MarkListed(next).Leaving())

	g.reject(peerA, 3)
	g.now += time.Second
	g.Inherit(peerA, next, 2*time.Second)
	assert.Equal(t, 2*time.Second, g.MarkListed(next).BackoffLeft(g.now), "the newest request counts, not the longest")
}

// A replica that said that it leaves was the last resort for the whole grace again with each list that showed its next incarnation.
func TestLeavingGraceDoesNotBeginAnewWithTheNextIncarnation(t *testing.T) {
	g := newTestGate(logr.Discard())
	g.Observe(peerA, http.StatusOK, leaving)
	g.now += leavingGrace
	require.Error(t, g.Permits(peerA, true))
	next := Peer{Address: peerA.Address, Instance: "a@9"}
	g.Inherit(peerA, next, 2*leavingGrace)
	assert.Error(t, g.Permits(next, true), "it has said so for as long under its former name")
}
