package controller

import (
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/eventlog"
	"github.com/pierhaven/pierhaven/internal/listener"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/wire"
)

const (
	// keepAliveTime is longer than clients keep an idle connection, so that the
	// client closes it and not the server.
	keepAliveTime = 3 * time.Minute
	readTimeout   = 30 * time.Second
	// maximumOperatorBody bounds the body of an operator's request, in bytes.
	maximumOperatorBody = 4 << 20
	maximumHeaderBytes  = 16 << 10
	// keptPerBodyByte counts a body as it comes and decoded.
	keptPerBodyByte = 2
	// internalConnections bounds the connections of gateways and controllers, operatorConnections those of operators.
	internalConnections = 8192
	operatorConnections = 1024
)

// newServer returns a server of requests whose bodies are bounded, on a number of connections at most.
func (c *Controller) newServer(name string, inner net.Listener, connections, maximumBody int, more ...config.Option) *server.Hertz {
	opened := listener.Wrap(inner, connections, c.metrics.Failure)
	limits := listener.Limits{HeaderBytes: maximumHeaderBytes, BodyBytes: maximumBody, HeaderTime: readTimeout, IdleTime: keepAliveTime}
	opened.Name, opened.Logger = name, c.logger
	opened.Limits = func() listener.Limits { return limits }
	opened.KeptPerBodyByte = keptPerBodyByte
	opened.Use(c.requests)
	return listener.NewServer(opened, append([]config.Option{server.WithExitWaitTime(0)}, more...)...)
}

// newInternalServer returns the server for gateways and other controllers.
func (c *Controller) newInternalServer(inner net.Listener) *server.Hertz {
	engine := c.newServer("calls", inner, internalConnections, c.settings.MaximumBodyBytes, rpc.ServerOptions()...)
	reportPanics := rpc.ReportPanics(eventlog.PanicHandler(c.logger, "internal call"))
	calls := engine.Group("/", rpc.TokenCheck(c.settings.ClusterToken), reportPanics)
	rpc.Handle(calls, wire.PathOpenSession, c.handleOpenSession)
	rpc.Handle(calls, wire.PathHeartbeat, c.handleHeartbeat)
	rpc.Handle(calls, wire.PathCloseSession, c.handleCloseSession)
	rpc.Handle(calls, wire.PathWatch, c.handleWatch)
	rpc.Handle(calls, wire.PathClaim, c.handleClaim)
	rpc.Handle(calls, wire.PathComplete, c.handleComplete)
	rpc.Handle(calls, wire.PathRelease, c.handleRelease)
	rpc.Handle(calls, wire.PathConfigPull, c.handleConfigPull)
	rpc.Handle(calls, wire.PathConsensus, c.handleConsensus)
	rpc.Handle(calls, peer.PathPropose, c.handlePropose)
	rpc.Handle(calls, peer.PathIdentity, c.handleIdentity)
	rpc.Handle(calls, peer.PathPromise, c.handlePromise)
	rpc.Handle(calls, peer.PathFound, c.handleFound)
	rpc.Handle(calls, peer.PathState, c.handleGroupState)
	rpc.Handle(calls, peer.PathMembership, c.handleMembership)
	rpc.Handle(calls, peer.PathDocuments, c.handleDocuments)
	rpc.Handle(calls, peer.PathZoneReport, c.handleZoneReport)
	rpc.Handle(calls, peer.PathEngineChange, c.handleEngineChange)
	rpc.Handle(calls, wire.PathPoison, c.handlePoison)
	rpc.Handle(calls, peer.PathZoneHolds, c.handleZoneHolds)
	return engine
}

// newOperatorServer returns the server for operators, health checks and metrics.
func (c *Controller) newOperatorServer(inner net.Listener) *server.Hertz {
	engine := c.newServer("operators", inner, operatorConnections, maximumOperatorBody, server.WithUseRawPath(true), server.WithUnescapePathValues(true))
	operatorapi.Mount(engine, operatorapi.Options{
		Backend:     c,
		TokenHashes: c.settings.OperatorTokenHashes,
		OnFailure:   c.metrics.Failure,
		OnPanic:     eventlog.PanicHandler(c.logger, "operator's call"),
	})
	telemetry.Mount(engine, c.health, c.metrics)
	return engine
}
