package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway/listener"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/peers"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/regionclock"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/upstream"
	"github.com/pierhaven/pierhaven/internal/uptime"
	"github.com/pierhaven/pierhaven/internal/usage"
)

// Daemon is one relaying gateway.
type Daemon struct {
	settings  Settings
	keeper    *viewKeeper
	directory *relay.Directory
	socket    *datagram.Socket
	peers     *peers.Peers
	placement *placement.Client
	warmup    *placement.Warmup
	front     *front
	client    *rpc.Client
	ready     atomic.Bool
	evidence  *evidence
	limits    *limitClient
	leaving   *leavingTeller
	// callers are the connections of callers, nil before the gateway listens.
	callers atomic.Pointer[listener.Listener]
}

// New returns a gateway that has not begun to listen.
func New(settings Settings) (*Daemon, error) {
	client, err := rpc.NewClient(rpc.ClientOptions{DialTimeout: dialTimeout, CallTimeout: viewTimeout})
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal)
	}
	if settings.Now == nil {
		settings.Now = uptime.Now
	}
	if settings.Contact == 0 {
		settings.Contact = coordinator.DefaultContact
	}
	suspended := uptime.SuspendedBy(settings.Now)
	started := time.Now()
	// Estimates of load go by the steady clock, which costs no system call.
	clock := func() time.Duration { return time.Since(started) }
	if settings.Gate == nil {
		settings.Gate = backpressure.NewGate(backpressure.Options{
			Clock: uptime.Since(settings.Now), Leaving: settings.Dialect.Leaving, LeaveTime: settings.LeaveTime, Logger: settings.Logger,
		})
	}
	settings.Gate.Disregard(settings.Without[mechanism.ReplicaRests], settings.Without[mechanism.ReplicaLeaving])
	replicas := upstream.NewClient(upstream.Options{DialTimeout: dialTimeout, MaximumBodyBytes: maximumBodyBytes, Gate: settings.Gate})
	directory := relay.NewDirectory(clock, settings.Zone, func(address, life string) {
		replicas.Forget(address, life)
		settings.Gate.Drop(backpressure.Peer{Address: address, Instance: life})
	}, settings.Logger)
	directory.Heed(settings.Gate)
	directory.SwitchOff(settings.Without)
	directory.KnowPlaces(settings.Topology)
	directory.KnowConnections(replicas.Connected)
	budgets := relay.NewBudgets(clock, settings.Budget, initialGateways)
	socket := &datagram.Socket{Logger: settings.Logger}
	life := started.UnixNano()
	peers := peers.New(peers.Options{
		Name:              settings.Name,
		Address:           settings.PeerListen,
		Life:              life,
		Zone:              settings.Zone,
		Topology:          settings.Topology,
		LinkBitsPerSecond: settings.LinkBitsPerSecond,
		OtherRegionsRate:  settings.OtherRegionsRate,
		Directory:         directory,
		Socket:            socket,
	})
	asker := placement.NewClient(settings.Name, life, directory, socket, settings.Logger)
	evidence := newEvidence(settings, client)
	counted := &countedUsage{life: life, clock: regionclock.New(suspended), ledger: usage.NewLedger(settings.UsageWindow)}
	keeper := newViewKeeper(settings, client, directory, budgets, &deciders{peers: peers, asker: asker}, counted)
	keeper.evidence, evidence.keeper = evidence, keeper
	quotas := newQuotaClient(settings, socket, keeper)
	keeper.onConfigured = quotas.keep
	limits := newLimitClient(settings, socket, keeper, directory)
	keeper.limits = limits
	runner := relay.NewRunner(directory, replicas, settings.Dialect, budgets, relay.NewMetrics(settings.Metrics), settings.Logger)
	runner.AskPlacements(asker.Remote())
	runner.CountBegun(counted.begun)
	runner.GuardWith(evidence.Guard)
	runner.AskPermits(evidence.permit)
	runner.CountSuspensions(suspended)
	runner.KeepLimits(limits.keeping())
	directory.CountChoosers(keeper.gatewayCount)
	created := &Daemon{
		settings:  settings,
		keeper:    keeper,
		directory: directory,
		socket:    socket,
		peers:     peers,
		placement: asker,
		warmup:    &placement.Warmup{Source: settings.Prefixes, Directory: directory, Logger: settings.Logger},
		client:    client,
		front:     &front{settings: settings, keeper: keeper, runner: runner, quotas: quotas},
		evidence:  evidence,
		limits:    limits,
		leaving:   newLeavingTeller(settings, client, keeper, directory),
	}
	created.registerGauges(settings.Metrics)
	return created, nil
}

