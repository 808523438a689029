package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/pierhaven/pierhaven/internal/membudget"
)

// Exchange is one exchange whose answer's head has been read.
type Exchange struct {
	Status int
	Header http.Header
	// Framed answers have a length or are in chunks; the others end with their
	// connection.
	Framed bool

	client     *Client
	request    *Request
	connection *connection
	stopWatch  func() bool
	sent       *sending
	ctx        context.Context
	response   *http.Response
	// kept is what is held of the answer: of its head while that is read, then of its body.
	kept   membudget.Reservation
	ended  bool
	closed bool
}

const (
	// maximumForeignAnswers bounds the answers to other requests that are
	// dropped.
	maximumForeignAnswers = 3
	maximumInformational  = 5
)

// Received returns how many bytes of the answer have come.
func (e *Exchange) Received() int64 { return e.connection.source.received }

// readHead reads heads until one is the answer to the request.
func (e *Exchange) readHead() error {
	e.connection.source.onHead = e.kept.Resize
	defer func() { e.connection.source.onHead = nil }()
	for range maximumForeignAnswers {
		response, err := e.nextResponse()
		if err != nil {
			return err
		}
		if e.request.Belongs == nil || e.request.Belongs(response.Header) {
			e.take(response)
			return nil
		}
		if !framed(response) {
			return errForeignAnswers
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, e.client.options.MaximumBodyBytes)); err != nil {
			return err
		}
	}
	return errForeignAnswers
}

func (e *Exchange) nextResponse() (*http.Response, error) {
	described := &http.Request{Method: e.request.Method}
	for range maximumInformational {
		response, err := http.ReadResponse(e.connection.reader, described)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			if gate := e.client.options.Gate; gate != nil {
				gate.Observe(e.request.peer(), response.StatusCode, response.Header)
			}
			return response, nil
		}
	}
	return nil, errForeignAnswers
}

func (e *Exchange) take(response *http.Response) {
	e.response = response
	e.Status = response.StatusCode
	e.Header = response.Header
	e.Framed = framed(response)
}

func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// Read reads the answer's body. It returns io.EOF only at the end of a whole
// body, or when the connection of an unframed one was closed in order.
func (e *Exchange) Read(buffer []byte) (int, error) {
	count, err := e.response.Body.Read(buffer)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		e.ended = true
	default:
		err = causeOf(e.ctx, err)
	}
	return count, err
}

// ReadAll reads the whole body.
func (e *Exchange) ReadAll() ([]byte, error) {
	limit := e.client.options.MaximumBodyBytes
	body, err := io.ReadAll(io.LimitReader(e, limit+1))
	if err != nil {
		return nil, e.Lost(err)
	}
	if int64(len(body)) > limit {
		return nil, e.Lost(errTooLarge)
	}
	e.kept.Resize(int64(len(body)))
	return body, nil
}

// Lost returns the error of an exchange whose body has broken off, or was given up.
func (e *Exchange) Lost(cause error) error {
	return &Error{HandedOver: true, Received: e.Received(), HeadRead: true, Cause: cause}
}

// Close ends the exchange. The connection is kept only if nothing speaks against
// it.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	e.kept.Release()
	if !e.reusable() {
		e.abandon()
		return
	}
	if !e.stopWatch() {
		_ = e.connection.Close()
		return
	}
	e.client.pool.put(e.request.key(), e.connection, time.Now(), idleTimeOf(e.Header), e.request.MaximumIdle)
}

func (e *Exchange) reusable() bool {
	return e.ended && e.Framed && !e.response.Close && e.sent.complete.Load() && e.connection.reader.Buffered() == 0
}

// abandon closes the connection, which ends the replica's work on the request.
func (e *Exchange) abandon() {
	e.stopWatch()
	e.kept.Release()
	_ = e.connection.Close()
	<-e.sent.done
}
