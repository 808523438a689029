package batch

import (
	"context"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
)

// Owner is who sent a batch, as its items need it.
type Owner struct {
	Scope middleware.Scope
	// Authorization is the caller's own header, for items of another zone.
	Authorization string
}

// Batch is one batch. It is safe for concurrent use.
type Batch struct {
	id    string
	owner Owner
	items []callerapi.BatchItem

	ctx    context.Context
	cancel context.CancelFunc

	mutex      sync.Mutex
	results    []callerapi.BatchResult
	counts     callerapi.BatchCounts
	bytes      int64
	paused     bool
	cancelled  bool
	finishedAt time.Duration
	// fetched is the index up to which results were handed out.
	fetched int
}

func newBatch(id string, owner Owner, items []callerapi.BatchItem) *Batch {
	ctx, cancel := context.WithCancel(context.Background())
	created := &Batch{
		id:      id,
		owner:   owner,
		items:   items,
		ctx:     ctx,
		cancel:  cancel,
		results: make([]callerapi.BatchResult, len(items)),
		counts:  callerapi.BatchCounts{Total: len(items), Pending: len(items)},
	}
	for index, item := range items {
		created.results[index] = callerapi.BatchResult{Index: index, CustomID: item.CustomID, Outcome: callerapi.ItemPending}
		created.bytes += int64(len(item.Body))
	}
	return created
}

// Progress returns the batch's state. gateway is the name of this gateway.
func (b *Batch) Progress(gateway string) callerapi.Batch {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	progress := callerapi.Batch{
		ID:      b.id,
		Object:  callerapi.ObjectBatch,
		Gateway: gateway,
		State:   callerapi.BatchRunning,
		Paused:  b.paused,
		Counts:  b.counts,
	}
	switch {
	case b.finishedAt == 0:
	case b.cancelled:
		progress.State = callerapi.BatchCancelled
	default:
		progress.State = callerapi.BatchFinished
	}
	return progress
}

// Results returns a page of results from an index on.
func (b *Batch) Results(after, limit int) callerapi.BatchResults {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	after = min(max(after, 0), len(b.results))
	end := min(after+limit, len(b.results))
	page := callerapi.BatchResults{Results: append([]callerapi.BatchResult{}, b.results[after:end]...), Next: end}
	if end == len(b.results) {
		page.Next = -1
	}
	if b.finishedAt > 0 && after <= b.fetched {
		b.fetched = max(b.fetched, end)
	}
	return page
}

// Cancel takes back the items that have not started; those that run are
// finished.
func (b *Batch) Cancel() {
	b.mutex.Lock()
	b.cancelled = true
	b.mutex.Unlock()
	b.cancel()
}

// begin marks an item as running, unless the batch was cancelled.
func (b *Batch) begin(index int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.cancelled {
		return false
	}
	b.results[index].Outcome = callerapi.ItemRunning
	b.counts.Pending--
	b.counts.Running++
	return true
}

// end stores an item's outcome, and returns the growth of what is kept.
func (b *Batch) end(index int, outcome callerapi.ItemOutcome, response *callerapi.BatchResponse) int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	growth := -int64(len(b.items[index].Body))
	b.items[index].Body = nil
	if b.results[index].Outcome == callerapi.ItemRunning {
		b.counts.Running--
	} else {
		b.counts.Pending--
	}
	b.results[index].Outcome = outcome
	b.results[index].Response = response
	switch outcome {
	case callerapi.ItemAnswered:
		b.counts.Answered++
	case callerapi.ItemRefused:
		b.counts.Refused++
	default:
		b.counts.Cancelled++
	}
	if response != nil {
		growth += int64(len(response.Body))
	}
	b.bytes += growth
	return growth
}

func (b *Batch) setPaused(paused bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.paused = paused
}

// finish marks the end of the batch.
func (b *Batch) finish(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.finishedAt = now
}

// isFinished reports whether every item has its outcome, since when, and whether
// all results were handed out since.
func (b *Batch) isFinished() (finished bool, at time.Duration, fetched bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.finishedAt > 0, b.finishedAt, b.fetched == len(b.results)
}

func (b *Batch) kept() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes
}
