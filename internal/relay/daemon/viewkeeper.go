package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/build"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/replicalist"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/uptime"
)

// viewClient polls coordinators and keeps the gateway's view of the region. The view never goes
// back: a configuration is replaced by a higher version only, the list by a higher revision only.
type viewClient struct {
	settings      Settings
	logger        logr.Logger
	client        *rpc.Client
	directory     *relay.Directory
	budgets       *relay.RetryBudgets
	placementMode *placementMode
	usage         *usageReporter
	evidence      *evidenceReporter
	limits        *limitClient
	clock         func() time.Duration
	// polled is the coordinator that is polled.
	polled atomic.Pointer[string]

	// onConfigured is called with each configuration that takes effect, and the one before, nil for the first. It must be set
	// before first use.
	onConfigured func(before, after *traffic.Configuration)
	// onListed is called with each list that takes effect; whole is false while parts of it are missing. It must be set
	// before first use.
	onListed func(whole bool)
	// onFormerOrigins is called with each view of a coordinator whose copy was confirmed. It must be set before first use.
	onFormerOrigins func(view *region.View)

	table atomic.Pointer[traffic.Table]
	// readVersion is the version of the last configuration that was read, 0 before there is one.
	readVersion atomic.Uint64
	// received holds the newest configuration that is not in force yet, and receivedVersion is its
	// version, or that of the last one before.
	received        chan *region.View
	receivedVersion atomic.Uint64
	// gateways is the number of gateways last reported by a coordinator, 0 before the first report.
	gateways atomic.Int64
	// configured is closed when the first configuration has been applied.
	configured chan struct{}

	mutex sync.Mutex
	list  region.ListCopy
	// partialList is set if the coordinators leave out some replicas (standby ones) from this
	// gateway's list.
	partialList bool
	// freshAt is the time up to which the view is known to be complete. It is valid once confirmed
	// is set.
	freshAt   time.Duration
	confirmed bool
	lease     viewLease
	// copyAge is the age of the coordinator's copy in the last view. listReadAt and pageReadAt are when the last reading of
	// the platform's list began, and when a page of it was last read; 0 if that is not known.
	copyAge, listReadAt, pageReadAt time.Duration
	// members are the addresses of the coordinators; zones are the known zones of coordinators.
	// failedAt is when a coordinator last failed to answer or had no fresh view; its next fresh
	// answer deletes the entry.
	members     []string
	membersHash uint64
	zones       map[string]string
	failedAt    map[string]time.Duration
}

func newViewClient(settings Settings, client *rpc.Client, directory *relay.Directory, budgets *relay.RetryBudgets, mode *placementMode, usage *usageReporter) *viewClient {
	return &viewClient{
		settings:      settings,
		logger:        settings.Logger,
		client:        client,
		directory:     directory,
		budgets:       budgets,
		placementMode: mode,
		usage:         usage,
		clock:         uptime.Since(settings.Now),
		zones:         map[string]string{},
		failedAt:      map[string]time.Duration{},

		received:     make(chan *region.View, 1),
		configured:   make(chan struct{}),
		onConfigured: func(_, _ *traffic.Configuration) {},
		onListed:     func(bool) {},

		onFormerOrigins: func(*region.View) {},
	}
}

// now returns the time since the viewClient was created, including the time the machine was
// suspended, as a view ages meanwhile.
func (v *viewClient) now() time.Duration { return v.clock() }

// Table returns the configuration in effect, nil if none is known yet.
func (v *viewClient) Table() *traffic.Table { return v.table.Load() }

// version returns the version of the configuration in effect, 0 if none is known yet.
func (v *viewClient) version() uint64 {
	if table := v.Table(); table != nil {
		return table.Configuration.Version
	}
	return 0
}

