package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

const (
	leaseTerm     = 3 * time.Second
	leaseStep     = 25 * time.Millisecond
	leaseDuration = 90 * time.Second
	leaseShare    = 0.9
	// streamTime is how long after its beginning a stream is taken up at most.
	streamTime = 15 * time.Second
)

// leaseWorld plays gateways and coordinators in virtual time, beside partitions, delays, kills and changes of the leader. The
// state of its first machine is the group's.
type leaseWorld struct {
	random       *rand.Rand
	now          time.Duration
	machine      *stateMachine
	index        uint64
	members      *viewLeases
	ages         softwareAges
	coordinators []*leaseCoordinator
	gateways     []*leaseGateway
	// begun is the software at which streams have begun, and begunServices are the services, with the last time.
	begun, begunServices map[string]time.Duration
	configurations       map[uint64]*traffic.Configuration
	// admitsAtOnce is a fault: new software begins streams although others may not know it.
	admitsAtOnce bool
	joined       int
	// admitted and admittedRoutes count how often streams were let begin at new software, and at new services of routes.
	admitted, admittedRoutes int
}

// leaseCoordinator has a copy of the state as of a time.
type leaseCoordinator struct {
	name        string
	copied      region.State
	confirmedAt time.Duration
	confirmed   bool
	gateways    *viewLeases
	cutUntil    time.Duration
}

// leaseGateway has a list, and a lease on it since a time.
type leaseGateway struct {
	name   string
	life   int
	listed map[string]bool
	// possible is the software at which streams may have begun, until a time.
	possible    map[string]time.Duration
	revision    uint64
	newSoftware []region.NewSoftware
	// version is that of the configuration in force, and received that of one which comes into force at a time.
	version, received uint64
	inForceAt         time.Duration
	newRoutes         []region.NewRoute
	// services are those at which streams may have begun by earlier configurations, until a time.
	services map[string]time.Duration
	leasedAt time.Duration
	leased   bool
	cutUntil time.Duration
	// pending is a view that is under way until a time.
	pending      *region.State
	pendingLease time.Duration
	pendingUntil time.Duration
}

func newLeaseWorld(seed uint64) *leaseWorld {
	w := &leaseWorld{
		random: rand.New(rand.NewPCG(seed, 1)), members: newViewLeases(leaseTerm), ages: softwareAges{}, begun: map[string]time.Duration{},
		begunServices: map[string]time.Duration{}, configurations: map[uint64]*traffic.Configuration{},
	}
	w.machine = newStateMachine(func() time.Duration { return w.now })
	w.list("v1")
	w.configure()
	for number := range 3 {
		w.coordinators = append(w.coordinators, &leaseCoordinator{name: fmt.Sprint("c", number), gateways: newViewLeases(leaseTerm)})
	}
	for number := range 5 {
		w.gateways = append(w.gateways, &leaseGateway{name: fmt.Sprint("g", number)})
	}
	return w
}

// list shows a replica of a version in place of another one of it.
func (w *leaseWorld) list(version string) {
	w.index++
	replica := region.Replica{ID: fmt.Sprint("r", w.index), Service: "s", Software: version}
	w.machine.apply(w.index, &region.Command{List: &region.ListCommand{Changed: []region.Replica{replica}, At: int64(listTime + w.now), Gated: true}})
}

// remove removes the replicas of a version, unless there is no other.
func (w *leaseWorld) remove(version string) {
	state, _ := w.machine.read()
	change := &region.ListCommand{At: int64(listTime + w.now), Gated: true}
	for _, each := range state.Replicas {
		if each.Replica.Software == version {
			change.Removed = append(change.Removed, each.Replica.ID)
		}
	}
	if len(change.Removed) == 0 || len(change.Removed) == len(state.Replicas) {
		return
	}
	w.index++
	w.machine.apply(w.index, &region.Command{List: change})
}

