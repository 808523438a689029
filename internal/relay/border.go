package relay

import (
	"math"
	"time"

	"github.com/pierhaven/pierhaven/internal/crossing"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// SetRegions sets the map from zones to regions. It must be called before any other use; without it all
// zones count as one region.
func (d *Directory) SetRegions(regions topology.Map) { d.regions = regions }

// distance returns how far apart two replicas are.
func (d *Directory) distance(from, to *Replica) topology.Distance {
	return d.regions.Between(from.Zone, to.Zone)
}

// distanceTo returns how far a replica is from the directory's own zone.
func (d *Directory) distanceTo(replica *Replica) topology.Distance {
	return d.regions.Between(d.zone, replica.Zone)
}

// stageReplicas are candidate replicas by stage.
type stageReplicas struct{ prefill, decode []*Replica }

func (s *stageReplicas) count() int { return len(s.prefill) + len(s.decode) }

// replicasByStage returns the replicas that may prefill a request's prompt, and those that may decode its
// answer. The caller must hold d.mutex.
func (d *Directory) replicasByStage(service string, request PrefillRequest, now time.Duration) stageReplicas {
	// A prompt may be prefilled by other software than that which runs the request.
	prefill := request.wanted()
	prefill.Software, prefill.BeginsStream = origin.Software{}, false
	return stageReplicas{
		prefill: d.healthyCandidates(service, prefill, ofStage(region.StagePrefill), now),
		decode:  d.healthyCandidates(service, request.wanted(), ofStage(region.StageDecode), now),
	}
}

// partitionStages splits replicas into those in a zone's region and those outside. If the region has no
// decode replica, or has no prefill replica while others do, all replicas count as inside, and the
// estimates alone account for the cost of crossing regions.
func (d *Directory) partitionStages(all stageReplicas, zone string) (inside, outside stageReplicas) {
	if !d.regions.Known() {
		return all, stageReplicas{}
	}
	inside.prefill, outside.prefill = d.partitionByRegion(all.prefill, zone)
	inside.decode, outside.decode = d.partitionByRegion(all.decode, zone)
	lacksPrefill := len(inside.prefill) == 0 && len(outside.prefill) > 0
	if lacksPrefill || len(inside.decode) == 0 {
		return all, stageReplicas{}
	}
	return inside, outside
}

// partitionByRegion splits replicas into those in a zone's region and the others.
func (d *Directory) partitionByRegion(replicas []*Replica, zone string) (inside, outside []*Replica) {
	if !d.regions.Known() {
		return replicas, nil
	}
	for _, replica := range replicas {
		if d.regions.Between(zone, replica.Zone) == topology.OtherRegion {
			outside = append(outside, replica)
		} else {
			inside = append(inside, replica)
		}
	}
	return inside, outside
}

// pathDelays are the recent additional delays of requests that cross from one region to another, compared
// with the same request inside a region: the network delay both ways, and the error of the estimates for
// the other region.
type pathDelays map[regionPath]*pathDelay

// regionPath is the direction from one region to another.
type regionPath struct{ from, to string }

type pathDelay struct {
	averageTime
	at time.Duration
}

// pathDelayDecay is the time constant with which a measured path delay decays. Without decay a path that
// was slow once would get no more requests, and so nothing would show that it has recovered.
const pathDelayDecay = 10 * time.Second

// observe records the delay of a request over a path. The caller must hold Directory.mutex.
func (p pathDelays) observe(path regionPath, now, took time.Duration) {
	known, found := p[path]
	if !found {
		known = &pathDelay{}
		p[path] = known
	}
	// Store the decayed value before adding the sample. Otherwise the next request would restore the delay
	// that has decayed, and a path that was slow once would look slow again.
	known.smoothed = p.average(path, now)
	known.averageTime.observe(took)
	known.at = now
}

// average returns the decayed delay of a path, 0 if it is unknown.
func (p pathDelays) average(path regionPath, now time.Duration) time.Duration {
	known, found := p[path]
	if !found {
		return 0
	}
	return time.Duration(float64(max(known.smoothed, 0)) * math.Exp(-(now-known.at).Seconds()/pathDelayDecay.Seconds()))
}

// regionPathBetween returns the path between the regions of two zones. The second result reports whether
// the regions differ.
func (d *Directory) regionPathBetween(from, to string) (regionPath, bool) {
	if d.regions.Between(from, to) != topology.OtherRegion {
		return regionPath{}, false
	}
	return regionPath{from: d.regions.RegionOf(from), to: d.regions.RegionOf(to)}, true
}

// crossRegionDelay returns the additional time that a request from a zone takes at a replica in another
// region. A request whose prompt is prefilled on a prefill replica crosses twice. The caller must hold
// d.mutex.
func (d *Directory) crossRegionDelay(zone string, replica *Replica, now time.Duration) time.Duration {
	path, crosses := d.regionPathBetween(zone, replica.Zone)
	if !crosses {
		return 0
	}
	once := d.pathDelays.average(path, now)
	if replica.Stage == region.StagePrefill {
		return 2 * once
	}
	return once
}

const (
	// crossZoneTransferFactor and crossRegionTransferFactor are how many times longer a KV cache transfer
	// takes to another zone, and to another region, than the engine's own link needs, because the network
	// in between is shared. If a transfer is estimated too short, the caller waits for it.
	crossZoneTransferFactor   = 2
	crossRegionTransferFactor = 10
)

// transferFactor returns how many times longer a KV cache transfer takes between two zones than within one.
func (d *Directory) transferFactor(from, to string) float64 {
	switch d.regions.Between(from, to) {
	case topology.SameZone:
		return 1
	case topology.SameRegion:
		return crossZoneTransferFactor
	default:
		return crossRegionTransferFactor
	}
}

// crossRegionChoice describes a choice between replicas inside and outside a region, and what it was based
// on.
type crossRegionChoice struct {
	service         string
	reason          crossing.Reason
	from            string
	lease           *Lease
	inside, outside crossing.Offer
	// localReplicas is the number of candidates inside the region.
	localReplicas int
}

// crossRegionLog limits the rate of log lines on choices of replicas in other regions, and counts the lines that it
// omits.
type crossRegionLog struct {
	second  time.Duration
	lines   int
	omitted int
}

// crossRegionLinesPerSecond bounds the log lines. Ten a second are enough to identify a cause, whatever the
// load.
const crossRegionLinesPerSecond = 10

// allows reports whether a line may be logged now.
func (l *crossRegionLog) allows(now time.Duration) bool {
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	if l.lines > crossRegionLinesPerSecond {
		l.omitted++
		return false
	}
	return true
}

// logCrossRegion logs a choice if its replica is in another region. The caller must hold d.mutex.
func (d *Directory) logCrossRegion(decision crossRegionChoice, now time.Duration) {
	replica := decision.lease.Replica
	// Without a replica for a stage in the region, all replicas counted as inside (partitionStages).
	if decision.reason == crossing.Local && d.regions.Between(decision.from, replica.Zone) == topology.OtherRegion {
		decision.reason, decision.outside = crossing.NoReplicaForStage, decision.inside
		decision.inside = crossing.Offer{Outcome: crossing.NoReplica}
	}
	if decision.reason == crossing.Local || !d.crossRegionLog.allows(now) {
		return
	}
	d.logger.Info(event.RegionLeft, "service", decision.service, "stage", replica.Stage, "replica", replica.ID,
		"from", d.regions.RegionOf(decision.from), "to", d.regions.RegionOf(replica.Zone), "reason", string(decision.reason),
		"replicas_inside", decision.localReplicas, "inside", decision.inside.Outcome.String(), "inside_ms", decision.inside.ServiceTime.Milliseconds(),
		"outside", decision.outside.Outcome.String(), "outside_ms", decision.outside.ServiceTime.Milliseconds(), "omitted", d.crossRegionLog.omitted)
	d.crossRegionLog.omitted = 0
}