// awaitTable returns the configuration in effect. If none is known yet, it waits up to limit for
// one, and returns nil if none arrives.
func (v *viewClient) awaitTable(ctx context.Context, limit time.Duration) *traffic.Table {
	if table := v.Table(); table != nil {
		return table
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-v.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return v.Table()
}

// age returns the age of the view, and whether there has been a view.
func (v *viewClient) age() (time.Duration, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.now() - v.freshAt, v.confirmed
}

// gatewayCountKnown reports whether a coordinator has reported the number of gateways.
func (v *viewClient) gatewayCountKnown() bool {
	return v.gateways.Load() > 0
}

// gatewayCount returns the number of gateways last reported by a coordinator. Before the first
// report it returns maximumGateways, as the region may be one of the largest.
func (v *viewClient) gatewayCount() int {
	if count := int(v.gateways.Load()); count > 0 {
		return count
	}
	return maximumGateways
}

// maximumGateways is the number of gateways that the largest regions are planned for.
const maximumGateways = 480

// pollCoordinators polls coordinators until the context ends. It stays with one while that one's
// view is fresh, unless a preferred one is available.
func (v *viewClient) pollCoordinators(ctx context.Context) {
	coordinator := ""
	fresh := false
	for ctx.Err() == nil {
		if coordinator == "" {
			coordinator = v.nextCoordinator("")
		} else {
			coordinator = v.preferred(coordinator)
		}
		err := v.poll(ctx, coordinator)
		age, known := v.age()
		if isFresh := known && age < staleAge; isFresh != fresh {
			fresh = isFresh
			v.logger.Info(event.ViewFreshness, "fresh", fresh, "coordinator", coordinator,
				"age_ms", age.Milliseconds(), "error", failure.Text(err))
		}
		if err == nil && age < staleAge {
			v.markHealthy(coordinator)
			continue
		}
		v.markFailed(coordinator)
		coordinator = v.nextCoordinator(coordinator)
		if !lifecycle.Sleep(ctx, pollRetryDelay) {
			return
		}
	}
}

// poll asks a coordinator for changes to the view.
func (v *viewClient) poll(ctx context.Context, coordinator string) error {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	request := &region.ViewRequest{
		Gateway:    v.settings.Name,
		Address:    v.settings.PeerListen,
		PeersHash:  v.placementMode.peers.AddressesHash(),
		Demand:     v.directory.Demand(v.settings.Topology),
		WaitMillis: int(viewPollWait.Milliseconds()),
		Usage:      v.usage.report(v.settings.PeerListen, coordinator),
		Protocol:   build.Protocol,
		Revision:   build.Revision(),
		Life:       v.usage.incarnation,
	}
	request.NeighborsHash = v.placementMode.forwards.neighborsHash()
	if request.Usage != nil {
		request.WallNanos = time.Now().UnixNano()
	}
	v.polled.Store(&coordinator)
	request.LimitNames = v.directory.LimitedReplicasHash()
	if v.evidence != nil {
		request.PoisonRevision = v.evidence.Guard.Revision()
	}
	request.InForce = v.version()
	request.Version = max(request.InForce, v.receivedVersion.Load())
	v.mutex.Lock()
	v.list.Request(request, maximumListPart)
	request.MembersHash = v.membersHash
	request.NewSoftware = region.HashNewOrigins(v.lease.newSoftware, v.lease.newRoutes)
	v.mutex.Unlock()
	polledAt := v.now()
	var view region.View
	if err := v.client.Call(ctx, coordinator, region.PathView, request, &view); err != nil {
		// The usage report may not have arrived, so the next one contains all counts.
		v.usage.reportedTo = ""
		return err
	}
	v.usage.acknowledge(coordinator, request.Usage, &view, time.Now())
	if err := v.apply(coordinator, &view, polledAt); err != nil {
		return err
	}
	// Limits are applied after the list, as limits of unlisted replicas are ignored.
	v.limits.applyView(&view)
	return nil
}

// apply applies a coordinator's view, which was asked for at a time.
func (v *viewClient) apply(coordinator string, view *region.View, polledAt time.Duration) error {
	if v.evidence != nil {
		// Held requests are applied before the configuration, as a starting gateway begins to serve
		// when it has its first configuration.
		v.evidence.Guard.ApplyNews(view.Poison)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	// Where streams may not begin yet is known before it is listed or in force.
	v.noteNewRoutes(view)
	v.noteNewSoftware(view)
	if len(view.Document) > 0 {
		v.receive(view)
	}
	v.applyList(view)
	v.zones[coordinator] = view.Zone
	v.updateMembers(view)
	v.partialList = view.Standby > 0 || v.list.IsPartial()
	v.placementMode.update(v.now(), coordinator, view)
	if view.AgeMillis < 0 {
		return nil
	}
	v.lease.renew(view, polledAt)
	v.budgets.SetGateways(view.Gateways)
	if view.Gateways > 0 {
		v.gateways.Store(int64(view.Gateways))
	}
	v.noteListAges(view)
	v.onFormerOrigins(view)
	if at := v.now() - time.Duration(view.AgeMillis)*time.Millisecond; !v.confirmed || at > v.freshAt {
		v.confirmed = true
		v.freshAt = at
	}
	return nil
}

// noteListAges notes how old what the coordinators know of the list is. The caller must hold v.mutex.
func (v *viewClient) noteListAges(view *region.View) {
	v.copyAge = time.Duration(view.AgeMillis) * time.Millisecond
	v.listReadAt, v.pageReadAt = 0, 0
	if view.ListMillis > 0 {
		v.listReadAt = v.now() - time.Duration(view.ListMillis)*time.Millisecond
	}
	if view.PageMillis > 0 {
		v.pageReadAt = v.now() - time.Duration(view.PageMillis)*time.Millisecond
	}
}

// listKnowledge returns how old the list of replicas is.
func (v *viewClient) listKnowledge() relay.ListKnowledge {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	known := relay.ListKnowledge{ViewAge: unknownAge, CopyAge: unknownAge, ListAge: unknownAge, PageAge: unknownAge}
	now := v.now()
	if v.confirmed {
		known.ViewAge, known.CopyAge = now-v.freshAt, v.copyAge
	}
	if v.listReadAt != 0 {
		known.ListAge = now - v.listReadAt
	}
	if v.pageReadAt != 0 {
		known.PageAge = now - v.pageReadAt
	}
	return known
}

// unknownAge is the age of something that is not known.
const unknownAge = -time.Millisecond

// applyList applies the changes to the list. The caller must hold v.mutex.
func (v *viewClient) applyList(view *region.View) {
	if !v.list.Take(view) {
		return
	}
	replicas := v.list.Replicas()
	v.directory.Replace(replicas)
	v.onListed(!v.list.IsPartial())
	v.logger.Info(event.ListTaken, "revision", view.ListRevision, "replicas", len(replicas),
		"changed", len(view.Replicas), "removed", len(view.Removed), "part_end", view.PartEnd, "age_ms", view.AgeMillis)
}

// receive passes a configuration on to applyConfigurations, in place of one that waits there.
func (v *viewClient) receive(view *region.View) {
	v.receivedVersion.Store(view.Version)
	select {
	case <-v.received:
	default:
	}
	v.received <- view
}

// applyConfigurations brings the configurations that are received into force until the context
// ends. However long one takes, polls go on, and of those that come meanwhile the newest is next.
func (v *viewClient) applyConfigurations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-v.received:
			if err := v.applyConfiguration(view); err != nil {
				v.logger.Info(event.ConfigurationRefused, "version", view.Version, "reason", err.Error())
				v.receiveAgain(ctx, view.Version)
			}
		}
	}
}

