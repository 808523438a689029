package gateway

import (
	"context"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/handler"
	"github.com/pierhaven/pierhaven/internal/gateway/middleware"
	"github.com/pierhaven/pierhaven/internal/listener"
	"github.com/pierhaven/pierhaven/internal/telemetry"
)

// door is a listener with its server.
type door struct {
	listener *listener.Listener
	server   *server.Hertz
}

// openDoors opens the listeners for callers and for other zones' gateways.
func (g *Gateway) openDoors() error {
	callers, err := g.listen("callers", g.settings.Listen)
	if err != nil {
		return err
	}
	g.callers = &door{listener: callers}
	if g.settings.PeerListen == "" {
		return nil
	}
	peers, err := g.listen("gateways", g.settings.PeerListen)
	if err != nil {
		return err
	}
	g.peers = &door{listener: peers}
	return nil
}

// keptPerBodyByte counts a body as it comes, decoded and encoded for an engine.
const keptPerBodyByte = 3

// listen opens a listener whose requests are kept with those of the others.
func (g *Gateway) listen(name, address string) (*listener.Listener, error) {
	opened, err := listener.Listen(address, g.settings.Limits.MaximumConnections, g.metrics.Failure)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal)
	}
	limits := listener.Limits{
		HeaderBytes: g.settings.Limits.MaximumHeaderBytes,
		BodyBytes:   g.settings.Limits.MaximumBodyBytes,
		HeaderTime:  g.settings.Times.ReadTimeout,
		IdleTime:    g.settings.Times.IdleTimeout,
	}
	opened.Name, opened.Logger = name, g.logger
	opened.Limits = func() listener.Limits { return limits }
	opened.KeptPerBodyByte = keptPerBodyByte
	opened.Use(g.requests)
	return opened, nil
}

// openServers adds the routes to the servers of the listeners.
func (g *Gateway) openServers() {
	routes := g.newRoutes()
	g.callers.server = g.newServer(g.callers.listener)
	telemetry.Mount(g.callers.server, g.health, g.metrics)
	routes.mount(g.callers.server)
	if g.peers == nil {
		return
	}
	g.peers.server = g.newServer(g.peers.listener)
	routes.mount(g.peers.server, middleware.NewHop(g.settings.ClusterToken).Handle)
}

func (g *Gateway) newServer(opened *listener.Listener) *server.Hertz {
	created := listener.NewServer(opened,
		server.WithSenseClientDisconnection(true),
		server.WithHandleMethodNotAllowed(true),
		server.WithRedirectTrailingSlash(false),
		server.WithDisablePreParseMultipartForm(true),
	)
	recovery := middleware.NewRecovery(g.logger, g.settings.Times.WriteTimeout)
	created.Use(recovery.Handle, middleware.NewRequestID().Handle, middleware.NewFraming().Handle)
	created.NoRoute(refuseAlways(failure.NotFound))
	created.NoMethod(refuseAlways(failure.MethodNotAllowed))
	return created
}

// routes are the handlers of the callers' interface with what comes before them.
type routes struct {
	// opening come first for all; door refuses new work of a leaving gateway;
	// identity and terms belong to every caller.
	opening      []app.HandlerFunc
	door         app.HandlerFunc
	collecting   app.HandlerFunc
	identity     []app.HandlerFunc
	completions  *handler.Completions
	applications *handler.Applications
	keys         *handler.Keys
	models       *handler.Models
	batches      *handler.Batches
}

func (g *Gateway) newRoutes() *routes {
	return &routes{
		opening:    []app.HandlerFunc{middleware.NewMetrics(g.metrics).Handle},
		door:       middleware.NewLeaving(g.doors).Handle,
		collecting: middleware.NewLeaving(g.collecting).Handle,
		identity: []app.HandlerFunc{
			middleware.NewAuthentication(g.configuration).Handle,
			middleware.NewTerms(g.clock, g.settings.Times.DefaultDeadline, g.settings.Times.MaximumDeadline).Handle,
		},
		completions:  handler.NewCompletions(g.runner, g.forwarder, g.checkReady, g.settings.Times.WriteTimeout),
		applications: handler.NewApplications(g.applications, g.forwarder, g.zones()),
		keys:         handler.NewKeys(g.settings.Zone),
		models:       handler.NewModels(),
		batches:      handler.NewBatches(g.batches, g.settings.ID, g.settings.Limits.MaximumBatchItems),
	}
}

func (r *routes) mount(router *server.Hertz, first ...app.HandlerFunc) {
	opening := append(first, r.opening...)
	callers := router.Group("/", slices.Concat(opening, []app.HandlerFunc{r.door}, r.identity)...)
	callers.POST(callerapi.PathChatCompletions, r.completions.Chat)
	callers.POST(callerapi.PathCompletions, r.completions.Complete)
	callers.GET(callerapi.PathModels, r.models.Handle)
	callers.POST(callerapi.PathApplications+":name/:operation", r.applications.Handle)
	callers.POST(callerapi.PathIdempotencyKeys, r.keys.Handle)
	callers.POST(callerapi.PathBatches, r.batches.Submit)

	// A leaving gateway still returns the states and results of its batches.
	collectors := router.Group("/", slices.Concat(opening, []app.HandlerFunc{r.collecting}, r.identity)...)
	collectors.GET(callerapi.PathBatches+"/:id", r.batches.Progress)
	collectors.GET(callerapi.PathBatches+"/:id/results", r.batches.Results)
	collectors.DELETE(callerapi.PathBatches+"/:id", r.batches.Delete)
}

// checkReady returns why the gateway may dispatch nothing, or nil.
func (g *Gateway) checkReady() error {
	switch g.keeper.LeaseState(g.clock()) {
	case membership.LeaseNone:
		return failure.New(failure.NotReady, "the gateway has no session with its controllers")
	case membership.LeaseExpired:
		return failure.New(failure.IsolationExpired, failure.Lookup(failure.IsolationExpired).Summary)
	default:
		return nil
	}
}

func refuseAlways(kind failure.Kind) app.HandlerFunc {
	return func(_ context.Context, call *app.RequestContext) {
		middleware.Refuse(call, failure.New(kind, failure.Lookup(kind).Summary))
	}
}
