package coordinator

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/internal/activeset"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/listener"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/replication"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/uptime"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// Coordinator is one process of the region's control plane.
type Coordinator struct {
	settings  Settings
	logger    logr.Logger
	client    *rpc.Client
	transport *replication.Transport
	machine   *stateMachine
	group     *replication.Group
	gateways  *gatewayList
	// gatewayDemand holds the demand that gateways report to this coordinator; coordinatorDemand
	// holds the demand that the other coordinators report to the leader.
	gatewayDemand     *demandTable
	coordinatorDemand *demandTable
	freshness         freshness
	clock             func() time.Duration
	members           memberWatch
	retirements       retirements
	zones             *memberZones
	builds            *buildTable
	cacheOwners       cacheOwners
	placement         *placementService
	usage             *usageState
	quotas            *quotaService
	limits            *limitService
	// origins keeps where streams have begun.
	origins *origin.Keeper
	// unrecorded are the queries for origins of which there is no record.
	unrecorded chan originQuery
	// gatewayViews are the leases of gateways on what this coordinator has shown them, memberViews those of coordinators and
	// their gateways, as the leader hears in memberViewsTerm.
	gatewayViews, memberViews *viewLeases
	memberViewsTerm           atomic.Uint64
	leaving                   *leavingReports
	list                      *listSync
	listAges                  listAges
	// listChange serializes changes of the list at the leader: each is computed from the state that it changes.
	listChange sync.Mutex
	// elected is signalled when this coordinator becomes the leader.
	elected      chan struct{}
	permits      probationPermits
	explanations fleetExplanations
	activity     activityPlanner
}

// New opens the data folder and waits while its disk refuses writes. Run starts the
// coordinator.
func New(settings Settings) (*Coordinator, error) {
	if settings.Listen == "" {
		settings.Listen = settings.Address
	}
	if settings.ListInterval == 0 {
		settings.ListInterval = defaultListInterval
	}
	if settings.ContactTime == 0 {
		settings.ContactTime = DefaultContactTime
	}
	if settings.EvidenceHoldTime == 0 {
		settings.EvidenceHoldTime = poison.DefaultHold
	}
	client, err := rpc.NewClient(rpc.ClientOptions{DialTimeout: transportTimeout, CallTimeout: callTimeout})
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal)
	}
	if settings.MinimumActiveReplicas == 0 {
		settings.MinimumActiveReplicas = activeset.DefaultMinimumActive
	}
	if settings.Now == nil {
		settings.Now = uptime.Now
	}
	clock := uptime.Since(settings.Now)
	transport, err := replication.NewTransport(client, settings.Address, transportTimeout, settings.Logger)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal)
	}
	c := &Coordinator{
		settings:          settings,
		logger:            settings.Logger,
		client:            client,
		transport:         transport,
		machine:           newStateMachine(clock),
		gateways:          newGatewayList(),
		gatewayDemand:     newDemandTable(),
		coordinatorDemand: newDemandTable(),
		zones:             newMemberZones(),
		builds:            newBuildTable(),
		leaving:           newLeavingReports(),
		elected:           make(chan struct{}, 1),
		clock:             clock,
		members:           memberWatch{lastHeard: map[uint64]time.Duration{}},
		retirements:       retirements{announcedAt: map[consensus.ReplicaID]time.Duration{}},
		permits:           probationPermits{issued: poison.NewPermits()},
		usage:             newUsageState(uptime.SuspendedBy(settings.Now)),
		unrecorded:        make(chan originQuery, maximumUnrecorded),
		gatewayViews:      newViewLeases(settings.ContactTime),
		memberViews:       newViewLeases(settings.ContactTime),
	}
	c.group, err = replication.OpenPatiently(replication.Options{
		Name:             groupName,
		Number:           groupNumber,
		Directory:        settings.DataFolder,
		FileSystem:       settings.FileSystem,
		Machine:          c.machine,
		ElectionTimeout:  electionTimeout,
		Heartbeat:        heartbeat,
		SnapshotEntries:  snapshotEntries,
		SnapshotLogBytes: snapshotLogBytes,
		SegmentBytes:     segmentBytes,
		Timeout:          proposalTimeout,
		Logger:           settings.Logger,
	}, transport)
	if err != nil {
		return nil, err
	}
	c.placement = newPlacementService(settings, c.now)
	c.quotas = newQuotaService(c, c.placement.socket)
	c.limits = newLimitService(c, c.placement.socket)
	c.serveOrigins(c.placement.socket)
	c.list = newListSync(c)
	c.registerMetrics(settings.Metrics)
	if reason := c.group.Runner.Status().Quarantined; reason != nil {
		c.logger.Info(event.DataUnusable, "folder", settings.DataFolder, "reason", reason.Error())
	}
	return c, nil
}

// now returns the time since the coordinator was created, including time for which the machine was
// suspended.
func (c *Coordinator) now() time.Duration { return c.clock() }

