package forward

import (
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/gateway/exchange"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

// Request is a caller's request as it is forwarded.
type Request struct {
	Method string
	// Path includes the query, if any.
	Path string
	Body []byte
	// Authorization is the caller's own; the peer checks it again.
	Authorization  string
	RequestID      string
	IdempotencyKey string
	Priority       int
	// Deadline is a time on the monotonic clock.
	Deadline time.Duration
}

func requestOf(call *app.RequestContext) Request {
	scope := middleware.ScopeOf(call)
	return Request{
		Method:         string(call.Method()),
		Path:           string(call.Request.URI().RequestURI()),
		Body:           call.Request.Body(),
		Authorization:  string(call.GetHeader(callerapi.HeaderAuthorization)),
		RequestID:      scope.RequestID,
		IdempotencyKey: string(call.GetHeader(callerapi.HeaderIdempotencyKey)),
		Priority:       scope.Priority,
		Deadline:       scope.Deadline,
	}
}

func (r *Request) wire(peer Peer, left time.Duration, token string) exchange.Request {
	headers := []string{
		callerapi.HeaderAuthorization, r.Authorization,
		callerapi.HeaderRequestID, r.RequestID,
		callerapi.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10),
		callerapi.HeaderPriority, strconv.Itoa(r.Priority),
		callerapi.HeaderHop, "1",
		rpc.HeaderToken, token,
		"Connection", "close",
	}
	if r.IdempotencyKey != "" {
		headers = append(headers, callerapi.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	return exchange.Request{
		Address:     peer.Address,
		Method:      r.Method,
		Path:        r.Path,
		ContentType: "application/json",
		Body:        r.Body,
		Headers:     headers,
		Stream:      true,
	}
}
