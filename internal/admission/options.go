package admission

import "time"

// Options are the settings of a Queue.
type Options struct {
	// MaximumItems and MaximumTenantItems bound the number of items in the queue
	// and of each tenant's items.
	MaximumItems       int
	MaximumTenantItems int
	// Margin is the fraction of the time left before an item's deadline, less its
	// Service, that the predicted wait may take; the rest covers prediction errors.
	Margin float64
	// ReviewFraction is the fraction of the time from Item.FirstReceivedAt to the
	// deadline after which an item is reviewed: it is refused if the queue is
	// overloaded or the predicted wait no longer fits. An item that stays is refused
	// only at the last time at which it could be served by its deadline.
	ReviewFraction float64
	// OverloadRefusalRate is the fraction of refused items, averaged over recent
	// items, above which the queue counts as overloaded; 0 disables the detection.
	// Long waits only help with transient bursts: while more requests arrive than
	// can be served, they only delay refusals ("controlled delay", Maurer, Fail at Scale, ACM Queue 2015,
	// with refusals in place of a standing queue as the signal).
	OverloadRefusalRate float64
	// RateTimeConstant is the time constant for smoothing the measured drain rate.
	RateTimeConstant time.Duration
	// InitialRate is the drain rate assumed until one has been measured, in cost a
	// second; 0 means that until then no item is refused for its predicted wait.
	InitialRate float64
	// MinimumRetryAfter and MaximumRetryAfter bound Refusal.RetryAfter.
	MinimumRetryAfter time.Duration
	MaximumRetryAfter time.Duration
}

// DefaultOptions returns the default settings, which the experiments use too.
func DefaultOptions() Options {
	return Options{
		MaximumItems:        4096,
		MaximumTenantItems:  2048,
		Margin:              0.8,
		ReviewFraction:      0.08,
		OverloadRefusalRate: 0.1,
		RateTimeConstant:    4 * time.Second,
		MinimumRetryAfter:   250 * time.Millisecond,
		MaximumRetryAfter:   30 * time.Second,
	}
}
