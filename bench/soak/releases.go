package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pierhaven/pierhaven/bench/faultproxy"
	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	// releasedShare of the engines that start again do so with a version drawn anew, under another id.
	releasedShare = 0.4
	// streamTries is how often a caller tries to have a stream, first or further ones.
	streamTries = 5
	// tryPause is the pause between two tries.
	tryPause = 40 * time.Millisecond
	// trySeparator separates the id of a stream from the number of a further try.
	trySeparator = "+"
	// minimumTakeUps is the number of judged take-ups from which their share is.
	minimumTakeUps = 12
	// takeUpShare is the least share of the take-ups that go on, of the share of streams that begin.
	takeUpShare = 0.5
)

// versions are those of the engines' software.
var versions = []string{firstVersion, "v1.1", "v2"}

const (
	// killEvery is the mean time between two kills of gateways where nothing else is harmed, and slowReleaseEvery that between
	// two engines that start again meanwhile.
	killEvery        = 1500 * time.Millisecond
	slowReleaseEvery = 4 * time.Second
	// cutOffShare of the kills of a gateway come while the other one is cut off from the coordinators, and cutOffBefore is the
	// mean time for which it is by then.
	cutOffShare  = 0.4
	cutOffBefore = time.Second
)

// killGateways kills gateways in turn until the duration is over, or a broken promise is noticed that is waited for. With even
// seeds, some of them are killed while the other one is cut off from the coordinators.
func (s *soak) killGateways(ctx context.Context) {
	end := time.Now().Add(s.options.Duration)
	for number := 0; ctx.Err() == nil && time.Now().Before(end) && !s.waitedFor(); number++ {
		s.countFault()
		var other sync.WaitGroup
		if s.options.Seed%2 == 0 && s.roll(cutOffShare) {
			other.Go(func() { s.cutOffFromCoordinators(ctx, s.fleet.gateways[(number+1)%gateways]) })
			pause(ctx, s.around(cutOffBefore))
		}
		s.restart(ctx, s.fleet.gateways[number%gateways], syscall.SIGKILL)
		other.Wait()
		pause(ctx, contactTime+s.around(killEvery))
	}
}

func (s *soak) cutOffFromCoordinators(ctx context.Context, gateway *process) {
	defer s.truth.disturbs(gateway.name, "p*")()
	defer s.fleet.proxy.Apply(faultproxy.Match{Source: gateway.name, Destination: "p*"}, cutOff)()
	pause(ctx, s.around(2*cutOffBefore))
}

// anyVersion draws a version.
func (s *soak) anyVersion() string { return versions[int(s.draw()*float64(len(versions)))] }

// firstTry returns the id of a try's stream, which is that of its first try.
func firstTry(id string) string {
	first, _, _ := strings.Cut(id, trySeparator)
	return first
}

// stream is what a caller wants, over all of its tries.
type stream struct {
	id, key, owner string
	prompt         *platformtest.Prompt
	// resumes is the try that brought the first event, and events what came so far.
	resumes string
	events  []platformtest.Event
}

// takeUps counts the tries to begin streams and to take them up: those that are judged, and of the latter all, also those beside
// faults.
type takeUps struct{ judged, wentOn, begins, began, all, allWentOn int }

// streamOverTries has a stream from gateways in turn, and takes it up where it broke off.
func (s *soak) streamOverTries(ctx context.Context, client *http.Client, number int, wanted stream) {
	bounded, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	for try := range streamTries {
		if s.tryStream(bounded, client, number+try, try, &wanted) || bounded.Err() != nil {
			break
		}
		pause(bounded, tryPause)
	}
	s.upgrade.note(len(wanted.events) == len(eventsFor(wanted.id)))
}

// tryStream makes one try, and reports whether the stream is whole.
func (s *soak) tryStream(ctx context.Context, client *http.Client, number, try int, wanted *stream) bool {
	id := wanted.id
	if try > 0 {
		id += trySeparator + fmt.Sprint(try)
	}
	caller := platformtest.Caller{
		Host: host, Path: resumableRoute + "x", ID: id, Wait: callWait, Prompt: wanted.prompt, Key: wanted.key, Body: "body of " + wanted.id,
	}
	if len(wanted.events) > 0 {
		caller.LastEvent, caller.Resumes = wanted.events[len(wanted.events)-1].ID, wanted.resumes
	}
	s.truth.begin(id, false, "", wanted.owner)
	gateway := s.gatewayFor(id, number)
	judged := s.judgesTry(id, wanted)
	s.truth.asksEngines()
	sent := time.Now()
	answer, err := platformtest.CallStream(ctx, client, gateway, caller)
	if err != nil && ctx.Err() == nil {
		s.truth.cut(id, sent, err)
	}
	if ctx.Err() == nil {
		s.truth.tried(judged, len(wanted.events) > 0, len(answer.Events) > 0)
	}
	if len(wanted.events) == 0 && len(answer.Events) > 0 {
		wanted.resumes = id
	}
	wanted.events = append(wanted.events, answer.Events...)
	s.truth.streamed(wanted, err == nil && answer.Status == http.StatusOK)
	return err == nil && answer.Status == http.StatusOK
}

