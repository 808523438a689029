// Package applicationclient speaks the application protocol of package
// applicationapi. Each run has a connection of its own, so that a connection
// that the back end had closed can't make an outcome unknown.
package applicationclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/api/applicationapi"
	"github.com/pierhaven/pierhaven/internal/gateway/exchange"
)

// Client calls application back ends. It may be used concurrently.
type Client struct {
	exchanges *exchange.Client
}

// New returns a client. Connections are never kept for reuse.
func New(options exchange.Options) *Client {
	options.MaximumIdlePerAddress = 0
	return &Client{exchanges: exchange.NewClient(options)}
}

// Run is one run to be made.
type Run struct {
	Address string
	Request applicationapi.RunRequest
	// Permit is asked right before the first byte is written.
	Permit func() (release func(), permitted bool)
}

// Result is how a run ended. Exactly one of Reply, Refusal and Err is set.
type Result struct {
	Reply   *applicationapi.RunReply
	Refusal *applicationapi.Refusal
	// Err says what broke; HandedOver is then false only with proof that no
	// byte was written.
	Err        error
	HandedOver bool
}

// Do makes a run.
func (c *Client) Do(ctx context.Context, run Run) Result {
	body, err := json.Marshal(&run.Request)
	if err != nil {
		return Result{Err: err}
	}
	answered, err := c.exchanges.Do(ctx, exchange.Request{
		Address:     run.Address,
		Method:      http.MethodPost,
		Path:        applicationapi.PathRun,
		ContentType: "application/json",
		Body:        body,
		Permit:      run.Permit,
		Headers:     []string{"Connection", "close"},
	})
	if err != nil {
		return Result{Err: err, HandedOver: exchange.HandedOver(err)}
	}
	defer answered.Close(false)
	return read(answered.Response.StatusCode(), answered.Response.Body())
}

func read(status int, body []byte) Result {
	switch status {
	case http.StatusOK:
		var reply applicationapi.RunReply
		if err := json.Unmarshal(body, &reply); err != nil {
			return broken(fmt.Errorf("run reply: %w", err))
		}
		if !answer.IsFinalStatus(reply.Status) {
			return broken(errors.New("run reply: its status is none that a caller may get"))
		}
		return Result{Reply: &reply, HandedOver: true}
	case http.StatusConflict, http.StatusServiceUnavailable:
		var refusal applicationapi.Refusal
		if err := json.Unmarshal(body, &refusal); err != nil {
			return broken(fmt.Errorf("refusal: %w", err))
		}
		if refusal.AttemptID == "" {
			return broken(errors.New("refusal: names no attempt"))
		}
		return Result{Refusal: &refusal, HandedOver: true}
	default:
		return broken(fmt.Errorf("HTTP status %d", status))
	}
}

func broken(err error) Result { return Result{Err: err, HandedOver: true} }

// State reads a back end's state.
func (c *Client) State(ctx context.Context, address string) (applicationapi.State, error) {
	var state applicationapi.State
	answered, err := c.exchanges.Do(ctx, exchange.Request{
		Address: address,
		Method:  http.MethodGet,
		Path:    applicationapi.PathState,
		Headers: []string{"Connection", "close"},
	})
	if err != nil {
		return state, err
	}
	defer answered.Close(false)
	if status := answered.Response.StatusCode(); status != http.StatusOK {
		return state, fmt.Errorf("%s: HTTP status %d", applicationapi.PathState, status)
	}
	return state, json.Unmarshal(answered.Response.Body(), &state)
}
