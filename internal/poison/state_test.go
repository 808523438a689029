package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func digestOf(name string) Digest {
	return Content{Caller: "c", Target: "/", Body: []byte(name)}.Digest()
}

func digestsOf(names ...string) []Digest {
	var digests []Digest
	for _, name := range names {
		digests = append(digests, digestOf(name))
	}
	return digests
}

// fixedRequest is a request with a fixed digest.
type fixedRequest Digest

func (r fixedRequest) TargetHash() uint32 { return Digest(r).TargetHash() }
func (r fixedRequest) Digest() Digest     { return Digest(r) }
func (r fixedRequest) Parts() []Digest    { return nil }

// evidence is a State to which commands are applied in sequence, 1 ms apart.
type evidence struct {
	State
	position uint64
	at       int64
}

func (e *evidence) apply(command Command) {
	e.position++
	e.at += int64(time.Millisecond)
	command.At = e.at
	e.Apply(e.position, &command)
}

// crashed records that a replica has crashed under requests.
func (e *evidence) crashed(replica string, requests ...string) {
	e.apply(Command{Crashes: []Crash{{Replica: replica, Requests: digestsOf(requests...)}}})
}

// holdDue holds the requests that are due, and returns them.
func (e *evidence) holdDue() []Digest {
	due := e.Due(e.at, 0)
	e.apply(Command{Hold: due})
	return due
}

func TestRequestIsDueAfterThreeReplicasCrashed(t *testing.T) {
	e := &evidence{}
	e.crashed("i-1", "poison", "a")
	e.crashed("i-1", "poison", "b")
	e.crashed("i-2", "poison")
	assert.Empty(t, e.Due(e.at, 0), "the same replica counts once")
	e.crashed("i-3", "poison", "c")
	assert.Empty(t, e.Due(e.at, time.Millisecond), "other gateways may not have reported yet")
	assert.Equal(t, digestsOf("poison"), e.Due(e.at+int64(time.Millisecond), time.Millisecond))
	e.holdDue()
	assert.True(t, e.Holds(digestOf("poison")))
	assert.Empty(t, e.Due(e.at, 0))
}

func TestInnocentRequestBesidePoisonIsNotHeld(t *testing.T) {
	e := &evidence{}
	for number := range 3 {
		e.crashed(fmt.Sprint("i-", number), "poison", "beside")
	}
	assert.Empty(t, e.Due(e.at, 0), "the requests were at the same replicas")
	e.crashed("i-4", "poison")
	assert.Equal(t, digestsOf("poison"), e.holdDue())
	record, known := e.Find(digestOf("beside"))
	assert.False(t, known, "all its replicas have crashed under the other: %v", record)
	e.crashed("i-4", "late")
	_, known = e.Find(digestOf("late"))
	assert.False(t, known, "reported after the hold")
	e.crashed("i-5", "late")
	_, known = e.Find(digestOf("late"))
	assert.True(t, known)
}

// Two requests were at the same three replicas, and nothing shows which of them has crashed these: both
// continue to be sent, once a call, and are not forwarded to processes without the evidence.
func TestIndistinguishableRequestsAreOnProbation(t *testing.T) {
	e := &evidence{}
	guard := NewGuard(Options{Now: func() time.Duration { return 0 }, InSync: func() bool { return true }})
	poison, beside := fixedRequest(digestOf("poison")), fixedRequest(digestOf("beside"))
	for number := range 3 {
		assert.True(t, guard.MayRetry(poison))
		e.crashed(fmt.Sprint("i-", number), "poison", "beside")
		guard.ApplyNews(e.NewsSince(guard.Revision()))
		assert.Equal(t, number < 1, guard.MayForward(poison))
	}
	assert.False(t, guard.MayRetry(poison))
	assert.False(t, guard.MayRetry(beside))
	assert.False(t, guard.Holds(poison))
	e.crashed("i-4", "poison")
	e.holdDue()
	guard.ApplyNews(e.NewsSince(guard.Revision()))
	assert.True(t, guard.Holds(poison))
	assert.True(t, guard.MayRetry(beside))
	assert.True(t, guard.MayForward(beside))
}

