package middleware

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Recovery turns a panic into an internal error and bounds the writing of the
// answer. It comes first.
type Recovery struct {
	logger       logr.Logger
	writeTimeout time.Duration
}

// NewRecovery returns the middleware.
func NewRecovery(logger logr.Logger, writeTimeout time.Duration) *Recovery {
	return &Recovery{logger: logger, writeTimeout: writeTimeout}
}

// Handle implements app.HandlerFunc.
func (m *Recovery) Handle(ctx context.Context, call *app.RequestContext) {
	defer m.end(call)
	call.Next(ctx)
}

func (m *Recovery) end(call *app.RequestContext) {
	if cause := recover(); cause != nil {
		err := failure.New(failure.Internal, fmt.Sprintf("panic: %v", cause))
		m.logger.Error(err, "handler panicked", "request", ScopeOf(call).RequestID, "stack", string(debug.Stack()))
		call.SetConnectionClose()
		if call.Response.GetHijackWriter() == nil {
			Refuse(call, failure.New(failure.Internal, "an unexpected error"))
		}
	}
	_ = call.GetConn().SetWriteTimeout(m.writeTimeout)
}