// registerGauges registers what is read when it is asked for.
func (d *Daemon) registerGauges(registry *telemetry.Metrics) {
	registry.Flag("ready", "1 while callers should come here.", d.isReady)
	registry.GaugeFunc("requests_in_flight", "Requests that are being served.", func() float64 {
		return float64(d.front.inFlight.Load())
	})
	registry.GaugeFunc("unread_answer_bytes", "Bytes of answers that callers have not taken yet.", func() float64 {
		if callers := d.callers.Load(); callers != nil {
			return float64(callers.Unread())
		}
		return 0
	})
	registry.GaugeFunc("messages_unreadable", "Messages of other processes that could not be read, since the start.", func() float64 {
		return float64(d.socket.Unreadable())
	})
	registry.GaugeFunc("replicas", "Replicas on the list.", func() float64 { return float64(d.directory.Count()) })
	registry.GaugeFunc("replicas_limited", "Replicas that name a limit of requests.", func() float64 { return float64(d.directory.LimitedCount()) })
	registry.GaugeFunc("replicas_resting", "Replicas that have asked this process to be left alone, for now.", func() float64 {
		resting, _ := d.settings.Gate.Counts()
		return float64(resting)
	})
	registry.GaugeFunc("replicas_leaving", "Replicas that have said to this process that they leave.", func() float64 {
		_, leaving := d.settings.Gate.Counts()
		return float64(leaving)
	})
	registry.GaugeFunc("limits_dropped", "Limits of replicas that were given up for lack of room, since the start.", func() float64 {
		return float64(d.directory.LimitsDropped())
	})
	registry.GaugeFunc("placements_asked", "Questions to coordinators for a replica since the start.", func() float64 {
		return float64(d.placement.Counts().Asked)
	})
	registry.GaugeFunc("placements_unanswered", "Questions to coordinators that were not answered in time since the start.", func() float64 {
		return float64(d.placement.Counts().Unanswered)
	})
	registry.GaugeFunc("placements_suspended", "Choices that were made here since the coordinator had not answered, since the start.", func() float64 {
		return float64(d.placement.Counts().Suspended)
	})
	registry.GaugeFunc("limit_asked", "Requests for replicas that name limits since the start.", func() float64 {
		return float64(d.limits.read().Asked)
	})
	registry.GaugeFunc("limit_refused", "Requests that a replica's limit left no room for since the start; most went to another replica.", func() float64 {
		return float64(d.limits.read().Refused)
	})
	registry.GaugeFunc("limit_local", "Requests for replicas that name limits that were decided here, since no coordinator answered, since the start.", func() float64 {
		return float64(d.limits.read().Local)
	})
	registry.GaugeFunc("quota_asked", "Requests of tenants with limits since the start.", func() float64 {
		return float64(d.front.quotas.read().Asked)
	})
	registry.GaugeFunc("quota_refused", "Requests refused for their tenant's limit since the start.", func() float64 {
		return float64(d.front.quotas.read().Refused)
	})
	registry.GaugeFunc("quota_local", "Requests of tenants with limits that were decided here, since no coordinator answered, since the start.", func() float64 {
		return float64(d.front.quotas.read().Local)
	})
	registry.GaugeFunc("requests_held", "Requests that are sent to no replica, since replicas have ended under them.", func() float64 {
		held, _ := d.evidence.Guard.Counts()
		return float64(held)
	})
	registry.GaugeFunc("requests_watched", "Requests under which replicas have ended, those that are held among them.", func() float64 {
		_, watched := d.evidence.Guard.Counts()
		return float64(watched)
	})
	registry.GaugeFunc("evidence_dropped", "Digests of requests under which replicas have ended that were given up for lack of room.", func() float64 {
		return float64(d.evidence.Dropped())
	})
	registry.GaugeFunc("view_age_seconds", "Age of the view of the region, -1 before there is one.", func() float64 {
		age, known := d.keeper.age()
		if !known {
			return -1
		}
		return age.Seconds()
	})
	registry.GaugeFunc("configuration_version", "Version in force, 0 before there is one.", func() float64 {
		if table := d.keeper.Table(); table != nil {
			return float64(table.Configuration.Version)
		}
		return 0
	})
}

