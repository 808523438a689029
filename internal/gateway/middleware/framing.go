package middleware

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/framing"
)

// Framing refuses requests of which it is open where they end, and closes their
// connection: what follows may have been meant as a part of them.
type Framing struct{}

// NewFraming returns the middleware.
func NewFraming() *Framing { return &Framing{} }

// Handle implements app.HandlerFunc.
func (*Framing) Handle(ctx context.Context, call *app.RequestContext) {
	if err := framing.Check(call.Request.Header.RawHeaders()); err != nil {
		call.SetConnectionClose()
		Refuse(call, err)
		return
	}
	call.Next(ctx)
}
