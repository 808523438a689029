package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// Demand tells what this gateway sees of each service with model replicas, by region. Answers
// count where they are generated; prompts, and answers to come, in the gateway's own region. What
// this gateway can't reach in another region is not told: the link may be the cause.
func (d *Directory) Demand(places topology.Map) []region.ServiceDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	var demand []region.ServiceDemand
	for service, replicas := range d.services {
		own := region.ServiceDemand{Service: service, Region: places.Group(d.zone), Gateways: 1}
		d.readDemand(&own, now)
		generating := map[string]float64{}
		staged := false
		for _, replica := range replicas {
			if replica.Stage == "" {
				continue
			}
			staged = true
			where := places.Group(replica.Zone)
			generating[where] += float64(replica.generating)
			if where == own.Region && (replica.unconnected && now < replica.avoidUntil || d.refusesAll(replica, now)) {
				own.Unreachable = append(own.Unreachable, replica.name)
			}
			if where == own.Region && replica.refusals.inRow > 1 && replica.refuses(now) {
				own.Refusing = append(own.Refusing, replica.name)
			}
		}
		if !staged {
			demand = append(demand, running(service, replicas, places)...)
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

// running tells of the requests at replicas that are not model engines, by region.
func running(service string, replicas []*Replica, places topology.Map) []region.ServiceDemand {
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

// readTimes are those of a prompt that a replica is to read, or would have to.
type readTimes struct {
	// busy is for how long it is read, whole for how long if the replica kept nothing of it;
	// less than busy if that is not known.
	busy, whole time.Duration
	// slack is how long it may wait and still meet its objective, delayed says that it is late
	// since it has to wait longer.
	slack   time.Duration
	delayed bool
}

// times are those of a prompt that the replica would read for a time if it kept nothing of it.
func (e *readEstimate) times(request ReadRequest, whole time.Duration) readTimes {
	aim := time.Duration(inTimeShare * float64(request.AimLeft))
	return readTimes{
		busy:    e.busy / slowness(e.replica),
		whole:   whole / slowness(e.replica),
		slack:   request.Objective - e.busy,
		delayed: e.total() > aim && e.total()-e.wait <= aim,
	}
}

// refusedTimes are those of a prompt that was refused, since no replica could begin it soon.
func refusedTimes(request ReadRequest, busy time.Duration) readTimes {
	return readTimes{busy: busy, slack: request.Objective - busy, delayed: busy <= request.AimLeft}
}

// readMeter smooths what the reading of prompts demands.
type readMeter struct {
	// Sums over prompts, which fade: of one for each, and of seconds.
	prompts, busy, kept, slack float64
	// squares is the sum of the squares of busy times, delayed of one for each that is delayed.
	squares, delayed float64
	at               time.Duration
}

// readMemory is the time constant of a readMeter.
const readMemory = 2 * time.Second

func (m *readMeter) add(now time.Duration, read readTimes) {
	m.fade(now)
	busy := read.busy.Seconds()
	m.prompts++
	m.busy += busy
	m.kept += max(read.whole-read.busy, 0).Seconds()
	m.slack += max(read.slack, 0).Seconds()
	m.squares += busy * busy
	if read.delayed {
		m.delayed++
	}
}

func (m *readMeter) fade(now time.Duration) {
	kept := max(0, 1-(now-m.at).Seconds()/readMemory.Seconds())
	for _, sum := range []*float64{&m.prompts, &m.busy, &m.kept, &m.slack, &m.squares, &m.delayed} {
		*sum *= kept
	}
	m.at = now
}

// readDemand adds what the prompts to be read demand. It is called with the mutex held.
func (d *Directory) readDemand(demand *region.ServiceDemand, now time.Duration) {
	meter, found := d.reads[demand.Service]
	if !found {
		return
	}
	meter.fade(now)
	perSecond := 1 / readMemory.Seconds()
	demand.Prompts = meter.prompts * perSecond
	demand.Reading = meter.busy * perSecond
	demand.Kept = meter.kept * perSecond
	demand.Slack = meter.slack * perSecond
	demand.Squares = meter.squares * perSecond
	demand.Delayed = meter.delayed * perSecond
}

// noteRead is called with the mutex held.
func (d *Directory) noteRead(service string, read readTimes) {
	meter, found := d.reads[service]
	if !found {
		meter = &readMeter{}
		d.reads[service] = meter
	}
	meter.add(d.clock(), read)
}
