package admission

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Item is one request in a queue.
type Item struct {
	// ID is the request id.
	ID     string
	Tenant string
	// Weight is the tenant's weight in fair queueing; 0 counts as 1.
	Weight float64
	// Priority orders items of all tenants; a higher one is served first.
	Priority int
	// Rank orders a tenant's requests of one priority; a higher one is served
	// first. It comes from the policy's ranking program.
	Rank float64
	// Cost is the amount of work for the request, in tokens.
	Cost float64
	// Deadline is the time by which the event that Service predicts must happen, 0
	// for none.
	Deadline time.Duration
	// FirstReceivedAt is when the first gateway received the request; 0 means the
	// time of the offer. A request that another zone's gateway has forwarded has
	// spent part of its time there.
	FirstReceivedAt time.Duration
	// Service is the predicted time from dispatch to the event that the deadline
	// applies to: the first token or the end of the answer.
	Service time.Duration
	// Value is the caller's data; the queue does not use it.
	Value any

	offeredAt time.Duration
	sequence  uint64
	// reviewed is set once the first review has let the item stay.
	reviewed bool
}

// OfferedAt returns the time at which the item was offered to the queue.
func (i *Item) OfferedAt() time.Duration { return i.offeredAt }

func (i *Item) weight() float64 {
	if i.Weight <= 0 {
		return 1
	}
	return i.Weight
}

// Refusal is the final answer to a request that isn't served. It is returned as
// soon as it is decided; RetryAfter is the time after which to retry.
type Refusal struct {
	Kind       failure.Kind
	RetryAfter time.Duration
	// PredictedWait is the queueing time that the queue predicted for the item.
	PredictedWait time.Duration
}

// Refused is a queued item that was refused before it was served.
type Refused struct {
	Item    *Item
	Refusal Refusal
}
