package listener

import (
	"context"
	"net"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// The HTTP library refuses a request only while it reads it, and a handler answers only afterwards: that tells their
// answers apart, whatever their status and body.

// connectionKey is the key of a connection in the contexts of its requests.
type connectionKey struct{}

// libraryHeaderBytes is the library's own bound, which no head meets that a Listener lets pass.
const libraryHeaderBytes = 64 << 20

// NewServer returns a server of the requests that come to a listener.
func NewServer(l *Listener, options ...config.Option) *server.Hertz {
	limits := l.limits()
	common := []config.Option{
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(func(accepted net.Conn) context.Context {
			return context.WithValue(context.Background(), connectionKey{}, accepted)
		}),
		server.WithTracer(requestTracer{}),
		server.WithMaxHeaderBytes(libraryHeaderBytes),
		server.WithIdleTimeout(limits.IdleTime),
		server.WithKeepAliveTimeout(limits.IdleTime),
		server.WithDisablePrintRoute(true),
	}
	created := server.New(append(common, options...)...)
	created.Use(markAnswer)
	return created
}

// markAnswer gives a request its body, and notes that what is written to the connection from now on answers it.
func markAnswer(ctx context.Context, request *app.RequestContext) {
	accepted, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return
	}
	accepted.answering.Store(true)
	if accepted.body != nil {
		request.Request.SetBodyRaw(accepted.body)
	}
	if accepted.headBytes > closingHeadBytes*keptPerHeadByte {
		request.Response.Header.SetConnectionClose(true)
	}
}

// requestTracer notes the beginning and the end of each request on a connection.
type requestTracer struct{}

// Start implements tracer.Tracer. It is called before the request is read.
func (requestTracer) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	if accepted, ok := ctx.Value(connectionKey{}).(*connection); ok {
		accepted.answering.Store(false)
	}
	return ctx
}

// Finish implements tracer.Tracer. It is called when the request was answered.
func (requestTracer) Finish(ctx context.Context, _ *app.RequestContext) {
	if accepted, ok := ctx.Value(connectionKey{}).(*connection); ok {
		accepted.finish()
	}
}
