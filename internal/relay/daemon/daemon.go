package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/links"
	"github.com/pierhaven/pierhaven/internal/listener"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/peers"
	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/regionclock"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/upstream"
	"github.com/pierhaven/pierhaven/internal/uptime"
	"github.com/pierhaven/pierhaven/internal/usage"
)

// Daemon is a relaying gateway.
type Daemon struct {
	settings  Settings
	views     *viewClient
	directory *relay.Directory
	socket    *datagram.Socket
	peers     *peers.Peers
	placement *placement.Client
	warmup    *placement.Warmup
	frontend  *frontend
	upstreams *upstream.Client
	client    *rpc.Client
	ready     atomic.Bool
	evidence  *evidenceReporter
	limits    *limitClient
	leaving   *leavingReporter
	// callers holds the connections of callers; it is nil before the gateway listens.
	callers atomic.Pointer[listener.Listener]
}

// New returns a gateway that does not listen yet.
func New(settings Settings) (*Daemon, error) {
	client, err := rpc.NewClient(rpc.ClientOptions{DialTimeout: dialTimeout, CallTimeout: viewTimeout})
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal)
	}
	if settings.Now == nil {
		settings.Now = uptime.Now
	}
	if settings.ContactTime == 0 {
		settings.ContactTime = coordinator.DefaultContactTime
	}
	suspended := uptime.SuspendedBy(settings.Now)
	started := time.Now()
	// Load estimates use Go's monotonic clock, which costs no system call.
	clock := func() time.Duration { return time.Since(started) }
	if settings.Gate == nil {
		settings.Gate = backpressure.NewGate(backpressure.Options{
			Clock: uptime.Since(settings.Now), Leaving: settings.Dialect.Leaving, LeavingGrace: settings.LeavingGrace, Logger: settings.Logger,
		})
	}
	settings.Gate.Disable(settings.DisabledMechanisms[mechanism.ReplicaRests], settings.DisabledMechanisms[mechanism.ReplicaLeaving])
	var directory *relay.Directory
	upstreams := upstream.NewClient(upstream.Options{
		DialTimeout: dialTimeout, MaximumBodyBytes: maximumBodyBytes, Budget: settings.AnswerBudget, Gate: settings.Gate,
		OnDial: func(instance string, took time.Duration, err error) { directory.ObserveDial(instance, took, err) },
	})
	directory = relay.NewDirectory(clock, settings.Zone, func(address, incarnation string) {
		upstreams.Forget(address, incarnation)
		settings.Gate.MarkUnlisted(backpressure.Peer{Address: address, Instance: incarnation})
	}, settings.Logger)
	directory.UseGate(settings.Gate)
	directory.Disable(settings.DisabledMechanisms)
	directory.SetRegions(settings.Topology)
	directory.SetConnected(upstreams.Connected)
	directory.TrackLinks(links.OptionsFor(settings.ContactTime))
	budgets := relay.NewRetryBudgets(clock, settings.Budget, initialGateways)
	socket := &datagram.Socket{Logger: settings.Logger}
	incarnation := started.UnixNano()
	peers := peers.New(peers.Options{
		Name:              settings.Name,
		Address:           settings.PeerListen,
		Incarnation:       incarnation,
		Zone:              settings.Zone,
		Topology:          settings.Topology,
		LinkBitsPerSecond: settings.LinkBitsPerSecond,
		OtherRegionsRate:  settings.OtherRegionsBytesPerSecond,
		Directory:         directory,
		Socket:            socket,
	})
	placements := placement.NewClient(settings.Name, incarnation, directory, socket, settings.Logger)
	forwards := newForwardClient(settings)
	evidence := newEvidenceReporter(settings, client)
	usageReports := &usageReporter{incarnation: incarnation, clock: regionclock.New(suspended), ledger: usage.NewLedger(settings.UsageWindow)}
	views := newViewClient(settings, client, directory, budgets, &placementMode{peers: peers, client: placements, forwards: forwards}, usageReports)
	views.evidence, evidence.views = evidence, views
	quotas := newQuotaClient(settings, socket, views)
	origins := newOriginClient(settings, socket, views, directory)
	views.onConfigured = func(before, after *traffic.Configuration) {
		quotas.pruneTenants(after)
		origins.applyConfiguration(before, after)
	}
	views.onListed, views.onFormerOrigins = origins.noteList, origins.noteFormer
	limits := newLimitClient(settings, socket, views, directory)
	views.limits = limits
	runner := relay.NewRunner(directory, upstreams, settings.Dialect, budgets, relay.NewMetrics(settings.Metrics), settings.Logger)
	runner.SetRemotePlacement(placements.Remote())
	runner.OnRequestStart(usageReports.recordStart)
	runner.SetOriginRecorder(origins.begin)
	runner.SetConfigurationVersion(views.version)
	runner.SetListKnowledge(views.listKnowledge)
	runner.SetGuard(evidence.Guard)
	runner.SetProbationPermits(evidence.requestPermit)
	runner.SetSuspendedTime(suspended)
	if !settings.DisabledMechanisms[mechanism.Forwarding] {
		runner.SetForwarder(forwards.forward)
	}
	runner.EnforceLimits(limits.replicaLimits())
	directory.SetPlacerCount(views.gatewayCount)
	created := &Daemon{
		settings:  settings,
		views:     views,
		directory: directory,
		socket:    socket,
		peers:     peers,
		placement: placements,
		warmup:    &placement.Warmup{Source: settings.PrefixSource, Directory: directory, Logger: settings.Logger},
		client:    client,
		upstreams: upstreams,
		frontend:  &frontend{settings: settings, views: views, runner: runner, quotas: quotas, forwards: forwards, origins: origins},
		evidence:  evidence,
		limits:    limits,
		leaving:   newLeavingReporter(settings, client, views, directory),
	}
	created.registerGauges(settings.Metrics)
	return created, nil
}

