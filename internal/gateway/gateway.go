package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pierhaven/pierhaven/internal/admission"
	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/eventlog"
	"github.com/pierhaven/pierhaven/internal/gateway/application"
	"github.com/pierhaven/pierhaven/internal/gateway/applicationclient"
	"github.com/pierhaven/pierhaven/internal/gateway/batch"
	"github.com/pierhaven/pierhaven/internal/gateway/completion"
	"github.com/pierhaven/pierhaven/internal/gateway/engineclient"
	"github.com/pierhaven/pierhaven/internal/gateway/exchange"
	"github.com/pierhaven/pierhaven/internal/gateway/fleet"
	"github.com/pierhaven/pierhaven/internal/gateway/forward"
	"github.com/pierhaven/pierhaven/internal/gateway/handler"
	"github.com/pierhaven/pierhaven/internal/gateway/scheduler"
	"github.com/pierhaven/pierhaven/internal/gateway/zonegroup"
	"github.com/pierhaven/pierhaven/internal/listener"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/retry"
	"github.com/pierhaven/pierhaven/internal/routing"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/session"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/upstream"
	"github.com/pierhaven/pierhaven/internal/uptime"
)

// Conditions of readiness, as the health pages name them.
const (
	conditionSession       = "session"
	conditionConfiguration = "configuration"
)

// Gateway is one gateway process.
type Gateway struct {
	settings Settings
	log      *eventlog.Log
	logger   logr.Logger
	health   *telemetry.Health
	metrics  *telemetry.Metrics
	uptime   func() time.Duration

	fleet     *fleet.Fleet
	scheduler *scheduler.Scheduler
	engines   *engineclient.Client
	workers   *ants.Pool
	// batchWorkers run the items of batches, whose attempts need workers too.
	batchWorkers *ants.Pool
	runner       *completion.Runner
	keeper       *zonegroup.Keeper
	evidence     *poison.Reporter
	rpc          *rpc.Client
	// requests bounds what is kept of requests.
	requests *listener.Memory
	callers  *door
	// peers is nil without a listener for other zones' gateways.
	peers *door
	doors *doors
	// collecting counts the requests for what became of batches, which are served
	// until the end.
	collecting   *doors
	withheld     *fleet.Withheld
	forwarder    *forward.Forwarder
	applications *application.Runner
	// applicationClient asks back ends for their state.
	applicationClient *applicationclient.Client
	batches           *batch.Store

	// malformed counts what engines, back ends and other zones have sent in the place of an answer.
	malformed *prometheus.CounterVec

	cut    context.Context
	cutNow context.CancelFunc
	// cutList is what was in flight at the first Cut, nil before.
	cutList atomic.Pointer[[]string]
}

// New checks the settings, opens the listener and connects the components.
// Nothing is served before Run.
func New(settings Settings) (*Gateway, error) {
	settings = settings.withDefaults()
	if err := settings.Check(); err != nil {
		return nil, err
	}
	gateway := &Gateway{
		settings:   settings,
		health:     telemetry.NewHealth(conditionSession, conditionConfiguration),
		metrics:    telemetry.NewMetrics("gateway"),
		uptime:     uptime.Since(uptime.Now),
		doors:      newDoors(settings.Limits.MaximumRequests),
		collecting: newDoors(settings.Limits.MaximumRequests),
	}
	gateway.requests = listener.MemoryFor(settings.Limits.MaximumBodyBytes, keptPerBodyByte)
	gateway.metrics.Register(listener.NewCollector("pierhaven_gateway", gateway.requests))
	gateway.malformed = telemetry.CounterOf(gateway.metrics, "malformed_answers_total",
		"What engines, back ends and other zones have sent in the place of an answer, by what is wrong with it.", "fault", answer.Faults)
	gateway.cut, gateway.cutNow = context.WithCancel(context.Background())
	if err := gateway.openLog(); err != nil {
		return nil, err
	}
	if err := gateway.openDoors(); err != nil {
		return nil, err
	}
	if err := gateway.assemble(); err != nil {
		return nil, err
	}
	gateway.openServers()
	gateway.registerMetrics()
	return gateway, nil
}

func (g *Gateway) openLog() error {
	log, err := eventlog.New(eventlog.Options{
		Process:   "gateway " + g.settings.ID,
		Folder:    g.settings.DataFolder,
		Entries:   g.settings.Log.Entries,
		MaxFiles:  g.settings.Log.MaximumFiles,
		Threshold: g.settings.Log.Threshold,
		Verbosity: g.settings.Log.Verbosity,
	})
	if err != nil {
		return err
	}
	g.log = log
	g.logger = log.Logger()
	return nil
}