func TestRequestHeldElsewhereIsHeld(t *testing.T) {
	e := &evidence{}
	e.crashed("i-1", "known", "beside")
	e.apply(Command{HeldElsewhere: digestsOf("known", "unknown")})
	assert.ElementsMatch(t, digestsOf("known", "unknown"), e.HeldDigests())
	_, left := e.Find(digestOf("beside"))
	assert.False(t, left, "its replica has crashed under the held request")
	e.apply(Command{HeldElsewhere: digestsOf("known"), Release: digestsOf("unknown")})
	assert.Equal(t, digestsOf("known"), e.HeldDigests())
}

// A request that its caller repeats at once is at several replicas, some of which crash together with
// many others.
func TestRequestAtSeveralReplicasOfABurstIsNotHeld(t *testing.T) {
	e := &evidence{}
	for number := range 9 {
		e.crashed(fmt.Sprint("i-", number), fmt.Sprint("beside ", number))
	}
	for number := range 4 {
		e.crashed(fmt.Sprint("i-", number), "repeated at once")
	}
	assert.Empty(t, e.Due(e.at, 0))
}

func TestBurstCrashHasHalfTheWeight(t *testing.T) {
	e := &evidence{}
	crash := func(crash int) {
		for number := range 9 {
			e.crashed(fmt.Sprint("i-", crash, "-", number), fmt.Sprint("beside ", crash, " ", number))
		}
		e.crashed(fmt.Sprint("i-", crash, "-8"), "innocent")
		e.at += int64(time.Minute)
	}
	for number := range 5 {
		crash(number)
	}
	assert.Empty(t, e.Due(e.at, 0), "five crashes, each in a burst")
	crash(5)
	assert.Equal(t, digestsOf("innocent"), e.Due(e.at, 0))
	for number := range 5 {
		e.crashed(fmt.Sprint("j-", number), "poison")
	}
	assert.ElementsMatch(t, digestsOf("innocent", "poison"), e.Due(e.at, 0), "a request that crashes five replicas at once makes up the burst itself")
}

func TestCompletionClearsARequest(t *testing.T) {
	e := &evidence{}
	e.crashed("i-1", "often")
	e.crashed("i-2", "often")
	e.apply(Command{Completions: digestsOf("often")})
	e.crashed("i-3", "often")
	assert.Empty(t, e.Due(e.at, 0))
	e.crashed("i-4", "often")
	e.crashed("i-5", "often")
	e.holdDue()
	require.True(t, e.Holds(digestOf("often")))
	e.apply(Command{Completions: digestsOf("often")})
	assert.False(t, e.Holds(digestOf("often")), "an attempt that was in flight has completed")
}

func TestTwoPoisonRequestsAreBothHeld(t *testing.T) {
	e := &evidence{}
	e.crashed("i-1", "one", "two")
	for _, replica := range []string{"i-2", "i-3", "i-4"} {
		e.crashed(replica, "one")
	}
	for _, replica := range []string{"i-5", "i-6", "i-7"} {
		e.crashed(replica, "two")
	}
	assert.ElementsMatch(t, digestsOf("one", "two"), e.holdDue(), "each has crashed three where the other was not")
}

func TestExpiredHoldResumesWithTheNextCrash(t *testing.T) {
	e := &evidence{}
	for number := range 5 {
		e.crashed(fmt.Sprint("i-", number), "poison")
	}
	e.crashed("i-9", "once")
	e.holdDue()
	assert.False(t, e.HasExpired(e.at-int64(time.Hour)))
	e.at += int64(time.Hour)
	require.True(t, e.HasExpired(e.at-int64(time.Minute)))
	e.apply(Command{ForgetBefore: e.at - int64(time.Minute)})
	assert.False(t, e.Holds(digestOf("poison")))
	_, known := e.Find(digestOf("once"))
	assert.False(t, known)
	e.crashed("i-10", "poison")
	assert.Equal(t, digestsOf("poison"), e.Due(e.at, 0))
}

