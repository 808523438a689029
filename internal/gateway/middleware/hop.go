package middleware

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

// Hop marks the requests of the listener for other zones' gateways as forwarded,
// so that they go no further, and refuses those without the cluster's token.
type Hop struct {
	token [sha256.Size]byte
	open  bool
}

// NewHop returns the middleware. An empty token lets every request in.
func NewHop(token string) *Hop {
	return &Hop{token: sha256.Sum256([]byte(token)), open: token == ""}
}

// Handle implements app.HandlerFunc.
func (m *Hop) Handle(_ context.Context, call *app.RequestContext) {
	offered := sha256.Sum256(call.GetHeader(rpc.HeaderToken))
	if !m.open && subtle.ConstantTimeCompare(offered[:], m.token[:]) != 1 {
		Refuse(call, failure.New(failure.Unauthenticated, "only gateways of the same system may forward here"))
		return
	}
	ScopeOf(call).Forwarded = true
}
