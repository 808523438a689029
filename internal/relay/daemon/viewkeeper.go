package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
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
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/uptime"
)

// viewKeeper keeps the gateway's view of the region. What it shows only moves
// forward: a configuration by its version, the list by its revision.
type viewKeeper struct {
	settings  Settings
	logger    logr.Logger
	client    *rpc.Client
	directory *relay.Directory
	budgets   *relay.Budgets
	deciders  *deciders
	usage     *countedUsage
	evidence  *evidence
	limits    *limitClient
	clock     func() time.Duration
	// asked is the coordinator that is polled.
	asked atomic.Pointer[string]

	// onConfigured is told of each configuration that is in force. It is set before any use.
	onConfigured func(*traffic.Configuration)

	table atomic.Pointer[traffic.Table]
	// gateways is the number of gateways as a coordinator told it last, 0 before it is told.
	gateways atomic.Int64
	// configured is closed once there is a table.
	configured chan struct{}

	mutex        sync.Mutex
	listRevision uint64
	// list is the list of replicas at listRevision, by id.
	list map[string]region.Replica
	// partial says that there are replicas of which this gateway is not told.
	partial bool
	// freshAt is the time up to which the view is known to be complete; it is
	// meaningful once confirmed is set.
	freshAt   time.Duration
	confirmed bool
	// members are the coordinators as they name themselves; zones are the zones of those that
	// have answered. leftAt is when one last failed to answer, or was not fresh; its next fresh
	// answer deletes it.
	members     []string
	membersHash uint64
	zones       map[string]string
	leftAt      map[string]time.Duration
}

func newViewKeeper(settings Settings, client *rpc.Client, directory *relay.Directory, budgets *relay.Budgets, deciders *deciders, usage *countedUsage) *viewKeeper {
	return &viewKeeper{
		settings:  settings,
		logger:    settings.Logger,
		client:    client,
		directory: directory,
		budgets:   budgets,
		deciders:  deciders,
		usage:     usage,
		clock:     uptime.Since(settings.Now),
		zones:     map[string]string{},
		leftAt:    map[string]time.Duration{},

		configured:   make(chan struct{}),
		onConfigured: func(*traffic.Configuration) {},
	}
}

// now is the time since the process began, with what the machine was suspended: a view ages
// meanwhile.
func (k *viewKeeper) now() time.Duration { return k.clock() }

// Table returns the configuration in force, nil if none is known yet.
func (k *viewKeeper) Table() *traffic.Table { return k.table.Load() }

