package daemon

import (
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// responder writes the answer to one request.
type responder struct {
	front   *front
	request *app.RequestContext
	stream  *streamWriter
	answer  bool
}

// Answer implements relay.Responder.
func (r *responder) Answer(status int, header http.Header, body []byte) {
	r.answer = true
	r.copyHeader(header)
	r.request.Response.SetStatusCode(status)
	r.request.Response.SetBodyRaw(body)
}

// Refuse implements relay.Responder.
func (r *responder) Refuse(err error) {
	r.answer = true
	answer := failure.AnswerFor(err)
	if answer.RetryAfter > 0 && answer.Ran == failure.RanNo {
		name, value := r.front.settings.Dialect.RetryAfter(answer.RetryAfter)
		r.request.Response.Header.Set(name, value)
	}
	r.request.JSON(answer.Status, failure.BodyFor(answer, ""))
}

// Stream implements relay.Responder.
func (r *responder) Stream(status int, header http.Header) relay.StreamWriter {
	r.answer = true
	r.copyHeader(header)
	r.request.Response.SetStatusCode(status)
	r.endIfLeaving()
	inner := resp.NewChunkedBodyWriter(&r.request.Response, r.request.GetWriter())
	r.stream = &streamWriter{inner: inner, connection: r.request.GetConn()}
	r.request.Response.HijackWriter(r.stream)
	return r.stream
}

// finish is called at the end of every request.
func (r *responder) finish() {
	if r.stream == nil {
		r.endIfLeaving()
	}
	if !r.answer {
		// The caller has gone: there is nobody to answer.
		_ = r.request.GetConn().Close()
	}
}

// endIfLeaving has the connection end after this answer if the process leaves.
func (r *responder) endIfLeaving() {
	if r.front.leaving() {
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
// When the end of a stream can't be written because the caller has gone, hertz
// (v0.10.4) leaves its connection handling early, without stopping the
// goroutine that watches for the caller's going, and both then touch the same
// buffer. So the failure is kept from it here, and the connection is closed,
// which it notices after that goroutine has been stopped.
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

// Finalize implements network.ExtWriter. A stream that was not ended must not
// look complete: its connection is closed instead.
func (w *streamWriter) Finalize() error {
	if !w.ended || w.inner.Finalize() != nil {
		_ = w.connection.Close()
	}
	return nil
}
