package soak

import (
	"context"
	"time"
)

const (
	// restartEvery is the mean time between two starts of engines under their ids.
	restartEvery = 700 * time.Millisecond
	// sturdyReplica runs no request that ends replicas where these keep their ids: the others are
	// too few for such a request to be held unless each of their lives counts.
	sturdyReplica = replicas - 1
	// countedTime is how long after an engine's start an order may still be under way that was
	// counted with what its former life told; the one who orders waits for less than two seconds,
	// and may be frozen.
	countedTime = 5 * time.Second
)

// restartEngines has engines start again until the context ends.
func (s *soak) restartEngines(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, s.around(s.restartEvery()))
		number := int(s.draw() * engines)
		if s.truth.namesNow(engineName(number)) {
			// Its limit has to be judged for longer than lives last here.
			continue
		}
		if !s.restartEngine(number) {
			return
		}
	}
}

// restartEvery returns the mean time between two starts of engines.
func (s *soak) restartEvery() time.Duration {
	if s.options.GatewayKills {
		return slowReleaseEvery
	}
	return restartEvery
}

// restartEngine has an engine end, with what it runs, and start again. It reports whether it has started.
func (s *soak) restartEngine(number int) bool {
	s.truth.interrupts(engineName(number))
	var err error
	if s.options.Releases && s.roll(releasedShare) {
		err = s.fleet.releaseEngine(number, s.anyVersion())
	} else {
		err = s.fleet.restartEngine(number)
	}
	if err != nil {
		s.truth.report("%s does not start again: %v", engineName(number), err)
	}
	return err == nil
}

// miscounted notes an order that counts more orders than an engine has taken since its start.
func (t *truth) miscounted(engine string, started time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if started > countedTime {
		t.violate("%s got an order counted with its former life %s after its start", engine, started)
	}
}

// strays checks that nothing was sent to the address of the entries that name no usable replica.
func (t *truth) strays(sent int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if sent > 0 {
		t.violate("%d requests were sent to an entry that names no usable replica", sent)
	}
}
