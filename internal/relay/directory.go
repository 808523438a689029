package relay

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/region"
)

// Directory holds the replicas of all services, as the list names them, with
// what this gateway has seen of each. It may be used concurrently.
type Directory struct {
	mutex    sync.Mutex
	clock    func() time.Duration
	zone     string
	replicas map[string]*Replica
	services map[string][]*Replica
	paces    map[string]*paceMeter
	reads    map[string]*readMeter
	// capacities are the tokens that a replica of a service keeps.
	capacities map[string]int
	placed     placements
	onDropped  func(address, instance string)
	logger     logr.Logger
}

// NewDirectory returns an empty directory. onDropped is told of each incarnation
// that is gone from the list.
func NewDirectory(clock func() time.Duration, zone string, onDropped func(address, instance string), logger logr.Logger) *Directory {
	return &Directory{
		clock:    clock,
		zone:     zone,
		replicas: map[string]*Replica{},
		services: map[string][]*Replica{},
		paces:    map[string]*paceMeter{},
		reads:    map[string]*readMeter{},

		capacities: map[string]int{},
		onDropped:  onDropped,
		logger:     logger,
	}
}

// Replace takes a new list over. A replica that was once seen draining stays so:
// a list that comes later by another way may be older.
func (d *Directory) Replace(list []region.Replica) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replicas := make(map[string]*Replica, len(list))
	services := map[string][]*Replica{}
	for _, listed := range list {
		known, found := d.replicas[listed.ID]
		if !found || known.Address != listed.Address {
			known = &Replica{prefixes: newPrefixMemory()}
		}
		draining := known.Draining || listed.Draining
		known.Replica = listed
		known.Draining = draining
		replicas[listed.ID] = known
		services[listed.Service] = append(services[listed.Service], known)
	}
	for id, before := range d.replicas {
		if replicas[id] != before {
			before.gone = true
			d.onDropped(before.Address, before.ID)
		}
	}
	d.replicas = replicas
	d.services = services
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
	d.onDropped(replica.Address, replica.ID)
}

// Lease is a place that a request takes up at a replica.
type Lease struct {
	Replica *Replica
	// Choice is what was known when the replica was chosen.
	Choice    Choice
	directory *Directory
	begun     time.Duration
	// tokens of the prompt that the replica has yet to read, and the backlog that
	// it had before them.
	tokens  int
	backlog float64
	// fetchFrom is the replica from which this one should fetch the prompt's
	// beginning, nil if it should read all itself.
	fetchFrom *Replica
	released  bool
	// generating is set once the stream has begun.
	generating bool
}

// SetCapacity says how many tokens a replica of a service keeps.
func (d *Directory) SetCapacity(service string, tokens int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacities[service] = tokens
}

// lease is called with the mutex held. With a prompt, the replica is to read it.
func (d *Directory) lease(replica *Replica, prompt *Prompt) *Lease {
	lease := &Lease{Replica: replica, directory: d, begun: d.clock()}
	replica.inFlight++
	if prompt != nil {
		lease.readPrompt(prompt)
	}
	return lease
}

// readPrompt notes that the replica is to read a prompt. It is called with the
// mutex held.
func (l *Lease) readPrompt(prompt *Prompt) {
	d, replica := l.directory, l.Replica
	l.backlog = replica.allTokens(l.begun)
	l.tokens = replica.prefixes.missing(prompt)
	source, saved := d.fetchSource(replica, prompt, l.begun)
	switch {
	case source != nil:
		l.fetchFrom = source
		l.tokens = max(l.tokens-saved, 0) + fetchTokens
	case l.tokens > prompt.ownTokens()+leastFetched:
		l.fetchFrom = d.unknownSource(replica, prompt, l.begun)
	}
	d.noteRead(replica.Service, l.tokens)
	replica.readingTokens += l.tokens
	readyAt := l.begun + d.readingTime(replica.Service, l.backlog+float64(l.tokens))
	replica.prefixes.learn(prompt.Parts, d.capacities[replica.Service], readyAt)
	d.placed.add(replica.ID, prompt, readyAt)
}

// Release gives the place back. It may be called more than once.
func (l *Lease) Release() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.Replica.inFlight--
	if l.generating {
		l.Replica.generating--
	}
	l.readDone()
}

// StreamBegun notes that the replica generates.
func (l *Lease) StreamBegun() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.generating = true
	l.Replica.generating++
}

// PromptRead notes that the prompt has been read.
func (l *Lease) PromptRead() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.notePace()
	l.readDone()
}

// PromptKept notes that the replica now keeps a prompt, for peers too if the
// replica generates: they were told of readers when the prompt was placed.
func (l *Lease) PromptKept(prompt *Prompt) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	if l.Replica.Stage == region.StageDecode {
		l.directory.placed.add(l.Replica.ID, prompt, l.directory.clock())
	}
	l.Replica.prefixes.learn(prompt.Parts, l.directory.capacities[l.Replica.Service], l.directory.clock())
}

func (l *Lease) readDone() {
	l.Replica.readingTokens -= l.tokens
	l.tokens = 0
}

// paceOf is called with the mutex held.
func (d *Directory) paceOf(service string) *paceMeter {
	meter, found := d.paces[service]
	if !found {
		meter = &paceMeter{}
		d.paces[service] = meter
	}
	return meter
}

// Unreachable notes that the replica did not answer, after the request was handed
// over or before.
func (l *Lease) Unreachable(handedOver bool) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	now := l.directory.clock()
	l.Replica.unreachable(now, !handedOver)
	l.directory.logger.Info(event.ReplicaAvoided, "replica", l.Replica.ID, "for_ms", (l.Replica.avoidUntil - now).Milliseconds(),
		"failures", l.Replica.failures, "connected", handedOver)
}

// Full notes that the replica refused the request because it was full.
func (l *Lease) Full() {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	l.Replica.fullUntil = l.directory.clock() + fullAvoidance
}

// Answered notes the replica's answer.
func (l *Lease) Answered(failed bool, load *Load) {
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	now := l.directory.clock()
	if l.Replica.failures > 0 {
		l.directory.logger.Info(event.ReplicaBack, "replica", l.Replica.ID, "failures", l.Replica.failures)
	}
	l.Replica.answered(now, now-l.begun, failed)
	if load != nil {
		l.Replica.load = *load
		l.Replica.loadAt = now
	}
}
