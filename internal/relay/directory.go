package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/costmodel"
	"github.com/pierhaven/pierhaven/internal/links"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// Directory holds the listed replicas of all services, with what this gateway has observed of each. It is
// safe for concurrent use.
type Directory struct {
	mutex sync.Mutex
	clock func() time.Duration
	zone  string
	// regions maps zones to regions, and pathDelays holds the delays between regions.
	regions        topology.Map
	pathDelays     pathDelays
	crossRegionLog crossRegionLog
	// firstListAt is when the first list was received: the last one that replaced an empty list.
	firstListAt time.Duration
	// listedAt is when the newest list was received.
	listedAt time.Duration
	// replicas are by Incarnation.Name: a replica that restarts is a new entry without history, and reports about
	// its previous incarnation do not apply to it.
	replicas map[string]*Replica
	services map[string][]*Replica
	// newSoftware is what streams may not begin at yet.
	newSoftware newSoftware
	// costModels are the learned costs of each service's engines, and engines their configuration.
	costModels map[string]*costmodel.Model
	engines    map[string]traffic.Engine
	// handoverTimes are the times from the end of a prefill to the first event of the answer.
	handoverTimes averageTimes
	// overruns are by how much longer than estimated prefills have taken, by service and stage. They
	// account for work that other gateways have placed there and not yet reported.
	overruns      averageTimes
	prefillDemand map[string]*prefillMeter
	rankMeters    map[string]*rankMeter
	streams       map[string]streamMeters
	placed        placements
	// regionReportedAt is when each other region last reported its work.
	regionReportedAt map[string]time.Duration
	// grantGeneration is the generation of the coordinator's leases: it grows when the coordinator changes or
	// forgets its leases, and only grants of the current generation count.
	grantGeneration uint64
	onDropped       func(address, incarnation string)
	// connected reports whether this process has a connection to an incarnation; nil if that is unknown.
	connected func(address, incarnation string) bool
	// limited counts the replicas that declare a rate limit, so that calls skip the check while there are
	// none.
	limited atomic.Int64
	limits  *ratelimit.Table
	onLimit func(report ratelimit.Report)
	// gate tracks what replicas ask of this process (backoff, leaving); nil if they can't ask for anything.
	gate *backpressure.Gate
	// onLeaving is called for each replica that announces to this process that it is leaving.
	onLeaving func(incarnation string)
	// backoffRevision grows with each backoff that is requested of this process, or of one that it places for.
	backoffRevision uint64
	// retryAt is, by service, when the caller that was last refused because of rate limits or backoffs
	// should retry.
	retryAt map[string]time.Duration
	// learnedLimits are the concurrency limits learned from refusals, by service and stage (room.go).
	learnedLimits map[string]*learnedLimit
	// placerCount returns the number of processes that choose replicas, including this one.
	placerCount func() int
	// links are the trackers of the links to each service; linkOptions is nil if links are not tracked.
	links        map[string]*links.Tracker
	linkContexts map[string]linkContext
	linkOptions  *links.Options
	// disabled are the disabled mechanisms.
	disabled mechanism.Set
	// random returns a random number in [0, 1). It breaks ties between replicas with about the same score.
	random func() float64
	logger logr.Logger
}

// Disable disables mechanisms. It must be called before any other use.
func (d *Directory) Disable(mechanisms mechanism.Set) { d.disabled = mechanisms }

// SetConnected makes the directory prefer replicas to which this process has a connection. It must be
// called before any other use.
func (d *Directory) SetConnected(connected func(address, incarnation string) bool) {
	d.connected = connected
}

// SetPlacerCount sets the function that counts the processes that choose replicas, including this one. It
// must be called before any other use.
func (d *Directory) SetPlacerCount(count func() int) {
	d.placerCount = func() int { return max(count(), 1) }
}

// SetRandom replaces the process's random source, so that runs in virtual time are reproducible: with the
// process's own, one seed served between 0.825 and 0.862 of the same load. It must be called before any
// other use.
func (d *Directory) SetRandom(random func() float64) { d.random = random }

// NewDirectory returns an empty directory. onDropped is called with the address and the name of each
// incarnation that is removed from the list or found to have ended (Misdirected).
func NewDirectory(clock func() time.Duration, zone string, onDropped func(address, incarnation string), logger logr.Logger) *Directory {
	return &Directory{
		clock:         clock,
		zone:          zone,
		replicas:      map[string]*Replica{},
		services:      map[string][]*Replica{},
		costModels:    map[string]*costmodel.Model{},
		engines:       map[string]traffic.Engine{},
		handoverTimes: averageTimes{},
		overruns:      averageTimes{},
		prefillDemand: map[string]*prefillMeter{},
		rankMeters:    map[string]*rankMeter{},
		streams:       map[string]streamMeters{},
		pathDelays:    pathDelays{},
		limits:        ratelimit.NewTable(),
		linkContexts:  map[string]linkContext{},
		retryAt:       map[string]time.Duration{},
		onDropped:     onDropped,
		onLeaving:     func(string) {},
		placerCount:   func() int { return 1 },
		learnedLimits: map[string]*learnedLimit{},
		random:        rand.Float64,
		logger:        logger,
	}
}