// awaitTable returns the configuration in force, waiting for one for a time if none
// is known yet; nil if none came.
func (k *viewKeeper) awaitTable(ctx context.Context, limit time.Duration) *traffic.Table {
	if table := k.Table(); table != nil {
		return table
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-k.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return k.Table()
}

// age returns the view's age, and whether there ever was a view.
func (k *viewKeeper) age() (time.Duration, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.now() - k.freshAt, k.confirmed
}

// counted reports whether a coordinator has told the number of gateways.
func (k *viewKeeper) counted() bool {
	return k.gateways.Load() > 0
}

// gatewayCount is the number of gateways as a coordinator told it last. Before that there may be as
// many as any region has.
func (k *viewKeeper) gatewayCount() int {
	if told := int(k.gateways.Load()); told > 0 {
		return told
	}
	return mostGateways
}

// mostGateways is the number of gateways that the largest regions are planned for.
const mostGateways = 480

// keep polls coordinators until the context ends. It stays with one as long as
// that one's view is fresh.
func (k *viewKeeper) keep(ctx context.Context) {
	coordinator := ""
	fresh := false
	for ctx.Err() == nil {
		if coordinator == "" {
			coordinator = k.nextCoordinator("")
		} else {
			coordinator = k.preferred(coordinator)
		}
		err := k.poll(ctx, coordinator)
		age, known := k.age()
		if isFresh := known && age < staleAge; isFresh != fresh {
			fresh = isFresh
			k.logger.Info(event.ViewFreshness, "fresh", fresh, "coordinator", coordinator,
				"age_ms", age.Milliseconds(), "error", failure.Text(err))
		}
		if err == nil && age < staleAge {
			k.trust(coordinator)
			continue
		}
		k.leave(coordinator)
		coordinator = k.nextCoordinator(coordinator)
		if !lifecycle.Sleep(ctx, retryPause) {
			return
		}
	}
}

// poll asks a coordinator for what is newer than the view.
func (k *viewKeeper) poll(ctx context.Context, coordinator string) error {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	request := &region.ViewRequest{
		Gateway:    k.settings.Name,
		Address:    k.settings.PeerListen,
		PeersHash:  k.deciders.peers.Known(),
		Demand:     k.directory.Demand(k.settings.Topology),
		WaitMillis: int(viewWait.Milliseconds()),
		Usage:      k.usage.report(k.settings.PeerListen, coordinator),
		Protocol:   build.Protocol,
		Revision:   build.Revision(),
	}
	if request.Usage != nil {
		request.WallNanos = time.Now().UnixNano()
	}
	k.asked.Store(&coordinator)
	request.LimitNames = k.directory.LimitNames()
	if k.evidence != nil {
		request.PoisonRevision = k.evidence.Guard.Revision()
	}
	if table := k.Table(); table != nil {
		request.Version = table.Configuration.Version
	}
	k.mutex.Lock()
	request.ListRevision, request.MembersHash = k.listRevision, k.membersHash
	k.mutex.Unlock()
	var view region.View
	if err := k.client.Call(ctx, coordinator, region.PathView, request, &view); err != nil {
		// What was told may not have arrived.
		k.usage.toldTo = ""
		return err
	}
	k.usage.told(coordinator, request.Usage, &view, time.Now())
	if err := k.take(coordinator, &view); err != nil {
		return err
	}
	// After the list: limits of replicas that are not listed are passed over.
	k.limits.take(&view)
	return nil
}

// take takes a view over.
func (k *viewKeeper) take(coordinator string, view *region.View) error {
	if k.evidence != nil {
		// Before the configuration, with which a gateway that has started begins to serve.
		k.evidence.Guard.Take(view.Poison)
	}
	if len(view.Document) > 0 {
		if err := k.takeConfiguration(view); err != nil {
			return err
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if view.HasList && view.ListRevision > k.listRevision {
		k.takeList(view)
	}
	k.zones[coordinator] = view.Zone
	k.takeMembers(view)
	k.partial = view.Standby > 0
	k.deciders.take(k.now(), coordinator, view)
	if view.AgeMillis < 0 {
		return nil
	}
	k.budgets.SetGateways(view.Gateways)
	if view.Gateways > 0 {
		k.gateways.Store(int64(view.Gateways))
	}
	if at := k.now() - time.Duration(view.AgeMillis)*time.Millisecond; !k.confirmed || at > k.freshAt {
		k.confirmed = true
		k.freshAt = at
	}
	return nil
}

// takeList takes the changes of the list over. It is called with the mutex held.
func (k *viewKeeper) takeList(view *region.View) {
	if view.WholeList || k.list == nil {
		k.list = make(map[string]region.Replica, len(view.Replicas))
	}
	for _, replica := range view.Replicas {
		k.list[replica.ID] = replica
	}
	for _, id := range view.Removed {
		delete(k.list, id)
	}
	k.listRevision = view.ListRevision
	k.directory.Replace(slices.Collect(maps.Values(k.list)))
	k.logger.Info(event.ListTaken, "revision", view.ListRevision, "replicas", len(k.list),
		"changed", len(view.Replicas), "removed", len(view.Removed), "age_ms", view.AgeMillis)
}

func (k *viewKeeper) takeConfiguration(view *region.View) error {
	document, err := region.Inflate(view.Document)
	if err != nil {
		return err
	}
	configuration, err := k.settings.Codec.Read(document)
	if err != nil {
		return err
	}
	before := k.Table()
	if before != nil && before.Configuration.Version >= configuration.Version {
		return nil
	}
	for _, service := range configuration.Services {
		if service.Engine != nil {
			k.directory.SetEngine(service.Name, *service.Engine)
		}
	}
	k.table.Store(traffic.NewTable(configuration, before))
	k.onConfigured(configuration)
	if before == nil {
		close(k.configured)
	}
	k.logger.Info(event.ConfigurationApplied, "version", configuration.Version, "routes", len(configuration.Routes),
		"age_ms", view.AgeMillis)
	return nil
}

// watchList asks the platform's list while no coordinator has a fresh view, so
// that leaving replicas get no new work. Gateways do so rarely and not together.
func (k *viewKeeper) watchList(ctx context.Context) {
	for lifecycle.Sleep(ctx, listPause/2+rand.N(listPause)) {
		if !k.isBlind() {
			continue
		}
		if err := k.pollList(ctx); err != nil {
			k.logger.Info(event.ListUnreadable, "error", err.Error())
		}
	}
}

// isBlind reports whether this gateway has to read the platform's list itself. One that knows a part of the
// replicas only does not: the list is long, and read by all gateways at once would be given to none. Nor
// does one without a configuration, which can serve nothing, whatever the list says.
func (k *viewKeeper) isBlind() bool {
	age, known := k.age()
	if known && age < blindAge || k.Table() == nil {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return !k.partial
}

func (k *viewKeeper) pollList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	replicas, err := k.settings.Lister.List(ctx)
	if err != nil {
		return err
	}
	k.directory.Replace(replicas)
	k.logger.Info(event.ListTakenDirectly, "replicas", len(replicas))
	return nil
}
