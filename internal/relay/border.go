package relay

import (
	"math"
	"time"

	"github.com/pierhaven/pierhaven/internal/crossing"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// KnowPlaces tells the directory the regions of the zones. It is called before any use; without
// it all zones are one region.
func (d *Directory) KnowPlaces(places topology.Map) { d.places = places }

// distance is how far two replicas are from each other.
func (d *Directory) distance(from, to *Replica) topology.Distance {
	return d.places.Between(from.Zone, to.Zone)
}

// distanceTo is how far a replica is from the directory's own zone.
func (d *Directory) distanceTo(replica *Replica) topology.Distance {
	return d.places.Between(d.zone, replica.Zone)
}

// side are the replicas on one side of a region's border.
type side struct{ readers, generators []*Replica }

func (s *side) count() int { return len(s.readers) + len(s.generators) }

// stages are the replicas that may read a request's prompt, or generate for it. It is called
// with the mutex held.
func (d *Directory) stages(service string, request ReadRequest, now time.Duration) side {
	return side{
		readers:    d.soundCandidates(service, request.wanted(), ofStage(region.StagePrefill), now),
		generators: d.soundCandidates(service, request.wanted(), ofStage(region.StageDecode), now),
	}
}

// divide splits replicas at the border of a zone's region. A region that lacks a stage which
// others have is none of its own: all replicas are inside then, each at what it costs to get
// there.
func (d *Directory) divide(all side, zone string) (inside, outside side) {
	if !d.places.Known() {
		return all, side{}
	}
	inside.readers, outside.readers = d.split(all.readers, zone)
	inside.generators, outside.generators = d.split(all.generators, zone)
	lacksReaders := len(inside.readers) == 0 && len(outside.readers) > 0
	if lacksReaders || len(inside.generators) == 0 {
		return all, side{}
	}
	return inside, outside
}

// split splits replicas into those of a zone's region and the others.
func (d *Directory) split(replicas []*Replica, zone string) (inside, outside []*Replica) {
	if !d.places.Known() {
		return replicas, nil
	}
	for _, replica := range replicas {
		if d.places.Between(zone, replica.Zone) == topology.OtherRegion {
			outside = append(outside, replica)
		} else {
			inside = append(inside, replica)
		}
	}
	return inside, outside
}

// wayTimes are what it took of late to ask replicas of another region, beyond what the same
// request takes inside: the ways there and back, and how far the estimates are off there.
type wayTimes map[way]*wayTime

// way leads from one region to another.
type way struct{ from, to string }

type wayTime struct {
	timeMeter
	at time.Duration
}

// wayMemory is the time constant with which what was learned of a way fades. A way that has become
// slow gets no requests that would show that it no longer is.
const wayMemory = 10 * time.Second

// observe is called with the mutex held.
func (w wayTimes) observe(on way, now, took time.Duration) {
	known, found := w[on]
	if !found {
		known = &wayTime{}
		w[on] = known
	}
	// What has faded must not come back with the next request: a way that was slow once would look
	// slow again.
	known.smoothed = w.typical(on, now)
	known.timeMeter.observe(took)
	known.at = now
}

// typical returns the time of a way, 0 while it is not known.
func (w wayTimes) typical(on way, now time.Duration) time.Duration {
	known, found := w[on]
	if !found {
		return 0
	}
	return time.Duration(float64(max(known.smoothed, 0)) * math.Exp(-(now-known.at).Seconds()/wayMemory.Seconds()))
}

// wayBetween returns the way between two zones, and whether they are of different regions.
func (d *Directory) wayBetween(from, to string) (way, bool) {
	if d.places.Between(from, to) != topology.OtherRegion {
		return way{}, false
	}
	return way{from: d.places.RegionOf(from), to: d.places.RegionOf(to)}, true
}

// crossingTime is what a request of a zone takes longer at a replica of another region. A prompt
// that is read apart goes there twice. It is called with the mutex held.
func (d *Directory) crossingTime(zone string, replica *Replica, now time.Duration) time.Duration {
	on, crosses := d.wayBetween(zone, replica.Zone)
	if !crosses {
		return 0
	}
	once := d.ways.typical(on, now)
	if replica.Stage == region.StagePrefill {
		return 2 * once
	}
	return once
}

const (
	// zoneMove and regionMove are the factors by which the memory of prompts takes longer to get
	// to another zone, and to another region, than its engine's link alone would take: what lies
	// between is shared. A handover that is reckoned too short makes its caller wait.
	zoneMove   = 2
	regionMove = 10
)

// moveFactor is the factor by which the memory of a prompt takes longer between two zones than in
// one.
func (d *Directory) moveFactor(from, to string) float64 {
	switch d.places.Between(from, to) {
	case topology.SameZone:
		return 1
	case topology.SameRegion:
		return zoneMove
	default:
		return regionMove
	}
}

// departure is a choice that leaves a region, with what it was made on.
type departure struct {
	service         string
	reason          crossing.Reason
	from            string
	lease           *Lease
	inside, outside crossing.Offer
	// places are the replicas inside.
	places int
}

// departureLog bounds the lines on choices that leave a region.
type departureLog struct {
	second  time.Duration
	lines   int
	omitted int
}

// maximumDepartures is the number of lines a second: enough to see a cause by, whatever the
// load.
const maximumDepartures = 10

// allows reports whether a line may be written now.
func (l *departureLog) allows(now time.Duration) bool {
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	if l.lines > maximumDepartures {
		l.omitted++
		return false
	}
	return true
}

// noteDeparture writes a line on a choice that leaves its region. It is called with the mutex held.
func (d *Directory) noteDeparture(left departure, now time.Duration) {
	replica := left.lease.Replica
	if left.reason == crossing.Stays && d.places.Between(left.from, replica.Zone) == topology.OtherRegion {
		left.reason, left.outside = crossing.NoStage, left.inside
		left.inside = crossing.Offer{Outcome: crossing.Nowhere}
	}
	if left.reason == crossing.Stays || !d.departures.allows(now) {
		return
	}
	d.logger.Info(event.RegionLeft, "service", left.service, "stage", replica.Stage, "replica", replica.ID,
		"from", d.places.RegionOf(left.from), "to", d.places.RegionOf(replica.Zone), "reason", string(left.reason),
		"replicas_inside", left.places, "inside", left.inside.Outcome.String(), "inside_ms", left.inside.Takes.Milliseconds(),
		"outside", left.outside.Outcome.String(), "outside_ms", left.outside.Takes.Milliseconds(), "omitted", d.departures.omitted)
	d.departures.omitted = 0
}
