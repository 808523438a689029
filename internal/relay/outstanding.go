package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
)

// Outstanding returns this gateway's work at replicas, for its peers, sorted by replica name. It covers only
// the work that the gateway has placed itself; a coordinator knows the work that it has placed.
func (d *Directory) Outstanding() []region.OutstandingWork {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var work []region.OutstandingWork
	for name, replica := range d.replicas {
		if own := replica.inFlight - replica.granted.requests; own > 0 {
			work = append(work, region.OutstandingWork{
				Replica:      name,
				Requests:     own,
				InTimeMicros: (replica.prefillWork[InTime] - replica.granted.prefillWork[InTime]).Microseconds(),
				LateMicros:   (replica.prefillWork[Late] - replica.granted.prefillWork[Late]).Microseconds(),
			})
		}
	}
	slices.SortFunc(work, func(a, b region.OutstandingWork) int { return strings.Compare(a.Replica, b.Replica) })
	return work
}

// Unreachable returns the names of the incarnations that this gateway can't connect to, as far as others may be told.
func (d *Directory) Unreachable() []string {
	return d.unconnectedNames(d.reportable)
}

// unreachableHere returns the names of the incarnations that this gateway can't connect to.
func (d *Directory) unreachableHere() []string {
	return d.unconnectedNames(anyReplica)
}

func (d *Directory) unconnectedNames(wanted func(*Replica) bool) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	var names []string
	for name, replica := range d.replicas {
		if replica.isUnconnected(now) && wanted(replica) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isUnconnected reports whether this gateway could not connect to the replica, and avoids it for that.
func (r *Replica) isUnconnected(now time.Duration) bool { return r.unconnected && now < r.avoidUntil }

// peerReportAvoidance is how long a replica is avoided that a peer can't reach. It is short because the
// fault may be the peer's.
const peerReportAvoidance = 700 * time.Millisecond

// TakeUnreachable records the replicas that a peer can't reach. A peer that names more than half of a service's replicas
// has lost its own links, and nothing is recorded for that service.
func (d *Directory) TakeUnreachable(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	named := map[string]int{}
	for _, name := range names {
		if replica, known := d.replicas[name]; known {
			named[replica.Service]++
		}
	}
	until := d.clock() + peerReportAvoidance
	for _, name := range names {
		replica, known := d.replicas[name]
		if !known || len(d.services[replica.Service]) > 1 && 2*named[replica.Service] > len(d.services[replica.Service]) {
			continue
		}
		replica.avoidUntil = max(replica.avoidUntil, until)
	}
}

// TakeOutstanding records a peer's work at replicas: all of it (whole), or what has changed.
func (d *Directory) TakeOutstanding(gateway string, work []region.OutstandingWork, whole bool) {
	if d.disabled[mechanism.Peers] {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordPeerWork(gateway, work, whole, d.clock())
}

// TakeRegionWork records the work at replicas that a peer in another region reported some time (age) ago. Reports
// older than peerReportLifetime are ignored.
func (d *Directory) TakeRegionWork(otherRegion, peer string, work []region.OutstandingWork, whole bool, age time.Duration) {
	if d.disabled[mechanism.Peers] || age >= peerReportLifetime {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reportedAt := d.clock() - age
	if d.regionReportedAt == nil {
		d.regionReportedAt = map[string]time.Duration{}
	}
	d.regionReportedAt[otherRegion] = max(d.regionReportedAt[otherRegion], reportedAt)
	d.recordPeerWork(peer, work, whole, reportedAt)
}

// RegionReportAge returns the age of the newest report of another region's work, or a negative value if there
// is no current one: then it is unknown how busy its replicas are.
func (d *Directory) RegionReportAge(otherRegion string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reportedAt, heard := d.regionReportedAt[otherRegion]
	age := d.clock() - reportedAt
	if !heard || age >= peerReportLifetime {
		return -1
	}
	return age
}

// ReplicaRequests are the requests at a replica: all that are known, and this process's own.
type ReplicaRequests struct{ All, Own int }

// Requests returns the requests at each replica, by the name of its incarnation.
func (d *Directory) Requests() map[string]ReplicaRequests {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	requests := make(map[string]ReplicaRequests, len(d.replicas))
	for id, replica := range d.replicas {
		requests[id] = ReplicaRequests{All: replica.totalInFlight(now), Own: replica.inFlight}
	}
	return requests
}

// recordPeerWork records the work that a gateway has reported. Less prefill work than it reported before counts
// as progress of the replica. The caller must hold d.mutex.
func (d *Directory) recordPeerWork(gateway string, work []region.OutstandingWork, whole bool, now time.Duration) {
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
		reported := boundedReading(each)
		if reported.before(Late) < replica.peers[gateway].prefillWork.before(Late) {
			replica.progressAt = now
		}
		if each.Requests == 0 {
			delete(replica.peers, gateway)
			continue
		}
		if replica.peers == nil {
			replica.peers = map[string]peerWork{}
		}
		replica.peers[gateway] = peerWork{requests: each.Requests, prefillWork: reported, at: now}
	}
}

// boundedReading returns the prefill work that a peer has reported. Each class is bounded, so that no peer
// can make a replica look busy forever.
func boundedReading(work region.OutstandingWork) prefillWork {
	bounded := func(micros int64) time.Duration {
		return min(max(time.Duration(micros)*time.Microsecond, 0), maximumPeerReading)
	}
	return prefillWork{InTime: bounded(work.InTimeMicros), Late: bounded(work.LateMicros)}
}

// maximumPeerReading bounds the prefill work of one class that one peer may report for one replica.
const maximumPeerReading = time.Minute

// placements are the prompts that this gateway has recently placed for prefill.
type placements struct {
	recent   []placement
	sequence uint64
}

// placement is a prompt with the time at which its replica is expected to have it cached.
type placement struct {
	region.PlacedPrompt
	readyAt time.Duration
}

const (
	// maximumRecentPlacements is the largest number of placements that are kept, and so reported in one
	// message.
	maximumRecentPlacements = 12
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
	if len(p.recent) > maximumRecentPlacements {
		p.recent = p.recent[len(p.recent)-maximumRecentPlacements:]
	}
}

// Placed returns the prompts placed after a sequence number, as far as they are still among the recent ones.
func (d *Directory) Placed(after uint64) []region.PlacedPrompt {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	var prompts []region.PlacedPrompt
	for _, each := range d.placed.recent {
		if each.Sequence <= after {
			continue
		}
		reported := each.PlacedPrompt
		reported.ReadyMillis = int(max(each.readyAt-now, 0).Milliseconds())
		prompts = append(prompts, reported)
	}
	return prompts
}

// TakePlaced records the prompts that a peer has placed as cached by their replicas.
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
		replica.prefixes.add(parts, d.engines[replica.Service].CacheTokens, readyAt)
	}
}

