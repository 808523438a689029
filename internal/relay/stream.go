package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// streamState is a stream whose head has been sent to the caller.
type streamState struct {
	writer    StreamWriter
	lastEvent string
	events    int
	// firstAt and lastAt are when the first and the last event were handed on.
	firstAt      time.Time
	lastAt       time.Time
	longestPause time.Duration
}

// note notes that events are handed on.
func (s *streamState) note(now time.Time) {
	if s.events > 0 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	} else {
		s.firstAt = now
	}
	s.lastAt = now
	s.events++
}

const (
	streamReadBytes = 4 << 10
	// maximumEventBytes bounds one event.
	maximumEventBytes = 1 << 20
)

// relayStream hands the events of an answer on as they come, each whole. A
// stream that breaks off is left at its last whole event, so that another
// replica can continue it.
func (r *run) relayStream(ctx context.Context, lease *Lease, answer *upstream.Exchange, marks Marks, send Send) (verdict, error) {
	events := &eventSplitter{}
	buffer := make([]byte, streamReadBytes)
	first := true
	var moving *mover
	defer func() { moving.abandonUnless(r.moved != nil) }()
	for {
		count, err := answer.Read(buffer)
		whole := events.add(buffer[:count])
		if len(whole) > 0 {
			if first {
				first = false
				r.countBegun(time.Now())
				lease.Answered(false, marks.Load)
				r.noteBegun(lease, send)
				if r.isModelCall() && !r.directory.off[mechanism.StreamMoves] {
					moving = r.watchStream(ctx, lease)
				}
			} else {
				lease.StreamWentOn()
			}
			if err := r.forward(answer, whole, events.last); err != nil {
				r.callerLost = true
				return verdictAnswered, nil
			}
		}
		switch {
		case err == nil && len(events.rest) <= maximumEventBytes:
		case errors.Is(err, io.EOF) && len(events.rest) == 0 && r.stream != nil:
			r.ranWell = true
			r.stream.writer.End()
			return verdictAnswered, nil
		default:
			if moving != nil {
				if r.moved = moving.end(); r.moved != nil {
					return verdictMoved, nil
				}
			}
			lease.Unreachable(true)
			r.replicaLost(ctx, lease, err)
			return verdictUnknown, brokenStream(err)
		}
	}
}

func brokenStream(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		err = upstream.ErrUnframedEnd
	}
	return failure.Wrap(err, failure.AnswerBroken)
}

// forward writes whole events, after the head if there was none yet. An error
// says that the caller has gone.
func (r *run) forward(answer *upstream.Exchange, whole []byte, last string) error {
	if r.stream == nil {
		r.metrics.firstAnswer(r.call)
		r.stream = &streamState{writer: r.responder.Stream(answer.Status, answer.Header)}
	}
	if last != "" {
		r.stream.lastEvent = last
	}
	r.stream.note(time.Now())
	return r.stream.writer.Send(whole)
}

// noteBegun notes the first event of a stream at a replica, which now keeps the prompt. A
// stream that was moved there has been noted before.
func (r *run) noteBegun(lease *Lease, send Send) {
	if send.Moved {
		return
	}
	lease.StreamBegun(r.call.Route.Name, send.Source != "")
	if r.call.Prompt != nil {
		lease.PromptRead()
		lease.PromptKept(r.call.Prompt)
	}
}

// eventSplitter cuts a body into whole events (WHATWG HTML, server-sent events):
// an event ends with an empty line.
type eventSplitter struct {
	rest []byte
	// last is the id of the last whole event that had one.
	last string
}

var (
	eventEnd      = []byte("\n\n")
	carriageEnd   = []byte("\r\n\r\n")
	eventIDPrefix = []byte("id:")
)

// add takes the next bytes in and returns all events that are whole now.
func (s *eventSplitter) add(data []byte) []byte {
	s.rest = append(s.rest, data...)
	end := max(endOf(s.rest, eventEnd), endOf(s.rest, carriageEnd))
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(s.rest[:end])
	s.rest = append(s.rest[:0], s.rest[end:]...)
	s.noteIDs(whole)
	return whole
}

// endOf returns the position behind the last separator, 0 if there is none.
func endOf(data, separator []byte) int {
	at := bytes.LastIndex(data, separator)
	if at < 0 {
		return 0
	}
	return at + len(separator)
}

func (s *eventSplitter) noteIDs(whole []byte) {
	for line := range bytes.Lines(whole) {
		if value, found := bytes.CutPrefix(line, eventIDPrefix); found {
			s.last = string(bytes.TrimSpace(value))
		}
	}
}

// IsHopByHop reports whether a field concerns one connection only (RFC 9110,
// section 7.6.1).
func IsHopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}
