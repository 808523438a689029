package poison

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
)

const (
	// crashCheckDelay is the time between the loss of a connection and the check of its replica: a
	// process closes its connections and its port at about the same time. Connections to a replica that
	// are lost at about the same time share one check.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the check; a machine without power never answers.
	crashCheckTimeout = 250 * time.Millisecond
)

// Loss is a request whose connection to a replica was lost.
type Loss struct {
	Request string
	Digest  Digest
	// After is how long the request had been at the replica.
	After time.Duration
	// Events is the number of event batches that the replica had sent.
	Events int
}

// EndWatch finds out whether the process of a replica has ended after connections to it were lost: then
// nothing listens on its port. If something still listens, only the connection was lost, and if nothing
// answers, the replica's machine has lost power or its network link: neither is evidence against the
// requests. It may be used concurrently.
type EndWatch struct {
	// Refuses reports whether nothing listens on an address.
	Refuses func(ctx context.Context, address string) bool
	// Lost is called for each lost connection, with whether the replica's process has ended.
	Lost func(replica string, loss Loss, ended bool)
	// Ended is called for each replica that has ended, with the requests that were there. It may be
	// called several times for one replica.
	Ended func(replica string, under []Digest)

	mutex sync.Mutex
	// pending are the lost connections of the replicas whose check is scheduled or running.
	pending map[watchedReplica][]Loss
}

type watchedReplica struct{ id, address string }

// NewGuardedWatch returns a watch that writes a log line for each lost connection, and reports each
// replica that has ended to a guard.
func NewGuardedWatch(guard *Guard, refuses func(ctx context.Context, address string) bool, logger logr.Logger) *EndWatch {
	watch := NewLoggedWatch(refuses, logger)
	watch.Ended = guard.Ended
	return watch
}

// NewLoggedWatch returns a watch that only writes a log line for each lost connection.
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

// Note records that the connection to a replica was lost during a request, and schedules a check of the
// replica.
func (w *EndWatch) Note(replica, address string, loss Loss) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pending == nil {
		w.pending = map[watchedReplica][]Loss{}
	}
	key := watchedReplica{replica, address}
	_, scheduled := w.pending[key]
	w.pending[key] = append(w.pending[key], loss)
	if !scheduled {
		time.AfterFunc(crashCheckDelay, func() { w.check(key) })
	}
}

// check finds out whether the replica's process has ended, and calls Lost and Ended.
func (w *EndWatch) check(key watchedReplica) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	crashed := w.Refuses(ctx, key.address)
	w.mutex.Lock()
	losses := w.pending[key]
	delete(w.pending, key)
	w.mutex.Unlock()
	requests := make([]Digest, 0, len(losses))
	for _, loss := range losses {
		w.Lost(key.id, loss, crashed)
		requests = append(requests, loss.Digest)
	}
	if crashed {
		w.Ended(key.id, requests)
	}
}
