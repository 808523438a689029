package upstream

import (
	"context"
	"errors"
	"syscall"

	"github.com/pierhaven/pierhaven/internal/backpressure"
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
	errTooLarge       = errors.New("the answer is too large")
	// ErrUnframedEnd says that an event stream without a length ended inside an
	// event.
	ErrUnframedEnd = errors.New("the stream ended inside an event")
)

// causeOf prefers the end of the context to the error that it has led to.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