func (g *Gateway) assemble() error {
	onPanic := ants.WithPanicHandler(eventlog.PanicHandler(g.logger, "worker"))
	workers, err := ants.NewPool(g.settings.Limits.MaximumWorkers, ants.WithNonblocking(true), onPanic)
	if err != nil {
		return err
	}
	batchWorkers, err := ants.NewPool(max(1, g.settings.Limits.MaximumWorkers/batchShare), ants.WithNonblocking(true), onPanic)
	if err != nil {
		return err
	}
	carrier, err := rpc.NewClient(rpc.ClientOptions{Token: g.settings.ClusterToken})
	if err != nil {
		return err
	}
	g.workers = workers
	g.batchWorkers = batchWorkers
	g.rpc = carrier
	caller := zonegroup.NewCaller(carrier, g.settings.Controllers)
	g.keeper = zonegroup.NewKeeper(session.New(g.sessionConfig()), caller, g.clock, g.logger)
	g.fleet = fleet.New(g.clock, g.keeper)
	g.scheduler = scheduler.New(g.schedulerOptions(), g.clock, g.keeper.IsolationSet)
	g.evidence = zonegroup.NewEvidence(g.settings.ID, g.keeper, caller, g.clock, contactTime, g.logger)
	g.keeper.Attach(g.fleet, g.scheduler, g.evidence.Guard)
	g.engines = engineclient.New(g.engineOptions(), g.scheduler)
	times := completion.Times{
		Accept:     g.settings.Times.AcceptTimeout,
		FirstToken: g.settings.Times.FirstTokenTimeout,
		Stall:      g.settings.Times.StallTimeout,
	}
	detector := poison.NewGuardedDetector(g.evidence.Guard, upstream.Refuses, g.logger)
	detector.OnCrash = func(engineID string, under []poison.Digest) {
		g.scheduler.ProcessEnded(engineID)
		g.evidence.Guard.ReplicaCrashed(engineID, under)
	}
	g.runner = completion.NewRunner(g.engines, g.scheduler, g.fleet, workers, times, g.clock, g.cut, g.logger)
	g.runner.GuardWith(g.evidence.Guard, detector)
	g.withheld = fleet.NewWithheld(g.settings.Times.MoveAfter)
	g.fleet.OnChange(g.fleetChanged)
	g.forwarder = forward.New(g.forwardOptions(), g.settings.peers(), g.clock)
	records := zonegroup.NewRecords(g.settings.Zone, g.settings.ID, g.keeper, caller)
	g.applicationClient = applicationclient.New(g.exchangeOptions(g.settings.Limits.MaximumAnswerBytes))
	g.applications = application.NewRunner(g.applicationClient,
		records, g.fleet, workers, g.settings.Times.MaximumDeadline, g.clock, g.logger)
	g.applications.GuardWith(g.evidence.Guard, detector)
	items := handler.NewItems(g.runner, g.applications, g.forwarder, g.zones(), g.clock, g.settings.Times.MaximumDeadline)
	g.batches = batch.New(g.batchOptions(), items, batchWorkers, g.clock)
	return nil
}

func (g *Gateway) zones() handler.Zones {
	return handler.Zones{Own: g.settings.Zone, Known: g.settings.knowsZone}
}

// contactTime bounds the time until information reaches both a gateway and the zone group: a few heartbeats.
const contactTime = 3 * time.Second

// batchShare limits attempts of batches to one in batchShare workers; the others are reserved for interactive
// requests.
const batchShare = 2

// batchPause is the longest wait of a batch for memory.
const batchPause = 5 * time.Minute

// itemTries is the maximum number of attempts of one item of a batch.
const itemTries = 8

func (g *Gateway) batchOptions() batch.Options {
	return batch.Options{
		GatewayID:      g.settings.ID,
		MaximumBatches: g.settings.Limits.MaximumBatches,
		MaximumBytes:   g.settings.Limits.MaximumBatchBytes,
		Concurrency:    g.settings.Limits.BatchConcurrency,
		KeepTime:       g.settings.Times.BatchKeepTime,
		ItemTries:      itemTries,
		MaximumPause:   batchPause,
	}
}

