package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

const (
	// endSettle is how long after a connection has broken its replica is looked at: a process
	// closes its connections and its port at about the same time. Requests of the same moment
	// share one look.
	endSettle = 20 * time.Millisecond
	// endTimeout bounds the look; a machine without power never answers.
	endTimeout = 250 * time.Millisecond
)

// loss is a request whose connection to a replica has broken.
type loss struct {
	request string
	digest  poison.Digest
	// after is how long it had been there.
	after time.Duration
	// events is the number of event batches that had come from there.
	events int
}

// endWatch finds out of broken connections whether their replica's process has ended: then
// nothing listens at its port. A replica that still listens has lost a connection only, and one
// that is silent has lost its power or its link: neither says anything of its requests.
type endWatch struct {
	runner *Runner
	// ended is told of each replica that has ended, with the requests that were there. It may
	// be called several times for one replica.
	ended func(replica string, under []poison.Digest)

	mutex sync.Mutex
	open  map[*Replica][]loss
}

func newEndWatch(runner *Runner) *endWatch {
	return &endWatch{runner: runner, ended: func(string, []poison.Digest) {}, open: map[*Replica][]loss{}}
}

// lost notes that a connection has broken under a request.
func (w *endWatch) lost(replica *Replica, of loss) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, looking := w.open[replica]
	w.open[replica] = append(w.open[replica], of)
	if !looking {
		time.AfterFunc(endSettle, func() { w.look(replica) })
	}
}

// look sees whether the replica has ended.
func (w *endWatch) look(replica *Replica) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	refused := w.runner.client.Refuses(ctx, replica.Address)
	w.mutex.Lock()
	losses := w.open[replica]
	delete(w.open, replica)
	w.mutex.Unlock()
	under := make([]poison.Digest, 0, len(losses))
	for _, each := range losses {
		w.runner.logger.Info(event.ReplicaLost, "request", each.request, "digest", each.digest.String(), "replica", replica.ID,
			"ended", refused, "events", each.events, "there_ms", each.after.Milliseconds())
		under = append(under, each.digest)
	}
	if refused {
		w.ended(replica.ID, under)
	}
}

// replicaLost notes that the connection to a replica has broken under the request, unless this
// gateway has closed it, the replica has fallen silent or was known to leave.
func (r *run) replicaLost(ctx context.Context, lease *Lease, cause error) {
	if ctx.Err() != nil || upstream.Silent(cause) || errors.Is(cause, context.DeadlineExceeded) || lease.leavesByPlan() {
		return
	}
	r.lost = true
	events := 0
	if r.stream != nil {
		events = r.stream.events - r.eventsBefore
	}
	r.ends.lost(lease.Replica, loss{request: r.call.ID, digest: r.call.Digest(), after: lease.age(), events: events})
}

// leavesByPlan reports whether the replica was known to take no new work.
func (l *Lease) leavesByPlan() bool {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.Replica.Draining
}

// age is how long ago the lease began.
func (l *Lease) age() time.Duration { return l.directory.clock() - l.begun }
