package engineclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/gateway/exchange"
)

const contentType = "application/json"

// Options bound the calls of a Client.
type Options struct {
	Exchange exchange.Options
	// MaximumEventBytes bounds one event of a stream.
	MaximumEventBytes int
	// CallTimeout bounds the calls other than Generate and Prefill.
	CallTimeout time.Duration
}

// LoadObserver takes the load reports that come with an engine's answers.
type LoadObserver interface {
	ObserveLoad(address string, report engineapi.LoadReport)
}

// Client calls engines. It may be used concurrently.
type Client struct {
	exchanges *exchange.Client
	options   Options
	loads     LoadObserver
}

// New returns a client without open connections.
func New(options Options, loads LoadObserver) *Client {
	return &Client{exchanges: exchange.NewClient(options.Exchange), options: options, loads: loads}
}

// Close closes the idle connections.
func (c *Client) Close() { c.exchanges.Close() }

// Cancel ends an attempt at an engine; it may be repeated.
func (c *Client) Cancel(ctx context.Context, address string, request engineapi.CancelRequest) (engineapi.CancelReply, error) {
	var reply engineapi.CancelReply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, err
	}
	err = c.call(ctx, address, http.MethodPost, engineapi.PathCancel, body, &reply)
	return reply, err
}

// State reads an engine's state.
func (c *Client) State(ctx context.Context, address string) (engineapi.State, error) {
	var state engineapi.State
	err := c.call(ctx, address, http.MethodGet, engineapi.PathState, nil, &state)
	return state, err
}

// CacheEvents reads the prefix-cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, incarnation, after uint64) (engineapi.CacheEvents, error) {
	var events engineapi.CacheEvents
	path := engineapi.PathCacheEvents +
		"?incarnation=" + strconv.FormatUint(incarnation, 10) +
		"&after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, address, http.MethodGet, path, nil, &events)
	return events, err
}

func (c *Client) call(ctx context.Context, address, method, path string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	result, err := c.exchanges.Do(ctx, exchange.Request{
		Address:     address,
		Method:      method,
		Path:        path,
		ContentType: contentType,
		Body:        body,
	})
	if err != nil {
		return err
	}
	defer result.Close(true)
	c.observe(address, result)
	if status := result.Response.StatusCode(); status != http.StatusOK {
		return fmt.Errorf("%s %s: HTTP status %d", method, path, status)
	}
	return json.Unmarshal(result.Response.Body(), reply)
}

// observe hands on the load report of an answer; a bad one is ignored.
func (c *Client) observe(address string, result *exchange.Exchange) {
	header := result.Response.Header.Peek(engineapi.HeaderLoad)
	if len(header) == 0 || c.loads == nil {
		return
	}
	var report engineapi.LoadReport
	if err := json.Unmarshal(header, &report); err == nil {
		c.loads.ObserveLoad(address, report)
	}
}
