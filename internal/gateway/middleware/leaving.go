package middleware

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// Leaving refuses new work once the gateway has begun its planned stop, and
// counts the requests in flight, up to a bound.
type Leaving struct {
	doors Doors
}

// Doors counts requests in and out.
type Doors interface {
	// Enter returns a nil error if the request may come in; Exit must then be
	// called.
	Enter() error
	Exit()
}

// NewLeaving returns the middleware.
func NewLeaving(doors Doors) *Leaving { return &Leaving{doors: doors} }

// Handle implements app.HandlerFunc.
func (m *Leaving) Handle(ctx context.Context, call *app.RequestContext) {
	if err := m.doors.Enter(); err != nil {
		if failure.KindOf(err) == failure.Leaving {
			call.SetConnectionClose()
		}
		Refuse(call, truthfulFor(call, err))
		return
	}
	defer m.exitWhenWritten(call)
	call.Next(ctx)
}

// exitWhenWritten counts the request out once its answer has been written, which
// the library does after all handlers; a stop that came before would cut it.
func (m *Leaving) exitWhenWritten(call *app.RequestContext) {
	written := call.Finished()
	go func() {
		<-written
		m.doors.Exit()
	}()
}

// truthfulFor weakens a refusal of a call with an idempotency key: this call has
// not run, but an earlier one under the same key may have.
func truthfulFor(call *app.RequestContext, err error) error {
	if len(call.GetHeader(callerapi.HeaderIdempotencyKey)) == 0 {
		return err
	}
	return merry.Wrap(err, failure.WithRan(failure.RanUnknown))
}
