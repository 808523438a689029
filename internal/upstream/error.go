package upstream

import (
	"context"
	"errors"
	"syscall"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/headlimit"
)

// Error is the failure of an exchange.
type Error struct {
	// HandedOver is false only if no byte of the request was handed over.
	HandedOver bool
	// Received is how many bytes of an answer have come, HeadRead is set once its head was whole.
	Received int64
	HeadRead bool
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.HandedOver {
		return "after handing over: " + e.Cause.Error()
	}
	return "before handing over: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// HandedOver reports whether a request may have reached its replica.
func HandedOver(err error) bool {
	var failed *Error
	return !errors.As(err, &failed) || failed.HandedOver
}

// Silent reports whether the peer's machine has acknowledged nothing for so long
// that the system gave the connection up.
func Silent(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// HeldBack reports whether a request was not sent because its peer has requested a backoff or is leaving.
func HeldBack(err error) bool {
	var held *backpressure.BlockedError
	return errors.As(err, &held)
}

// The causes of errors that are found in an answer.
var (
	errForeignAnswers = errors.New("only answers to other requests came")
	// ErrUnframedEnd says that an event stream without a length ended inside an
	// event.
	ErrUnframedEnd = errors.New("the stream ended inside an event")
)

// Bound is one that an answer may go beyond.
type Bound string

// Bounds of answers.
const (
	// BoundHead and BoundLines are of the heads of an exchange, BoundTime is of the time that a head takes once it has begun.
	BoundHead  Bound = "head"
	BoundLines Bound = "lines"
	BoundTime  Bound = "time"
	// BoundBody is of a body that is read whole, BoundEvent of one event of a stream.
	BoundBody  Bound = "body"
	BoundEvent Bound = "event"
	// BoundMemory is of what all answers may hold together.
	BoundMemory Bound = "memory"
)

// ExcessError says that an answer was given up because it goes beyond a bound.
type ExcessError struct{ Bound Bound }

// Error implements error.
func (e *ExcessError) Error() string {
	return "the answer goes beyond the bound of its " + string(e.Bound)
}

// ExceededBound returns the bound for which an answer was given up, empty if it was lost otherwise.
func ExceededBound(err error) Bound {
	var excess *ExcessError
	if errors.As(err, &excess) {
		return excess.Bound
	}
	return ""
}

// withBound returns an ExcessError in the place of an error of headlimit, and others as they are.
func withBound(err error) error {
	switch {
	case errors.Is(err, headlimit.ErrBytes):
		return &ExcessError{Bound: BoundHead}
	case errors.Is(err, headlimit.ErrLines):
		return &ExcessError{Bound: BoundLines}
	}
	return err
}

// causeOf prefers the end of the context to the error that it has led to.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
