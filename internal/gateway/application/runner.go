package application

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/applicationclient"
	"github.com/pierhaven/pierhaven/internal/gateway/fleet"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// Group keeps the once-only records; *zonegroup.Caller with the session's id
// does.
type Group interface {
	Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, error)
	Complete(ctx context.Context, request *wire.CompleteRequest) (*wire.CompleteReply, error)
	Release(ctx context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error)
}

// Workers runs functions concurrently, up to a bound; *ants.Pool does.
type Workers interface {
	Submit(task func()) error
}

// Fleet is what a runner needs of a *fleet.Fleet.
type Fleet interface {
	Snapshot() *fleet.Snapshot
	PermitBackEnd(backEndID string) (release func(), permitted bool)
}

// Runner runs calls. It is safe for concurrent use.
type Runner struct {
	client  *applicationclient.Client
	group   Group
	fleet   Fleet
	workers Workers
	clock   func() time.Duration
	logger  logr.Logger
	chosen  *backEnds
	// runLimit bounds every run.
	runLimit time.Duration
	unended  unendedClaims
	// guard knows the requests that must be sent to no back end, and detector finds out under which
	// back ends have ended.
	guard    *poison.Guard
	detector *poison.CrashDetector

	mutex   sync.Mutex
	running map[string]string
	// open counts runs and the records that end their claims.
	open sync.WaitGroup
}

// NewRunner returns a runner.
func NewRunner(client *applicationclient.Client, group Group, zone Fleet, workers Workers,
	runLimit time.Duration, clock func() time.Duration, logger logr.Logger,
) *Runner {
	return &Runner{
		client:   client,
		group:    group,
		fleet:    zone,
		workers:  workers,
		clock:    clock,
		logger:   logger,
		chosen:   newBackEnds(),
		runLimit: runLimit,
		running:  map[string]string{},
	}
}

// GuardWith has a guard asked which requests are held, and a detector told of the connections that
// break. It is called before any use.
func (r *Runner) GuardWith(guard *poison.Guard, detector *poison.CrashDetector) {
	r.guard, r.detector = guard, detector
}

// lateAnswerTime is how long after its caller's deadline a run may still bring
// the answer that is stored for repeats. Without an answer by then the outcome
// stays unknown: the connection may be dead, and nothing would ever tell. It is
// shorter than the time that a planned stop has.
const lateAnswerTime = 20 * time.Second

// runTime is how long the answer to a run is waited for from now on.
func (r *Runner) runTime(now, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return r.runLimit
	}
	return min(r.runLimit, max(0, deadline-now)+lateAnswerTime)
}

// Wait returns when no run is open and every claim has been ended as well as
// could be, or when the context ends.
func (r *Runner) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.open.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// InFlight lists what is running.
func (r *Runner) InFlight() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := make([]string, 0, len(r.running))
	for _, what := range r.running {
		list = append(list, what)
	}
	return list
}

func (r *Runner) begin(attemptID string, call *Call) {
	r.open.Add(1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running[attemptID] = "application call " + call.RequestID
}

func (r *Runner) end(attemptID string) {
	r.mutex.Lock()
	delete(r.running, attemptID)
	r.mutex.Unlock()
	r.open.Done()
}

// outOfWorkers is the answer if no worker is free; nothing has been sent.
func outOfWorkers(ran failure.Ran) Answer {
	return refused(failure.QueueFull, ran, "no worker is free")
}
