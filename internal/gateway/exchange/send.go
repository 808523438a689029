package exchange

import (
	"context"
	"errors"
	"os"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"github.com/pierhaven/pierhaven/internal/answer"
)

// sentRequest is a request that is being written, or was.
type sentRequest struct {
	sending *answer.Sending
	// ended is closed once nothing is written any more and what the writing has used was given back.
	ended chan struct{}
	phase atomic.Int32
}

// Phases of a sentRequest.
const (
	phaseAwaited int32 = iota
	// phaseAnswered: the head of an answer has come. It counts, even if the callee reads the request no further.
	phaseAnswered
	// phaseGivenUp: the request could not be written in time, and no answer had come.
	phaseGivenUp
)

// send begins to write a request. An error means that no byte was written.
func (c *Client) send(ctx context.Context, connection *answer.Conn, request Request) (*sentRequest, error) {
	if err := connection.SetWriteTimeout(c.options.WriteTimeout); err != nil {
		return nil, err
	}
	release := func() {}
	if request.Permit != nil {
		permitted := false
		if release, permitted = request.Permit(); !permitted {
			return nil, ErrNotPermitted
		}
	}
	message := protocol.AcquireRequest()
	fill(message, request)
	free := func() {
		protocol.ReleaseRequest(message)
		release()
	}
	err := ctx.Err()
	if err == nil {
		err = req.Write(message, connection)
	}
	if err != nil {
		free()
		return nil, err
	}
	sent := &sentRequest{sending: connection.Send(), ended: make(chan struct{})}
	if sent.sending.HasEnded() {
		sent.watch(connection, free)
	} else {
		go sent.watch(connection, free)
	}
	return sent, nil
}

// watch gives back what the writing uses, and ends the wait for an answer to a request that could not be written in time.
func (s *sentRequest) watch(connection *answer.Conn, free func()) {
	defer close(s.ended)
	err := s.sending.Wait()
	free()
	if errors.Is(err, os.ErrDeadlineExceeded) && s.phase.CompareAndSwap(phaseAwaited, phaseGivenUp) {
		_ = connection.Close()
	}
}

// answered notes that a head has come, or the error that has come in its place, and returns why there is no answer.
func (s *sentRequest) answered(err error) error {
	if err == nil && s.phase.CompareAndSwap(phaseAwaited, phaseAnswered) {
		return nil
	}
	if s.phase.Load() == phaseGivenUp {
		return s.sending.Wait()
	}
	return err
}

// isComplete reports whether the whole request was written.
func (s *sentRequest) isComplete() bool { return s.sending.IsComplete() }

// await returns once nothing is written any more, which is soon if the connection was closed.
func (s *sentRequest) await() { <-s.ended }
