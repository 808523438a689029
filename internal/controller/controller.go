package controller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"golang.org/x/sync/semaphore"

	"github.com/pierhaven/pierhaven/internal/eventlog"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/listener"
	"github.com/pierhaven/pierhaven/internal/replication"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/uptime"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// Readiness conditions, folders below the data folder, and timing. The transport
// timeout is transportTimeoutElections election timeouts, at least
// minimumTransportTimeout.
const (
	conditionZoneLeader       = "zone group has no leader"
	conditionZoneFounded      = "zone group is not founded"
	conditionConfigLeader     = "config group has no leader"
	healthInterval            = 200 * time.Millisecond
	zoneFolder                = "zone-group"
	configFolder              = "config-group"
	transferTimeout           = 5 * time.Second
	workerReleaseTimeout      = time.Second
	minimumTransportTimeout   = 500 * time.Millisecond
	transportTimeoutElections = 1
)

// Controller is the process that runs on one control machine.
type Controller struct {
	settings Settings
	logger   logr.Logger
	uptime   func() time.Duration

	client           *rpc.Client
	membershipClient *rpc.Client
	backEnds         *backEndClient
	transport        *replication.Transport
	workers          *ants.Pool
	watches          *semaphore.Weighted
	directory        *directory

	zone          *replication.Group
	zoneMachine   *zoneMachine
	config        *replication.Group // nil if this controller is not a config voter
	configMachine *configMachine
	term          atomic.Pointer[term]
	engineCrashes engineCrashes
	releases      recentReleases

	health  *telemetry.Health
	metrics *telemetry.Metrics
	// requests bounds what is kept of requests.
	requests *listener.Memory
	stopping context.Context // canceled by stop, which ends the waiting long polls
	stop     context.CancelFunc
}

// New opens the data folder, the clients and the replicas; Run starts them. All
// errors in the settings are reported at once.
func New(settings Settings) (*Controller, error) {
	settings = settings.withDefaults()
	if err := settings.check(); err != nil {
		return nil, failure.Wrap(err, failure.InvalidDocument)
	}
	c := &Controller{
		settings:      settings,
		logger:        settings.Logger.WithName("controller"),
		uptime:        uptime.Since(uptime.Now),
		watches:       semaphore.NewWeighted(int64(settings.MaximumWatches)),
		directory:     newDirectory(settings),
		zoneMachine:   newZoneMachine(),
		configMachine: newConfigMachine(),
		metrics:       telemetry.NewMetrics("controller"),
		health:        telemetry.NewHealth(conditionZoneLeader, conditionZoneFounded),
	}
	c.requests = listener.MemoryFor(max(settings.MaximumBodyBytes, maximumOperatorBody), keptPerBodyByte)
	c.metrics.Register(listener.NewCollector("pierhaven_controller", c.requests))
	c.stopping, c.stop = context.WithCancel(context.Background())
	if err := c.openClients(); err != nil {
		return nil, err
	}
	if err := c.openGroups(); err != nil {
		return nil, err
	}
	c.registerMetrics()
	return c, nil
}

func (c *Controller) openClients() error {
	var err error
	options := rpc.ClientOptions{Token: c.settings.ClusterToken, MaximumBodyBytes: c.settings.MaximumBodyBytes}
	if c.client, err = rpc.NewClient(options); err != nil {
		return err
	}
	options.CallTimeout = membershipTimeout
	if c.membershipClient, err = rpc.NewClient(options); err != nil {
		return err
	}
	if c.backEnds, err = newBackEndClient(); err != nil {
		return err
	}
	c.workers, err = ants.NewPool(c.settings.Workers, ants.WithNonblocking(true),
		ants.WithPanicHandler(eventlog.PanicHandler(c.logger, "worker")))
	if err != nil {
		return err
	}
	timeout := max(minimumTransportTimeout, transportTimeoutElections*c.settings.ElectionTimeout)
	c.transport, err = replication.NewTransport(c.client, c.settings.AdvertiseAddress, timeout, c.logger)
	return err
}

func (c *Controller) openGroups() error {
	var err error
	c.zone, err = openGroup(c.settings, c.settings.Zone, zoneFolder, c.zoneMachine, c.transport)
	if err != nil || !c.settings.ConfigVoter {
		return err
	}
	c.config, err = openGroup(c.settings, "config", configFolder, c.configMachine, c.transport)
	if err != nil {
		c.zone.Runner.Stop()
		return err
	}
	c.health.Set(conditionConfigLeader, false)
	return nil
}

// groups returns the groups of which this controller hosts a replica.
func (c *Controller) groups() []*replication.Group {
	if c.config == nil {
		return []*replication.Group{c.zone}
	}
	return []*replication.Group{c.zone, c.config}
}

// now returns the time since the process started, including the time for which
// the machine was suspended.
func (c *Controller) now() time.Duration { return c.uptime() }

// currentTerm returns the current term as leader of the zone group, or nil if
// there is none.
func (c *Controller) currentTerm() *term { return c.term.Load() }

