package relay

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/costmodel"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// Directory holds the replicas of all services, as the list names them, with
// what this gateway has seen of each. It may be used concurrently.
type Directory struct {
	mutex sync.Mutex
	clock func() time.Duration
	zone  string
	// places are the regions of the zones, and ways what it takes to get from one to another.
	places     topology.Map
	ways       wayTimes
	departures departureLog
	// listedAt is when the first list came.
	listedAt time.Duration
	// replicas are by Life.Name: a replica that starts again is another one, of which nothing is
	// known, and what others tell of the one before is not counted for it.
	replicas map[string]*Replica
	services map[string][]*Replica
	// models are what has been learned of the services' engines, and engines what the
	// configuration says of them.
	models  map[string]*costmodel.Model
	engines map[string]traffic.Engine
	// handovers are the times from a prompt's having been read to its first event.
	handovers timeMeters
	// excesses are by how much longer than expected prompts have taken, by service and
	// stage: what other gateways have placed there, and have not told of.
	excesses timeMeters
	reads    map[string]*readMeter
	ranked   map[string]*rankedMeter
	streams  map[string]streamMeters
	placed   placements
	// regionWords are when other regions last told of their work.
	regionWords map[string]time.Duration
	// grants numbers the coordinator's lives, and the coordinators, whose grants count.
	grants    uint64
	onDropped func(address, life string)
	// connected reports whether this process has a connection to a life; nil if it is not known.
	connected func(address, life string) bool
	// limited counts the replicas that name a limit, so that calls pay nothing while none does.
	limited atomic.Int64
	limits  *ratelimit.Table
	onLimit func(word ratelimit.Word)
	// gate keeps what replicas ask of this process; nil if they can ask for nothing.
	gate *backpressure.Gate
	// onLeaving is told of each replica that says to this process that it leaves.
	onLeaving func(life string)
	// restRevision grows with each rest that is asked of this process, or of one that it places for.
	restRevision uint64
	// returnAt is by service when the caller that was refused last, for limits or rests, should come back.
	returnAt map[string]time.Duration
	// rooms are what was found of the room at replicas, by service and stage.
	rooms map[string]*room
	// choosers is the number of processes that choose replicas, this one among them.
	choosers func() int
	// off are the mechanisms that are switched off.
	off mechanism.Set
	// draw returns a number from 0 up to 1. It decides between replicas that are rated alike.
	draw   func() float64
	logger logr.Logger
}

// SwitchOff switches mechanisms off. It is called before any use.
func (d *Directory) SwitchOff(off mechanism.Set) { d.off = off }

// KnowConnections has replicas preferred that this process is connected to. It is called before any use.
func (d *Directory) KnowConnections(connected func(address, life string) bool) {
	d.connected = connected
}

// CountChoosers has the processes counted that choose replicas, this one among them. It is called before
// any use.
func (d *Directory) CountChoosers(choosers func() int) {
	d.choosers = func() int { return max(choosers(), 1) }
}

// DrawFrom replaces the process's own randomness, so that a run in virtual time repeats: with
// it one seed served 0.825 to 0.862 of the same load. It is called before any use.
func (d *Directory) DrawFrom(draw func() float64) { d.draw = draw }

// NewDirectory returns an empty directory. onDropped is told of each life, by its name,
// that is gone from the list.
func NewDirectory(clock func() time.Duration, zone string, onDropped func(address, life string), logger logr.Logger) *Directory {
	return &Directory{
		clock:     clock,
		zone:      zone,
		replicas:  map[string]*Replica{},
		services:  map[string][]*Replica{},
		models:    map[string]*costmodel.Model{},
		engines:   map[string]traffic.Engine{},
		handovers: timeMeters{},
		excesses:  timeMeters{},
		reads:     map[string]*readMeter{},
		ranked:    map[string]*rankedMeter{},
		streams:   map[string]streamMeters{},
		ways:      wayTimes{},
		limits:    ratelimit.NewTable(),
		returnAt:  map[string]time.Duration{},
		onDropped: onDropped,
		onLeaving: func(string) {},
		choosers:  func() int { return 1 },
		rooms:     map[string]*room{},
		draw:      rand.Float64,
		logger:    logger,
	}
}

// Replace takes a new list over, and fills in the lives that it does not tell. A replica that was
// once seen draining stays so: a list that comes later by another way may be older.
func (d *Directory) Replace(list []region.Replica) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.keepLives(list)
	replicas := make(map[string]*Replica, len(list))
	services := map[string][]*Replica{}
	for _, listed := range list {
		name := listed.Life().Name()
		known, found := d.replicas[name]
		if !found || known.Address != listed.Address {
			// One that comes later has just begun, and keeps nothing.
			known = &Replica{name: name, prefixes: newPrefixMemory(), keptKnown: len(d.replicas) > 0}
			known.asks = d.asksOf(backpressure.Peer{Address: listed.Address, Instance: name})
		}
		draining, leaving := known.Draining || listed.Draining, known.Leaving
		known.Replica = listed
		known.Leaving = leaving
		if listed.Leaving {
			d.noteLeaving(known)
		}
		known.room = d.roomOf(listed.Service, listed.Stage)
		known.Draining = draining
		if known.leaves() {
			known.tellStreams()
		}
		replicas[name] = known
		services[listed.Service] = append(services[listed.Service], known)
	}
	for name, before := range d.replicas {
		if replicas[name] != before {
			before.gone = true
			if before.limit.named {
				d.countLimited(false)
			}
			d.limits.Forget(name)
			d.onDropped(before.Address, name)
		}
	}
	if len(d.replicas) == 0 {
		d.listedAt = d.clock()
	}
	d.replicas = replicas
	d.services = services
}

// keepLives fills in the lives that a list does not tell. It is called with the mutex held.
func (d *Directory) keepLives(list []region.Replica) {
	lives := make(map[string]region.Life, len(d.replicas))
	for _, replica := range d.replicas {
		lives[replica.ID] = replica.Life()
	}
	region.KeepLives(list, func(id string) (region.Life, bool) {
		life, known := lives[id]
		return life, known
	})
}

// Count returns the number of replicas.
func (d *Directory) Count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.replicas)
}

// Misdirected notes that another incarnation answers at a replica's address: the
// one that is listed has ended.
func (d *Directory) Misdirected(replica *Replica) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica.gone = true
	d.onDropped(replica.Address, replica.name)
}

// Ended notes that the process of a life has ended: it keeps nothing any more. A process that starts
// in its place is sent requests under the life's name until the list shows it.
func (d *Directory) Ended(life string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if replica, known := d.replicas[life]; known {
		replica.prefixes = newPrefixMemory()
		replica.load, replica.loadAt = Load{}, 0
		// What the process named has ended with it.
		d.takeLimit(ratelimit.Word{Replica: life}, d.clock())
		d.forgetAsked(replica)
	}
}

// SetEngine takes over what the configuration says of a service's engines.
func (d *Directory) SetEngine(service string, engine traffic.Engine) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.engines[service] = engine
}
