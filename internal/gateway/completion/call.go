package completion

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/request"
)

// Call is one model call, checked and authenticated.
type Call struct {
	// RequestID is the caller's; it is not trusted to be unique.
	RequestID string
	Tenant    *dynamic.Tenant
	Model     *dynamic.Model
	Adapter   string
	Prompt    string
	// MaximumTokens bounds the answer, in tokens.
	MaximumTokens int
	Priority      int
	// Deadline is a time on the monotonic clock.
	Deadline time.Duration
	// Batch marks an item of a batch, Spilled a call that another zone's
	// gateway has sent here.
	Batch, Spilled bool
}

// Answer takes the answer to a call. Its methods are called one at a time;
// Finish or Fail is the last.
type Answer interface {
	// Tokens takes the next tokens. An error means that the caller is gone.
	Tokens(tokens []string) error
	// Finish marks the answer as whole.
	Finish(finish request.Finish) error
	// Fail ends the answer; text may have been taken before.
	Fail(answer failure.Answer)
}