// Run serves requests and runs the coordinator's loops until the context ends. A leader
// transfers its leadership before Run returns, and a voter its vote if a learner can take it.
func (c *Coordinator) Run(ctx context.Context) error {
	inner, err := net.Listen("tcp", c.settings.Listen)
	if err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	closing := rpc.NewClosingListener(inner)
	stopServer := rpc.RunServer(c.newServer(closing), closing)
	defer stopServer()
	if err := c.group.Runner.Start(); err != nil {
		return failure.Wrap(err, failure.StorageFailed)
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){c.joinGroup, c.keepFresh, c.manageMembers, c.list.run, c.planActiveReplicas, c.planStages, c.reportUsage, c.scaleFleet, c.holdPoisonedRequests, c.forwardLeaving, c.logLeadership, c.listenForDatagrams, c.placeForGateways, c.quotas.Run, c.limits.Run, c.limits.notifyLimitChanges, c.admitOrigins, c.answerUnrecorded} {
		loops.Go(func() { loop(work) })
	}
	select {
	case <-ctx.Done():
		c.transferLeadership()
		c.giveUpVote()
	case <-c.group.Runner.Done():
		err = c.group.Runner.Status().Err
	}
	stop()
	loops.Wait()
	c.transport.Close()
	c.group.Runner.Stop()
	return err
}

// transferLeadership transfers leadership to another voter before a planned stop, so
// that the group need not wait for an election.
func (c *Coordinator) transferLeadership() {
	if !c.group.Leads() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*electionTimeout)
	defer cancel()
	err := c.group.Runner.Transfer(ctx)
	c.logger.Info(event.LeadershipHandedOver, "error", failure.Text(err))
}

// logLeadership logs each change of the leader, and signals an election of this coordinator.
func (c *Coordinator) logLeadership(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-c.group.Runner.LeadershipChanges():
			c.logger.Info(event.LeaderChanged, "term", change.Term, "leader", change.Address, "self", change.IsSelf)
			if change.IsSelf {
				c.signalElected()
			}
		}
	}
}

// signalElected signals that this coordinator has become the leader.
func (c *Coordinator) signalElected() {
	select {
	case c.elected <- struct{}{}:
	default:
	}
}

const (
	idleTimeout        = 3 * time.Minute
	readTimeout        = 30 * time.Second
	maximumBodyBytes   = 64 << 20
	maximumHeaderBytes = 16 << 10
	// keptPerCallByte counts a call's body as it comes and decoded.
	keptPerCallByte = 2
	// callDescriptors is the share of the file descriptors for calls of gateways and other coordinators.
	callDescriptors = 0.5
	// unknownDescriptorsConnections bounds these calls if the number of file descriptors is not known.
	unknownDescriptorsConnections = 3000
)

var callLimits = listener.Limits{HeaderBytes: maximumHeaderBytes, BodyBytes: maximumBodyBytes, HeaderTime: readTimeout, IdleTime: idleTimeout}

// callConnections returns how many connections gateways and other coordinators may have.
func (s *Settings) callConnections() int {
	if s.FileDescriptors <= 0 {
		return unknownDescriptorsConnections
	}
	return int(callDescriptors * float64(s.FileDescriptors))
}

// newServer returns the server for the calls of gateways and other coordinators.
func (c *Coordinator) newServer(inner net.Listener) *server.Hertz {
	opened := listener.Wrap(inner, c.settings.callConnections(), func(failure.Kind) {})
	opened.Name, opened.Logger, opened.Internal = "calls", c.logger, true
	opened.Limits = func() listener.Limits { return callLimits }
	opened.KeptPerBodyByte = keptPerCallByte
	opened.Use(c.settings.RequestMemory)
	engine := listener.NewServer(opened, append(rpc.ServerOptions(), server.WithExitWaitTime(0))...)
	rpc.Handle(engine, wire.PathConsensus, c.handleConsensus)
	rpc.Handle(engine, peer.PathIdentity, c.handleIdentity)
	rpc.Handle(engine, peer.PathPromise, c.handlePromise)
	rpc.Handle(engine, peer.PathFound, c.handleFound)
	rpc.Handle(engine, region.PathView, c.handleView)
	rpc.Handle(engine, region.PathReadIndex, c.handleReadIndex)
	rpc.Handle(engine, region.PathReplace, c.handleReplace)
	rpc.Handle(engine, region.PathJoin, c.handleJoin)
	rpc.Handle(engine, region.PathRetire, c.handleRetire)
	rpc.Handle(engine, region.PathPoison, c.handlePoison)
	rpc.Handle(engine, region.PathRelease, c.handleRelease)
	rpc.Handle(engine, region.PathQuotas, c.quotas.handleStatus)
	rpc.Handle(engine, region.PathReplicaLimits, c.limits.handleStatus)
	rpc.Handle(engine, region.PathBuilds, c.handleBuilds)
	rpc.Handle(engine, region.PathPermit, c.handlePermit)
	rpc.Handle(engine, region.PathCached, c.handleCached)
	rpc.Handle(engine, region.PathLeaving, c.handleLeaving)
	return engine
}

func (c *Coordinator) handleConsensus(_ context.Context, batch *peer.ConsensusBatch) (*peer.Empty, error) {
	for _, message := range batch.Messages {
		if message.Group != groupNumber {
			continue
		}
		c.transport.Learn(message.Group, message.From, batch.From)
		c.group.Runner.Receive(message)
	}
	return &peer.Empty{}, nil
}
