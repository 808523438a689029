package daemon

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// responder writes the answer to a request.
type responder struct {
	frontend *frontend
	request  *app.RequestContext
	stream   *streamWriter
	answered bool
	// forwarded is set if the request comes from a peer gateway, and call is its call.
	forwarded bool
	call      *relay.Call
}

// Answer implements relay.Responder.
func (r *responder) Answer(status int, header http.Header, body []byte) {
	r.answered = true
	r.copyHeader(header)
	r.request.Response.SetStatusCode(status)
	if len(body) == 0 && status == http.StatusNotFound {
		// The library puts a text in the place of an empty body, but not of a stream.
		r.request.Response.SetBodyStream(http.NoBody, 0)
		return
	}
	r.request.Response.SetBodyRaw(body)
}

// Refuse implements relay.Responder.
func (r *responder) Refuse(err error) {
	r.answered = true
	answer := failure.AnswerFor(err)
	if answer.RetryAfter > 0 && answer.Ran == failure.RanNo {
		name, value := r.frontend.settings.Dialect.RetryAfter(answer.RetryAfter)
		r.request.Response.Header.Set(name, value)
	}
	if r.forwarded {
		r.request.Response.Header.Set(headerPeerRefusal, string(answer.Kind))
	}
	r.request.JSON(answer.Status, failure.BodyFor(answer, ""))
}

// Stream implements relay.Responder.
func (r *responder) Stream(status int, header http.Header) relay.StreamWriter {
	r.answered = true
	r.copyHeader(header)
	if r.forwarded {
		r.nameSoftware()
	}
	r.request.Response.SetStatusCode(status)
	r.closeIfDraining()
	inner := resp.NewChunkedBodyWriter(&r.request.Response, r.request.GetWriter())
	r.stream = &streamWriter{inner: inner, connection: r.request.GetConn()}
	r.request.Response.HijackWriter(r.stream)
	return r.stream
}

// nameSoftware tells the peer which software has begun the stream.
func (r *responder) nameSoftware() {
	header, software := &r.request.Response.Header, r.call.Software
	if software.Version != "" {
		header.Set(headerPeerSoftware, software.Version)
	}
	if software.Incarnation != "" {
		header.Set(headerPeerIncarnation, software.Incarnation)
	}
}

// writeErrorKey is the key of the function that OnWriteError sets in the context of a request.
const writeErrorKey = "write error"

// OnWriteError implements relay.Responder. The response is written once the request's handler has returned.
func (r *responder) OnWriteError(notify func(err error)) { r.request.Set(writeErrorKey, notify) }

// writeErrorTracer calls the function that was set by OnWriteError if a response can't be written.
type writeErrorTracer struct{}

// Start implements tracer.Tracer.
func (writeErrorTracer) Start(ctx context.Context, _ *app.RequestContext) context.Context { return ctx }

// Finish implements tracer.Tracer.
func (writeErrorTracer) Finish(_ context.Context, request *app.RequestContext) {
	err := request.GetTraceInfo().Stats().Error()
	if err == nil {
		return
	}
	if notify, found := request.Get(writeErrorKey); found {
		notify.(func(err error))(err)
	}
}

// finish must be called at the end of every request.
func (r *responder) finish() {
	if r.stream == nil {
		r.closeIfDraining()
	}
	if !r.answered {
		// The caller has disconnected, so nobody reads an answer.
		_ = r.request.GetConn().Close()
	}
}

// closeIfDraining closes the connection after this answer if a planned stop has begun.
func (r *responder) closeIfDraining() {
	if r.frontend.draining() {
		r.request.Response.Header.SetConnectionClose(true)
	}
}

func (r *responder) copyHeader(header http.Header) {
	target := &r.request.Response.Header
	for name, values := range header {
		if relay.IsHopByHop(name) {
			continue
		}
		if name == "Content-Type" {
			target.SetContentType(values[0])
			continue
		}
		for _, value := range values {
			target.Add(name, value)
		}
	}
}

// streamWriter writes a stream in chunks.
//
// If the end of a stream cannot be written because the caller has disconnected, hertz (v0.10.4)
// returns early from its connection handling without stopping the goroutine that watches for
// disconnects, and both then access the same buffer. Finalize therefore hides the error from hertz
// and closes the connection, which hertz notices after it has stopped that goroutine.
type streamWriter struct {
	inner      network.ExtWriter
	connection network.Conn
	ended      bool
}

// Send implements relay.StreamWriter.
func (w *streamWriter) Send(events []byte) error {
	if _, err := w.inner.Write(events); err != nil {
		return err
	}
	return w.inner.Flush()
}

// End implements relay.StreamWriter.
func (w *streamWriter) End() { w.ended = true }

// Abort implements relay.StreamWriter.
func (w *streamWriter) Abort() { w.ended = false }

// Write implements network.ExtWriter.
func (w *streamWriter) Write(data []byte) (int, error) { return w.inner.Write(data) }

// Flush implements network.ExtWriter.
func (w *streamWriter) Flush() error { return w.inner.Flush() }

// Finalize implements network.ExtWriter. A stream that was not ended must not look complete, so its
// connection is closed instead.
func (w *streamWriter) Finalize() error {
	if !w.ended || w.inner.Finalize() != nil {
		_ = w.connection.Close()
	}
	return nil
}
