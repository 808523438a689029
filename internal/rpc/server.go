package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/tinylib/msgp/msgp"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// HeaderToken carries the cluster's shared token.
const HeaderToken = "Pt"

var contentType = []byte("application/msgpack")

// ServerOptions returns the options that keep the headers of replies small: a
// heartbeat's headers count towards each node's budget for control traffic.
func ServerOptions() []config.Option {
	return []config.Option{
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	}
}

// TokenCheck returns a middleware that rejects calls without the cluster's
// token, comparing in constant time. An empty token allows every call.
func TokenCheck(token string) app.HandlerFunc {
	expected := sha256.Sum256([]byte(token))
	return func(ctx context.Context, request *app.RequestContext) {
		if token == "" {
			return
		}
		offered := sha256.Sum256(request.GetHeader(HeaderToken))
		if subtle.ConstantTimeCompare(offered[:], expected[:]) == 1 {
			return
		}
		writeError(request, failure.New(failure.Unauthenticated, "the cluster token is missing or wrong"))
		request.Abort()
	}
}

// panicReporter is the key under which a call's context stores its panic
// reporter.
const panicReporter = "panic-reporter"

// ReportPanics returns a middleware that reports panics of the handlers behind
// it. The reporter is called on the stack of the panic.
func ReportPanics(report func(cause any)) app.HandlerFunc {
	return func(_ context.Context, call *app.RequestContext) { call.Set(panicReporter, report) }
}

// Message is a pointer to a message type that can be decoded.
type Message[T any] interface {
	*T
	msgp.Unmarshaler
}

// Handle serves a path with a handler for decoded requests. The reply is
// written only if the error is nil. A panic is answered as an internal error;
// what the handler had done by then is unknown.
func Handle[Request any, Pointer Message[Request], Reply msgp.Marshaler](
	routes route.IRoutes, path string, handler func(context.Context, Pointer) (Reply, error),
) {
	routes.POST(path, func(ctx context.Context, call *app.RequestContext) {
		request := Pointer(new(Request))
		if _, err := request.UnmarshalMsg(call.Request.Body()); err != nil {
			writeError(call, failure.Wrap(err, failure.MalformedRequest))
			return
		}
		reply, err := protect(ctx, call, request, handler)
		if err != nil {
			writeError(call, err)
			return
		}
		body, err := reply.MarshalMsg(nil)
		if err != nil {
			writeError(call, failure.Wrap(err, failure.Internal))
			return
		}
		call.Data(http.StatusOK, string(contentType), body)
	})
}

func protect[Request, Reply any](
	ctx context.Context, call *app.RequestContext, request Request,
	handler func(context.Context, Request) (Reply, error),
) (reply Reply, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			if report, ok := call.Value(panicReporter).(func(cause any)); ok {
				report(cause)
			}
			err = failure.New(failure.Internal, fmt.Sprintf("panic: %v", cause))
		}
	}()
	return handler(ctx, request)
}

func writeError(call *app.RequestContext, err error) {
	status, reply := replyFor(err)
	body, marshalError := reply.MarshalMsg(nil)
	if marshalError != nil {
		status, body = http.StatusInternalServerError, nil
	}
	call.Data(status, string(contentType), body)
}
