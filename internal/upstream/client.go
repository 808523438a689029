package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/membudget"
)

// Options bound the exchanges of a Client.
type Options struct {
	DialTimeout time.Duration
	// MaximumBodyBytes bounds a body that is read whole.
	MaximumBodyBytes int64
	// ResetAbandoned resets the connection of an exchange whose context ends, so that what is
	// under way is dropped: a call that a cut link holds up would else arrive after newer ones.
	ResetAbandoned bool
	// OnDial is called with the result of each attempt to connect to an incarnation that was not given up, and how long it
	// has taken; nil if nobody cares.
	OnDial func(instance string, took time.Duration, err error)
	// Budget bounds what exchanges keep of their answers together; nil sets no bound.
	Budget *membudget.Budget
	// Gate hears what answers ask of this process, and is asked before each send; nil if nobody cares.
	Gate *backpressure.Gate
}

// Client makes exchanges. It may be used concurrently.
type Client struct {
	options Options
	dialer  *net.Dialer
	pool    *pool
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{options: options, dialer: newDialer(options.DialTimeout), pool: newPool()}
}

// Field is one header field.
type Field struct{ Name, Value string }

// Request is what to send to a replica.
type Request struct {
	// Address is an IP:port; Instance names the incarnation behind it, whose connections serve no other.
	Address  string
	Instance string
	Method   string
	// Target is the path with the query, sent as it is.
	Target string
	Host   string
	Header []Field
	Body   []byte
	// MaximumIdleTime, if above 0, allows only connections that have been idle no
	// longer: for requests that can't be repeated if the replica has silently
	// dropped the connection.
	MaximumIdleTime time.Duration
	// Work says that the request is new work for the replica, and does not only concern work that it has.
	Work bool
	// MaximumIdle is how many unused connections may be kept to the replica once this one is one of them;
	// 0 for maximumIdlePerReplica.
	MaximumIdle int
	// HeadDeadline returns until when a head has to be whole whose first bytes have come; nil or a zero time leave that to
	// the context.
	HeadDeadline func() time.Time
	// Belongs reports whether an answer is to this request; nil takes any.
	Belongs func(http.Header) bool
}

// peer is whom the request is for.
func (r *Request) peer() backpressure.Peer {
	return backpressure.Peer{Address: r.Address, Instance: r.Instance}
}

func (r *Request) key() string { return r.Address + "/" + r.Instance }

// Forget closes the idle connections to an incarnation.
func (c *Client) Forget(address, instance string) { c.pool.drop(address + "/" + instance) }

// Connected reports whether a connection to a replica is kept.
func (c *Client) Connected(address, instance string) bool {
	return c.pool.has(address+"/"+instance, time.Now())
}

// Do sends a request and reads the head of its answer. The end of the context
// closes the connection, also while the body is read. Every error is an *Error. A
// returned Exchange has to be closed.
func (c *Client) Do(ctx context.Context, request *Request) (*Exchange, error) {
	if err := c.permits(request); err != nil {
		return nil, &Error{Cause: err}
	}
	conn, err := c.connect(ctx, request)
	if err != nil {
		return nil, &Error{Cause: causeOf(ctx, err)}
	}
	// Another response may have requested a backoff while the connection was made.
	if err := c.permits(request); err != nil {
		c.pool.put(request.key(), conn, time.Now(), defaultIdleTime, request.MaximumIdle)
		return nil, &Error{Cause: err}
	}
	stopWatch := context.AfterFunc(ctx, func() { c.giveUp(conn) })
	sent := answer.Send(conn.Conn, encodeHead(request), request.Body)
	exchange := newExchange(ctx, c, request, conn)
	exchange.stopWatch, exchange.sent = stopWatch, sent
	if err := exchange.readHead(); err != nil {
		exchange.abandon()
		return nil, &Error{HandedOver: sent.HandedOver(), Received: conn.source.received, Cause: causeOf(ctx, err)}
	}
	return exchange, nil
}

// permits returns an error if the request must not be sent now to whom it is for.
func (c *Client) permits(request *Request) error {
	if c.options.Gate == nil {
		return nil
	}
	return c.options.Gate.Permits(request.peer(), request.Work)
}

// giveUp closes the connection of an exchange whose context has ended.
func (c *Client) giveUp(conn *connection) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok && c.options.ResetAbandoned {
		// An error says that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (c *Client) connect(ctx context.Context, request *Request) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if kept := c.pool.take(request.key(), time.Now(), request.MaximumIdleTime); kept != nil {
		return kept, nil
	}
	return c.dial(ctx, request)
}

// dial makes a connection.
func (c *Client) dial(ctx context.Context, request *Request) (*connection, error) {
	begun := time.Now()
	opened, err := c.dialer.DialContext(ctx, "tcp", request.Address)
	if c.options.OnDial != nil && (err == nil || ctx.Err() == nil) {
		c.options.OnDial(request.Instance, time.Since(begun), err)
	}
	if err != nil {
		return nil, err
	}
	return newConnection(opened), nil
}

// Connect makes a connection to an incarnation and keeps it for its next request, unless maximumIdle connections are kept.
func (c *Client) Connect(ctx context.Context, address, instance string, maximumIdle int) error {
	request := &Request{Address: address, Instance: instance}
	conn, err := c.dial(ctx, request)
	if err != nil {
		return &Error{Cause: causeOf(ctx, err)}
	}
	c.pool.put(request.key(), conn, time.Now(), defaultIdleTime, maximumIdle)
	return nil
}

// encodeHead returns the request's head. Its framing is by length.
func encodeHead(request *Request) []byte {
	head := make([]byte, 0, 1024)
	head = append(head, request.Method...)
	head = append(head, ' ')
	head = append(head, request.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, request.Host...)
	head = append(head, "\r\n"...)
	for _, field := range request.Header {
		head = append(head, field.Name...)
		head = append(head, ": "...)
		head = append(head, field.Value...)
		head = append(head, "\r\n"...)
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodDelete {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(request.Body)), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}

// idleTimeOf is how long a replica keeps the connection, by its Keep-Alive
// field; a second less, since both clocks run from different moments.
func idleTimeOf(header http.Header) time.Duration {
	for _, value := range header.Values("Keep-Alive") {
		for _, parameter := range strings.Split(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			seconds, err := strconv.Atoi(number)
			if strings.EqualFold(name, "timeout") && err == nil {
				return time.Duration(seconds)*time.Second - time.Second
			}
		}
	}
	return defaultIdleTime
}

// defaultIdleTime is used for replicas that don't say how long they keep a
// connection.
const defaultIdleTime = 4 * time.Second

// Refuses reports whether nothing listens at an address: the process that did has ended.
func Refuses(ctx context.Context, address string) bool {
	opened, err := newDialer(0).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = opened.Close()
	return false
}
