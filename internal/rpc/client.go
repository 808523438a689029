package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/tinylib/msgp/msgp"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// Defaults of ClientOptions.
const (
	DefaultDialTimeout        = 2 * time.Second
	DefaultCallTimeout        = 10 * time.Second
	DefaultIdleTime           = time.Minute
	DefaultMaximumBodyBytes   = 16 << 20
	DefaultMaximumConnections = 64
)

// ClientOptions are the settings of a Client; a zero field takes its default.
type ClientOptions struct {
	// Token is the cluster's shared token; empty sends none.
	Token string
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout time.Duration
	// IdleTime is how long an unused connection is kept.
	IdleTime time.Duration
	// MaximumBodyBytes bounds a reply, in bytes.
	MaximumBodyBytes int
	// MaximumConnections bounds the connections to one peer. A call beyond it
	// waits for a free one for at most DialTimeout.
	MaximumConnections int
}

func (o ClientOptions) withDefaults() ClientOptions {
	o.DialTimeout = orDefault(o.DialTimeout, DefaultDialTimeout)
	o.CallTimeout = orDefault(o.CallTimeout, DefaultCallTimeout)
	o.IdleTime = orDefault(o.IdleTime, DefaultIdleTime)
	o.MaximumBodyBytes = orDefault(o.MaximumBodyBytes, DefaultMaximumBodyBytes)
	o.MaximumConnections = orDefault(o.MaximumConnections, DefaultMaximumConnections)
	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Client calls other processes. It is safe for concurrent use.
type Client struct {
	http    *client.Client
	slots   *slots
	options ClientOptions
}

// NewClient returns a client without open connections.
func NewClient(options ClientOptions) (*Client, error) {
	options = options.withDefaults()
	httpClient, err := client.NewClient(
		client.WithDialer(markingDialer{answer.Dialer{Dialer: standard.NewDialer(), MaximumBody: options.MaximumBodyBytes}}),
		client.WithDialTimeout(options.DialTimeout),
		client.WithMaxConnsPerHost(options.MaximumConnections),
		client.WithMaxIdleConnDuration(options.IdleTime),
		client.WithNoDefaultUserAgentHeader(true),
		withMaximumBody(options.MaximumBodyBytes),
	)
	if err != nil {
		return nil, err
	}
	httpClient.SetRetryIfFunc(neverRetry)
	return &Client{http: httpClient, slots: newSlots(options.MaximumConnections), options: options}, nil
}

func neverRetry(*protocol.Request, *protocol.Response, error) bool { return false }

func withMaximumBody(bytes int) config.ClientOption {
	return config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = bytes }}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Call sends a request to the process at an address (IP:port) and reads its
// reply. It returns when the context ends, even if the peer does not respond.
// Errors have a kind; NotDelivered, Answered and LeaderAddress return further
// details.
func (c *Client) Call(ctx context.Context, address, path string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	if err := checkAddress(address); err != nil {
		return err
	}
	body, err := request.MarshalMsg(nil)
	if err != nil {
		return failure.Wrap(err, failure.MalformedRequest)
	}
	if err := ctx.Err(); err != nil {
		return notDelivered(err)
	}
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	done := make(chan exchange, 1)
	go func() { done <- c.exchange(ctx, address, path, body) }()
	select {
	case result := <-done:
		return result.decode(reply)
	case <-ctx.Done():
		return outcomeUnknown(ctx.Err())
	}
}

// withDeadline sets the default timeout for a call whose context has no
// deadline. A caller's own deadline is kept even if it is later: long polls
// wait longer than other calls.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.CallTimeout)
}

// checkAddress rejects host names: peers are addressed by IP address.
func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return notDelivered(err)
	}
	return nil
}

// exchange is the outcome of one HTTP exchange.
type exchange struct {
	status int
	body   []byte
	err    error
}

func (c *Client) exchange(ctx context.Context, address, path string, body []byte) exchange {
	if err := c.waitForSlot(ctx, address); err != nil {
		return exchange{err: notDelivered(err)}
	}
	defer c.slots.release(address)
	request := protocol.AcquireRequest()
	response := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(http.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentTypeBytes(contentType)
	if c.options.Token != "" {
		request.Header.Set(HeaderToken, c.options.Token)
	}
	request.SetBodyRaw(body)
	if deadline, found := ctx.Deadline(); found {
		request.SetOptions(config.WithRequestTimeout(max(time.Until(deadline), time.Millisecond)))
	}
	if err := c.http.Do(ctx, request, response); err != nil {
		return exchange{err: classify(err)}
	}
	return exchange{
		status: response.StatusCode(),
		body:   append([]byte(nil), response.Body()...),
	}
}

// waitForSlot waits for a slot for at most DialTimeout.
func (c *Client) waitForSlot(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	return c.slots.acquire(ctx, address)
}

func (e exchange) decode(reply msgp.Unmarshaler) error {
	if e.err != nil {
		return e.err
	}
	if e.status != http.StatusOK {
		return errorFromReply(e.status, e.body)
	}
	if _, err := reply.UnmarshalMsg(e.body); err != nil {
		return outcomeUnknown(err)
	}
	return nil
}

// classify distinguishes calls that certainly were not delivered from all
// others. When a pooled connection breaks, its request may already have been
// delivered in full.
func classify(err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, hertzerrors.ErrNoFreeConns) || errors.Is(err, answer.ErrUnasked) {
		return notDelivered(err)
	}
	if errors.Is(err, hertzerrors.ErrTimeout) {
		// The library's timer and the context expire at the same time.
		return outcomeUnknown(fmt.Errorf("%w: %w", context.DeadlineExceeded, err))
	}
	return outcomeUnknown(err)
}

// markingDialer marks errors of dialing, the only connection failures that
// prove that nothing was sent.
type markingDialer struct {
	network.Dialer
}

type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// DialConnection implements network.Dialer.
func (d markingDialer) DialConnection(network, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	connection, err := d.Dialer.DialConnection(network, address, timeout, config)
	if err != nil {
		return nil, &dialError{err}
	}
	return connection, nil
}

// DialTimeout implements network.Dialer.
func (d markingDialer) DialTimeout(network, address string, timeout time.Duration, config *tls.Config) (net.Conn, error) {
	connection, err := d.Dialer.DialTimeout(network, address, timeout, config)
	if err != nil {
		return nil, &dialError{err}
	}
	return connection, nil
}
