package relay

import (
	"sync"
	"time"
)

// stallWatch detects a replica that has prefilled nothing for some time. A replica that is merely busy
// still prefills the prompts of other requests.
type stallWatch struct {
	// idle returns how long the replica has prefilled nothing.
	idle    func() time.Duration
	timeout time.Duration
	onStall func()

	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
}

// newStallWatch returns a running watch. It calls onStall at most once, as soon as nothing has been
// prefilled for the timeout.
func newStallWatch(idle func() time.Duration, timeout time.Duration, onStall func()) *stallWatch {
	watch := &stallWatch{idle: idle, timeout: timeout, onStall: onStall}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(timeout, watch.check)
	return watch
}

func (w *stallWatch) check() {
	idle := w.idle()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	if left := w.timeout - idle; left > 0 {
		w.timer.Reset(left)
		return
	}
	w.stopped = true
	w.onStall()
}

func (w *stallWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// IdleTime returns how long the replica has prefilled nothing, as far as this process knows from its own
// requests and its peers' reports, counted at most from the start of the lease.
func (l *Lease) IdleTime() time.Duration {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.directory.clock() - max(l.startedAt, l.Replica.progressAt)
}
