package application

import (
	"context"
	"sync"
	"time"
)

const (
	// unendedLimit bounds the claims that wait to be ended. The group counts
	// those that are dropped as unknown when their time is over.
	unendedLimit = 8192
	unendedDelay = time.Second
	// unendedLifetime is the time after which the group has counted a claim as
	// unknown by itself.
	unendedLifetime = 10 * time.Minute
)

// unendedClaims are claims whose end the group could not be told of when it was
// known, as during an election. They are tried again one by one, so that many
// of them cost no more calls than one while the group is away.
type unendedClaims struct {
	mutex   sync.Mutex
	waiting []unendedClaim
	running bool
}

type unendedClaim struct {
	end   func(ctx context.Context) error
	until time.Duration
}

// add takes a claim to be ended; the oldest gives way if there are too many.
func (u *unendedClaims) add(clock func() time.Duration, end func(ctx context.Context) error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if len(u.waiting) >= unendedLimit {
		u.waiting = u.waiting[1:]
	}
	u.waiting = append(u.waiting, unendedClaim{end: end, until: clock() + unendedLifetime})
	if !u.running {
		u.running = true
		go u.run(clock)
	}
}

// run ends claims until none waits. After a failure it pauses and goes on with
// the next.
func (u *unendedClaims) run(clock func() time.Duration) {
	for {
		time.Sleep(unendedDelay)
		for {
			next, more := u.take()
			if !more {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			err := next.end(ctx)
			cancel()
			if err != nil && clock() < next.until {
				u.putBack(next)
				break
			}
		}
	}
}

func (u *unendedClaims) take() (unendedClaim, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if len(u.waiting) == 0 {
		u.running = false
		return unendedClaim{}, false
	}
	next := u.waiting[0]
	u.waiting = u.waiting[1:]
	return next, true
}

func (u *unendedClaims) putBack(failed unendedClaim) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.waiting = append(u.waiting, failed)
}
