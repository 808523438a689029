package batch

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// Executor runs one item as if it had been sent by itself.
type Executor interface {
	Execute(ctx context.Context, owner Owner, requestID string, item callerapi.BatchItem) Result
}

// Result is an item's answer, or its failure.
type Result struct {
	Status  int
	Body    []byte
	Failure *failure.Answer
}

const (
	// pauseTick is the time between looks at the memory bound.
	pauseTick = 100 * time.Millisecond
	// minimumRetryWait and maximumRetryWait bound the wait before an item is
	// tried again.
	minimumRetryWait = 100 * time.Millisecond
	maximumRetryWait = 5 * time.Second
)

// run works a batch off.
func (s *Store) run(work *Batch) {
	defer s.running.Done()
	defer work.cancel()
	var items sync.WaitGroup
	slots := make(chan struct{}, s.options.Concurrency)
	for index := range work.items {
		found := s.waitForRoom(work)
		if found == roomNone {
			s.refuseRest(work)
		}
		if found != roomFound {
			break
		}
		slots <- struct{}{}
		items.Add(1)
		task := func() {
			defer items.Done()
			defer func() { <-slots }()
			s.runItem(work, index)
		}
		for s.workers.Submit(task) != nil {
			time.Sleep(pauseTick)
		}
	}
	items.Wait()
	s.cancelRest(work)
	work.finish(s.clock())
}

// room is the result of a wait for memory.
type room int

const (
	roomFound room = iota
	// roomCancelled: the batch was cancelled meanwhile.
	roomCancelled
	// roomNone: nobody made room in time, or nobody will, because the gateway
	// leaves. The memory of a batch that runs can't be given back, so without
	// an end to the wait batches could hold each other up for ever.
	roomNone
)

// waitForRoom waits while the memory bound is reached.
func (s *Store) waitForRoom(work *Batch) room {
	defer work.setPaused(false)
	until := s.clock() + s.options.MaximumPause
	for s.bytes.Load() >= s.options.MaximumBytes {
		if s.isClosed() || s.clock() >= until {
			return roomNone
		}
		work.setPaused(true)
		select {
		case <-work.ctx.Done():
			return roomCancelled
		case <-time.After(pauseTick):
		}
	}
	if work.ctx.Err() != nil {
		return roomCancelled
	}
	return roomFound
}

// refuseRest refuses the items that were never started.
func (s *Store) refuseRest(work *Batch) {
	answer := failure.AnswerFor(failure.New(failure.QueueFull,
		"the gateway's batches take as much memory as they may; fetch and delete some, and send the item again"))
	for index := range work.items {
		if work.isPending(index) {
			outcome, response := render(work.id+"-"+strconv.Itoa(index), Result{Failure: &answer})
			s.bytes.Add(work.end(index, outcome, response))
		}
	}
}

// runItem tries an item until it has an answer, a refusal that a repeat can't
// change, or no tries left.
func (s *Store) runItem(work *Batch, index int) {
	if !work.begin(index) {
		return
	}
	item := work.items[index]
	var result Result
	var requestID string
	for try := 1; ; try++ {
		requestID = work.id + "-" + strconv.Itoa(index) + "-" + strconv.Itoa(try)
		result = s.executor.Execute(context.Background(), work.owner, requestID, item)
		if result.Failure == nil || !result.Failure.Repeatable || try >= s.options.ItemTries || work.ctx.Err() != nil {
			break
		}
		sleep(work.ctx, retryWait(result.Failure.RetryAfter, try))
	}
	outcome, response := render(requestID, result)
	s.bytes.Add(work.end(index, outcome, response))
}

// retryWait follows the advice, growing with the tries.
func retryWait(advice time.Duration, try int) time.Duration {
	return min(max(advice, minimumRetryWait)*time.Duration(try), maximumRetryWait)
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func render(requestID string, result Result) (callerapi.ItemOutcome, *callerapi.BatchResponse) {
	if result.Failure != nil {
		body, err := json.Marshal(failure.BodyFor(*result.Failure, requestID))
		if err != nil {
			panic("failure: " + err.Error())
		}
		return callerapi.ItemRefused, &callerapi.BatchResponse{
			StatusCode: result.Failure.Status, RequestID: requestID, Body: body,
		}
	}
	return callerapi.ItemAnswered, &callerapi.BatchResponse{
		StatusCode: result.Status, RequestID: requestID, Body: asJSON(result.Body),
	}
}

// asJSON returns a body as it is if it is JSON, and as a JSON string if not.
func asJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		panic("json: " + err.Error())
	}
	return quoted
}

// cancelRest gives the items that were never started their outcome.
func (s *Store) cancelRest(work *Batch) {
	for index := range work.items {
		if work.isPending(index) {
			s.bytes.Add(work.end(index, callerapi.ItemCancelled, nil))
		}
	}
}

func (b *Batch) isPending(index int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.results[index].Outcome == callerapi.ItemPending
}
