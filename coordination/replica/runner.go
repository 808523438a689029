package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

const (
	messageQueueLength = 4096
	requestQueueLength = 1024
	// maxInputsPerFlush limits the number of messages and requests handled
	// before one sync.
	maxInputsPerFlush = 4096
	minTickInterval   = time.Millisecond
	ticksPerHeartbeat = 10
)

// RunnerConfig describes a Runner.
type RunnerConfig struct {
	Config
	Transport Transport
	// TickInterval is the time between ticks. Default one hundredth of
	// ElectionTimeout, but at least 1 ms.
	TickInterval time.Duration
	// Logger receives votes, snapshots, stalls, leadership changes and fatal
	// errors. The zero value discards them.
	Logger logr.Logger
}

// Runner runs one replica in its own goroutine. Its methods are safe for
// concurrent use.
type Runner struct {
	config RunnerConfig
	// node is nil if the replica is quarantined. Only the goroutine accesses
	// it once started.
	node        *Node
	quarantined error
	startedAt   time.Time

	messages          chan consensus.Message
	requests          chan request
	leadershipChanges chan LeadershipChange
	stop              chan struct{}
	stopOnce          sync.Once
	startOnce         sync.Once
	done              chan struct{}
	status            atomic.Pointer[Status]
	waiters           map[uint64]chan Completion
	nextID            uint64
	lastLeader        LeadershipChange
}

// NewRunner opens or creates the replica. If its data is damaged, it returns a
// Runner whose Status().Quarantined is the reason and whose requests fail with
// ErrReplicaQuarantined.
func NewRunner(config RunnerConfig) (*Runner, error) {
	config.setDefaults()
	if config.TickInterval == 0 {
		config.TickInterval = max(minTickInterval, config.ElectionTimeout/(10*ticksPerHeartbeat))
	}
	runner := &Runner{
		config:            config,
		startedAt:         time.Now(),
		messages:          make(chan consensus.Message, messageQueueLength),
		requests:          make(chan request, requestQueueLength),
		leadershipChanges: make(chan LeadershipChange, 1),
		stop:              make(chan struct{}),
		done:              make(chan struct{}),
		waiters:           map[uint64]chan Completion{},
	}
	node, err := OpenNode(config.Config, 0)
	if errors.Is(err, ErrReplicaQuarantined) {
		runner.quarantined = err
		runner.status.Store(&Status{Group: config.Group, Quarantined: err})
		return runner, nil
	}
	if err != nil {
		return nil, err
	}
	node.send = config.Transport.Send
	node.runInBackground = func(work func()) { go work() }
	runner.node = node
	runner.publishStatus()
	return runner, nil
}

// Start starts the replica's goroutine. It may be called once.
func (r *Runner) Start() error {
	if r.quarantined != nil {
		return nil
	}
	r.startOnce.Do(func() { go r.loop() })
	return nil
}

// Stop stops the goroutine and closes the data directory. Requests in progress
// complete with ErrOutcomeUnknown.
func (r *Runner) Stop() {
	r.stopOnce.Do(func() {
		close(r.stop)
		if r.quarantined != nil {
			close(r.done)
		}
	})
	if r.quarantined != nil {
		return
	}
	r.startOnce.Do(func() { r.shutDown(nil) })
	<-r.done
}

// Done returns a channel that is closed when the replica has stopped, either
// through Stop or through a fatal error, which Status().Err then returns. The
// process must exit after a fatal error.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Receive queues a message from another replica. It does not block: if the queue
// is full the message is dropped, which the protocol allows.
func (r *Runner) Receive(message consensus.Message) {
	select {
	case r.messages <- message:
	default:
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.startedAt) }