// configure has the streams of the route begin at one or two of three services.
func (w *leaseWorld) configure() {
	state, _ := w.machine.read()
	drawn := w.random.Perm(3)[:1+w.random.IntN(2)]
	route := traffic.Route{Host: "h", PathPrefix: "/", Kind: traffic.KindStream, Resumable: true}
	for _, number := range drawn {
		route.Split = append(route.Split, traffic.Part{Service: fmt.Sprint("s", number), Weight: 1})
	}
	after := &traffic.Configuration{Version: state.Version + 1, Routes: []traffic.Route{route}}
	moved := traffic.MovedStreams(w.configurations[state.Version], after)
	w.configurations[after.Version] = after
	w.index++
	w.machine.apply(w.index, &region.Command{Configuration: &region.ConfigurationCommand{
		Version: after.Version, At: int64(listTime + w.now), Base: state.Version, Former: moved.Former, Added: moved.Added,
	}})
}

// version draws one of a few versions.
func (w *leaseWorld) version() string { return fmt.Sprint("v", 1+w.random.IntN(4)) }

func (w *leaseWorld) chance(perSecond float64) bool {
	return w.random.Float64() < perSecond*leaseStep.Seconds()
}

func (w *leaseWorld) upTo(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

func (w *leaseWorld) run(t *testing.T) {
	for w.now < leaseDuration {
		w.now += leaseStep
		if w.chance(0.15) {
			w.list(w.version())
		}
		if w.chance(0.2) {
			w.remove(w.version())
		}
		if w.chance(0.1) {
			w.configure()
		}
		if w.chance(0.05) {
			// Another leader, which has heard of nobody.
			w.members.restart(w.now)
		}
		for _, c := range w.coordinators {
			w.stepCoordinator(c)
		}
		for _, g := range w.gateways {
			w.stepGateway(t, g)
		}
		w.admit()
	}
}

func (w *leaseWorld) stepCoordinator(c *leaseCoordinator) {
	switch {
	case w.chance(0.1):
		c.cutUntil = w.now + w.upTo(6*time.Second)
	case w.chance(0.03):
		// It starts again, and knows of no gateway.
		c.gateways = newViewLeases(leaseTerm)
		c.gateways.restart(w.now)
		c.confirmed = false
	}
	if w.now < c.cutUntil || w.random.IntN(8) > 0 {
		return
	}
	w.members.renew(w.now, c.name, c.gateways.oldest(w.now, newestView(&c.copied)))
	c.copied, _ = w.machine.read()
	c.confirmed, c.confirmedAt = true, w.now
}

func (w *leaseWorld) stepGateway(t *testing.T, g *leaseGateway) {
	switch {
	case w.chance(0.1):
		g.cutUntil = w.now + w.upTo(6*time.Second)
	case w.chance(0.05):
		*g = leaseGateway{name: g.name, life: g.life + 1}
	}
	w.receive(g)
	if w.now >= g.cutUntil && g.pending == nil && w.random.IntN(4) == 0 {
		w.poll(g)
	}
	w.begin(g)
	w.conclude(t, g)
}

// poll asks a coordinator for its view, which may be under way for long.
func (w *leaseWorld) poll(g *leaseGateway) {
	c := w.coordinators[w.random.IntN(len(w.coordinators))]
	if !c.confirmed || c.copied.ListRevision == 0 {
		return
	}
	shown := c.copied
	revision := g.revision
	if revision == 0 {
		revision = shown.ListRevision
	}
	version := g.version
	if version == 0 {
		version = g.received
	}
	if version == 0 {
		version = shown.Version
	}
	c.gateways.renew(w.now, fmt.Sprint(g.name, "/", g.life), heldView{list: revision, version: version})
	g.pending, g.pendingLease, g.pendingUntil = &shown, c.confirmedAt, w.now
	if w.random.IntN(10) == 0 {
		g.pendingUntil += w.upTo(5 * time.Second)
	}
}

func (w *leaseWorld) receive(g *leaseGateway) {
	if g.pending == nil || w.now < g.pendingUntil {
		return
	}
	view := g.pending
	g.pending = nil
	if view.ListRevision >= g.revision {
		g.newSoftware, g.revision = view.NewSoftware, view.ListRevision
		g.listed = map[string]bool{}
		for software := range listedSoftware(view.Replicas) {
			g.listed[software.version] = true
		}
		w.count(g, view)
	}
	w.receiveConfiguration(g, view)
	if !g.leased || g.pendingLease > g.leasedAt {
		g.leased, g.leasedAt = true, g.pendingLease
	}
}

// count notes at what software streams may have begun, by a view.
func (w *leaseWorld) count(g *leaseGateway, view *region.State) {
	if g.possible == nil {
		g.possible = map[string]time.Duration{}
	}
	for version := range g.listed {
		g.possible[version] = w.now + origin.Window
	}
	for _, former := range view.FormerSoftware {
		until := time.Duration(former.Until) - listTime + origin.Window
		g.possible[former.Version] = max(g.possible[former.Version], until)
	}
}

// receiveConfiguration takes over a view's configuration, which comes into force a moment later.
func (w *leaseWorld) receiveConfiguration(g *leaseGateway, view *region.State) {
	if view.Version < g.received {
		return
	}
	if view.Version > g.received {
		g.received, g.inForceAt = view.Version, w.now+w.upTo(4*leaseStep)
	}
	g.newRoutes = view.NewRoutes
	for _, former := range view.FormerRoutes {
		w.keepService(g, former.RouteService.Service, time.Duration(former.Until)-listTime+origin.Window)
	}
}

func (w *leaseWorld) keepService(g *leaseGateway, service string, until time.Duration) {
	if g.services == nil {
		g.services = map[string]time.Duration{}
	}
	g.services[service] = max(g.services[service], until)
}

// apply brings a received configuration into force.
func (w *leaseWorld) apply(g *leaseGateway) {
	if g.version == g.received || w.now < g.inForceAt {
		return
	}
	for _, former := range traffic.MovedStreams(w.configurations[g.version], w.configurations[g.received]).Former {
		w.keepService(g, former.Service, w.now+origin.Window)
	}
	g.version = g.received
}

// beginAtServices has streams begin at the services that may take them.
func (w *leaseWorld) beginAtServices(g *leaseGateway) {
	if g.version == 0 {
		return
	}
	for _, service := range w.configurations[g.version].Routes[0].Services() {
		isNew := func(each region.NewRoute) bool { return each.RouteService.Service == service }
		if !slices.ContainsFunc(g.newRoutes, isNew) {
			w.begunServices[service] = w.now
		}
	}
}

// concludeServices has a gateway conclude at which services streams may have begun.
func (w *leaseWorld) concludeServices(t *testing.T, g *leaseGateway) {
	if g.version == 0 || g.version != g.received {
		return
	}
	for service, at := range w.begunServices {
		if w.configurations[g.version].Routes[0].SplitsTo(service) || w.now < g.services[service] || w.now-at >= streamTime {
			continue
		}
		w.joined++
		if !w.admitsAtOnce {
			t.Errorf("%s: %s has configuration %d in force, and streams have begun at %s", w.now, g.name, g.version, service)
		}
	}
}

// begin has streams begin at whatever software may take them.
func (w *leaseWorld) begin(g *leaseGateway) {
	w.apply(g)
	w.beginAtServices(g)
	for version := range g.listed {
		isNew := false
		for _, each := range g.newSoftware {
			isNew = isNew || each.Version == version
		}
		if !isNew {
			w.begun[version] = w.now
		}
	}
}

// conclude has a gateway conclude at what software streams may have begun.
func (w *leaseWorld) conclude(t *testing.T, g *leaseGateway) {
	if !g.leased || float64(w.now-g.leasedAt) >= leaseShare*float64(leaseTerm) {
		return
	}
	w.concludeServices(t, g)
	for version, at := range w.begun {
		if g.listed[version] || w.now < g.possible[version] || w.now-at >= streamTime {
			continue
		}
		w.joined++
		if !w.admitsAtOnce {
			t.Errorf("%s: %s knows of %v, of a list confirmed at %s, and streams have begun at %s", w.now, g.name, g.listed, g.leasedAt, version)
		}
	}
}

func (w *leaseWorld) admit() {
	state, _ := w.machine.read()
	w.ages.update(w.now, state.NewSoftware)
	oldest := w.members.oldest(w.now, newestView(&state))
	if w.admitsAtOnce {
		oldest = newestView(&state)
	}
	admitted := region.SoftwareCommand{Revision: w.ages.admissible(w.now, &state, oldest.list), Version: admissibleRoutes(&state, oldest.version)}
	if admitted == (region.SoftwareCommand{}) {
		return
	}
	w.index++
	w.machine.apply(w.index, &region.Command{Software: &admitted})
	w.admitted += oneIf(admitted.Revision > 0)
	w.admittedRoutes += oneIf(admitted.Version > 0)
}

// Guards against streams of two versions, or of two services: gateways whose view is old, or that are cut off, conclude that one
// alone takes streams while others begin them at a second one.
func TestNobodyIsUnawareOfSoftwareAtWhichStreamsBegin(t *testing.T) {
	admitted, admittedRoutes := 0, 0
	for seed := range uint64(300) {
		w := newLeaseWorld(seed)
		w.run(t)
		admitted += w.admitted
		admittedRoutes += w.admittedRoutes
	}
	assert.Positive(t, admitted, "new software takes streams some time")
	assert.Positive(t, admittedRoutes, "new services of routes do")
}

// A planted fault is noticed: software and services that take streams as soon as they are listed, or in a configuration.
func TestSoftwareThatIsAdmittedAtOnceIsNoticed(t *testing.T) {
	joined := 0
	for seed := range uint64(20) {
		w := newLeaseWorld(seed)
		w.admitsAtOnce = true
		w.run(t)
		joined += w.joined
	}
	assert.Positive(t, joined)
}

func TestNewSoftwareIsAdmittedOnceNobodyHoldsAnOlderList(t *testing.T) {
	state := region.State{NewSoftware: []region.NewSoftware{{Service: "s", Version: "v2", Revision: 7}}, Replicas: []region.ListedReplica{
		{Replica: running("a", "v1")}, {Replica: running("b", "v2")},
	}}
	leases, ages := newViewLeases(leaseTerm), softwareAges{}
	newest := heldView{list: 7}
	leases.renew(0, "c", heldView{list: 6})
	ages.update(0, state.NewSoftware)
	assert.Zero(t, leases.oldest(leaseTerm-1, newest), "holders that nothing is known of")
	assert.Zero(t, ages.admissible(minimumSoftwareAge, &state, 6), "an older list")
	assert.Zero(t, ages.admissible(minimumSoftwareAge-1, &state, 7), "too new")
	assert.EqualValues(t, 7, ages.admissible(minimumSoftwareAge, &state, leases.oldest(leaseTerm, newest).list), "the lease is over")
	state.Replicas[0].Replica.Draining = true
	assert.EqualValues(t, 7, ages.admissible(1, &state, 7), "nothing else takes work")
}

func TestSoftwareIsNewBesideOther(t *testing.T) {
	m := newStateMachine(func() time.Duration { return 0 })
	list := func(index uint64, removed []string, replicas ...region.Replica) {
		apply(t, m, index, region.Command{List: &region.ListCommand{Changed: replicas, Removed: removed, At: int64(listTime), Gated: true}})
	}
	list(1, nil, running("a", "v1"))
	assert.Empty(t, m.state.NewSoftware, "the first of a service")
	list(2, nil, running("b", "v2"))
	assert.Equal(t, []region.NewSoftware{{Service: "s", Version: "v2", Revision: 2}}, m.state.NewSoftware)
	list(3, []string{"b"})
	list(4, nil, running("c", "v2"))
	assert.Len(t, m.state.NewSoftware, 1, "it stays new")
	apply(t, m, 5, region.Command{Software: &region.SoftwareCommand{Revision: 1}})
	assert.Len(t, m.state.NewSoftware, 1)
	apply(t, m, 6, region.Command{Software: &region.SoftwareCommand{Revision: 2}})
	assert.Empty(t, m.state.NewSoftware)
	list(7, []string{"a"})
	list(8, nil, running("d", "v1"))
	assert.Empty(t, m.state.NewSoftware, "everyone counts what has run a moment ago")
	apply(t, m, 9, region.Command{List: &region.ListCommand{Changed: []region.Replica{running("e", "v3")}, At: int64(listTime)}})
	assert.Empty(t, m.state.NewSoftware, "a coordinator of an earlier build does not keep it")
}