func (g *Gateway) sessionConfig() session.Config {
	return session.Config{
		GatewayID:   g.settings.ID,
		Incarnation: rand.Uint64(),
		Address:     g.Address(),
		PeerAddress: g.PeerAddress(),
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (g *Gateway) schedulerOptions() scheduler.Options {
	admitting := admission.DefaultOptions()
	admitting.MaximumItems = g.settings.Limits.MaximumQueued
	admitting.MaximumTenantItems = max(1, g.settings.Limits.MaximumQueued/2)
	routed := routing.DefaultOptions()
	routed.GatewayID = g.settings.ID
	retried := retry.DefaultOptions()
	retried.Budget.MinimumPerSecond = minimumRetriesPerSecond
	return scheduler.Options{
		Admission:   admitting,
		Routing:     routed,
		Retry:       retried,
		Zone:        g.settings.Zone,
		MaximumWait: g.settings.Times.MaximumWait,
		OtherZones:  len(g.settings.peers()) > 0,
		Seed:        rand.Uint64(),
	}
}

func (g *Gateway) engineOptions() engineclient.Options {
	return engineclient.Options{
		Exchange:          g.exchangeOptions(g.settings.Limits.MaximumEventBytes),
		MaximumEventBytes: g.settings.Limits.MaximumEventBytes,
		CallTimeout:       g.settings.Times.SendTimeout,
	}
}

func (g *Gateway) exchangeOptions(maximumBodyBytes int) exchange.Options {
	return exchange.Options{
		DialTimeout:           g.settings.Times.DialTimeout,
		WriteTimeout:          g.settings.Times.SendTimeout,
		MaximumIdlePerAddress: maximumIdlePerEngine,
		MaximumIdleTime:       g.settings.Times.IdleBackEndTime,
		MaximumBodyBytes:      maximumBodyBytes,
		OnFault:               func(fault answer.Fault) { g.malformed.WithLabelValues(string(fault)).Inc() },
	}
}

func (g *Gateway) forwardOptions() forward.Options {
	return forward.Options{
		Exchange:          g.exchangeOptions(g.settings.Limits.MaximumBodyBytes),
		Token:             g.settings.ClusterToken,
		WriteTimeout:      g.settings.Times.WriteTimeout,
		MaximumEventBytes: g.settings.Limits.MaximumEventBytes,
	}
}

// peers returns the gateways of other zones.
func (s *Settings) peers() []forward.Peer {
	var peers []forward.Peer
	for _, peer := range s.Peers {
		if peer.Zone != s.Zone {
			peers = append(peers, forward.Peer{Zone: peer.Zone, Address: peer.Address})
		}
	}
	return peers
}

// minimumRetriesPerSecond lets a quiet gateway resume a stream within a second.
const minimumRetriesPerSecond = 1

// maximumIdlePerEngine bounds the unused connections kept to one engine.
const maximumIdlePerEngine = 64

// clock returns the time since the process started, including the time for which the machine was suspended. It starts
// above zero, because zero means "never" in deadlines.
func (g *Gateway) clock() time.Duration { return g.uptime() + time.Nanosecond }

// Address is where callers are served, with the port that was chosen.
func (g *Gateway) Address() string { return g.callers.listener.Addr().String() }

// PeerAddress is where other zones' gateways are served, empty for nowhere.
func (g *Gateway) PeerAddress() string {
	if g.peers == nil {
		return ""
	}
	return g.peers.listener.Addr().String()
}

// InFlight lists what the gateway has in flight.
func (g *Gateway) InFlight() []string {
	return slices.Concat(g.runner.InFlight(), g.applications.InFlight(), g.batches.InFlight())
}

// Cut aborts all requests in flight; Run returns soon after.
func (g *Gateway) Cut() {
	// What is in flight is read before it ends.
	inHand := g.InFlight()
	g.cutList.CompareAndSwap(nil, &inHand)
	g.cutNow()
}

// Log is the gateway's log ring.
func (g *Gateway) Log() *eventlog.Log { return g.log }

func (g *Gateway) fleetChanged(snapshot *fleet.Snapshot) {
	g.health.Set(conditionConfiguration, snapshot.Configuration != nil)
	g.scheduler.SetFleet(snapshot)
	g.withheld.Update(g.clock(), snapshot)
}

func (g *Gateway) configuration() *fleet.Configuration {
	return g.fleet.Snapshot().Configuration
}

// errCut is returned by Run if work in flight was cut.
var errCut = errors.New("the gateway stopped before its work was done")
