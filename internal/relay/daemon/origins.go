package daemon

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

const (
	// maximumOrigins bounds the streams whose origins a gateway remembers.
	maximumOrigins = 1 << 16
	// originKeepers is the number of coordinators that a record is sent to, and originAsked the number of those that are
	// asked for one: members may have come or gone meanwhile.
	originKeepers = 2
	originAsked   = 4
)

// originClient records where streams begin, and finds that out for streams that callers take up at this gateway. It is
// safe for concurrent use.
type originClient struct {
	settings  Settings
	logger    logr.Logger
	socket    *datagram.Socket
	views     *viewClient
	directory *relay.Directory
	lookups   *prometheus.CounterVec
	clock     func() time.Duration

	mutex sync.Mutex
	// begun are the streams that have begun here.
	begun    origin.Table
	versions origin.Versions
	routes   routeHistory
	lastID   uint64
	// pending are the queries that await replies, by ID.
	pending map[uint64]chan<- keeperReply
}

func newOriginClient(settings Settings, socket *datagram.Socket, views *viewClient, directory *relay.Directory) *originClient {
	created := &originClient{
		settings:  settings,
		logger:    settings.Logger,
		socket:    socket,
		views:     views,
		directory: directory,
		lookups:   settings.Metrics.Counter("streams_taken_up_total", "Streams that callers have taken up, by how it was found out where they began.", "found"),
		clock:     views.now,
		begun:     origin.Table{Maximum: maximumOrigins},
		// Starting at the current time avoids reusing the query IDs of an earlier process.
		lastID:  uint64(time.Now().UnixNano()),
		pending: map[uint64]chan<- keeperReply{},
	}
	socket.Handle(datagram.KindOriginReply, created.receive)
	return created
}

// begin implements relay.OriginRecorder. Coordinators are told only while a stream of the route can begin at more than one
// origin.
func (o *originClient) begin(call *relay.Call, at origin.Origin, send int) {
	if call.ID == "" {
		return
	}
	left := callerWait(call.Wait) - time.Since(call.Arrived)
	record := origin.Record{
		Key: origin.KeyOf(call.Tenant, call.ID), Call: call.Number, Attempt: uint32(send), Origin: at, LeftMillis: left.Milliseconds(),
	}
	now := o.clock()
	o.mutex.Lock()
	o.begun.Put(now, record)
	recent, _ := o.recentlyAt(now, call.Route)
	_, single := origin.Only(recent)
	o.mutex.Unlock()
	if !single || left > origin.Window {
		o.tell(record)
	}
}

// callerWait returns how long a caller waits that says wait, 0 for none.
func callerWait(wait time.Duration) time.Duration {
	if wait <= 0 {
		return origin.Window
	}
	return wait
}

// recentlyAt returns what the services run, and have run, at which streams of a route may have begun within origin.Window, and
// whether these are all services as far as the configurations tell. The caller must hold o.mutex.
func (o *originClient) recentlyAt(now time.Duration, route *traffic.Route) (recent []origin.ServiceVersions, allServices bool) {
	services, allServices := o.routes.services(now, route)
	for _, service := range services {
		recent = append(recent, o.versions.Recent(now, service))
	}
	return recent, allServices
}

// tell sends records to the coordinators that keep them.
func (o *originClient) tell(record origin.Record) {
	keepers := o.keepers(record.Key, originKeepers)
	o.socket.Send(datagram.KindOrigin, &origin.Message{Records: []origin.Record{record}}, keepers...)
}

// keepers returns the coordinators that keep the record of a key, best first.
func (o *originClient) keepers(key origin.Key, count int) []netip.AddrPort {
	var keepers []netip.AddrPort
	for _, address := range key.Keepers(o.views.coordinators(), count) {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			keepers = append(keepers, parsed)
		}
	}
	return keepers
}

// noteList records what the replicas of the newest list run; whole is false while parts of it are missing. If a service
// has begun to run something else, the coordinators are told of the streams that have begun there.
func (o *originClient) noteList(whole bool) {
	running := o.directory.RunningSoftware()
	now := o.clock()
	var untold []origin.Record
	o.mutex.Lock()
	for service := range running {
		_, wasSingle := origin.Only([]origin.ServiceVersions{o.versions.Recent(now, service)})
		if !wasSingle {
			continue
		}
		for software := range running[service] {
			if !slices.Contains(o.versions.Recent(now, service).Software, software) {
				untold = append(untold, o.begun.Of(now, service)...)
				break
			}
		}
	}
	o.versions.Observe(now, running, whole)
	o.mutex.Unlock()
	o.tellLater(untold)
}

