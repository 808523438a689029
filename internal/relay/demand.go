package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// Demand returns the demand that this gateway observes for each service, by region. Answers of model replicas
// count in the region where they are generated; prompts, and expected answers, in the gateway's own region.
// Replicas for which rejectsAll is true are reported as unreachable, too. Unreachable and refusing replicas of
// other regions are not reported: the link may be the cause.
func (d *Directory) Demand(places topology.Map) []region.ServiceDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	var demand []region.ServiceDemand
	for service, replicas := range d.services {
		own := region.ServiceDemand{Service: service, Region: places.Group(d.zone), Gateways: 1}
		d.addReadDemand(&own, now)
		generating := map[string]float64{}
		staged := false
		for _, replica := range replicas {
			if replica.Stage == "" {
				continue
			}
			staged = true
			where := places.Group(replica.Zone)
			generating[where] += float64(replica.generating)
			if where == own.Region && (replica.isUnconnected(now) && d.reportable(replica) || d.rejectsAll(replica, now)) {
				own.Unreachable = append(own.Unreachable, replica.name)
			}
			if where == own.Region && replica.rejections.consecutive > 1 && replica.refuses(now) {
				own.Refusing = append(own.Refusing, replica.name)
			}
		}
		if !staged {
			demand = append(demand, runningDemand(service, replicas, places)...)
			continue
		}
		own.Generating = generating[own.Region]
		own.Expected = d.streams[service].forecast(now, d.engines[service].SwitchTime)
		demand = append(demand, own)
		delete(generating, own.Region)
		for where, count := range generating {
			if count > 0 {
				demand = append(demand, region.ServiceDemand{Service: service, Region: where, Generating: count})
			}
		}
	}
	return demand
}

// runningDemand returns the requests in flight at replicas that are not model engines, by region.
func runningDemand(service string, replicas []*Replica, places topology.Map) []region.ServiceDemand {
	requests := map[string]int{}
	for _, replica := range replicas {
		if replica.inFlight > 0 {
			requests[places.Group(replica.Zone)] += replica.inFlight
		}
	}
	var demand []region.ServiceDemand
	for where, count := range requests {
		demand = append(demand, region.ServiceDemand{Service: service, Region: where, Running: float64(count)})
	}
	return demand
}

// prefillTimes are the times of a prompt that a replica is to prefill, or would have to prefill.
type prefillTimes struct {
	// busy is the prefill time, and whole what it would be if the replica had cached nothing of the prompt;
	// whole is less than busy if it is not known.
	busy, whole time.Duration
	// slack is how long the prompt may wait and still meet its objective; delayed is set if it is late
	// only because it has to wait.
	slack   time.Duration
	delayed bool
}

// times returns the times of a prompt; whole is its prefill time if the replica had cached nothing of it.
func (e *prefillEstimate) times(request PrefillRequest, whole time.Duration) prefillTimes {
	limit := time.Duration(inTimeShare * float64(request.ObjectiveLeft))
	return prefillTimes{
		busy:    e.busy / prefillSlowdown(e.replica),
		whole:   whole / prefillSlowdown(e.replica),
		slack:   request.Objective - e.busy,
		delayed: e.total() > limit && e.total()-e.wait <= limit,
	}
}

// rejectedTimes returns the times of a prompt that was rejected because no replica could begin it soon enough.
func rejectedTimes(request PrefillRequest, busy time.Duration) prefillTimes {
	return prefillTimes{busy: busy, slack: request.Objective - busy, delayed: busy <= request.ObjectiveLeft}
}

// prefillMeter smooths the demand for prefills.
type prefillMeter struct {
	// Decaying sums over prompts: their number, and times in seconds. saved is the prefill time that cached
	// prefixes save.
	prompts, busy, saved, slack float64
	// squares is the sum of the squares of the busy times, delayed the number of delayed prompts.
	squares, delayed float64
	at               time.Duration
}

// readTimeConstant is the time constant with which a prefillMeter decays.
const readTimeConstant = 2 * time.Second

func (m *prefillMeter) add(now time.Duration, read prefillTimes) {
	m.decay(now)
	busy := read.busy.Seconds()
	m.prompts++
	m.busy += busy
	m.saved += max(read.whole-read.busy, 0).Seconds()
	m.slack += max(read.slack, 0).Seconds()
	m.squares += busy * busy
	if read.delayed {
		m.delayed++
	}
}

func (m *prefillMeter) decay(now time.Duration) {
	left := max(0, 1-(now-m.at).Seconds()/readTimeConstant.Seconds())
	for _, sum := range []*float64{&m.prompts, &m.busy, &m.saved, &m.slack, &m.squares, &m.delayed} {
		*sum *= left
	}
	m.at = now
}

// addReadDemand fills in the demand for prefills. The caller must hold d.mutex.
func (d *Directory) addReadDemand(demand *region.ServiceDemand, now time.Duration) {
	meter, found := d.prefillDemand[demand.Service]
	if !found {
		return
	}
	meter.decay(now)
	perSecond := 1 / readTimeConstant.Seconds()
	demand.Prompts = meter.prompts * perSecond
	demand.Reading = meter.busy * perSecond
	demand.Kept = meter.saved * perSecond
	demand.Slack = meter.slack * perSecond
	demand.Squares = meter.squares * perSecond
	demand.Delayed = meter.delayed * perSecond
}

// notePrefill adds a prompt to the service's demand for prefills. The caller must hold d.mutex.
func (d *Directory) notePrefill(service string, read prefillTimes) {
	meter, found := d.prefillDemand[service]
	if !found {
		meter = &prefillMeter{}
		d.prefillDemand[service] = meter
	}
	meter.add(d.clock(), read)
}
