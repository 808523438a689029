package handler

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/eventstream"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
	"github.com/pierhaven/pierhaven/internal/request"
)

// wholeAnswer collects an answer and writes it at its end.
type wholeAnswer struct {
	call   *app.RequestContext
	format Format
	text   strings.Builder
}

func newWholeAnswer(call *app.RequestContext, format Format) *wholeAnswer {
	return &wholeAnswer{call: call, format: format}
}

// Tokens implements completion.Answer.
func (a *wholeAnswer) Tokens(tokens []string) error {
	for _, token := range tokens {
		a.text.WriteString(token)
	}
	return nil
}

// Finish implements completion.Answer.
func (a *wholeAnswer) Finish(finish request.Finish) error {
	a.call.JSON(http.StatusOK, a.format.Whole(a.text.String(), finish))
	return nil
}

// Fail implements completion.Answer.
func (a *wholeAnswer) Fail(answer failure.Answer) {
	middleware.RefuseWith(a.call, answer)
}

// streamAnswer writes each piece of an answer as an event.
type streamAnswer struct {
	call         *app.RequestContext
	format       Format
	usage        bool
	writeTimeout time.Duration
	// writer is nil until the first token, so that a failure before it still
	// has its own HTTP status.
	writer *sse.Writer
	buffer []byte
	text   []byte
}

func newStreamAnswer(call *app.RequestContext, format Format, usage bool, writeTimeout time.Duration) *streamAnswer {
	return &streamAnswer{call: call, format: format, usage: usage, writeTimeout: writeTimeout}
}

// Tokens implements completion.Answer.
func (a *streamAnswer) Tokens(tokens []string) error {
	text := tokens[0]
	if len(tokens) > 1 {
		a.text = a.text[:0]
		for _, token := range tokens {
			a.text = append(a.text, token...)
		}
		text = string(a.text)
	}
	a.buffer = a.format.AppendPiece(a.buffer[:0], text)
	return a.write("", a.buffer)
}

// Finish implements completion.Answer.
func (a *streamAnswer) Finish(finish request.Finish) error {
	var usage *callerapi.Usage
	if a.usage {
		counted := usageOf(finish)
		usage = &counted
	}
	last, err := json.Marshal(a.format.Last(finish, usage))
	if err != nil {
		return err
	}
	if err := a.write("", last); err != nil {
		return err
	}
	return a.write("", []byte(callerapi.StreamDone))
}

// Fail implements completion.Answer. A stream that has begun ends with an error
// event and without its mark of wholeness.
func (a *streamAnswer) Fail(answer failure.Answer) {
	if a.writer == nil {
		middleware.RefuseWith(a.call, answer)
		return
	}
	middleware.NoteFailure(a.call, answer.Kind)
	body, err := json.Marshal(failure.BodyFor(answer, middleware.ScopeOf(a.call).RequestID))
	if err == nil {
		_ = a.write(callerapi.StreamErrorEvent, body)
	}
}

func (a *streamAnswer) write(eventType string, data []byte) error {
	if a.writer == nil {
		a.call.SetStatusCode(http.StatusOK)
		a.writer = eventstream.NewWriter(a.call)
	}
	if err := a.call.GetConn().SetWriteTimeout(a.writeTimeout); err != nil {
		return err
	}
	return a.writer.WriteEvent("", eventType, data)
}
