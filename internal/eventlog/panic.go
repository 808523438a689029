package eventlog

import (
	"fmt"
	"runtime/debug"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// LogPanic records a panic that was recovered, with the stack of the caller, as
// an error of kind internal; that writes the ring out. Call it in the deferred
// function that recovers.
func LogPanic(logger logr.Logger, where string, cause any) {
	err := failure.New(failure.Internal, fmt.Sprintf("panic: %v", cause))
	logger.Error(err, where+" panicked", "stack", string(debug.Stack()))
}

// PanicHandler returns a handler for the pools of package ants: a worker's panic
// ends its task, not the process.
func PanicHandler(logger logr.Logger, pool string) func(cause any) {
	return func(cause any) { LogPanic(logger, pool, cause) }
}

// Guard returns work that has the ring written with dump, which may be nil, when
// it panics; the panic goes on and ends the process. It is for goroutines that
// run as long as the process.
func Guard(dump func(reason string) (string, error), work func()) func() {
	return func() {
		defer dumpOnPanic(dump)
		work()
	}
}

func dumpOnPanic(dump func(reason string) (string, error)) {
	cause := recover()
	if cause == nil {
		return
	}
	if dump != nil {
		_, _ = dump(fmt.Sprintf("panic: %v", cause))
	}
	panic(cause)
}
