package middleware

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
)

const maximumRequestIDLength = 128

// RequestID gives every request an id, the caller's if it sent a usable one,
// and puts it on the answer.
type RequestID struct{}

// NewRequestID returns the middleware.
func NewRequestID() *RequestID { return &RequestID{} }

// Handle implements app.HandlerFunc.
func (m *RequestID) Handle(_ context.Context, call *app.RequestContext) {
	id := string(call.GetHeader(callerapi.HeaderRequestID))
	if !usableRequestID(id) {
		id = uuid.NewString()
	}
	ScopeOf(call).RequestID = id
	call.Header(callerapi.HeaderRequestID, id)
}

func usableRequestID(id string) bool {
	if id == "" || len(id) > maximumRequestIDLength {
		return false
	}
	for index := range len(id) {
		if id[index] <= ' ' || id[index] >= 0x7f {
			return false
		}
	}
	return true
}