// Replace installs a new list, and fills in the incarnations that it does not state.
func (d *Directory) Replace(list []region.Replica) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	former := make(map[string]*Replica, len(d.replicas))
	for _, replica := range d.replicas {
		former[replica.ID] = replica
	}
	keepLives(list, former)
	replicas := make(map[string]*Replica, len(list))
	services := map[string][]*Replica{}
	var limits []ratelimit.Report
	for index := range list {
		known, declared := d.updateOrAdd(&list[index], former[list[index].ID])
		limits = append(limits, declared...)
		replicas[known.name] = known
		services[known.Service] = append(services[known.Service], known)
	}
	for name, before := range d.replicas {
		if replicas[name] != before {
			d.drop(before)
		}
	}
	now := d.clock()
	if len(d.replicas) == 0 {
		d.firstListAt = now
	}
	d.listedAt = now
	d.replicas = replicas
	d.services = services
	for _, report := range limits {
		d.mergeLimit(report, now)
	}
}

// updateOrAdd updates the replica of a listing, or returns a new one, given the former incarnation of its ID. It returns
// the limit that a new one has declared, if any. The caller must hold d.mutex.
func (d *Directory) updateOrAdd(listed *region.Replica, former *Replica) (known *Replica, declared []ratelimit.Report) {
	identity := identityOf(listed)
	known, found := d.replicas[identity.name]
	if !found || known.Identity != identity || known.otherVersion(listed.Software) {
		// Except in the first list, a new replica has just started and has nothing cached.
		known = &Replica{Identity: identity, prefixes: newPrefixCache(), cacheKnown: len(d.replicas) > 0}
		known.peerState = d.peerStateOf(known.peer())
		declared = d.inherit(former, known)
	}
	known.update(listed)
	if listed.Draining {
		// It stays so: a list that arrives later by another path may be older.
		d.noteDraining(known)
	}
	if listed.Leaving {
		d.noteLeaving(known)
	}
	known.learnedLimit = d.learnedLimitOf(listed.Service, listed.Stage)
	if known.isLeaving() {
		known.notifyStreams()
	}
	return known, declared
}

// inherit records for a new incarnation what it has asked for since it started: responses don't state their
// incarnation, so that it was recorded for the former one, nil if there was none. It returns the limit that the new
// one has declared, if any. The caller must hold d.mutex.
func (d *Directory) inherit(former, next *Replica) (limits []ratelimit.Report) {
	if former == nil || former.Address != next.Address {
		return nil
	}
	d.inheritPeerState(former.peer(), next)
	report, found := d.limits.Report(d.clock(), former.name)
	if !found || !report.Declared || report.Age() > next.age() {
		return nil
	}
	report.Replica = next.name
	return []ratelimit.Report{report}
}

// runs reports whether a listed replica of a service that takes work runs the given software.
func (d *Directory) runs(service string, software origin.Software) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.ContainsFunc(d.services[service], func(r *Replica) bool { return !r.removed && !r.Draining && r.software() == software })
}

// RunningSoftware returns what the listed replicas of each service run.
func (d *Directory) RunningSoftware() map[string]map[origin.Software]bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	running := make(map[string]map[origin.Software]bool, len(d.services))
	for service, replicas := range d.services {
		running[service] = map[origin.Software]bool{}
		for _, replica := range replicas {
			running[service][replica.software()] = true
		}
	}
	return running
}

// successor returns the listed incarnation that has replaced a replica at its address, nil if there is none. The caller
// must hold d.mutex.
func (d *Directory) successor(former *Replica) *Replica {
	if !former.removed {
		return nil
	}
	listed := d.services[former.Service]
	index := slices.IndexFunc(listed, func(r *Replica) bool {
		return r != former && r.ID == former.ID && r.Address == former.Address
	})
	if index < 0 {
		return nil
	}
	return listed[index]
}

// drop forgets a replica that is no longer listed. The caller must hold d.mutex.
func (d *Directory) drop(replica *Replica) {
	replica.removed = true
	if replica.limit.declared {
		d.countLimited(false)
	}
	d.limits.Forget(replica.name)
	if tracker := d.links[replica.Service]; tracker != nil {
		tracker.Forget(replica.name)
	}
	d.onDropped(replica.Address, replica.name)
}

// listAge returns the time since the newest list was received.
func (d *Directory) listAge() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.clock() - d.listedAt
}

// keepLives fills in the incarnations that a list does not state, given the former replicas by their IDs.
func keepLives(list []region.Replica, former map[string]*Replica) {
	region.KeepIncarnations(list, func(id string) (region.Incarnation, bool) {
		replica, known := former[id]
		if !known {
			return region.Incarnation{}, false
		}
		return replica.Incarnation(), true
	})
}

// Count returns the number of replicas.
func (d *Directory) Count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.replicas)
}

// Misdirected records that another incarnation answers at a replica's address: the listed one has ended.
func (d *Directory) Misdirected(replica *Replica) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica.removed = true
	d.onDropped(replica.Address, replica.name)
}

// ProcessEnded records that the process of an incarnation has ended, and with it its cache. Until the list shows
// the replacement, requests are sent to it under the old incarnation's name.
func (d *Directory) ProcessEnded(incarnation string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if replica, known := d.replicas[incarnation]; known {
		replica.prefixes = newPrefixCache()
		replica.load, replica.loadAt = Load{}, 0
		// The limit that the process declared ended with it.
		d.mergeLimit(ratelimit.Report{Replica: incarnation}, d.clock())
		d.clearPeerState(replica)
	}
}

// SetEngine sets the configuration of a service's engines.
func (d *Directory) SetEngine(service string, engine traffic.Engine) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.engines[service] = engine
}