// guard wraps the function of a long-lived goroutine so that the log ring is
// written before a panic ends the process.
func (c *Controller) guard(work func()) func() {
	return eventlog.Guard(c.settings.DumpLog, work)
}

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// Run serves until the context ends, then transfers leadership and returns nil.
// It returns early, with an error, if a replica fails: after a failed sync the
// process must not continue.
func (c *Controller) Run(ctx context.Context) error {
	listener, err := listen(c.settings.Listener, c.settings.ListenAddress)
	if err != nil {
		return err
	}
	operatorListener, err := listen(c.settings.OperatorListener, c.settings.OperatorListenAddress)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	closeInternal := rpc.RunServer(c.newInternalServer(listener), listener)
	closeOperators := rpc.RunServer(c.newOperatorServer(operatorListener), operatorListener)
	background, cancelBackground := context.WithCancel(context.Background())
	var running sync.WaitGroup
	err = c.startGroups(background, &running)
	if err == nil {
		running.Go(c.guard(func() { c.followLeadership(background) }))
		running.Go(c.guard(func() { c.watchHealth(background) }))
		err = c.waitForStop(ctx)
	}
	c.health.SetLeaving()
	if err == nil {
		c.transferLeadership()
	}
	c.stop()
	cancelBackground()
	running.Wait()
	for _, g := range c.groups() {
		g.Runner.Stop()
	}
	closeOperators()
	closeInternal()
	c.transport.Close()
	_ = c.workers.ReleaseTimeout(workerReleaseTimeout)
	c.client.Close()
	c.membershipClient.Close()
	return err
}

func listen(inherited net.Listener, address string) (*rpc.ClosingListener, error) {
	if inherited != nil {
		return rpc.NewClosingListener(inherited), nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return rpc.NewClosingListener(listener), nil
}

func (c *Controller) startGroups(ctx context.Context, running *sync.WaitGroup) error {
	for _, g := range c.groups() {
		if err := g.Runner.Start(); err != nil {
			return failure.Wrap(err, failure.StorageFailed)
		}
	}
	running.Go(c.guard(func() { c.foundGroup(ctx, c.zone, c.settings.ZoneVoters) }))
	if c.config != nil {
		running.Go(c.guard(func() { c.foundGroup(ctx, c.config, c.settings.ConfigVoters) }))
	}
	return nil
}

// waitForStop returns nil when the context ends, or an error when a replica has
// stopped on its own. Quarantined replicas are logged and then ignored.
func (c *Controller) waitForStop(ctx context.Context) error {
	failed := make(chan *replication.Group, len(c.groups()))
	for _, g := range c.groups() {
		if g.Runner.Status().Quarantined != nil {
			c.logger.Error(failure.Wrap(g.Runner.Status().Quarantined, failure.StorageFailed), "replica is quarantined and does not participate in its group", "group", g.Name)
			continue
		}
		go func() {
			<-g.Runner.Done()
			failed <- g
		}()
	}
	select {
	case <-ctx.Done():
		return nil
	case g := <-failed:
		err := failure.Wrap(fmt.Errorf("replica of group %s has stopped: %w", g.Name, g.Runner.Status().Err), failure.StorageFailed)
		c.logger.Error(err, "replica has stopped")
		return err
	}
}

// transferLeadership transfers the leadership of each group that this controller
// leads, so that after a planned stop the groups don't wait for an election
// timeout.
func (c *Controller) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	for _, g := range c.groups() {
		if !g.Leads() {
			continue
		}
		if err := g.Runner.Transfer(ctx); err != nil {
			c.logger.Info("leadership was not transferred", "group", g.Name, "error", err.Error())
		}
	}
}

// watchHealth keeps the readiness conditions up to date.
func (c *Controller) watchHealth(ctx context.Context) {
	for {
		founded := false
		c.zoneMachine.Read(func(state *zonestate.State) { founded = state.Founded() })
		c.health.Set(conditionZoneFounded, founded)
		c.health.Set(conditionZoneLeader, c.zone.Runner.Status().Leader != 0)
		if c.config != nil {
			c.health.Set(conditionConfigLeader, c.config.Runner.Status().Leader != 0)
		}
		if !lifecycle.Sleep(ctx, healthInterval) {
			return
		}
	}
}

func (c *Controller) registerMetrics() {
	c.metrics.WatchHealth(c.health)
	c.metrics.Flag("leads_zone", "1 if this controller leads its zone group.", func() bool { return c.currentTerm() != nil })
	c.metrics.Flag("leads_config", "1 if this controller leads the config group.", func() bool { return c.config != nil && c.config.Leads() })
	c.metrics.GaugeFunc("workers_running", "Calls to engines and peers under way, bounded by controller.workers.", func() float64 {
		return float64(c.workers.Running())
	})
	c.metrics.GaugeFunc("policy_failures", "Failures at run time of placement and role-change programs, since each policy's last change.", func() float64 {
		return float64(c.policyFailures())
	})
	c.metrics.GaugeFunc("config_revision", "Revision of the configuration that the zone has adopted.", func() float64 {
		return float64(c.zoneConfigRevision())
	})
	c.metrics.GaugeFunc("zone_applied_index", "Last applied position of the zone group's log.", func() float64 {
		return float64(c.zone.Runner.Status().AppliedIndex)
	})
	c.metrics.GaugeFunc("consensus_messages_dropped", "Consensus messages that were not sent.", func() float64 {
		return float64(c.transport.Dropped())
	})
}