// AddCached records the parts of prompts that an incarnation of a replica reports as cached.
func (d *Directory) AddCached(incarnation region.Incarnation, parts []PromptPart) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if replica, known := d.replicas[incarnation.Name()]; known {
		replica.prefixes.add(parts, d.engines[replica.Service].CacheTokens, d.clock())
		replica.cacheKnown = true
	}
}

// Cached returns what the selected replicas have cached, as far as it is known; whole reports whether it is
// known for all of them, and is false while no replicas are listed.
func (d *Directory) Cached(wanted func(replica region.Replica) bool) (cached []region.CachedParts, whole bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	whole = len(d.replicas) > 0
	for name, replica := range d.replicas {
		if replica.Stage == "" || !wanted(replica.listing()) {
			continue
		}
		if !d.knowsCached(replica) {
			whole = false
			continue
		}
		cached = append(cached, region.CachedParts{Replica: name, Parts: replica.prefixes.list()})
	}
	return cached, whole
}

// TakeCached records what replicas have cached according to another process.
func (d *Directory) TakeCached(cached []region.CachedParts) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, each := range cached {
		replica, known := d.replicas[each.Replica]
		if !known {
			continue
		}
		parts := make([]PromptPart, len(each.Parts))
		for index, part := range each.Parts {
			parts[index] = PromptPart{ID: part.ID, Tokens: part.Tokens}
		}
		replica.prefixes.add(parts, d.engines[replica.Service].CacheTokens, now)
		replica.cacheKnown = true
	}
}

// ModelReplicas returns the replicas that have a stage.
func (d *Directory) ModelReplicas() []region.Replica {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var replicas []region.Replica
	for _, replica := range d.replicas {
		if replica.Stage != "" {
			replicas = append(replicas, replica.listing())
		}
	}
	return replicas
}
