package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// partedRequest is a request whose prompt has parts.
type partedRequest struct {
	body  string
	parts []string
}

func (r partedRequest) TargetHash() uint32 { return HashTarget("h", "/") }
func (r partedRequest) Digest() Digest {
	return Content{Host: "h", Target: "/", Body: []byte(r.body)}.Digest()
}
func (r partedRequest) Parts() []Digest { return PartDigests("service", r.parts) }

// partedEvidence is a coordinator's State with one gateway's Guard.
type partedEvidence struct {
	evidence
	guard *Guard
	now   time.Duration
}

func newPartedEvidence() *partedEvidence {
	e := &partedEvidence{}
	e.guard = NewGuard(Options{Now: func() time.Duration { return e.now }, InSync: func() bool { return true }, ContactTime: 3 * time.Second, Retention: time.Hour})
	e.now = time.Minute
	return e
}

// exchange reports the gateway's evidence, has the coordinator decide after a time and tells the gateway.
func (e *partedEvidence) exchange(wait time.Duration) {
	for report := e.guard.Report("gateway"); report != nil; report = e.guard.Report("gateway") {
		e.apply(&Command{At: e.now.Nanoseconds(), Crashes: report.Crashes, Completions: report.Completions})
	}
	e.now += wait
	if next := e.Next(e.now.Nanoseconds(), SettleTime(3*time.Second), time.Hour); next != nil {
		next.At = e.now.Nanoseconds()
		e.apply(next)
	}
	e.guard.ApplyNews(e.NewsSince(e.guard.Revision()))
}

// crash has a replica crash under requests.
func (e *partedEvidence) crash(replica string, requests ...partedRequest) {
	var digests []Digest
	for _, request := range requests {
		digests = appendNew(digests, request.Digest())
		digests = appendNew(digests, request.Parts()...)
	}
	e.guard.ReplicaCrashed(replica, digests)
}

func (e *partedEvidence) apply(command *Command) {
	e.position++
	e.Apply(e.position, command)
}

func TestAPartThatCrashesReplicasIsHeldAndThoseBesideItAreNot(t *testing.T) {
	e := newPartedEvidence()
	sound := partedRequest{body: "sound", parts: []string{"system", "history"}}
	deadly := func(number int) partedRequest {
		return partedRequest{body: fmt.Sprint("deadly-", number), parts: []string{"system", "history", "part"}}
	}
	for number := range HoldAfter {
		e.guard.Completed(sound, false)
		e.guard.Completed(partedRequest{body: "also sound", parts: []string{"system", "other"}}, false)
		e.crash(fmt.Sprint("i-", number), deadly(number), partedRequest{body: fmt.Sprint("beside-", number), parts: []string{"system", "other"}})
		e.exchange(400 * time.Millisecond)
	}
	held, found := e.guard.HeldBy(deadly(99))
	assert.True(t, found)
	assert.Equal(t, PartDigests("service", []string{"part"})[0], held)
	assert.False(t, e.guard.Holds(sound))
	assert.False(t, e.guard.OnProbation(sound))
	assert.False(t, e.guard.Holds(partedRequest{body: "another", parts: []string{"system", "other"}}))
	assert.Len(t, e.State.Held(), 1)
}

func TestPartsInFlightWhereARackIsLostAreNotHeld(t *testing.T) {
	e := newPartedEvidence()
	e.guard.Completed(partedRequest{body: "before", parts: []string{"system", "history"}}, false)
	for number := range 9 {
		e.crash(fmt.Sprint("i-", number), partedRequest{body: fmt.Sprint("any-", number), parts: []string{"system", "history", fmt.Sprint("session-", number/2)}})
	}
	e.exchange(time.Second)
	e.exchange(time.Second)
	assert.Empty(t, e.State.Held())
}

func TestAPartOfCompletedRequestsIsCleared(t *testing.T) {
	e := newPartedEvidence()
	suspect := partedRequest{body: "first", parts: []string{"rare"}}
	for number := range jointAfter {
		e.crash(fmt.Sprint("i-", number), partedRequest{body: fmt.Sprint(number), parts: []string{"rare", "as-rare"}})
		e.exchange(time.Second)
	}
	assert.False(t, e.guard.Holds(suspect), "either part may be the cause")
	assert.True(t, e.guard.OnProbation(suspect))
	e.guard.Completed(suspect, false)
	e.exchange(time.Second)
	assert.False(t, e.guard.OnProbation(suspect))
	assert.True(t, e.guard.Holds(partedRequest{body: "second", parts: []string{"as-rare"}}))
}

