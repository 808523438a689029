package middleware

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/fleet"
	"github.com/pierhaven/pierhaven/internal/tenant"
)

// Authentication finds the tenant of a request's API key.
type Authentication struct {
	configuration func() *fleet.Configuration
}

// NewAuthentication returns the middleware. The function returns the
// configuration in force, nil before there is one.
func NewAuthentication(configuration func() *fleet.Configuration) *Authentication {
	return &Authentication{configuration: configuration}
}

// Handle implements app.HandlerFunc.
func (m *Authentication) Handle(_ context.Context, call *app.RequestContext) {
	configuration := m.configuration()
	if configuration == nil {
		Refuse(call, failure.New(failure.NotReady, "no configuration has come from the controllers yet"))
		return
	}
	key := tenant.BearerKey(string(call.GetHeader(callerapi.HeaderAuthorization)))
	if key == "" {
		Refuse(call, failure.New(failure.Unauthenticated, "the Authorization header has no bearer key"))
		return
	}
	found := configuration.Authenticate([]byte(key))
	if found == nil {
		Refuse(call, failure.New(failure.Unauthenticated, "the API key is not known"))
		return
	}
	scope := ScopeOf(call)
	scope.Tenant = found
	scope.Configuration = configuration
}
