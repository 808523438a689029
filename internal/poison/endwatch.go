package poison

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
)

const (
	// endSettle is how long after a connection has broken its replica is looked at: a process
	// closes its connections and its port at about the same time. Requests of the same moment
	// share one look.
	endSettle = 20 * time.Millisecond
	// endTimeout bounds the look; a machine without power never answers.
	endTimeout = 250 * time.Millisecond
)

// Loss is a request whose connection to a replica has broken.
type Loss struct {
	Request string
	Digest  Digest
	// After is how long it had been there.
	After time.Duration
	// Events is the number of event batches that had come from there.
	Events int
}

// EndWatch finds out of broken connections whether their replica's process has ended: then
// nothing listens at its port. A replica that still listens has lost a connection only, and one
// that is silent has lost its power or its link: neither says anything of its requests. It may be
// used concurrently.
type EndWatch struct {
	// Refuses reports whether nothing listens at an address.
	Refuses func(ctx context.Context, address string) bool
	// Lost is told of each loss, and whether the replica's process has ended.
	Lost func(replica string, loss Loss, ended bool)
	// Ended is told of each replica that has ended, with the requests that were there. It may
	// be called several times for one replica.
	Ended func(replica string, under []Digest)

	mutex sync.Mutex
	open  map[watchedReplica][]Loss
}

type watchedReplica struct{ id, address string }

// NewGuardedWatch returns a watch that writes a log line for each loss, and tells a guard of each
// replica that has ended.
func NewGuardedWatch(guard *Guard, refuses func(ctx context.Context, address string) bool, logger logr.Logger) *EndWatch {
	watch := NewLoggedWatch(refuses, logger)
	watch.Ended = guard.Ended
	return watch
}

// NewLoggedWatch returns a watch that only writes a log line for each loss.
func NewLoggedWatch(refuses func(ctx context.Context, address string) bool, logger logr.Logger) *EndWatch {
	return &EndWatch{
		Refuses: refuses,
		Lost: func(replica string, loss Loss, ended bool) {
			logger.Info(event.ReplicaLost, "request", loss.Request, "digest", loss.Digest.String(), "replica", replica,
				"ended", ended, "events", loss.Events, "there_ms", loss.After.Milliseconds())
		},
		Ended: func(string, []Digest) {},
	}
}

// Note notes that the connection to a replica has broken under a request.
func (w *EndWatch) Note(replica, address string, loss Loss) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.open == nil {
		w.open = map[watchedReplica][]Loss{}
	}
	key := watchedReplica{replica, address}
	_, looking := w.open[key]
	w.open[key] = append(w.open[key], loss)
	if !looking {
		time.AfterFunc(endSettle, func() { w.look(key) })
	}
}

// look sees whether the replica has ended.
func (w *EndWatch) look(key watchedReplica) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	ended := w.Refuses(ctx, key.address)
	w.mutex.Lock()
	losses := w.open[key]
	delete(w.open, key)
	w.mutex.Unlock()
	under := make([]Digest, 0, len(losses))
	for _, loss := range losses {
		w.Lost(key.id, loss, ended)
		under = append(under, loss.Digest)
	}
	if ended {
		w.Ended(key.id, under)
	}
}