// Run serves until a planned stop has begun and all requests are answered, or
// the time for the stop is over.
func (d *Daemon) Run(stopping context.Context) error {
	callers, err := listener.Listen(d.settings.Listen, maximumConnections, func(failure.Kind) {})
	if err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	callers.StallTime = d.settings.callerStall()
	callers.MaximumUnread = int64(unreadShare * float64(d.settings.MemoryBytes))
	d.callers.Store(callers)
	readiness, err := net.Listen("tcp", d.settings.ReadyListen)
	if err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.keeper.keep(work)
	go d.keeper.locate(work)
	go d.keeper.watchList(work)
	go d.listenToOthers(work)
	go d.peers.Tell(work)
	go d.placement.Run(work)
	go d.warmUp(work)
	go d.evidence.Run(work)
	go d.leaving.Run(work)
	go func() { _ = d.newReadyServer(readiness).Run() }()
	go func() { _ = d.front.newServer(callers).Run() }()
	<-stopping.Done()
	d.stop(callers)
	return nil
}

// listenToOthers takes the messages of other gateways and of coordinators.
func (d *Daemon) listenToOthers(ctx context.Context) {
	if err := d.socket.Run(ctx, d.settings.PeerListen); err != nil {
		d.settings.Logger.Info(event.PeersUnreachable, "address", d.settings.PeerListen, "error", failure.Text(err))
	}
}

// countedPoll is the pause between two looks whether the gateways have been counted.
const countedPoll = 20 * time.Millisecond

// warmUp asks replicas what they keep, unless there are so many gateways that coordinators,
// which ask them, choose replicas for this one.
func (d *Daemon) warmUp(ctx context.Context) {
	for !d.keeper.counted() {
		if !lifecycle.Sleep(ctx, countedPoll) {
			return
		}
	}
	if !d.placement.Asks() {
		d.warmup.Run(ctx)
	}
}

// maximumConnections bounds the callers' connections, below the descriptors that
// a process may have.
const maximumConnections = 3000

const (
	// lingerTime is how long new requests are still taken by a gateway that has
	// begun to leave: those who send them have to notice first. What comes later
	// may not be finished in the time that is left, and is refused.
	lingerTime = 2800 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
	// stopPolls in a row have to find no request in flight and no answer being written: between the two
	// lies a moment, since answers are written after their handlers have returned.
	stopPolls = 2
)

// stop takes what still comes for a while, and waits for the requests in flight.
func (d *Daemon) stop(callers *listener.Listener) {
	begun := time.Now()
	d.front.leave(begun.Add(min(lingerTime, d.settings.StopTime/2)))
	d.settings.Logger.Info(event.NotReady, "reason", "leaving", "in_flight", d.front.inFlight.Load())
	end := begun.Add(d.settings.StopTime)
	for idle := 0; idle < stopPolls && time.Now().Before(end); time.Sleep(stopPoll) {
		idle++
		if d.front.inFlight.Load() > 0 || callers.Writing() > 0 || !d.front.closed() {
			idle = 0
		}
	}
	d.settings.Logger.Info(event.Stopped, "in_flight", d.front.inFlight.Load(), "connections", callers.Open(),
		"after_ms", time.Since(begun).Milliseconds())
	callers.CloseConnections()
}

// newReadyServer answers whether new connections may come here.
func (d *Daemon) newReadyServer(opened net.Listener) *server.Hertz {
	created := server.New(
		server.WithListener(opened),
		server.WithTransport(standard.NewTransporter),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	created.GET(d.settings.ReadyPath, func(_ context.Context, request *app.RequestContext) {
		if d.isReady() {
			request.SetStatusCode(http.StatusOK)
			return
		}
		request.SetStatusCode(http.StatusServiceUnavailable)
	})
	return created
}

// isReady reports whether callers should come here: once the view has been fresh
// and holds a configuration and replicas, until the process leaves. A view that
// grows old later is no reason to turn callers away.
func (d *Daemon) isReady() bool {
	if d.front.leaving() {
		return false
	}
	if d.ready.Load() {
		return true
	}
	age, known := d.keeper.age()
	ready := known && age < staleAge && d.keeper.Table() != nil && d.directory.Count() > 0
	if ready && d.ready.CompareAndSwap(false, true) {
		d.settings.Logger.Info(event.Ready, "version", d.keeper.Table().Configuration.Version, "replicas", d.directory.Count(),
			"age_ms", age.Milliseconds())
	}
	return ready
}