// loop is the replica's goroutine. It collects queued messages and requests,
// handles them with one flush and delivers the results.
func (r *Runner) loop() {
	ticker := time.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	var inputs inputBatch
	for {
		select {
		case <-r.stop:
			r.shutDown(nil)
			return
		case <-ticker.C:
			inputs.tick = true
		case message := <-r.messages:
			inputs.messages = append(inputs.messages, message)
		case request := <-r.requests:
			inputs.requests = append(inputs.requests, request)
		}
		r.drainQueues(&inputs)
		if err := r.processInputs(&inputs); err != nil {
			r.shutDown(err)
			return
		}
		inputs.reset()
	}
}

// inputBatch holds the inputs that are handled before one flush.
type inputBatch struct {
	tick     bool
	messages []consensus.Message
	requests []request
}

func (i *inputBatch) reset() {
	i.tick = false
	i.messages = i.messages[:0]
	i.requests = i.requests[:0]
}

// drainQueues adds queued messages and requests to the batch, without blocking
// and up to maxInputsPerFlush.
func (r *Runner) drainQueues(inputs *inputBatch) {
	for len(inputs.messages)+len(inputs.requests) < maxInputsPerFlush {
		select {
		case message := <-r.messages:
			inputs.messages = append(inputs.messages, message)
		case request := <-r.requests:
			inputs.requests = append(inputs.requests, request)
		default:
			return
		}
	}
}

func (r *Runner) processInputs(inputs *inputBatch) error {
	now := r.now()
	outputs, err := r.node.handleInput(now, func() {
		for _, message := range inputs.messages {
			r.node.step(now, message)
		}
		if inputs.tick {
			r.node.tick(now)
		}
		r.processRequests(now, inputs.requests)
	})
	r.deliver(outputs)
	r.publishStatus()
	return err
}

// deliver passes completions to the callers that wait for them.
func (r *Runner) deliver(outputs Outputs) {
	for _, completion := range outputs.Completed {
		r.completeRequest(completion)
	}
	for _, read := range outputs.Reads {
		r.completeRequest(Completion{RequestID: read.RequestID, Index: read.Index, Err: read.Err})
	}
}

func (r *Runner) completeRequest(completion Completion) {
	waiter, found := r.waiters[completion.RequestID]
	if !found {
		return
	}
	delete(r.waiters, completion.RequestID)
	waiter <- completion
}

// shutDown closes the replica and publishes its final status. Requests in
// progress complete with ErrOutcomeUnknown: entries that the core has accepted
// may still be committed.
func (r *Runner) shutDown(failure error) {
	if failure != nil {
		r.config.Logger.Error(failure, "replica stopped", "group", r.config.Group)
	}
	for id, waiter := range r.waiters {
		delete(r.waiters, id)
		waiter <- Completion{RequestID: id, Err: ErrOutcomeUnknown}
	}
	status := r.node.Status()
	status.Err = failure
	if failure == nil {
		status.Err = ErrStopped
	}
	status.Role = consensus.RoleFollower
	r.status.Store(&status)
	_ = r.node.Close()
	close(r.done)
}

// call sends a request to the goroutine and waits for its completion.
func (r *Runner) call(ctx context.Context, request request) Completion {
	if r.quarantined != nil {
		return Completion{Err: r.quarantined}
	}
	request.completion = make(chan Completion, 1)
	select {
	case r.requests <- request:
	case <-r.done:
		return Completion{Err: ErrStopped}
	case <-ctx.Done():
		return Completion{Err: errors.Join(ErrOverloaded, ctx.Err())}
	}
	select {
	case completion := <-request.completion:
		return completion
	case <-ctx.Done():
		return Completion{Err: errors.Join(ErrOutcomeUnknown, ctx.Err())}
	case <-r.done:
		return lastCompletion(request.completion)
	}
}

// lastCompletion returns the completion that the goroutine sent before it
// stopped. If there is none, the goroutine never passed the request to the node.
func lastCompletion(completion chan Completion) Completion {
	select {
	case last := <-completion:
		return last
	default:
		return Completion{Err: ErrStopped}
	}
}
