package engineclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/bytedance/sonic"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/gateway/exchange"
)

// ErrStreamEnded is the cause of a broken attempt whose stream ended without
// its end event.
var ErrStreamEnded = errors.New("the stream ended without its end event")

// Outcome is how an attempt ended.
type Outcome struct {
	// Whole is set if the end event was read.
	Whole bool
	// Refused is set if the engine proved that it did not run the attempt.
	Refused bool
	Reason  engineapi.RefusalReason
	// HandedOver is false only with proof that no byte was written.
	HandedOver bool
	// Err says what broke if the attempt is neither whole nor refused.
	Err error
}

// Attempt is one attempt to be run.
type Attempt struct {
	Address string
	Request engineapi.GenerateRequest
	// Permit is asked right before the first byte is written.
	Permit func() (release func(), permitted bool)
}

// Generate runs an attempt and gives each event of its stream to receive; the
// event is valid until receive returns. A false result ends the attempt.
func (c *Client) Generate(ctx context.Context, attempt Attempt, receive func(*engineapi.StreamEvent) bool) Outcome {
	result, err := c.post(ctx, attempt, engineapi.PathGenerate, true)
	if err != nil {
		return failed(err)
	}
	c.observe(attempt.Address, result)
	if status := result.Response.StatusCode(); status != http.StatusOK {
		defer result.Close(false)
		return refused(attempt.Request.AttemptID, status, result)
	}
	whole, err := c.readEvents(result, attempt.Request.AttemptID, receive)
	result.Close(whole && result.Drain())
	return Outcome{Whole: whole, HandedOver: true, Err: err}
}

// Prefill runs the first of two stages and returns where the KV cache is.
func (c *Client) Prefill(ctx context.Context, attempt Attempt) (engineapi.PrefillReply, Outcome) {
	var reply engineapi.PrefillReply
	result, err := c.post(ctx, attempt, engineapi.PathPrefill, false)
	if err != nil {
		return reply, failed(err)
	}
	defer result.Close(true)
	c.observe(attempt.Address, result)
	if status := result.Response.StatusCode(); status != http.StatusOK {
		return reply, refused(attempt.Request.AttemptID, status, result)
	}
	if err := json.Unmarshal(result.Response.Body(), &reply); err != nil {
		return reply, Outcome{HandedOver: true, Err: fmt.Errorf("prefill reply: %w", err)}
	}
	if reply.AttemptID != attempt.Request.AttemptID {
		return reply, Outcome{HandedOver: true, Err: errors.New("prefill reply: of another attempt")}
	}
	return reply, Outcome{Whole: true, HandedOver: true}
}

func (c *Client) post(ctx context.Context, attempt Attempt, path string, stream bool) (*exchange.Exchange, error) {
	body, err := json.Marshal(&attempt.Request)
	if err != nil {
		return nil, &exchange.Error{Cause: err}
	}
	return c.exchanges.Do(ctx, exchange.Request{
		Address:     attempt.Address,
		Method:      http.MethodPost,
		Path:        path,
		ContentType: contentType,
		Body:        body,
		Permit:      attempt.Permit,
		Stream:      stream,
	})
}

// eventDecoder decodes the events of streams, of which there is one for each
// token: as encoding/json does, at less than half the time (BenchmarkDecodeEvent).
var eventDecoder = sonic.ConfigStd

// readEvents reads a stream up to its end event.
func (c *Client) readEvents(result *exchange.Exchange, attemptID string, receive func(*engineapi.StreamEvent) bool) (whole bool, err error) {
	reader, err := sse.NewReader(result.Response)
	if err != nil {
		return false, err
	}
	reader.SetMaxBufferSize(c.options.MaximumEventBytes)
	raw := sse.NewEvent()
	defer raw.Release()
	for {
		if err := reader.Read(raw); err != nil {
			return false, endOfStream(err)
		}
		var event engineapi.StreamEvent
		if err := eventDecoder.Unmarshal(raw.Data, &event); err != nil {
			return false, fmt.Errorf("stream event: %w", err)
		}
		if !receive(&event) {
			return false, context.Canceled
		}
		// An event of another attempt ends nothing here.
		if event.Kind == engineapi.EventEnd && event.AttemptID == attemptID {
			return true, nil
		}
	}
}

func endOfStream(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrStreamEnded
	}
	return err
}

func failed(err error) Outcome {
	return Outcome{HandedOver: exchange.HandedOver(err), Err: err}
}

// refused reads a refusal. Only one that carries the attempt's own id proves
// that the attempt has not run.
func refused(attemptID string, status int, result *exchange.Exchange) Outcome {
	outcome := Outcome{HandedOver: true, Err: fmt.Errorf("HTTP status %d", status)}
	switch status {
	case http.StatusConflict, http.StatusUnprocessableEntity, http.StatusServiceUnavailable:
	default:
		return outcome
	}
	body, err := result.Response.BodyE()
	if err != nil {
		outcome.Err = err
		return outcome
	}
	var refusal engineapi.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		outcome.Err = fmt.Errorf("refusal: %w", err)
		return outcome
	}
	if refusal.AttemptID != attemptID {
		outcome.Err = errors.New("refusal: of another attempt")
		return outcome
	}
	return Outcome{Refused: true, Reason: refusal.Reason, HandedOver: true}
}
