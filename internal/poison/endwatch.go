package poison

import (
	"context"
	"slices"
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

// ConnectionLoss is a request whose connection to a replica was lost.
type ConnectionLoss struct {
	Request string
	Digest  Digest
	// Parts are the digests of the parts of its prompt that other requests may share.
	Parts []Digest
	// Elapsed is how long the request had been at the replica.
	Elapsed time.Duration
	// Events is the number of event batches that the replica had sent.
	Events int
}

// CrashDetector finds out whether the process of a replica has ended after connections to it were lost:
// then nothing listens on its port. If something still listens, only the connection was lost, and if
// nothing answers, the replica's machine has lost power or its network link: neither is evidence against
// the requests. It may be used concurrently.
type CrashDetector struct {
	// Refuses reports whether nothing listens on an address.
	Refuses func(ctx context.Context, address string) bool
	// OnConnectionLost is called for each lost connection, with whether the replica's process has ended.
	OnConnectionLost func(replica string, loss ConnectionLoss, ended bool)
	// OnCrash is called for each replica that has ended, with the requests that were there. It may be
	// called several times for one replica.
	OnCrash func(replica string, requests []Digest)

	mutex sync.Mutex
	// pending are the lost connections of the replicas whose check is scheduled or running.
	pending map[replicaKey][]ConnectionLoss
}

type replicaKey struct{ id, address string }

// NewGuardedDetector returns a detector that writes a log line for each lost connection, and reports
// each replica that has ended to a guard.
func NewGuardedDetector(guard *Guard, refuses func(ctx context.Context, address string) bool, logger logr.Logger) *CrashDetector {
	detector := NewLoggingDetector(refuses, logger)
	detector.OnCrash = guard.ReplicaCrashed
	return detector
}

// NewLoggingDetector returns a detector that only writes a log line for each lost connection.
func NewLoggingDetector(refuses func(ctx context.Context, address string) bool, logger logr.Logger) *CrashDetector {
	return &CrashDetector{
		Refuses: refuses,
		OnConnectionLost: func(replica string, loss ConnectionLoss, ended bool) {
			logger.Info(event.ReplicaLost, "request", loss.Request, "digest", loss.Digest.String(), "parts", textsOf(loss.Parts), "replica", replica,
				"ended", ended, "events", loss.Events, "there_ms", loss.Elapsed.Milliseconds())
		},
		OnCrash: func(string, []Digest) {},
	}
}

// textsOf returns the texts of digests, for a log line.
func textsOf(digests []Digest) []string {
	texts := make([]string, 0, len(digests))
	for _, digest := range digests {
		texts = append(texts, digest.String())
	}
	return texts
}

// ConnectionLost records that the connection to a replica was lost during a request, and schedules a
// check of the replica.
func (d *CrashDetector) ConnectionLost(replica, address string, loss ConnectionLoss) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.pending == nil {
		d.pending = map[replicaKey][]ConnectionLoss{}
	}
	key := replicaKey{replica, address}
	_, scheduled := d.pending[key]
	d.pending[key] = append(d.pending[key], loss)
	if !scheduled {
		time.AfterFunc(crashCheckDelay, func() { d.check(key) })
	}
}

// appendNew appends the digests that are not among those before.
func appendNew(digests []Digest, added ...Digest) []Digest {
	for _, digest := range added {
		if !slices.Contains(digests, digest) {
			digests = append(digests, digest)
		}
	}
	return digests
}

// check finds out whether the replica's process has ended, and calls OnConnectionLost and OnCrash.
func (d *CrashDetector) check(key replicaKey) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	crashed := d.Refuses(ctx, key.address)
	d.mutex.Lock()
	losses := d.pending[key]
	delete(d.pending, key)
	d.mutex.Unlock()
	requests := make([]Digest, 0, len(losses))
	for _, loss := range losses {
		d.OnConnectionLost(key.id, loss, crashed)
		requests = appendNew(requests, loss.Digest)
		requests = appendNew(requests, loss.Parts...)
	}
	if crashed {
		d.OnCrash(key.id, requests)
	}
}
