package middleware

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/gateway/fleet"
)

// Scope is what the middlewares have found out about a request.
type Scope struct {
	RequestID     string
	Tenant        *dynamic.Tenant
	Configuration *fleet.Configuration
	// Deadline is a time on the monotonic clock.
	Deadline time.Duration
	Priority int
	// Forwarded is set if another zone's gateway sent the request.
	Forwarded bool
}

const scopeKey = "pierhaven-scope"

// ScopeOf returns the scope of a request; it is never nil.
func ScopeOf(call *app.RequestContext) *Scope {
	if known, found := call.Get(scopeKey); found {
		return known.(*Scope)
	}
	scope := &Scope{}
	call.Set(scopeKey, scope)
	return scope
}
