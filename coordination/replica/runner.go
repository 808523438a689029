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
	// maxInputsPerFlush bounds what is taken in before one sync.
	maxInputsPerFlush = 4096
	minTickInterval   = time.Millisecond
	ticksPerHeartbeat = 10
)

// RunnerConfig describes a Runner.
type RunnerConfig struct {
	Config
	Transport Transport
	// TickInterval is the time between ticks. Default a hundredth of
	// ElectionTimeout but at least 1 ms.
	TickInterval time.Duration
	// Logger gets changes of leadership and fatal errors. The zero value
	// discards them.
	Logger logr.Logger
}

// Runner runs one replica with a goroutine of its own. All methods may be
// called concurrently.
type Runner struct {
	config RunnerConfig
	// node is nil when the replica is quarantined; only the goroutine uses it.
	node        *Node
	quarantined error
	started     time.Time

	messages   chan consensus.Message
	requests   chan request
	changes    chan LeadershipChange
	stop       chan struct{}
	stopOnce   sync.Once
	startOnce  sync.Once
	done       chan struct{}
	status     atomic.Pointer[Status]
	waiters    map[uint64]chan Completion
	nextID     uint64
	lastLeader LeadershipChange
}

// NewRunner opens or creates the replica. With damaged data it returns a
// Runner whose Status tells the reason and whose requests give
// ErrReplicaQuarantined.
func NewRunner(config RunnerConfig) (*Runner, error) {
	config.setDefaults()
	if config.TickInterval == 0 {
		config.TickInterval = max(minTickInterval, config.ElectionTimeout/(10*ticksPerHeartbeat))
	}
	runner := &Runner{
		config:   config,
		started:  time.Now(),
		messages: make(chan consensus.Message, messageQueueLength),
		requests: make(chan request, requestQueueLength),
		changes:  make(chan LeadershipChange, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		waiters:  map[uint64]chan Completion{},
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
	node.background = func(work func()) { go work() }
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

// Stop ends the goroutine and closes the data folder. Waiting proposals end
// with ErrOutcomeUnknown.
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
	r.startOnce.Do(func() { r.finish(nil) })
	<-r.done
}

// Done is closed when the replica has stopped, by Stop or by a fatal error
// that Status().Err then tells. The process has to end after a fatal error.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Receive takes in a message from another replica. It does not block; when the
// replica can't keep up the message is dropped, which the protocol allows.
func (r *Runner) Receive(message consensus.Message) {
	select {
	case r.messages <- message:
	default:
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.started) }

// loop is the goroutine: it gathers what has come in, carries it out with one
// flush and hands the results back.
func (r *Runner) loop() {
	ticker := time.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	var inputs inputs
	for {
		select {
		case <-r.stop:
			r.finish(nil)
			return
		case <-ticker.C:
			inputs.tick = true
		case message := <-r.messages:
			inputs.messages = append(inputs.messages, message)
		case request := <-r.requests:
			inputs.requests = append(inputs.requests, request)
		}
		r.gather(&inputs)
		if err := r.carryOut(&inputs); err != nil {
			r.finish(err)
			return
		}
		inputs.reset()
	}
}

// inputs is what the loop takes in before one flush.
type inputs struct {
	tick     bool
	messages []consensus.Message
	requests []request
}

func (i *inputs) reset() {
	i.tick = false
	i.messages = i.messages[:0]
	i.requests = i.requests[:0]
}

// gather takes in what waits already, without blocking.
func (r *Runner) gather(inputs *inputs) {
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

func (r *Runner) carryOut(inputs *inputs) error {
	now := r.now()
	outputs, err := r.node.run(now, func() {
		for _, message := range inputs.messages {
			r.node.step(now, message)
		}
		if inputs.tick {
			r.node.tick(now)
		}
		r.takeRequests(now, inputs.requests)
	})
	r.deliver(outputs)
	r.publishStatus()
	return err
}

// deliver hands completions to the callers that wait for them.
func (r *Runner) deliver(outputs Outputs) {
	for _, completion := range outputs.Completed {
		r.answer(completion)
	}
	for _, read := range outputs.Reads {
		r.answer(Completion{RequestID: read.RequestID, Index: read.Index, Err: read.Err})
	}
}

func (r *Runner) answer(completion Completion) {
	waiter, found := r.waiters[completion.RequestID]
	if !found {
		return
	}
	delete(r.waiters, completion.RequestID)
	waiter <- completion
}

// finish ends the replica. What the core has taken in may still be committed.
func (r *Runner) finish(failure error) {
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

// call hands a request to the goroutine and waits for its completion.
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

// lastCompletion returns what the goroutine answered before it ended; without
// an answer it never took the request in.
func lastCompletion(completion chan Completion) Completion {
	select {
	case last := <-completion:
		return last
	default:
		return Completion{Err: ErrStopped}
	}
}