// receiveAgain has the next poll ask once more for a configuration that could not be read.
func (v *viewClient) receiveAgain(ctx context.Context, version uint64) {
	if lifecycle.Sleep(ctx, pollRetryDelay) {
		v.receivedVersion.CompareAndSwap(version, v.version())
	}
}

func (v *viewClient) applyConfiguration(view *region.View) error {
	begun := v.now()
	document, err := region.Inflate(view.Document)
	if err != nil {
		return err
	}
	configuration, err := v.settings.Codec.Read(document)
	if err != nil {
		return err
	}
	previous := v.Table()
	if previous != nil && previous.Configuration.Version >= configuration.Version {
		return nil
	}
	v.logger.Info(event.ConfigurationRead, "version", configuration.Version, "in_force", v.version(), "routes", len(configuration.Routes))
	v.readVersion.Store(configuration.Version)
	for _, service := range configuration.Services {
		if service.Engine != nil {
			v.directory.SetEngine(service.Name, *service.Engine)
		}
	}
	v.table.Store(traffic.NewTable(configuration, previous))
	if previous == nil {
		v.onConfigured(nil, configuration)
		close(v.configured)
	} else {
		v.onConfigured(previous.Configuration, configuration)
	}
	v.logger.Info(event.ConfigurationApplied, "version", configuration.Version, "routes", len(configuration.Routes),
		"age_ms", view.AgeMillis, "took_ms", (v.now() - begun).Milliseconds())
	return nil
}

// pollListWhenStale reads the platform's list while no coordinator has a fresh view, so that
// leaving replicas get no new requests. Gateways do so rarely and at random times, so that they do
// not read it together.
func (v *viewClient) pollListWhenStale(ctx context.Context) {
	for lifecycle.Sleep(ctx, directListInterval/2+rand.N(directListInterval)) {
		if !v.needsDirectList() {
			continue
		}
		if err := v.pollList(ctx); err != nil {
			v.logger.Info(event.ListUnreadable, "error", err.Error())
		}
	}
}

// needsDirectList reports whether this gateway has to read the platform's list itself. A gateway
// that knows only part of the replicas does not: such a list is long, and if all gateways read it
// at once, none would get it. Nor does one without a configuration, which can serve nothing,
// whatever the list says.
func (v *viewClient) needsDirectList() bool {
	age, known := v.age()
	if known && age < directListAge || v.Table() == nil {
		return false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return !v.partialList
}

// pollList reads the platform's list, and marks the replicas that a page shows as leaving before it reads the next one.
func (v *viewClient) pollList(ctx context.Context) error {
	pace := replicalist.Pace{CallsPerSecond: v.settings.ListCallsPerSecond / float64(v.gatewayCount()), Interval: directListInterval}
	show := func(page replicalist.Page) { v.directory.MarkDraining(page.Replicas) }
	replicas, err := replicalist.ReadWhole(ctx, pace, v.settings.ReadListPage, v.needsDirectList, show)
	if err != nil {
		return err
	}
	v.noteDirectSoftware(replicas)
	v.directory.Replace(replicas)
	v.onListed(true)
	v.logger.Info(event.ListTakenDirectly, "replicas", len(replicas))
	return nil
}
