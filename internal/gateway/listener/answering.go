package listener

import (
	"context"
	"net"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
)

// The HTTP library refuses a request only while it reads it, and a handler answers only afterwards: that tells their
// answers apart, whatever their status and body.

// connectionKey is the key of a connection in the contexts of its requests.
type connectionKey struct{}

// ServerOptions returns the options of a server whose listener is a Listener and whose first handler is MarkAnswer.
func ServerOptions() []config.Option {
	return []config.Option{
		server.WithOnAccept(func(accepted net.Conn) context.Context {
			return context.WithValue(context.Background(), connectionKey{}, accepted)
		}),
		server.WithTracer(requestTracer{}),
	}
}

// MarkAnswer notes that what is written to the connection from now on answers its request.
func MarkAnswer(ctx context.Context, _ *app.RequestContext) { setAnswering(ctx, true) }

// requestTracer notes the beginning of each request on a connection.
type requestTracer struct{}

// Start implements tracer.Tracer. It is called before the request is read.
func (requestTracer) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	setAnswering(ctx, false)
	return ctx
}

// Finish implements tracer.Tracer.
func (requestTracer) Finish(context.Context, *app.RequestContext) {}

func setAnswering(ctx context.Context, answering bool) {
	if accepted, ok := ctx.Value(connectionKey{}).(*connection); ok {
		accepted.answering.Store(answering)
	}
}