// registerGauges registers the gauges that are computed on collection.
func (d *Daemon) registerGauges(registry *telemetry.Metrics) {
	registry.Flag("ready", "1 while callers should come here.", d.isReady)
	registry.GaugeFunc("requests_in_flight", "Requests that are being served.", func() float64 {
		return float64(d.frontend.inFlight.Load())
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
	registry.GaugeFunc("services_cut_off", "Services to which this process has lost its links.", func() float64 {
		return float64(d.directory.CutOffCount())
	})
	registry.GaugeFunc("limits_dropped", "Limits of replicas that were given up for lack of room, since the start.", func() float64 {
		return float64(d.directory.LimitsDropped())
	})
	registry.GaugeFunc("placements_asked", "Questions to coordinators for a replica since the start.", func() float64 {
		return float64(d.placement.Counts().Queries)
	})
	registry.GaugeFunc("placements_unanswered", "Questions to coordinators that were not answered in time since the start.", func() float64 {
		return float64(d.placement.Counts().Unanswered)
	})
	registry.GaugeFunc("placements_suspended", "Choices that were made here since the coordinator had not answered, since the start.", func() float64 {
		return float64(d.placement.Counts().Suspended)
	})
	registry.GaugeFunc("limit_asked", "Requests for replicas that name limits since the start.", func() float64 {
		return float64(d.limits.readCounts().Asked)
	})
	registry.GaugeFunc("limit_refused", "Requests that a replica's limit left no room for since the start; most went to another replica.", func() float64 {
		return float64(d.limits.readCounts().Refused)
	})
	registry.GaugeFunc("limit_local", "Requests for replicas that name limits that were decided here, since no coordinator answered, since the start.", func() float64 {
		return float64(d.limits.readCounts().Local)
	})
	registry.GaugeFunc("quota_asked", "Requests of tenants with limits since the start.", func() float64 {
		return float64(d.frontend.quotas.readCounts().Asked)
	})
	registry.GaugeFunc("quota_refused", "Requests refused for their tenant's limit since the start.", func() float64 {
		return float64(d.frontend.quotas.readCounts().Refused)
	})
	registry.GaugeFunc("quota_local", "Requests of tenants with limits that were decided here, since no coordinator answered, since the start.", func() float64 {
		return float64(d.frontend.quotas.readCounts().Local)
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
		age, known := d.views.age()
		if !known {
			return -1
		}
		return age.Seconds()
	})
	registry.GaugeFunc("configuration_version", "Version in force, 0 before there is one.", func() float64 {
		return float64(d.views.version())
	})
	registry.GaugeFunc("configuration_read_version", "Last version that was read, 0 before there is one; above the one in force while it is brought into force.", func() float64 {
		return float64(d.views.readVersion.Load())
	})
}

// Run serves until a planned stop has begun and either all requests are answered or StopTimeout has
// passed.
func (d *Daemon) Run(stopping context.Context) error {
	callerConnections, peerConnections := d.settings.connectionLimits()
	callers, err := d.listen("callers", d.settings.Listen, callerConnections)
	if err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	d.callers.Store(callers)
	// Peers forward calls to the address of the messages of other processes.
	forwarding, err := d.listen("gateways", d.settings.PeerListen, peerConnections)
	if err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	callers.Limits, forwarding.Limits, forwarding.Internal = d.callerLimits, func() listener.Limits { return forwardingLimits }, true
	readiness, err := d.listen("readiness", d.settings.ReadyListen, readinessConnections)
	if err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.views.applyConfigurations(work)
	go d.views.pollCoordinators(work)
	go d.views.probeCoordinators(work)
	go d.views.pollListWhenStale(work)
	go d.receiveMessages(work)
	go d.peers.Run(work)
	go d.placement.Run(work)
	go d.warmUp(work)
	go d.probeLinks(work)
	go d.evidence.Run(work)
	go d.leaving.Run(work)
	go func() { _ = d.newReadyServer(readiness).Run() }()
	go func() { _ = d.frontend.newServer(callers, d.frontend.handle).Run() }()
	go func() { _ = d.frontend.newServer(forwarding, d.frontend.handleForwarded).Run() }()
	<-stopping.Done()
	d.stop(callers, forwarding)
	return nil
}

// listen listens for calls, of callers or of peers that forward them, on a number of connections at most.
func (d *Daemon) listen(name, address string, connections int) (*listener.Listener, error) {
	calls, err := listener.Listen(address, connections, func(failure.Kind) {})
	if err != nil {
		return nil, err
	}
	calls.Name, calls.Logger = name, d.settings.Logger
	calls.Use(d.settings.RequestMemory)
	calls.StallTime = d.settings.effectiveCallerStall()
	calls.MaximumUnread = int64(unreadMemoryFraction * float64(d.settings.MemoryBytes))
	return calls, nil
}

// receiveMessages handles the messages of other gateways and of coordinators.
func (d *Daemon) receiveMessages(ctx context.Context) {
	if err := d.socket.Run(ctx, d.settings.PeerListen); err != nil {
		d.settings.Logger.Info(event.PeersUnreachable, "address", d.settings.PeerListen, "error", failure.Text(err))
	}
}

// gatewayCountPollInterval is the interval at which warmUp checks whether the number of gateways is
// known.
const gatewayCountPollInterval = 20 * time.Millisecond

// warmUp asks replicas what they have cached, unless there are so many gateways that coordinators,
// which ask the replicas themselves, choose replicas for this gateway.
func (d *Daemon) warmUp(ctx context.Context) {
	for !d.views.gatewayCountKnown() {
		if !lifecycle.Sleep(ctx, gatewayCountPollInterval) {
			return
		}
	}
	if !d.placement.HasCoordinator() {
		d.warmup.Run(ctx)
	}
}

const (
	// drainAcceptTime is how long a gateway that has begun to stop still accepts new requests, as
	// senders need time to notice. Later requests might not finish in the remaining time and are
	// refused.
	drainAcceptTime  = 2800 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// idlePollsToStop is the number of consecutive polls that must find no request in flight and no
	// answer being written. One is not enough: answers are written after their handlers have
	// returned, so a poll can fall between the two.
	idlePollsToStop = 2
	// answerShare is the share of StopTimeout that is left for the answers to calls that are given up.
	answerShare = 0.05
)

// stop accepts new requests for drainAcceptTime or half of StopTimeout, whichever is less, and waits
// until the requests in flight have finished or StopTimeout has passed. Those that could not finish are answered before.
func (d *Daemon) stop(callers, forwarding *listener.Listener) {
	started := time.Now()
	lastAccept, deadline := started.Add(min(drainAcceptTime, d.settings.StopTimeout/2)), started.Add(d.settings.StopTimeout)
	answerTime := time.Duration(answerShare * float64(d.settings.StopTimeout))
	d.frontend.drain(lastAccept)
	d.frontend.runner.BeginStop(relay.Stop{LastSend: lastAccept, End: deadline.Add(-answerTime)})
	d.settings.Logger.Info(event.NotReady, "reason", "leaving", "in_flight", d.frontend.inFlight.Load())
	for idle := 0; idle < idlePollsToStop && time.Now().Before(deadline); time.Sleep(stopPollInterval) {
		idle++
		if d.frontend.inFlight.Load() > 0 || callers.Writing() > 0 || forwarding.Writing() > 0 || !d.frontend.refusing() {
			idle = 0
		}
	}
	d.settings.Logger.Info(event.Stopped, "in_flight", d.frontend.inFlight.Load(), "connections", callers.Open(),
		"after_ms", time.Since(started).Milliseconds())
	callers.CloseConnections()
	forwarding.CloseConnections()
}

// newReadyServer returns the server of the readiness probe.
func (d *Daemon) newReadyServer(opened *listener.Listener) *server.Hertz {
	created := listener.NewServer(opened, server.WithExitWaitTime(0))
	created.GET(d.settings.ReadyPath, func(_ context.Context, request *app.RequestContext) {
		if d.isReady() {
			request.SetStatusCode(http.StatusOK)
			return
		}
		request.SetStatusCode(http.StatusServiceUnavailable)
	})
	return created
}

// isReady reports whether callers should connect here: from the first time that the view is fresh
// and holds a configuration and replicas, until the process begins to stop. A view that becomes
// stale later does not make the gateway unready.
func (d *Daemon) isReady() bool {
	if d.frontend.draining() {
		return false
	}
	if d.ready.Load() {
		return true
	}
	age, known := d.views.age()
	ready := known && age < staleAge && d.views.Table() != nil && d.directory.Count() > 0
	if ready && d.ready.CompareAndSwap(false, true) {
		d.settings.Logger.Info(event.Ready, "version", d.views.Table().Configuration.Version, "replicas", d.directory.Count(),
			"age_ms", age.Milliseconds())
	}
	return ready
}
