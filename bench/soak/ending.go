package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	// endingPrefix begins the ids of requests that end the replica which runs them.
	endingPrefix = "ending-"
	// endingEvery is the mean time between two tries of such a request, and endingTries the number
	// of tries of one content before the next one comes.
	endingEvery = 250 * time.Millisecond
	endingTries = 60
	// downTime is the mean time that a replica which has ended is down.
	downTime = 500 * time.Millisecond
	// contactTime is how long processes that reach each other may take to know what one knows.
	contactTime = 3 * time.Second
	// lateArrivals of a request may come later than contactTime after it has ended the third
	// replica, and strayArrivals for each gateway besides: one that was cut off or has restarted
	// goes by its own evidence, three replicas and what is under way.
	lateArrivals  = 3
	strayArrivals = 5
)

// endingID is the id of a try of an ending request: the try, and which content it has.
func endingID(content, try int) string { return fmt.Sprintf("%s%d-%d", endingPrefix, content, try) }

// endingContent is the content of a try.
func endingContent(id string) string {
	content, _, _ := strings.Cut(strings.TrimPrefix(id, endingPrefix), "-")
	return content
}

// sendEnding sends requests that end replicas, one content after the other, each many times and at
// any gateway, until the context ends.
func (s *soak) sendEnding(ctx context.Context) {
	key, owner := keyFor(0, 1)
	for content := 0; ctx.Err() == nil; content++ {
		for try := 0; try < endingTries && ctx.Err() == nil; try++ {
			pause(ctx, s.around(endingEvery))
			id := endingID(content, try)
			s.truth.begin(id, false, "", owner)
			gateway := s.gatewayFor(id, int(s.draw()*gateways))
			bounded, cancel := context.WithTimeout(ctx, callWait)
			answer, err := platformtest.CallWith(bounded, s.client, gateway, s.endingCall(content, id, key))
			cancel()
			if err == nil {
				s.truth.endingAnswered(id, answer)
			}
		}
	}
}

// endingCall is a try. With EndingParts, the tries of every other content differ, and share a part of their prompts.
func (s *soak) endingCall(content int, id, key string) platformtest.Caller {
	call := platformtest.Caller{Host: host, Path: repeatRoute + "ending", ID: id, Wait: callWait, Key: key, Body: "ending " + fmt.Sprint(content)}
	if s.options.EndingParts && content%2 == 0 {
		call.Body = "ending " + id
		call.Prompt = &platformtest.Prompt{Tokens: 100, Shared: fmt.Sprint("ending-part-", content), Own: id}
	}
	return call
}

// draw returns a number from 0 up to 1.
func (s *soak) draw() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dice.Float64()
}

// around draws a time from half of a mean up to one and a half.
func (s *soak) around(mean time.Duration) time.Duration {
	return time.Duration((0.5 + s.draw()) * float64(mean))
}

// endReplica ends a replica under a request, and starts another incarnation after a while, unless
// another request has ended the replica already.
func (s *soak) endReplica(replica int, content string) {
	s.truth.interrupts(replicaName(replica))
	ended := s.fleet.endReplica(replica)
	s.truth.lifeEnded(replicaName(replica))
	s.truth.endingArrived(content, time.Now(), ended)
	if !ended {
		return
	}
	time.AfterFunc(s.around(downTime), func() {
		if err := s.fleet.startReplica(replica); err != nil {
			s.truth.report("replica %d does not start again: %v", replica, err)
		}
	})
}

// ending is what is known of the tries of one content.
type ending struct {
	arrivals []time.Time
	ends     []time.Time
}

// endingArrived notes that a try of a content has reached a replica, and whether that has ended.
func (t *truth) endingArrived(content string, at time.Time, ended bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ending[content] == nil {
		t.ending[content] = &ending{}
	}
	known := t.ending[content]
	known.arrivals = append(known.arrivals, at)
	if ended {
		known.ends = append(known.ends, at)
	}
}

// endingAnswered notes an answer to a try. One that promises that the try has not run must be true.
func (t *truth) endingAnswered(id string, answer platformtest.Answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held := strings.Contains(answer.Body, `"request_held"`)
	if held {
		t.held++
	}
	notRun := answer.Promises() || held && strings.Contains(answer.Body, `"ran":"no"`)
	if notRun && t.runs[id] > 0 {
		t.violate("request %s was answered as not run, but had run %d times", id, t.runs[id])
	}
	if held && strings.Contains(answer.Body, "retry_after") {
		t.violate("request %s is held, and was told to come back", id)
	}
}

// endings checks at the end that no content has reached too many replicas, and counts the ends.
func (t *truth) endings() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.ending {
		t.ends += len(known.ends)
	}
	t.violations = append(t.violations, t.lateEndings()...)
}

// noticed reports whether a promise is known to be broken.
func (t *truth) noticed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.violations)+len(t.lateEndings()) > 0
}

// lateEndings returns the violations by contents that have reached too many replicas. It is called with the mutex
// held.
func (t *truth) lateEndings() (violations []string) {
	for content, known := range t.ending {
		if len(known.ends) < lateArrivals {
			continue
		}
		late := 0
		for _, arrival := range known.arrivals {
			if arrival.After(known.ends[2].Add(contactTime)) {
				late++
			}
		}
		if allowed := lateArrivals + strayArrivals*gateways; late > allowed {
			violations = append(violations, fmt.Sprintf("content %s has ended %d replicas and reached %d later than %s after the third, %d are allowed",
				content, len(known.ends), late, contactTime, allowed))
		}
	}
	return violations
}