// judgesTry reports whether a try has to succeed as often as others: its gateway is undisturbed and, if it takes a stream
// up, two engines with the stream's version serve all that comes, and have done so for long enough to be known.
func (s *soak) judgesTry(id string, wanted *stream) bool {
	if s.truth.isDisturbedNow(id) {
		return false
	}
	if len(wanted.events) == 0 {
		return true
	}
	serving := s.fleet.steadyEngines(wanted.events[0].Mark, contactTime)
	return len(slices.DeleteFunc(serving, s.truth.turnsAway)) >= 2
}

// turnsAway reports whether an engine rests, says that it leaves, or names a limit: then it must not get all requests.
func (t *truth) turnsAway(engine string) bool {
	if t.namesNow(engine) {
		return true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Now().Before(t.asks.restUntil[engine]) || t.asks.leaving[engineLife{engine, t.asks.lives[engine]}]
}

// isDisturbedNow reports whether a request's gateway or a coordinator is disturbed, or was within the contact time.
func (t *truth) isDisturbedNow(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	return slices.ContainsFunc(t.disturbances, func(each disturbance) bool {
		concerns := each.gateway == "" || each.gateway == t.sentTo[id] || isCoordinator(each.gateway)
		return concerns && each.until.Add(contactTime).After(now)
	})
}

// isCoordinator reports whether a process is a coordinator.
func isCoordinator(name string) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(name, "p"))
	return err == nil && number < coordinators
}

// tried notes a try to begin a stream or to take it up.
func (t *truth) tried(judged, takesUp, succeeded bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if takesUp {
		t.takeUps.all++
	}
	if takesUp && succeeded {
		t.takeUps.allWentOn++
	}
	if !judged {
		return
	}
	all, some := &t.takeUps.begins, &t.takeUps.began
	if takesUp {
		all, some = &t.takeUps.judged, &t.takeUps.wentOn
	}
	*all++
	if succeeded {
		*some++
	}
}

// streamed checks what a caller has of a stream.
func (t *truth) streamed(got *stream, whole bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	expected := eventsFor(got.id)
	t.judgeVersions(got.id, got.events)
	for number, event := range got.events {
		if event.ID != fmt.Sprint(number) || number >= len(expected) || event.Data != expected[number] {
			t.violate("stream %s has event %q with %q as number %d", got.id, event.ID, event.Data, number)
			return
		}
	}
	if !whole {
		return
	}
	t.served++
	t.streams++
	if len(got.events) != len(expected) {
		t.violate("stream %s ended as complete after %d events", got.id, len(got.events))
	}
}

// judgeVersions checks that events were written by replicas of one version. It is called with the mutex held.
func (t *truth) judgeVersions(id string, events []platformtest.Event) {
	for _, event := range events {
		if event.Mark != events[0].Mark {
			t.violate("stream %s holds events of versions %q and %q", id, events[0].Mark, event.Mark)
			return
		}
	}
}

// ofOneVersion checks that a stream's body is of one version, and returns it without what tells that. It is called with the
// mutex held.
func (t *truth) ofOneVersion(id, body string) string {
	t.judgeVersions(id, platformtest.ReadEvents(body))
	return platformtest.Unmarked(body)
}

// judgeTakeUps checks that streams which are taken up go on about as often as others begin.
func (t *truth) judgeTakeUps() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := t.takeUps
	if counts.judged < minimumTakeUps || counts.begins == 0 {
		return
	}
	wentOn, began := float64(counts.wentOn)/float64(counts.judged), float64(counts.began)/float64(counts.begins)
	if wentOn < takeUpShare*began {
		t.violate("%d of %d streams went on that were taken up, and %d of %d began", counts.wentOn, counts.judged, counts.began, counts.begins)
	}
}
