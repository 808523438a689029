package middleware

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// minimumPriority bounds the priorities that a caller may name: each one that is
// in use costs the queue a little.
const minimumPriority = -100

// Terms reads a request's deadline and priority.
type Terms struct {
	clock           func() time.Duration
	defaultDeadline time.Duration
	maximumDeadline time.Duration
}

// NewTerms returns the middleware.
func NewTerms(clock func() time.Duration, defaultDeadline, maximumDeadline time.Duration) *Terms {
	return &Terms{clock: clock, defaultDeadline: defaultDeadline, maximumDeadline: maximumDeadline}
}

// Handle implements app.HandlerFunc. It needs the tenant.
func (m *Terms) Handle(_ context.Context, call *app.RequestContext) {
	scope := ScopeOf(call)
	left, err := m.deadline(string(call.GetHeader(callerapi.HeaderDeadline)))
	if err != nil {
		Refuse(call, err)
		return
	}
	scope.Deadline = m.clock() + left
	priority, err := priorityOf(string(call.GetHeader(callerapi.HeaderPriority)))
	if err != nil {
		Refuse(call, err)
		return
	}
	scope.Priority = max(minimumPriority, min(priority, scope.Tenant.MaximumPriority))
}

func (m *Terms) deadline(text string) (time.Duration, error) {
	if text == "" {
		return m.defaultDeadline, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, failure.New(failure.MalformedRequest, callerapi.HeaderDeadline+": not a positive number of milliseconds")
	}
	if milliseconds > m.maximumDeadline.Milliseconds() {
		return m.maximumDeadline, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

func priorityOf(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	priority, err := strconv.Atoi(text)
	if err != nil {
		return 0, failure.New(failure.MalformedRequest, callerapi.HeaderPriority+": not a whole number")
	}
	return priority, nil
}
