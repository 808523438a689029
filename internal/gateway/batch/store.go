package batch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// Options bound a Store.
type Options struct {
	GatewayID string
	// MaximumBatches bounds the batches kept, finished or not.
	MaximumBatches int
	// MaximumBytes bounds what all batches keep: the bodies of items that have
	// not ended and the answers of those that have. At the bound no item is
	// started, so it may be passed by the answers of the items then running and
	// by the refusals of those that are not started in the end.
	MaximumBytes int64
	// MaximumPause bounds the wait for memory: past it, what has not started is
	// refused. It has to be longer than callers take to fetch and delete.
	MaximumPause time.Duration
	// Concurrency bounds the items of one batch that run at a time.
	Concurrency int
	// KeepTime is how long a finished batch is kept.
	KeepTime time.Duration
	// ItemTries bounds the tries of one item.
	ItemTries int
}

// Store keeps the batches of a gateway. It is safe for concurrent use.
type Store struct {
	options  Options
	executor Executor
	workers  Workers
	clock    func() time.Duration
	bytes    atomic.Int64
	running  sync.WaitGroup

	mutex   sync.Mutex
	batches map[string]*Batch
	closed  bool
}

// Workers runs functions concurrently, up to a bound; *ants.Pool does.
type Workers interface {
	Submit(task func()) error
}

// New returns an empty store.
func New(options Options, executor Executor, workers Workers, clock func() time.Duration) *Store {
	return &Store{
		options:  options,
		executor: executor,
		workers:  workers,
		clock:    clock,
		batches:  map[string]*Batch{},
	}
}

// Submit takes a batch and starts it.
func (s *Store) Submit(owner Owner, items []callerapi.BatchItem) (*Batch, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil, failure.New(failure.Leaving, "the gateway is leaving; use another one")
	}
	s.removeOld()
	if len(s.batches) >= s.options.MaximumBatches {
		return nil, failure.New(failure.QueueFull, "the gateway keeps as many batches as it may; fetch and delete some")
	}
	created := newBatch(s.newID(), owner, items)
	if s.bytes.Load()+created.bytes > s.options.MaximumBytes {
		return nil, failure.New(failure.QueueFull, "the gateway's batches take as much memory as they may; fetch and delete some")
	}
	s.bytes.Add(created.bytes)
	s.batches[created.id] = created
	s.running.Add(1)
	go s.run(created)
	return created, nil
}

// newID names the gateway, so that others can say where a batch is.
func (s *Store) newID() string {
	return "batch_" + s.options.GatewayID + "_" + uuid.NewString()
}

// removeOld removes finished batches that were fetched whole when room is
// needed, and all whose time is over.
func (s *Store) removeOld() {
	now := s.clock()
	crowded := len(s.batches) >= s.options.MaximumBatches
	for id, kept := range s.batches {
		finished, at, fetched := kept.isFinished()
		if finished && (now-at > s.options.KeepTime || (crowded && fetched)) {
			s.remove(id, kept)
		}
	}
}

func (s *Store) remove(id string, kept *Batch) {
	delete(s.batches, id)
	s.bytes.Add(-kept.kept())
}

// Find returns a tenant's batch.
func (s *Store) Find(tenant, id string) (*Batch, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeOld()
	kept, found := s.batches[id]
	if !found || kept.owner.Scope.Tenant.Name != tenant {
		return nil, failure.New(failure.NotFound, "gateway "+s.options.GatewayID+
			" has no such batch; a batch is kept by the gateway that took it, until it is deleted, grows old or the process ends")
	}
	return kept, nil
}

// Delete removes a finished batch, or cancels one that runs.
func (s *Store) Delete(kept *Batch) {
	finished, _, _ := kept.isFinished()
	if !finished {
		kept.Cancel()
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.batches[kept.id] == kept {
		s.remove(kept.id, kept)
	}
}

// Close takes no more batches and returns a channel that is closed when all are
// finished.
func (s *Store) Close() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	return done
}

func (s *Store) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// Unfetched reports whether finished results wait to be fetched.
func (s *Store) Unfetched() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, kept := range s.batches {
		if _, _, fetched := kept.isFinished(); !fetched {
			return true
		}
	}
	return false
}

// InFlight lists the batches that are not finished.
func (s *Store) InFlight() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []string
	for id, kept := range s.batches {
		if finished, _, _ := kept.isFinished(); !finished {
			list = append(list, id)
		}
	}
	return list
}
