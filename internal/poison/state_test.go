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

// fixedRequest is a request with a digest.
type fixedRequest Digest

func (r fixedRequest) TargetHash() uint32 { return Digest(r).Target() }
func (r fixedRequest) Digest() Digest     { return Digest(r) }

// evidence applies commands one after the other.
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

// ended notes that replicas have ended under requests.
func (e *evidence) ended(replica string, under ...string) {
	e.apply(Command{Ends: []End{{Replica: replica, Under: digestsOf(under...)}}})
}

// holdDue holds what is due, and returns it.
func (e *evidence) holdDue() []Digest {
	due := e.Due(e.at, 0)
	e.apply(Command{Hold: due})
	return due
}

func TestARequestIsDueOnceThreeReplicasHaveEndedUnderIt(t *testing.T) {
	e := &evidence{}
	e.ended("i-1", "poison", "a")
	e.ended("i-1", "poison", "b")
	e.ended("i-2", "poison")
	assert.Empty(t, e.Due(e.at, 0), "the same replica counts once")
	e.ended("i-3", "poison", "c")
	assert.Empty(t, e.Due(e.at, time.Millisecond), "others may have evidence that is under way")
	assert.Equal(t, digestsOf("poison"), e.Due(e.at+int64(time.Millisecond), time.Millisecond))
	e.holdDue()
	assert.True(t, e.Holds(digestOf("poison")))
	assert.Empty(t, e.Due(e.at, 0))
}

func TestARequestBesideTheOneThatEndsReplicasIsNotHeld(t *testing.T) {
	e := &evidence{}
	for number := range 3 {
		e.ended(fmt.Sprint("i-", number), "poison", "beside")
	}
	assert.Empty(t, e.Due(e.at, 0), "nothing tells them apart")
	e.ended("i-4", "poison")
	assert.Equal(t, digestsOf("poison"), e.holdDue())
	record, known := e.Find(digestOf("beside"))
	assert.False(t, known, "all its replicas have ended under the other: %v", record)
	e.ended("i-4", "late")
	_, known = e.Find(digestOf("late"))
	assert.False(t, known, "told later than the hold")
	e.ended("i-5", "late")
	_, known = e.Find(digestOf("late"))
	assert.True(t, known)
}

// Two requests were at the same three engines, and nothing tells which of them has ended these: both
// go on, one send a call, and are not passed on to those who know nothing of it.
func TestRequestsThatCanNotBeToldApartAreOnProbation(t *testing.T) {
	e := &evidence{}
	guard := NewGuard(Options{Now: func() time.Duration { return 0 }, InTouch: func() bool { return true }})
	poison, beside := fixedRequest(digestOf("poison")), fixedRequest(digestOf("beside"))
	for number := range 3 {
		assert.True(t, guard.MayRepeat(poison))
		e.ended(fmt.Sprint("i-", number), "poison", "beside")
		guard.Take(e.NewsSince(guard.Revision()))
		assert.Equal(t, number < 1, guard.MayLeave(poison))
	}
	assert.False(t, guard.MayRepeat(poison))
	assert.False(t, guard.MayRepeat(beside))
	assert.False(t, guard.Holds(poison))
	e.ended("i-4", "poison")
	e.holdDue()
	guard.Take(e.NewsSince(guard.Revision()))
	assert.True(t, guard.Holds(poison))
	assert.True(t, guard.MayRepeat(beside))
	assert.True(t, guard.MayLeave(beside))
}

func TestWhatOthersHoldIsHeldHere(t *testing.T) {
	e := &evidence{}
	e.ended("i-1", "known", "beside")
	e.apply(Command{HeldElsewhere: digestsOf("known", "unknown")})
	assert.ElementsMatch(t, digestsOf("known", "unknown"), e.HeldDigests())
	_, left := e.Find(digestOf("beside"))
	assert.False(t, left, "its replica has ended under the one that is held")
	e.apply(Command{HeldElsewhere: digestsOf("known"), Release: digestsOf("unknown")})
	assert.Equal(t, digestsOf("known"), e.HeldDigests())
}

// A caller that repeats at once has its request at several replicas, of which a crash of many ends
// some.
func TestARequestAtSeveralReplicasOfACrowdIsNotHeld(t *testing.T) {
	e := &evidence{}
	for number := range 9 {
		e.ended(fmt.Sprint("i-", number), fmt.Sprint("beside ", number))
	}
	for number := range 4 {
		e.ended(fmt.Sprint("i-", number), "repeated at once")
	}
	assert.Empty(t, e.Due(e.at, 0))
}

func TestAnEndInACrowdIsHalfTheEvidence(t *testing.T) {
	e := &evidence{}
	crash := func(crash int) {
		for number := range 9 {
			e.ended(fmt.Sprint("i-", crash, "-", number), fmt.Sprint("beside ", crash, " ", number))
		}
		e.ended(fmt.Sprint("i-", crash, "-8"), "innocent")
		e.at += int64(time.Minute)
	}
	for number := range 5 {
		crash(number)
	}
	assert.Empty(t, e.Due(e.at, 0), "five ends, each in a crowd")
	crash(5)
	assert.Equal(t, digestsOf("innocent"), e.Due(e.at, 0))
	for number := range 5 {
		e.ended(fmt.Sprint("j-", number), "poison")
	}
	assert.ElementsMatch(t, digestsOf("innocent", "poison"), e.Due(e.at, 0), "a request at five gateways at once makes the crowd itself")
}

