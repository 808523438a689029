package gateway

import (
	"sync"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// doors counts the callers' requests in flight, and refuses new ones once it is closed or too many are in flight.
type doors struct {
	maximum int

	mutex   sync.Mutex
	inside  int
	closed  bool
	emptied chan struct{}
}

func newDoors(maximum int) *doors {
	return &doors{maximum: maximum, emptied: make(chan struct{})}
}

// Enter implements middleware.Doors.
func (d *doors) Enter() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return failure.New(failure.Leaving, "the gateway is leaving; use another one")
	}
	if d.inside >= d.maximum {
		return failure.New(failure.QueueFull, "the gateway has as many requests in hand as it may")
	}
	d.inside++
	return nil
}

// Exit implements middleware.Doors.
func (d *doors) Exit() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.inside--
	d.noteEmpty()
}

// close makes doors refuse new requests. The returned channel is closed when none is in flight any more.
func (d *doors) close() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.closed {
		d.closed = true
		d.noteEmpty()
	}
	return d.emptied
}

func (d *doors) noteEmpty() {
	if !d.closed || d.inside > 0 {
		return
	}
	select {
	case <-d.emptied:
	default:
		close(d.emptied)
	}
}

// leaving reports whether doors is closed.
func (d *doors) leaving() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.closed
}

// count is the number of requests in flight.
func (d *doors) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.inside
}
