package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	// halfClosedEvery is the pause between two calls whose caller closes its direction of the connection at once.
	halfClosedEvery = 150 * time.Millisecond
	// halfClosedTime is how long such a call may take: the longest timeout of the routes, and the way.
	halfClosedTime = 3 * time.Second
)

// callHalfClosed sends requests whose callers close their direction of the connection at once, until the context ends.
// A gateway may take them for gone, but has to end the call, and an answer has to be whole.
func (s *soak) callHalfClosed(ctx context.Context) {
	routes := []string{onceRoute, repeatRoute}
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("half-%d", number)
		path := routes[number%len(routes)]
		key, owner := keyFor(0, number)
		s.truth.begin(id, path == onceRoute, bodyFor(id), owner)
		gateway := s.gatewayFor(id, number)
		bounded, cancel := context.WithTimeout(ctx, halfClosedTime)
		sent := time.Now()
		answer, answered, err := platformtest.CallHalfClosed(bounded, gateway, platformtest.Caller{
			Host: host, Path: path + "x", ID: id, Wait: callWait, Key: key, Body: "body of " + id,
		})
		if answered {
			s.truth.answered(id, answer)
		}
		if err != nil && ctx.Err() == nil {
			s.truth.halfClosedFailed(id, sent, err)
		}
		cancel()
		pause(ctx, halfClosedEvery)
	}
}

// halfClosedFailed notes a call with a half-closed connection that had no end in time.
func (t *truth) halfClosedFailed(id string, sent time.Time, cause error) {
	if time.Since(sent) < halfClosedTime {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.isDisturbed(t.sentTo[id], "", time.Now()) {
		t.violate("request %s, whose caller has half-closed, was still open at %s after %s: %v", id, t.sentTo[id], halfClosedTime, cause)
	}
}
