// Package eventstream opens event streams to callers.
package eventstream

import (
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// NewWriter returns the writer of a request's event stream.
//
// When the end of a stream can't be written because the caller has gone, hertz
// (v0.10.4) leaves its connection handling early, without stopping the
// goroutine that watches for the caller's going, and both then touch the same
// buffer. So the failure is kept from it here, and the connection is closed, which
// it notices after that goroutine has been stopped.
func NewWriter(call *app.RequestContext) *sse.Writer {
	if call.Response.GetHijackWriter() == nil {
		inner := resp.NewChunkedBodyWriter(&call.Response, call.GetWriter())
		call.Response.HijackWriter(&forgivingWriter{ExtWriter: inner, connection: call.GetConn()})
	}
	return sse.NewWriter(call)
}

// forgivingWriter does not report that the end of a stream was not written.
type forgivingWriter struct {
	network.ExtWriter
	connection network.Conn
}

// Finalize implements network.ExtWriter.
func (w *forgivingWriter) Finalize() error {
	if err := w.ExtWriter.Finalize(); err != nil {
		_ = w.connection.Close()
	}
	return nil
}
