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

// testGate is a gate with a clock that stands still.
type testGate struct {
	*Gate
	now time.Duration
}

func newTestGate(logger logr.Logger) *testGate {
	t := &testGate{now: time.Hour}
	t.Gate = NewGate(Options{
		Clock:   func() time.Duration { return t.now },
		Leaving: func(header http.Header) bool { return header.Get("Leaving") != "" },
		Logger:  logger,
	})
	return t
}

// turnAway has a peer turn a call away and ask for a rest in seconds.
func (t *testGate) turnAway(peer Peer, seconds float64) {
	t.Hear(peer, http.StatusServiceUnavailable, http.Header{"Retry-After": {strconv.FormatFloat(seconds, 'f', -1, 64)}})
}

var (
	peerA   = Peer{Address: "a:1", Instance: "a"}
	peerB   = Peer{Address: "b:1", Instance: "b"}
	leaving = http.Header{"Leaving": {"1"}}
)

func TestOfSeveralTimesTheLatestEndCounts(t *testing.T) {
	g := newTestGate(logr.Discard())
	assert.True(t, g.Quiet())
	assert.Nil(t, g.Know(peerA))
	g.turnAway(peerA, 3)
	g.now += time.Second
	g.turnAway(peerA, 1)
	assert.Equal(t, 2*time.Second, g.Know(peerA).RestLeft(g.now), "a shorter one")
	g.Hear(peerA, http.StatusOK, http.Header{})
	g.turnAway(peerA, 0)
	assert.Equal(t, 2*time.Second, g.Know(peerA).RestLeft(g.now), "no other answer ends it")
	g.turnAway(peerA, 5)
	assert.Equal(t, 5*time.Second, g.Know(peerA).RestLeft(g.now), "a longer one")
	g.now += 5 * time.Second
	assert.Zero(t, g.Know(peerA).RestLeft(g.now))
	assert.Nil(t, g.Know(peerB), "another peer")
	assert.Nil(t, g.Know(Peer{Address: peerA.Address, Instance: "a@2"}), "another life at its address")
}

func TestAnotherIncarnationSaysNothingOfTheOneThatWasMeant(t *testing.T) {
	g := newTestGate(logr.Discard())
	g.Hear(peerA, http.StatusMisdirectedRequest, leaving)
	assert.True(t, g.Quiet())
}

func TestAPeerLeavesUntilItsLifeEnds(t *testing.T) {
	g := newTestGate(logr.Discard())
	told := 0
	g.OnChange(func(peer Peer, standing *Standing) {
		assert.Equal(t, peerA, peer)
		assert.True(t, standing.Leaving())
		told++
	})
	g.Hear(peerA, http.StatusOK, leaving)
	g.Hear(peerA, http.StatusOK, leaving)
	g.Hear(peerA, http.StatusOK, http.Header{})
	assert.Equal(t, 1, told)
	assert.True(t, g.Know(peerA).Leaving(), "an answer without the mark does not take it back")
	resting, leaving := g.Counts()
	assert.Zero(t, resting)
	assert.Equal(t, 1, leaving)
}

func TestAPeerWhoseProcessHasEndedAsksForNothing(t *testing.T) {
	g := newTestGate(logr.Discard())
	g.turnAway(peerA, 600)
	g.Hear(peerA, http.StatusOK, leaving)
	g.Forget(peerA)
	g.Forget(peerB)
	assert.True(t, g.Quiet())
	require.NoError(t, g.Permits(peerA, true))
}

// Lists that are older than others, or doubted, drop a replica and show it again.
func TestWhatAPeerAsksForOutlivesItsAbsenceFromTheList(t *testing.T) {
	g := newTestGate(logr.Discard())
	g.turnAway(peerA, 600)
	g.Hear(peerB, http.StatusOK, leaving)
	g.Drop(peerA)
	g.Drop(peerB)
	for number := range 1000 {
		g.turnAway(Peer{Address: "c:1", Instance: strconv.Itoa(number)}, 1)
	}
	require.NotNil(t, g.Know(peerA))
	require.NotNil(t, g.Know(peerB))
}

func TestPeersThatAreGoneForLongAreForgotten(t *testing.T) {
	g := newTestGate(logr.Discard())
	for number := range 100_000 {
		peer := Peer{Address: "c:1", Instance: strconv.Itoa(number)}
		g.turnAway(peer, 1)
		g.Drop(peer)
		g.now += memory / 100
	}
	assert.Less(t, len(g.standings), 500)
	assert.EqualValues(t, len(g.standings), g.asked.Load())
}

func TestAPeerThatAsksInEachAnswerHasOneLineASecond(t *testing.T) {
	lines := map[string]int{}
	g := newTestGate(funcr.NewJSON(func(line string) {
		for _, each := range []event.Event{event.RestAsked, event.RestUnreadable, event.LeavingSaid} {
			if strings.Contains(line, `"`+each+`"`) {
				lines[each]++
			}
		}
	}, funcr.Options{}))
	for range 1000 {
		g.turnAway(peerA, 2)
		g.Hear(peerA, http.StatusServiceUnavailable, http.Header{"Retry-After": {"soon"}})
		g.Hear(peerA, http.StatusOK, leaving)
		g.now += 10 * time.Millisecond
	}
	assert.Equal(t, 1, lines[event.LeavingSaid])
	assert.LessOrEqual(t, lines[event.RestAsked]+lines[event.RestUnreadable], 11)
	assert.GreaterOrEqual(t, lines[event.RestAsked]+lines[event.RestUnreadable], 9)
}
