package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pierhaven/pierhaven/internal/answer"
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
	sent       *answer.Sending
	ctx        context.Context
	answer     *answer.Head
	body       *answer.Body
	// kept is what is held of the answer: of its head while that is read, then of its body.
	kept   membudget.Reservation
	head   headGuard
	ended  bool
	closed bool
}

const (
	// maximumForeignAnswers bounds the answers to other requests that are
	// dropped.
	maximumForeignAnswers = 3
)

// newExchange returns an exchange of which nothing was sent.
func newExchange(ctx context.Context, client *Client, request *Request, conn *connection) *Exchange {
	created := &Exchange{client: client, request: request, connection: conn, ctx: ctx, kept: client.options.Budget.Reserve()}
	created.head = headGuard{kept: &created.kept, deadline: request.HeadDeadline}
	conn.source.received = 0
	return created
}

// Received returns how many bytes of the answer have come.
func (e *Exchange) Received() int64 { return e.connection.source.received }

// readHead reads heads until one is the answer to the request.
func (e *Exchange) readHead() error {
	for range maximumForeignAnswers {
		head, err := e.nextAnswer()
		if err != nil {
			return err
		}
		e.take(head)
		if e.request.Belongs == nil || e.request.Belongs(head.Header) {
			return nil
		}
		if !e.Framed {
			return errForeignAnswers
		}
		if err := discard(e.body); err != nil {
			return withBound(err)
		}
	}
	return errForeignAnswers
}

// nextAnswer reads the next head that is not that of an interim answer.
func (e *Exchange) nextAnswer() (*answer.Head, error) {
	for range answer.MaximumInterim {
		head, err := e.nextHead()
		if err != nil {
			return nil, err
		}
		if !head.IsInterim() {
			if gate := e.client.options.Gate; gate != nil {
				gate.Observe(e.request.peer(), head.Status, head.Header)
			}
			return head, nil
		}
	}
	return nil, errForeignAnswers
}

// nextHead reads the next head, also an interim one, within the bounds of the exchange.
func (e *Exchange) nextHead() (*answer.Head, error) {
	reader, from := e.connection.reader, e.connection.source
	e.head.hasBegun = reader.Buffered() > 0
	from.head = &e.head
	defer func() { from.head = nil }()
	head, err := answer.ReadHead(reader, e.head.count)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &ExcessError{Bound: BoundTime}
	}
	if err != nil {
		return nil, err
	}
	return head, e.head.stopWaiting(from.Conn)
}

// maximumDiscardBytes bounds a body that nobody wants and that is read for the sake of its connection.
const maximumDiscardBytes = 1 << 20

// discard reads a body to its end.
func discard(body io.Reader) error {
	count, err := io.Copy(io.Discard, io.LimitReader(body, maximumDiscardBytes+1))
	if err == nil && count > maximumDiscardBytes {
		err = &ExcessError{Bound: BoundBody}
	}
	return err
}

func (e *Exchange) take(head *answer.Head) {
	e.answer = head
	e.Status = head.Status
	e.Header = head.Header
	e.Framed = head.IsFramed(e.request.Method)
	e.body = head.Body(e.request.Method, e.connection.reader, e.checkEnd)
}

// checkEnd returns an error if the connection has not ended in order.
func (e *Exchange) checkEnd() error { return answer.CheckEnd(e.connection.Conn, e.sent) }

// Read reads the answer's body. It returns io.EOF only at the end of a whole
// body, or when the connection of an unframed one was closed in order.
func (e *Exchange) Read(buffer []byte) (int, error) {
	count, err := e.body.Read(buffer)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		e.ended = true
	default:
		err = causeOf(e.ctx, withBound(err))
	}
	return count, err
}

// ReadAll reads the whole body.
func (e *Exchange) ReadAll() ([]byte, error) { return e.ReadAtMost(e.client.options.MaximumBodyBytes) }

// ReadAtMost reads the whole body, or gives it up if it has more bytes than that.
func (e *Exchange) ReadAtMost(most int64) ([]byte, error) {
	length, isAnnounced := e.answer.Length(e.request.Method)
	if length > most {
		return nil, e.Lost(&ExcessError{Bound: BoundBody})
	}
	size := int64(minimumBodyBuffer)
	if isAnnounced {
		size = firstBuffer(length)
	}
	if err := e.Keep(size); err != nil {
		return nil, e.Lost(err)
	}
	body := make([]byte, 0, size)
	for {
		count, err := e.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if int64(len(body)) > most {
			return nil, e.Lost(&ExcessError{Bound: BoundBody})
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err == nil && len(body) == cap(body) {
			body, err = e.grow(body, most)
		}
		if err != nil {
			return nil, e.Lost(err)
		}
	}
}

const (
	// minimumBodyBuffer is the size of the buffer in which a body is read at first, if it isn't announced.
	minimumBodyBuffer = 512
	// announcedBodyBuffer bounds the first buffer of a body that is announced: what is announced may never come.
	announcedBodyBuffer = 16 << 10
)

// firstBuffer returns the size of the first buffer for a body of an announced length. A small one fits into it with the byte that shows its end.
func firstBuffer(length int64) int64 {
	return max(minimumBodyBuffer, min(length+1, announcedBodyBuffer))
}

// grow returns a body in a buffer of twice the size, with room for one byte more than it may have.
func (e *Exchange) grow(body []byte, most int64) ([]byte, error) {
	size := min(2*int64(cap(body)), most+1)
	// Both buffers are kept while one is copied to the other.
	if err := e.Keep(int64(cap(body)) + size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, e.Keep(size)
}

// Keep notes how many bytes of the body the caller keeps. It returns an error if there is no room for them, or none for
// others beside them.
func (e *Exchange) Keep(size int64) error {
	if size <= readBufferBytes {
		size = 0
	}
	if err := e.kept.Resize(e.head.held() + size); err != nil {
		return &ExcessError{Bound: BoundMemory}
	}
	return nil
}

// Detach hands what is kept on to the caller, who keeps the body beyond the exchange and has to release it.
func (e *Exchange) Detach() membudget.Reservation {
	kept := e.kept
	e.kept = e.client.options.Budget.Reserve()
	return kept
}

// Discard reads a body that nobody wants to its end, unless it is long.
func (e *Exchange) Discard() error {
	if length, _ := e.answer.Length(e.request.Method); length > maximumDiscardBytes {
		return e.Lost(&ExcessError{Bound: BoundBody})
	}
	if err := discard(e); err != nil {
		return e.Lost(err)
	}
	return nil
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
	return e.ended && e.Framed && !e.answer.Close && e.sent.IsComplete() && e.connection.reader.Buffered() == 0
}

// abandon closes the connection, which ends the replica's work on the request.
func (e *Exchange) abandon() {
	e.stopWatch()
	e.kept.Release()
	_ = e.connection.Close()
	// The error is that of the connection.
	_ = e.sent.Wait()
}
