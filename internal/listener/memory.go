package listener

import (
	"math"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pierhaven/pierhaven/internal/membudget"
)

// DefaultMemoryBytes is the size of a Memory whose process names no bound of its memory.
const DefaultMemoryBytes = 64 << 20

// internalShare of a Memory is for the listeners that the process's peers use: neither crowds of clients nor of peers take the room of the
// others.
const internalShare = 0.25

// Memory is what all listeners of a process together keep of requests, from the first byte until the answer. A request that needs more
// than there is waits for it; the least advanced of those from which nothing has come for a time give way.
type Memory struct {
	total int64
	// external is for the requests of clients, internal for those of the process's peers.
	external, internal *membudget.Budget

	// mutex guards what follows, and room is signalled with it whenever bytes were given back.
	mutex sync.Mutex
	room  *sync.Cond
	// receiving are the connections whose requests have begun and are not whole.
	receiving map[*connection]struct{}
	listeners []*Listener

	// crowded is set once a crowd's share was held, until the heap is given back.
	crowded atomic.Bool
}

// NewMemory returns a Memory of a number of bytes; 0 selects the default.
func NewMemory(bytes int64) *Memory {
	if bytes <= 0 {
		bytes = DefaultMemoryBytes
	}
	internal := int64(internalShare * float64(bytes))
	m := &Memory{
		total:     bytes,
		external:  membudget.New(bytes - internal),
		internal:  membudget.New(internal),
		receiving: map[*connection]struct{}{},
	}
	m.room = sync.NewCond(&m.mutex)
	return m
}

// bodiesInMemory is how many of the largest bodies there is memory for where a process names no bound of its memory.
const bodiesInMemory = 4

// MemoryFor returns a Memory for bodies of a size, for a process that names no bound of its memory.
func MemoryFor(bodyBytes int, keptPerBodyByte int64) *Memory {
	return NewMemory(max(DefaultMemoryBytes, bodiesInMemory*int64(bodyBytes)*keptPerBodyByte))
}

// users returns the listeners that use the memory.
func (m *Memory) users() []*Listener {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.listeners)
}

// Held is the number of bytes kept now.
func (m *Memory) Held() int64 { return m.external.Held() + m.internal.Held() }

// Most is the most that was kept since the start, for clients and for peers.
func (m *Memory) Most() int64 { return m.external.Most() + m.internal.Most() }

// budget returns the budget of a listener's requests.
func (m *Memory) budget(internal bool) *membudget.Budget {
	if internal {
		return m.internal
	}
	return m.external
}

// largest is the most that one request can be given: as much again has to be free.
func (m *Memory) largest(internal bool) int64 {
	share := 1 - internalShare
	if internal {
		share = internalShare
	}
	return int64(share * float64(m.total) / 2)
}

// resize sets what a connection keeps, and waits for room if it has to: for a time at most, and until the connection is told to give way.
func (m *Memory) resize(c *connection, size int64, patience time.Duration) error {
	if err := c.keep(size); err == nil {
		return nil
	}
	if size > m.largest(c.listener.Internal) {
		return membudget.ErrNoRoom
	}
	until := time.Now().Add(patience)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c.waiting.Store(true)
	defer c.waiting.Store(false)
	for {
		err := c.keep(size)
		if err == nil || c.ended() != endNone || !time.Now().Before(until) {
			return err
		}
		if victim := m.leastAdvanced(c); victim != nil {
			victim.end(endNoRoom)
			// It may wait for room itself.
			m.room.Broadcast()
		}
		m.room.Wait()
	}
}

// leastAdvanced returns the connection that gives way to another one: the one with the fewest bytes among those that have stopped, nil if
// there is none or the other one itself is. The caller must hold m.mutex.
func (m *Memory) leastAdvanced(other *connection) *connection {
	now := time.Now()
	var least *connection
	fewest := int64(math.MaxInt64)
	if other.hasStopped(now) {
		fewest = other.received.Load()
	}
	for c := range m.receiving {
		if c == other || c.listener.Internal != other.listener.Internal || c.keptBytes.Load() == 0 || !c.hasStopped(now) {
			continue
		}
		if c.ended() != endNone {
			// Its room comes back at once.
			return nil
		}
		if received := c.received.Load(); received < fewest {
			least, fewest = c, received
		}
	}
	return least
}

// release gives back what a connection keeps.
func (m *Memory) release(c *connection) {
	if c.keptBytes.Load() == 0 {
		return
	}
	if float64(m.Held()) >= crowdShare*float64(m.total) {
		m.crowded.Store(true)
	}
	// A reservation can always shrink.
	_ = c.keep(0)
	m.room.Broadcast()
}

// enter notes that a connection's request has begun, and leave that it is whole or given up.
func (m *Memory) enter(c *connection) {
	m.mutex.Lock()
	m.receiving[c] = struct{}{}
	m.mutex.Unlock()
}

func (m *Memory) leave(c *connection) {
	m.mutex.Lock()
	delete(m.receiving, c)
	m.mutex.Unlock()
	m.room.Broadcast()
}

const (
	// crowdShare of the memory was held by what is called a crowd, and goneShare is held once it has gone.
	crowdShare = 0.25
	goneShare  = 0.05
)

// collectAfterCrowd gives the heap of a crowd that has gone back to the system: with little to allocate, the collector would not run
// for minutes.
func (m *Memory) collectAfterCrowd() {
	if float64(m.Held()) <= goneShare*float64(m.total) && m.crowded.CompareAndSwap(true, false) {
		go debug.FreeOSMemory()
	}
}
