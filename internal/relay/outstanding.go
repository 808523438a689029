package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
)

// Outstanding lists this gateway's work at replicas, for its peers: that of its own choice,
// not what a coordinator has placed for it and knows. It is in the order of their names.
func (d *Directory) Outstanding() []region.OutstandingWork {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var work []region.OutstandingWork
	for name, replica := range d.replicas {
		if own := replica.inFlight - replica.granted.requests; own > 0 {
			work = append(work, region.OutstandingWork{
				Replica:      name,
				Requests:     own,
				InTimeMicros: (replica.reading[InTime] - replica.granted.reading[InTime]).Microseconds(),
				LateMicros:   (replica.reading[Late] - replica.granted.reading[Late]).Microseconds(),
			})
		}
	}
	slices.SortFunc(work, func(a, b region.OutstandingWork) int { return strings.Compare(a.Replica, b.Replica) })
	return work
}

// Unreachable lists the replicas, by their lives' names, that this gateway can't reach.
func (d *Directory) Unreachable() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	var names []string
	for name, replica := range d.replicas {
		if replica.unconnected && now < replica.avoidUntil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// hearsayAvoidance is how long a replica is avoided that a peer can't reach. It
// is short: the fault may be the peer's.
const hearsayAvoidance = 700 * time.Millisecond

// TakeUnreachable notes the replicas that a peer can't reach.
func (d *Directory) TakeUnreachable(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	until := d.clock() + hearsayAvoidance
	for _, name := range names {
		if replica, known := d.replicas[name]; known {
			replica.avoidUntil = max(replica.avoidUntil, until)
		}
	}
}

// TakeOutstanding notes a peer's work at replicas: all of it, or what has changed.
func (d *Directory) TakeOutstanding(gateway string, work []region.OutstandingWork, whole bool) {
	if d.off[mechanism.Peers] {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.takeWork(gateway, work, whole, d.clock())
}

// TakeSums notes the work at replicas that a peer in another region has told, some time (age) ago.
// What is older than peerMemory counts for nothing.
func (d *Directory) TakeSums(otherRegion, peer string, work []region.OutstandingWork, whole bool, age time.Duration) {
	if d.off[mechanism.Peers] || age >= peerMemory {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	told := d.clock() - age
	if d.regionWords == nil {
		d.regionWords = map[string]time.Duration{}
	}
	d.regionWords[otherRegion] = max(d.regionWords[otherRegion], told)
	d.takeWork(peer, work, whole, told)
}

// RegionWordAge is how old the newest word of another region's work is, negative if there is none
// that counts: then nothing is known of how busy its replicas are.
func (d *Directory) RegionWordAge(otherRegion string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	told, heard := d.regionWords[otherRegion]
	age := d.clock() - told
	if !heard || age >= peerMemory {
		return -1
	}
	return age
}

// ReplicaRequests are the requests at a replica: all that are known of, and this process's own.
type ReplicaRequests struct{ All, Own int }

// Requests returns the requests at each replica, by the name of its life.
func (d *Directory) Requests() map[string]ReplicaRequests {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	requests := make(map[string]ReplicaRequests, len(d.replicas))
	for id, replica := range d.replicas {
		requests[id] = ReplicaRequests{All: replica.allInFlight(now), Own: replica.inFlight}
	}
	return requests
}

// takeWork is called with the mutex held.
func (d *Directory) takeWork(gateway string, work []region.OutstandingWork, whole bool, now time.Duration) {
	if whole {
		for _, replica := range d.replicas {
			delete(replica.peers, gateway)
		}
	}
	for _, each := range work {
		replica, known := d.replicas[each.Replica]
		if !known {
			continue
		}
		reading := toldReading(each)
		if reading.before(Late) < replica.peers[gateway].reading.before(Late) {
			replica.progressAt = now
		}
		if each.Requests == 0 {
			delete(replica.peers, gateway)
			continue
		}
		if replica.peers == nil {
			replica.peers = map[string]peerWork{}
		}
		replica.peers[gateway] = peerWork{requests: each.Requests, reading: reading, at: now}
	}
}

// toldReading is the reading that a peer has told, each class bounded, so that no peer
// can make a replica look busy for ever.
func toldReading(work region.OutstandingWork) readingWork {
	bounded := func(micros int64) time.Duration {
		return min(max(time.Duration(micros)*time.Microsecond, 0), maximumToldReading)
	}
	return readingWork{InTime: bounded(work.InTimeMicros), Late: bounded(work.LateMicros)}
}

// maximumToldReading bounds what one peer may tell of one replica.
const maximumToldReading = time.Minute

// placements are the prompts that this gateway has lately had read.
type placements struct {
	recent   []placement
	sequence uint64
}

// placement is a prompt that a replica is to have read at a time.
type placement struct {
	region.PlacedPrompt
	readyAt time.Duration
}

const (
	// toldPlacements is how many placements are told at most with one message.
	toldPlacements = 12
)

func (p *placements) add(replica string, prompt *Prompt, readyAt time.Duration) {
	if prompt.sharedPart() == "" {
		return
	}
	p.sequence++
	placed := region.PlacedPrompt{Sequence: p.sequence, Replica: replica}
	for _, part := range prompt.Parts {
		placed.Parts = append(placed.Parts, region.PlacedPart{ID: part.ID, Tokens: part.Tokens})
	}
	p.recent = append(p.recent, placement{PlacedPrompt: placed, readyAt: readyAt})
	if len(p.recent) > toldPlacements {
		p.recent = p.recent[len(p.recent)-toldPlacements:]
	}
}

// Placed returns the prompts placed after a sequence number, as far as they are
// still known.
func (d *Directory) Placed(after uint64) []region.PlacedPrompt {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	var prompts []region.PlacedPrompt
	for _, each := range d.placed.recent {
		if each.Sequence <= after {
			continue
		}
		told := each.PlacedPrompt
		told.ReadyMillis = int(max(each.readyAt-now, 0).Milliseconds())
		prompts = append(prompts, told)
	}
	return prompts
}

// TakePlaced notes the prompts that a peer has placed.
func (d *Directory) TakePlaced(prompts []region.PlacedPrompt) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, placed := range prompts {
		replica, known := d.replicas[placed.Replica]
		if !known {
			continue
		}
		parts := make([]PromptPart, 0, len(placed.Parts))
		for _, part := range placed.Parts {
			parts = append(parts, PromptPart{ID: part.ID, Tokens: part.Tokens})
		}
		readyAt := d.clock() + time.Duration(placed.ReadyMillis)*time.Millisecond
		replica.prefixes.learn(parts, d.engines[replica.Service].CacheTokens, readyAt)
	}
}

// LearnKept notes the parts of prompts that a life of a replica says it keeps.
func (d *Directory) LearnKept(life region.Life, parts []PromptPart) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if replica, known := d.replicas[life.Name()]; known {
		replica.prefixes.learn(parts, d.engines[replica.Service].CacheTokens, d.clock())
		replica.keptKnown = true
	}
}

// Kept tells what some replicas keep, as far as it is known, and whether it is known of all of them.
func (d *Directory) Kept(wanted func(replica region.Replica) bool) (kept []region.KeptParts, whole bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	whole = len(d.replicas) > 0
	for name, replica := range d.replicas {
		if replica.Stage == "" || !wanted(replica.Replica) {
			continue
		}
		if !d.knowsKept(replica) {
			whole = false
			continue
		}
		kept = append(kept, region.KeptParts{Replica: name, Parts: replica.prefixes.list()})
	}
	return kept, whole
}

// TakeKept notes what another process knows that replicas keep.
func (d *Directory) TakeKept(kept []region.KeptParts) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, each := range kept {
		replica, known := d.replicas[each.Replica]
		if !known {
			continue
		}
		parts := make([]PromptPart, len(each.Parts))
		for index, part := range each.Parts {
			parts[index] = PromptPart{ID: part.ID, Tokens: part.Tokens}
		}
		replica.prefixes.learn(parts, d.engines[replica.Service].CacheTokens, now)
		replica.keptKnown = true
	}
}

// ModelReplicas lists the replicas that have a stage.
func (d *Directory) ModelReplicas() []region.Replica {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var replicas []region.Replica
	for _, replica := range d.replicas {
		if replica.Stage != "" {
			replicas = append(replicas, replica.Replica)
		}
	}
	return replicas
}
