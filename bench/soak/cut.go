package soak

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// closeSlack is how long after it was sent a request may still cross the close of its connection, unless a
	// replica has received it.
	closeSlack = 200 * time.Millisecond
	// brokenReach is how long before and after a replica's end the requests that it has received may break.
	brokenReach = 500 * time.Millisecond
	// timeoutSlack is how much earlier than the shortest timeout a gateway may end a request at its deadline.
	timeoutSlack = 100 * time.Millisecond
)

// cutCall is a call whose connection ended without a whole answer.
type cutCall struct {
	id          string
	sent, ended time.Time
	cause       error
}

// cut notes a call that ended without a whole answer, unless its gateway was not even reached.
func (t *truth) cut(id string, sent time.Time, cause error) {
	var failed *net.OpError
	if errors.As(cause, &failed) && failed.Op == "dial" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cuts = append(t.cuts, cutCall{id: id, sent: sent, ended: time.Now(), cause: cause})
}

// brokeOff notes that a replica breaks a request off.
func (t *truth) brokeOff(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.brokenOff[id] = true
}

// interrupts notes the end of a replica's process, and of what it was running.
func (t *truth) interrupts(replica string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.interruptions = append(t.interruptions, interruption{replica: replica, at: time.Now()})
	t.asks.lives[replica]++
	delete(t.asks.restUntil, replica)
}

// interruption is the end of a replica's process.
type interruption struct {
	replica string
	at      time.Time
}

// judgeCuts checks that each call without a whole answer was ended by its replica, by its deadline or by a fault
// that was not planned. A gateway must not end it, whatever is planned meanwhile.
func (t *truth) judgeCuts() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, each := range t.cuts {
		if reason := t.excuse(each); reason != "" {
			t.excused[reason]++
			continue
		}
		t.violate("request %s was cut off by %s %s after it was sent (received by %v): %v", each.id, t.sentTo[each.id],
			each.ended.Sub(each.sent).Round(time.Millisecond), t.receivers[each.id], each.cause)
	}
}

// excuse returns why a call may end without a whole answer, empty if it may not. It is called with the mutex held.
func (t *truth) excuse(call cutCall) string {
	receivers := t.receivers[call.id]
	lasted := call.ended.Sub(call.sent)
	switch {
	case t.brokenOff[call.id]:
		return "broken off by its replica"
	case len(receivers) == 0 && lasted < closeSlack:
		return "crossed a close"
	case lasted > shortestTimeout-timeoutSlack:
		return "deadline"
	case slices.ContainsFunc(t.interruptions, func(each interruption) bool {
		return slices.Contains(receivers, each.replica) && each.at.After(call.sent.Add(-brokenReach)) && each.at.Before(call.ended.Add(brokenReach))
	}):
		return "its replica ended"
	case slices.ContainsFunc(t.disturbances, func(each disturbance) bool {
		concerns := !each.planned && (each.gateway == "" || each.gateway == t.sentTo[call.id])
		return concerns && each.from.Before(call.ended) && each.until.Add(contactTime).After(call.sent)
	}):
		return "an unplanned fault"
	default:
		return ""
	}
}

// newKeptClient returns a client that keeps its connections, so that requests meet connections that are closed.
func newKeptClient() *http.Client {
	return &http.Client{Transport: &http.Transport{}}
}
