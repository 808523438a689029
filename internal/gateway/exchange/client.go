package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/pierhaven/pierhaven/internal/answer"
)

const (
	// drainTimeout and maximumDrainReads bound the wait for a body's end after
	// the last event; past them the connection is closed instead.
	drainTimeout      = 100 * time.Millisecond
	maximumDrainReads = 4
)

// Options bound the exchanges of a Client.
type Options struct {
	DialTimeout  time.Duration
	WriteTimeout time.Duration
	// MaximumIdlePerAddress bounds the connections kept for reuse; 0 keeps
	// none, so that each exchange has a connection of its own.
	MaximumIdlePerAddress int
	// MaximumIdleTime is how long a connection is kept for reuse; it has to be
	// shorter than what the callees allow.
	MaximumIdleTime time.Duration
	// MaximumBodyBytes bounds the body of an answer that is read whole.
	MaximumBodyBytes int
	// OnFault is called for what was sent in the place of an answer; nil if nobody cares.
	OnFault func(answer.Fault)
}

// Client makes exchanges. It may be used concurrently.
type Client struct {
	options Options
	dialer  answer.Dialer
	pool    *pool
}

// NewClient returns a client without open connections.
func NewClient(options Options) *Client {
	return &Client{
		options: options,
		dialer:  answer.Dialer{MaximumBody: options.MaximumBodyBytes, OnFault: options.OnFault},
		pool:    newPool(options.MaximumIdlePerAddress, options.MaximumIdleTime),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.closeAll() }

// Request is what to send.
type Request struct {
	// Address is the callee's IP:port.
	Address string
	Method  string
	// Path includes the query, if any.
	Path        string
	ContentType string
	Body        []byte
	// Headers are further headers, as key and value in turn.
	Headers []string
	// Permit is asked right before the first byte is written; the exchange
	// fails with ErrNotPermitted if it returns false. Else the returned
	// function is called once the request is written or has failed. Nil
	// permits always.
	Permit func() (release func(), permitted bool)
	// Stream leaves the body of the answer to be read by the caller.
	Stream bool
}

// Exchange is one exchange whose answer's header has been read.
type Exchange struct {
	Response   *protocol.Response
	client     *Client
	address    string
	connection *answer.Conn
	request    *sentRequest
	stopWatch  func() bool
	stream     bool
	once       sync.Once
}

// Do sends a request and reads the answer, its body only if it is not to be
// streamed. The end of the context closes the connection at once, also while
// the caller reads the stream. Every error is an Error. A returned Exchange has
// to be closed.
func (c *Client) Do(ctx context.Context, request Request) (*Exchange, error) {
	begun := time.Now()
	connection, reused, err := c.connect(ctx, request.Address)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = connection.Close() })
	sent, err := c.send(ctx, connection, request)
	if err != nil {
		stopWatch()
		_ = connection.Close()
		return nil, &Error{Cause: err}
	}
	response := protocol.AcquireResponse()
	if err := c.receive(connection, sent, response, request.Stream); err != nil {
		stopWatch()
		_ = connection.Close()
		sent.await()
		if reused && fellSilent(ctx) {
			// It swallowed the request in silence, as after a loss of the
			// network: then the other idle connections are as dead.
			c.pool.distrust(begun)
		}
		return nil, &Error{HandedOver: true, Cause: causeOf(ctx, err)}
	}
	return &Exchange{
		Response:   response,
		client:     c,
		address:    request.Address,
		connection: connection,
		request:    sent,
		stopWatch:  stopWatch,
		stream:     request.Stream,
	}, nil
}

// fellSilent reports whether an exchange was given up because no answer came, and
// not because nobody waits for it any more.
func fellSilent(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, context.Canceled)
}

// connect returns an idle connection, or a new one.
func (c *Client) connect(ctx context.Context, address string) (connection *answer.Conn, reused bool, err error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, false, err
	}
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	if connection := c.pool.take(address, time.Now()); connection != nil {
		return connection, true, nil
	}
	connection, err = c.dialer.Dial("tcp", address, c.options.DialTimeout)
	return connection, false, err
}

func fill(message *protocol.Request, request Request) {
	message.SetMethod(request.Method)
	message.SetRequestURI("http://" + request.Address + request.Path)
	if request.ContentType != "" {
		message.Header.SetContentTypeBytes([]byte(request.ContentType))
	}
	for index := 0; index+1 < len(request.Headers); index += 2 {
		message.Header.Set(request.Headers[index], request.Headers[index+1])
	}
	if request.Method != http.MethodGet {
		message.SetBodyRaw(request.Body)
	}
}

func (c *Client) receive(connection *answer.Conn, sent *sentRequest, response *protocol.Response, stream bool) error {
	if err := connection.SetReadTimeout(0); err != nil {
		return err
	}
	// The library would tell of any error before the head as the connection's end.
	_, err := connection.Peek(1)
	if err := sent.answered(err); err != nil {
		return err
	}
	if !stream {
		return resp.ReadHeaderAndLimitBody(response, connection, c.options.MaximumBodyBytes)
	}
	return resp.ReadHeaderBodyStream(response, connection, c.options.MaximumBodyBytes,
		func(bool) error { return nil })
}

func causeOf(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}

// Close ends the exchange. The connection is kept for reuse if the answer was
// read to its end, and closed otherwise.
func (e *Exchange) Close(readToEnd bool) {
	e.once.Do(func() { e.close(readToEnd) })
}

func (e *Exchange) close(readToEnd bool) {
	reusable := e.stopWatch() && readToEnd && !e.Response.ConnectionClose() && e.request.isComplete()
	if !reusable {
		// A stream that is not at its end would be read to it by its Close.
		_ = e.connection.Close()
	}
	e.request.await()
	if e.stream {
		_ = e.Response.CloseBodyStream()
	}
	protocol.ReleaseResponse(e.Response)
	if !reusable {
		return
	}
	_ = e.connection.Release()
	e.client.pool.put(e.address, e.connection, time.Now())
}

// Drain reads what is left of a stream's body, for a short time, and reports
// whether its end was reached, so that the connection can be kept.
func (e *Exchange) Drain() bool {
	body := e.Response.BodyStream()
	if body == nil || e.connection.SetReadTimeout(drainTimeout) != nil {
		return false
	}
	var rest [64]byte
	for range maximumDrainReads {
		if _, err := body.Read(rest[:]); err != nil {
			return errors.Is(err, io.EOF)
		}
	}
	return false
}
