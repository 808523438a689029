package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/internal/session"
)

// Gate says whether the gateway's session allows a dispatch at a moment.
type Gate interface {
	MayDispatch(now time.Duration, engineID string) bool
	MayDispatchBackEnd(now time.Duration, backEndID string) bool
}

// Clock tells the time on the process's monotonic clock.
type Clock func() time.Duration

// Fleet holds the newest Snapshot. It is safe for concurrent use.
type Fleet struct {
	clock Clock
	gate  Gate
	// updating is held from the update of the merged view until all listeners have
	// seen it, so that they see the merged views in order. It is taken before
	// dispatching.
	updating sync.Mutex
	// dispatching is held for reading from the permission to dispatch until
	// the request is written, and for writing while a view is put in force.
	// So a view that is acknowledged withholds engines from every later byte.
	dispatching sync.RWMutex
	snapshot    atomic.Pointer[Snapshot]
	listeners   []func(*Snapshot)
}

// New returns a fleet that knows nothing yet.
func New(clock Clock, gate Gate) *Fleet {
	fleet := &Fleet{clock: clock, gate: gate}
	fleet.snapshot.Store(emptySnapshot())
	return fleet
}

// OnChange adds a function that is called with each new snapshot. It must be
// called before the first merged view is installed.
func (f *Fleet) OnChange(listener func(*Snapshot)) {
	f.listeners = append(f.listeners, listener)
}

// Snapshot returns the newest snapshot.
func (f *Fleet) Snapshot() *Snapshot { return f.snapshot.Load() }

// Exclusively runs update while no dispatch is being written and installs the
// merged view that it returns; nil leaves the current one installed. When it
// returns, no byte of a new attempt goes to a back end that the view
// withholds. Listeners must not call it.
func (f *Fleet) Exclusively(update func() *session.MergedView) {
	f.updating.Lock()
	defer f.updating.Unlock()
	f.dispatching.Lock()
	merged := update()
	if merged == nil {
		f.dispatching.Unlock()
		return
	}
	following := f.snapshot.Load().next(merged)
	f.snapshot.Store(following)
	f.dispatching.Unlock()
	for _, listener := range f.listeners {
		listener(following)
	}
}

// Permit returns the permission to write one attempt to an engine. The returned
// release is called when the attempt is written or has failed.
func (f *Fleet) Permit(engineID string) (release func(), permitted bool) {
	f.dispatching.RLock()
	if !f.gate.MayDispatch(f.clock(), engineID) {
		f.dispatching.RUnlock()
		return nil, false
	}
	return f.dispatching.RUnlock, true
}

// PermitBackEnd is Permit for an application back end.
func (f *Fleet) PermitBackEnd(backEndID string) (release func(), permitted bool) {
	f.dispatching.RLock()
	if !f.gate.MayDispatchBackEnd(f.clock(), backEndID) {
		f.dispatching.RUnlock()
		return nil, false
	}
	return f.dispatching.RUnlock, true
}

// Takes reports whether the engine may get new work at all.
func (e *Engine) Takes() bool { return e.Dispatchable && !e.Leaving }
