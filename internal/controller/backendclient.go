package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/api/applicationapi"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/reconcile"
)

const (
	backEndDialTimeout = time.Second
	pollTimeout        = 1500 * time.Millisecond
	orderTimeout       = 2 * time.Second
	// maximumStateBytes limits the size of a response of an engine, a back end
	// or the platform.
	maximumStateBytes = 8 << 20
)

// backEndClient calls engines, application back ends and the platform over
// plain HTTP with JSON bodies.
type backEndClient struct {
	http *client.Client
}

func newBackEndClient() (*backEndClient, error) {
	httpClient, err := client.NewClient(
		client.WithDialer(answer.Dialer{Dialer: standard.NewDialer(), MaximumBody: maximumStateBytes}),
		client.WithDialTimeout(backEndDialTimeout),
		client.WithNoDefaultUserAgentHeader(true),
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maximumStateBytes }},
	)
	if err != nil {
		return nil, err
	}
	httpClient.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return &backEndClient{http: httpClient}, nil
}

func (b *backEndClient) get(ctx context.Context, address, path string, result any) error {
	return b.call(ctx, http.MethodGet, address, path, nil, result, pollTimeout)
}

func (b *backEndClient) post(ctx context.Context, address, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return b.call(ctx, http.MethodPost, address, path, data, result, orderTimeout)
}

func (b *backEndClient) call(ctx context.Context, method, address, path string, body []byte, result any, timeout time.Duration) error {
	request := protocol.AcquireRequest()
	response := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetOptions(config.WithRequestTimeout(timeout))
	if body != nil {
		request.Header.SetContentTypeBytes([]byte("application/json"))
		request.SetBodyRaw(body)
	}
	if err := b.http.Do(ctx, request, response); err != nil {
		return err
	}
	if result == nil {
		return checkStatus(address, response.StatusCode())
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return fmt.Errorf("%s answered HTTP status %d: %w", address, response.StatusCode(), err)
	}
	return nil
}

// checkStatus checks the HTTP status of a response whose body is not read.
func checkStatus(address string, status int) error {
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		return fmt.Errorf("%s answered HTTP status %d", address, status)
	}
	return nil
}

func (c *Controller) pollEngine(ctx context.Context, t *term, poll reconcile.Poll) {
	sentAt := c.now()
	state := &engineapi.State{}
	if err := c.backEnds.get(ctx, poll.Address, engineapi.PathState, state); err != nil || state.EngineID != poll.ID {
		state = nil
	}
	t.enginePolled(sentAt, c.now(), poll, state)
}

func (c *Controller) pollBackEnd(ctx context.Context, t *term, poll reconcile.Poll) {
	sentAt := c.now()
	state := &applicationapi.State{}
	if err := c.backEnds.get(ctx, poll.Address, applicationapi.PathState, state); err != nil || state.BackEndID != poll.ID {
		state = nil
	}
	t.backEndPolled(sentAt, c.now(), poll.ID, state)
}

// sendOrder sends a committed order. A controller that has lost leadership may
// send one late; the engine then rejects it because of its older fencing token.
func (c *Controller) sendOrder(ctx context.Context, t *term, call reconcile.OrderCall) {
	sentAt := c.now()
	reply := &engineapi.OrderReply{}
	err := c.backEnds.post(ctx, call.Address, engineapi.PathOrder, &call.Order, reply)
	if err != nil || reply.Status == "" {
		c.logger.V(1).Info("no valid response to the order", "engine", call.Order.EngineID, "error", fmt.Sprint(err))
		reply = nil
	}
	t.orderSent(sentAt, c.now(), &call.Order, reply)
}
