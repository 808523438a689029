package relay

import (
	"sync"
	"time"
)

// stallWatch tells when a replica has read nothing for a time: one that is busy still
// reads the prompts of others.
type stallWatch struct {
	// idle tells for how long the replica has read nothing.
	idle    func() time.Duration
	bound   time.Duration
	stalled func()

	mutex sync.Mutex
	timer *time.Timer
	ended bool
}

// newStallWatch calls stalled, at most once, if nothing has been read for a time.
func newStallWatch(idle func() time.Duration, bound time.Duration, stalled func()) *stallWatch {
	watch := &stallWatch{idle: idle, bound: bound, stalled: stalled}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(bound, watch.look)
	return watch
}

func (w *stallWatch) look() {
	idle := w.idle()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		return
	}
	if left := w.bound - idle; left > 0 {
		w.timer.Reset(left)
		return
	}
	w.ended = true
	w.stalled()
}

func (w *stallWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
	w.timer.Stop()
}

// IdleTime is for how long the replica has read nothing that any gateway knows of, since
// the lease began at most.
func (l *Lease) IdleTime() time.Duration {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.directory.clock() - max(l.begun, l.Replica.progressAt)
}
