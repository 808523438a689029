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

// streamState is the state of a stream whose header was sent to the caller.
type streamState struct {
	writer    StreamWriter
	lastEvent string
	// events counts the batches of events forwarded, bytes their size.
	events int
	bytes  int
	// firstAt and lastAt are the times at which the first and the last event were forwarded.
	firstAt         time.Time
	lastAt          time.Time
	longestEventGap time.Duration
}

// recordEvent records the time at which a batch of events is forwarded.
func (s *streamState) recordEvent(now time.Time) {
	if s.events > 0 {
		s.longestEventGap = max(s.longestEventGap, now.Sub(s.lastAt))
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

// relayStream forwards the events of a response as they arrive, each one complete. A stream that breaks
// off ends after its last complete event, so that another replica can continue it.
func (r *callState) relayStream(ctx context.Context, lease *Lease, response *upstream.Exchange, metadata ResponseMetadata, send Send) (verdict, error) {
	events := &eventSplitter{}
	buffer := make([]byte, streamReadBytes)
	first := true
	var mover *streamMover
	defer func() { mover.stopUnless(r.moved != nil) }()
	for {
		count, err := response.Read(buffer)
		complete := events.add(buffer[:count])
		if err == nil {
			err = events.checkBounds(response)
		}
		if len(complete) > 0 {
			if first {
				first = false
				r.streamBreak, r.stopped = nil, false
				r.call.beginAt(lease.Software)
				r.countStart(time.Now())
				recordNoLimit(lease, response.Status, metadata)
				lease.Answered(false, metadata.Load)
				r.recordStreamStart(lease, send)
				if r.isModelCall() && !r.directory.disabled[mechanism.StreamMoves] {
					mover = r.startMover(ctx, lease)
				}
			} else {
				lease.StreamContinued()
			}
			if err := r.forward(response, complete, events.lastID); err != nil {
				r.writeError = err
				return verdictAnswered, nil
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(events.partial) == 0 && (r.stream != nil || send.LastEvent != ""):
			// A caller that takes a stream up may have all of its events.
			r.beginStream(response)
			r.succeeded = true
			r.stream.writer.End()
			return verdictAnswered, nil
		default:
			if mover != nil {
				r.moved = mover.stop()
				r.stopped = mover.stopped
				if r.moved != nil {
					return verdictMoved, nil
				}
			}
			r.logLostAnswer(lease, response.Lost(brokenStream(err)))
			lease.Unreachable(true)
			r.recordConnectionLoss(ctx, lease, err)
			r.streamBreak = brokenStream(err)
			return verdictUnknown, r.streamBreak
		}
	}
}

func brokenStream(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		err = upstream.ErrUnframedEnd
	}
	return failure.Wrap(err, failure.AnswerBroken)
}

// forward writes complete events, preceded by the header if it was not sent yet. An error means that
// the caller has disconnected.
func (r *callState) forward(response *upstream.Exchange, complete []byte, lastID string) error {
	r.beginStream(response)
	if lastID != "" {
		r.stream.lastEvent = lastID
	}
	r.stream.recordEvent(time.Now())
	r.stream.bytes += len(complete)
	return r.stream.writer.Send(complete)
}

// beginStream writes the header, if it was not sent yet.
func (r *callState) beginStream(response *upstream.Exchange) {
	if r.stream != nil {
		return
	}
	r.metrics.observeFirstAnswer(r.call)
	r.stream = &streamState{writer: r.responder.Stream(response.Status, response.Header)}
}

// recordStreamStart records the first event of a stream at a replica, which now has the prompt cached.
// The start of a moved stream was recorded before.
func (r *callState) recordStreamStart(lease *Lease, send Send) {
	if send.Moved {
		return
	}
	lease.StreamBegun(r.call.Route.Name, send.PrefillSource != "")
	if r.call.Prompt != nil {
		lease.PrefillDone()
		lease.PromptCached(r.call.Prompt)
	}
}

// eventSplitter splits a body into complete events (WHATWG HTML, server-sent events). An event ends
// with an empty line.
type eventSplitter struct {
	partial []byte
	// lastID is the ID of the last complete event that had one.
	lastID string
}

var (
	eventSeparator     = []byte("\n\n")
	crlfEventSeparator = []byte("\r\n\r\n")
	eventIDPrefix      = []byte("id:")
)

// add appends data and returns all events that are now complete.
func (s *eventSplitter) add(data []byte) []byte {
	// What was there before has no separator, but may have the beginning of one.
	from := max(len(s.partial)-len(crlfEventSeparator)+1, 0)
	s.partial = append(s.partial, data...)
	end := max(lastSeparatorEnd(s.partial, eventSeparator, from), lastSeparatorEnd(s.partial, crlfEventSeparator, from))
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(s.partial[:end])
	s.keep(s.partial[end:])
	s.recordIDs(complete)
	return complete
}

// keep keeps the beginning of an event, and the buffer unless an earlier event has made it large.
func (s *eventSplitter) keep(rest []byte) {
	if cap(s.partial) > 2*streamReadBytes {
		s.partial = nil
	}
	s.partial = append(s.partial[:0], rest...)
}

// checkBounds returns an error if the event that is under way is too large, or there is no room for it.
func (s *eventSplitter) checkBounds(response *upstream.Exchange) error {
	if len(s.partial) > maximumEventBytes {
		return &upstream.ExcessError{Bound: upstream.BoundEvent}
	}
	return response.Keep(int64(cap(s.partial)))
}

// lastSeparatorEnd returns the offset after the last separator that begins at an offset or later, 0 if there is none.
func lastSeparatorEnd(data, separator []byte, from int) int {
	at := bytes.LastIndex(data[from:], separator)
	if at < 0 {
		return 0
	}
	return from + at + len(separator)
}

func (s *eventSplitter) recordIDs(complete []byte) {
	for line := range bytes.Lines(complete) {
		if value, found := bytes.CutPrefix(line, eventIDPrefix); found {
			s.lastID = string(bytes.TrimSpace(value))
		}
	}
}

// IsHopByHop reports whether a header field applies to a single connection only (RFC 9110, section
// 7.6.1).
func IsHopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}