// tellLater sends records to the coordinators that keep them. The caller may hold the mutex of the views, which know the
// coordinators.
func (o *originClient) tellLater(records []origin.Record) {
	if len(records) == 0 {
		return
	}
	go func() {
		for _, record := range records {
			o.tell(record)
		}
	}()
}

// noteFormer records what a view says that replicas have run, and where streams of routes began.
func (o *originClient) noteFormer(view *region.View) {
	now := o.clock()
	former := map[string]map[origin.Software]time.Duration{}
	for _, each := range view.FormerSoftware {
		if former[each.Service] == nil {
			former[each.Service] = map[origin.Software]time.Duration{}
		}
		ago := time.Duration(max(view.RegionNanos-each.Until, 0))
		former[each.Service][origin.Software{Version: each.Version}] = now - ago
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.routes.noteView(now, view)
	if view.SoftwareComplete && !o.views.list.IsPartial() {
		o.versions.Confirm(now, former)
	}
}

// applyConfiguration notes where the streams of routes begin. The coordinators are told of the streams that have begun at
// services of routes that now have others.
func (o *originClient) applyConfiguration(before, after *traffic.Configuration) {
	now := o.clock()
	var untold []origin.Record
	o.mutex.Lock()
	for _, service := range o.routes.noteConfiguration(now, before, after) {
		untold = append(untold, o.begun.Of(now, service)...)
	}
	o.mutex.Unlock()
	o.tellLater(untold)
}

// takenUp is where a stream goes on that a caller takes up, and how that was found out.
type takenUp struct {
	origin.Origin
	// found says who knew: originOwn, a coordinator's address, or originOnly.
	found string
	// age is the time since that was recorded, negative if it was not.
	age time.Duration
	// replies is the number of coordinators that have replied, possible what the services have run as far as is known.
	replies  int
	possible []origin.ServiceVersions
}

// Who knew where a stream has begun.
const (
	// originOwn: the stream has begun at this gateway. originOnly: it can have begun nowhere else. originKeeper: a
	// coordinator has the record. originUnknown: nobody knows.
	originOwn     = "own"
	originOnly    = "only"
	originKeeper  = "coordinator"
	originUnknown = "unknown"
)

// find finds out where a stream of a route has begun that a tenant's request takes up, by a version of the configuration.
func (o *originClient) find(ctx context.Context, tenant string, request relay.RequestMetadata, route *traffic.Route, version uint64) (takenUp, error) {
	began := time.Now()
	found, err := o.search(ctx, tenant, request, route, version)
	kind := found.found
	if kind != originOwn && kind != originOnly {
		kind = originKeeper
	}
	if err != nil {
		kind = originUnknown
	}
	o.lookups.WithLabelValues(kind).Inc()
	o.logger.Info(event.StreamTakenUp, "request", request.ID, "resumes", request.Resumes, "after_event", request.LastEvent,
		"route", route.Name, "service", found.Service, "software", found.Software.String(), "found", found.found,
		"age_ms", found.age.Milliseconds(), "replies", found.replies, "possible", describeVersions(found.possible), "took_ms", time.Since(began).Milliseconds(), "error", failure.Text(err))
	return found, err
}

func (o *originClient) search(ctx context.Context, tenant string, request relay.RequestMetadata, route *traffic.Route, version uint64) (takenUp, error) {
	key := origin.KeyOf(tenant, request.Resumes)
	if record, age := o.own(key); record != nil && request.Resumes != "" {
		return o.searchOwn(ctx, takenUp{Origin: record.Origin, found: originOwn, age: age}, record, route, version)
	}
	longest := time.Duration(originWaitFraction * float64(o.settings.ContactTime))
	until := time.Now().Add(min(longest, callerWait(request.Wait)/originWaitDivisor))
	for {
		known := o.known(route, version)
		replies := o.ask(ctx, key, known.services)
		possible := known.combine(replies)
		found, err := fromReplies(replies, possible, request, route)
		found.replies, found.possible = len(replies), possible
		if err == nil || len(replies) == 0 || known.routes && anyTells(replies) || time.Now().After(until) {
			return found, err
		}
		// Coordinators that have just started, or lack a leader, can tell in a moment.
		if !lifecycle.Sleep(ctx, originRetryPause) {
			return found, err
		}
	}
}

// searchOwn returns where a stream goes on of which this gateway has a record: its own send may have brought the caller nothing, and another gateway
// have begun the stream at another origin.
func (o *originClient) searchOwn(ctx context.Context, found takenUp, own *origin.Record, route *traffic.Route, version uint64) (takenUp, error) {
	known := o.known(route, version)
	if _, single := origin.Only(known.combine(nil)); single {
		return checked(found, own, route)
	}
	replies := o.ask(ctx, own.Key, known.services)
	found.replies = len(replies)
	return checked(found, newest(append(replies, keeperReply{Reply: origin.Reply{Record: own}})).Record, route)
}

// own returns the record of a stream that has begun here, nil if there is none.
func (o *originClient) own(key origin.Key) (record *origin.Record, age time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.begun.Get(o.clock(), key)
}

// knownOrigins is where streams of a route may have begun, as far as this gateway knows.
type knownOrigins struct {
	services []origin.ServiceVersions
	// routes is set if streams can have begun at no other services.
	routes bool
	// gated says that there are leases on lists.
	gated bool
}

// known returns where streams of a route may have begun, by a version of the configuration.
func (o *originClient) known(route *traffic.Route, version uint64) knownOrigins {
	// A lease that is renewed meanwhile may be on a newer view than what is read here.
	held := o.views.heldLease(version)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	recent, allServices := o.recentlyAt(o.clock(), route)
	for index := range recent {
		recent[index].Complete = recent[index].Complete && held.software
	}
	return knownOrigins{services: recent, routes: !held.routesKept || held.routes && allServices, gated: held.kept}
}

// combine adds what coordinators know.
func (k *knownOrigins) combine(replies []keeperReply) []origin.ServiceVersions {
	combined := merged(k.services, replies)
	if k.gated {
		combined = narrowed(k.services, replies)
	}
	if !k.routes {
		combined = withoutCompleteness(combined)
	}
	return combined
}

// withoutCompleteness returns what services run and have run, if streams may have begun at others too.
func withoutCompleteness(services []origin.ServiceVersions) []origin.ServiceVersions {
	incomplete := slices.Clone(services)
	for index := range incomplete {
		incomplete[index].Complete = false
	}
	return incomplete
}

// fromReplies returns where a stream goes on that has not begun at this gateway.
func fromReplies(replies []keeperReply, possible []origin.ServiceVersions, request relay.RequestMetadata, route *traffic.Route) (takenUp, error) {
	if best := newest(replies); best != nil && request.Resumes != "" {
		return checked(takenUp{Origin: best.Record.Origin, found: best.from, age: time.Duration(best.AgeMillis) * time.Millisecond}, best.Record, route)
	}
	return onlyOrigin(possible, route)
}

// describeVersions returns what services run and have run, for the log.
func describeVersions(services []origin.ServiceVersions) []string {
	described := make([]string, 0, len(services))
	for _, each := range services {
		if !each.Complete {
			described = append(described, each.Service+" incomplete")
		}
		for _, software := range each.Software {
			described = append(described, each.Service+" "+software.String())
		}
	}
	return described
}

// checked returns where a stream goes on, given its record.
func checked(found takenUp, record *origin.Record, route *traffic.Route) (takenUp, error) {
	if record.Ambiguous {
		return found, failure.New(failure.StreamNotResumed, "several requests with this ID have begun streams")
	}
	if !route.SplitsTo(found.Service) {
		return found, errServiceLeft
	}
	return found, nil
}

// onlyOrigin returns where a stream has begun that nobody has a record of.
func onlyOrigin(recent []origin.ServiceVersions, route *traffic.Route) (takenUp, error) {
	only, single := origin.Only(recent)
	if !single {
		return takenUp{age: -1}, failure.New(failure.StreamNotResumed, "it is not known where the stream has begun")
	}
	return checked(takenUp{Origin: only, found: originOnly, age: -1}, &origin.Record{Origin: only}, route)
}