func TestAStartingGatewayTestifiesAgainstNoPart(t *testing.T) {
	e := newPartedEvidence()
	e.guard = NewGuard(e.guard.options)
	for number := range 9 {
		e.crash(fmt.Sprint("i-", number), partedRequest{body: fmt.Sprint("any-", number), parts: []string{"system"}})
	}
	e.exchange(time.Second)
	assert.Empty(t, e.State.Held())
	assert.Empty(t, e.guard.entries)
}

func TestPartsAreBounded(t *testing.T) {
	var ids []string
	for number := range 10_000 {
		ids = append(ids, fmt.Sprint(number), "", "same")
	}
	digests := PartDigests("service", ids)
	assert.Len(t, digests, MaximumParts)
	assert.NotEqual(t, digests, PartDigests("another", ids))
	assert.Empty(t, PartDigests("service", []string{"", ""}))
	exonerated := newExoneratedParts(time.Second)
	for number := range 3 * maximumExonerated {
		exonerated.add(time.Duration(number)*time.Microsecond, PartDigests("service", []string{fmt.Sprint(number)}))
	}
	assert.LessOrEqual(t, len(exonerated.at), maximumExonerated)
}

// A content that is repeated is always in the same crashes as its parts.
func TestARepeatedContentIsHeldBeforeItsParts(t *testing.T) {
	e := newPartedEvidence()
	repeated := partedRequest{body: "repeated", parts: []string{"rare"}}
	for number := range HoldAfter {
		e.crash(fmt.Sprint("i-", number), repeated)
	}
	e.exchange(time.Second)
	e.exchange(time.Second)
	held, _ := e.guard.HeldBy(repeated)
	assert.Equal(t, repeated.Digest(), held)
	other := partedRequest{body: "other", parts: []string{"rare"}}
	assert.False(t, e.guard.Holds(other))
	e.crash("i-9", other)
	e.exchange(time.Second)
	e.exchange(time.Second)
	assert.True(t, e.guard.Holds(partedRequest{body: "third", parts: []string{"rare"}}), "the part was the cause")
}

func TestARequestWithAllPartsThatCannotBeToldApartIsHeld(t *testing.T) {
	e := newPartedEvidence()
	deadly := func(number int) partedRequest {
		return partedRequest{body: fmt.Sprint(number), parts: []string{"system", "part"}}
	}
	for number := range jointAfter {
		assert.False(t, e.guard.Holds(deadly(99)))
		e.crash(fmt.Sprint("i-", number), deadly(number))
		e.exchange(time.Second)
	}
	assert.True(t, e.guard.Holds(deadly(99)))
	sound := partedRequest{body: "sound", parts: []string{"system"}}
	assert.False(t, e.guard.Holds(sound))
	assert.True(t, e.guard.OnProbation(sound), "one is tried")
	e.guard.Completed(sound, false)
	e.exchange(time.Second)
	e.exchange(time.Second)
	assert.False(t, e.guard.OnProbation(sound))
	held, _ := e.guard.HeldBy(deadly(99))
	assert.Equal(t, PartDigests("service", []string{"part"})[0], held)
}

// Guards against sound requests that are refused where a third of the replicas crash at once: parts that few requests
// share were at several of these, and the gateways that reported them had not seen one run to its end.
func TestAPartThatRanToItsEndAtAnyGatewayIsCleared(t *testing.T) {
	e := newPartedEvidence()
	other := NewGuard(e.guard.options)
	other.startedAt = 0
	rare := partedRequest{body: "rare", parts: []string{"rare"}}
	other.Completed(rare, false)
	for number := range 30 {
		crashed := []partedRequest{{body: fmt.Sprint("any-", number), parts: []string{"system"}}}
		if number%4 == 0 {
			crashed = append(crashed, partedRequest{body: fmt.Sprint("rare-", number), parts: []string{"rare"}})
		}
		e.crash(fmt.Sprint("i-", number), crashed...)
	}
	e.exchange(100 * time.Millisecond)
	assert.False(t, e.guard.OnProbation(rare), "most of the replicas that crashed together were not under it")
	other.ApplyNews(e.NewsSince(0))
	report := other.Report("other")
	assert.Contains(t, report.Completions, rare.Parts()[0])
	e.apply(&Command{At: e.now.Nanoseconds(), Completions: report.Completions})
	_, watched := e.State.Find(rare.Parts()[0])
	assert.False(t, watched)
}