func TestAGoodEndClearsARequest(t *testing.T) {
	e := &evidence{}
	e.ended("i-1", "often")
	e.ended("i-2", "often")
	e.apply(Command{RanWell: digestsOf("often")})
	e.ended("i-3", "often")
	assert.Empty(t, e.Due(e.at, 0))
	e.ended("i-4", "often")
	e.ended("i-5", "often")
	e.holdDue()
	require.True(t, e.Holds(digestOf("often")))
	e.apply(Command{RanWell: digestsOf("often")})
	assert.False(t, e.Holds(digestOf("often")), "an attempt that was under way has run well")
}

func TestTwoRequestsThatEndReplicasAreBothHeld(t *testing.T) {
	e := &evidence{}
	e.ended("i-1", "one", "two")
	for _, replica := range []string{"i-2", "i-3", "i-4"} {
		e.ended(replica, "one")
	}
	for _, replica := range []string{"i-5", "i-6", "i-7"} {
		e.ended(replica, "two")
	}
	assert.ElementsMatch(t, digestsOf("one", "two"), e.holdDue(), "each has ended three where the other was not")
}

func TestAHoldLapsesAndBeginsAnewWithTheNextEnd(t *testing.T) {
	e := &evidence{}
	for number := range 5 {
		e.ended(fmt.Sprint("i-", number), "poison")
	}
	e.ended("i-9", "once")
	e.holdDue()
	assert.False(t, e.Lapsed(e.at-int64(time.Hour)))
	e.at += int64(time.Hour)
	require.True(t, e.Lapsed(e.at-int64(time.Minute)))
	e.apply(Command{ForgetBefore: e.at - int64(time.Minute)})
	assert.False(t, e.Holds(digestOf("poison")))
	_, known := e.Find(digestOf("once"))
	assert.False(t, known)
	e.ended("i-10", "poison")
	assert.Equal(t, digestsOf("poison"), e.Due(e.at, 0))
}

func TestAnOperatorLetsARequestGo(t *testing.T) {
	e := &evidence{}
	for number := range 3 {
		e.ended(fmt.Sprint("i-", number), "poison")
	}
	e.holdDue()
	held := e.Held()
	require.Len(t, held, 1)
	assert.Equal(t, digestOf("poison").String(), held[0].Digest)
	assert.Equal(t, 3, held[0].Replicas)
	e.apply(Command{Release: digestsOf("poison")})
	assert.Empty(t, e.Held())
	e.ended("i-7", "poison")
	assert.Empty(t, e.Due(e.at, 0), "it begins anew")
}

func TestTheLeastDangerousGoFirstWhenThereIsNoRoom(t *testing.T) {
	e := &evidence{}
	for number := range 3 {
		e.ended(fmt.Sprint("i-", number), "poison")
	}
	e.holdDue()
	e.ended("i-8", "two")
	e.ended("i-9", "two")
	var under []string
	for number := range 2 * MaximumRecords {
		under = append(under, fmt.Sprint("once-", number))
	}
	e.ended("i-10", under...)
	assert.Len(t, e.Records, MaximumRecords)
	assert.EqualValues(t, 2*MaximumRecords+2-MaximumRecords, e.Dropped)
	assert.True(t, e.Holds(digestOf("poison")))
	_, known := e.Find(digestOf("two"))
	assert.True(t, known)
	encoded, err := e.MarshalMsg(nil)
	require.NoError(t, err)
	assert.Less(t, len(encoded), 200<<10)
	for number := range 2 * MaximumEnds {
		e.ended(fmt.Sprint("j-", number), "poison")
	}
	record, _ := e.Find(digestOf("poison"))
	assert.Len(t, record.Ends, MaximumEnds)
	assert.EqualValues(t, 3+2*MaximumEnds, record.Total)
}

// TestGatewaysThatFollowNewsKnowWhatIsHeld has gateways that ask now and then follow random
// commands.
func TestGatewaysThatFollowNewsKnowWhatIsHeld(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		e := &evidence{}
		guard := NewGuard(Options{Now: func() time.Duration { return 0 }, InTouch: func() bool { return true }})
		for step := range 3000 {
			name := fmt.Sprint("r", random.IntN(60))
			switch random.IntN(12) {
			case 0:
				e.apply(Command{RanWell: digestsOf(name)})
			case 1:
				e.apply(Command{Release: digestsOf(name)})
			case 2:
				e.holdDue()
			case 3:
				e.apply(Command{ForgetBefore: e.at - int64(random.IntN(2000))*int64(time.Millisecond)})
			default:
				e.ended(fmt.Sprint("i-", step), name)
			}
			if random.IntN(4) > 0 {
				continue
			}
			guard.Take(e.NewsSince(guard.Revision()))
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

func TestReadersKeepTheStateThatTheyRead(t *testing.T) {
	e := &evidence{}
	e.ended("i-1", "a", "b")
	e.ended("i-2", "a", "b")
	before := e.State
	encoded, err := before.MarshalMsg(nil)
	require.NoError(t, err)
	for number := range 200 {
		e.ended(fmt.Sprint("j-", number), "a", fmt.Sprint("n", number))
	}
	e.holdDue()
	e.apply(Command{RanWell: digestsOf("b")})
	again, err := before.MarshalMsg(nil)
	require.NoError(t, err)
	assert.Equal(t, encoded, again)
}