func TestReleaseDeletesTheEvidence(t *testing.T) {
	e := &evidence{}
	for number := range 3 {
		e.crashed(fmt.Sprint("i-", number), "poison")
	}
	e.holdDue()
	held := e.Held()
	require.Len(t, held, 1)
	assert.Equal(t, digestOf("poison").String(), held[0].Digest)
	assert.Equal(t, 3, held[0].Replicas)
	e.apply(Command{Release: digestsOf("poison")})
	assert.Empty(t, e.Held())
	e.crashed("i-7", "poison")
	assert.Empty(t, e.Due(e.at, 0), "its evidence was deleted")
}

func TestRecordsWithTheLeastEvidenceAreDroppedFirst(t *testing.T) {
	e := &evidence{}
	for number := range 3 {
		e.crashed(fmt.Sprint("i-", number), "poison")
	}
	e.holdDue()
	e.crashed("i-8", "two")
	e.crashed("i-9", "two")
	var requests []string
	for number := range 2 * MaximumRecords {
		requests = append(requests, fmt.Sprint("once-", number))
	}
	e.crashed("i-10", requests...)
	assert.Len(t, e.Records, MaximumRecords)
	assert.EqualValues(t, 2*MaximumRecords+2-MaximumRecords, e.Dropped)
	assert.True(t, e.Holds(digestOf("poison")))
	_, known := e.Find(digestOf("two"))
	assert.True(t, known)
	encoded, err := e.MarshalMsg(nil)
	require.NoError(t, err)
	assert.Less(t, len(encoded), 200<<10)
	for number := range 2 * MaximumCrashes {
		e.crashed(fmt.Sprint("j-", number), "poison")
	}
	record, _ := e.Find(digestOf("poison"))
	assert.Len(t, record.Crashes, MaximumCrashes)
	assert.EqualValues(t, 3+2*MaximumCrashes, record.Total)
}

// Checks that gateways that ask for news now and then know the watched and held requests, while random
// commands change the state.
func TestGatewaysThatApplyUpdatesKnowWhatIsHeld(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		e := &evidence{}
		guard := NewGuard(Options{Now: func() time.Duration { return 0 }, InSync: func() bool { return true }})
		for step := range 3000 {
			name := fmt.Sprint("r", random.IntN(60))
			switch random.IntN(12) {
			case 0:
				e.apply(Command{Completions: digestsOf(name)})
			case 1:
				e.apply(Command{Release: digestsOf(name)})
			case 2:
				e.holdDue()
			case 3:
				e.apply(Command{ForgetBefore: e.at - int64(random.IntN(2000))*int64(time.Millisecond)})
			default:
				e.crashed(fmt.Sprint("i-", step), name)
			}
			if random.IntN(4) > 0 {
				continue
			}
			guard.ApplyNews(e.NewsSince(guard.Revision()))
			watched := 0
			for _, record := range e.Records {
				digest := record.Digest
				holds := guard.Holds(fixedRequest(digest))
				require.Equal(t, record.HeldAt != 0, holds, "seed %d, step %d", seed, step)
				if record.watched() {
					watched++
				}
			}
			_, known := guard.Counts()
			require.Equal(t, watched, known, "seed %d, step %d", seed, step)
		}
	}
}

func TestStateReadEarlierIsNotModified(t *testing.T) {
	e := &evidence{}
	e.crashed("i-1", "a", "b")
	e.crashed("i-2", "a", "b")
	before := e.State
	encoded, err := before.MarshalMsg(nil)
	require.NoError(t, err)
	for number := range 200 {
		e.crashed(fmt.Sprint("j-", number), "a", fmt.Sprint("n", number))
	}
	e.holdDue()
	e.apply(Command{Completions: digestsOf("b")})
	again, err := before.MarshalMsg(nil)
	require.NoError(t, err)
	assert.Equal(t, encoded, again)
}
