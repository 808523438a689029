package coordinator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/fleetplan"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// ErrNoneToBeHad says that the platform has no further replicas of a kind in a zone.
var ErrNoneToBeHad = errors.New("no further replicas are to be had")

const fleetInterval = 250 * time.Millisecond

// fleetKeeper is the leader's work on the number of replicas.
type fleetKeeper struct {
	dutyHolder
	planners map[string]*fleetplan.Planner
	// version is that of the configuration which terms were read from.
	version uint64
	terms   map[string]traffic.Scaling
}

// keepFleet orders as many replicas as are wanted, at the leader.
func (c *Coordinator) keepFleet(ctx context.Context) {
	if c.settings.Platform == nil || !c.settings.OrderFleet {
		return
	}
	keeper := &fleetKeeper{dutyHolder: dutyHolder{Coordinator: c, duty: dutyFleet}, terms: map[string]traffic.Scaling{}}
	for lifecycle.Sleep(ctx, fleetInterval) {
		begun, leads := keeper.leads(ctx)
		if !leads {
			continue
		}
		if begun {
			keeper.planners = map[string]*fleetplan.Planner{}
		}
		if keeper.mayCall() {
			keeper.step(ctx)
		}
	}
}

// step makes the orders that are due.
func (k *fleetKeeper) step(ctx context.Context) {
	state, _ := k.machine.read()
	if state.Version > k.version {
		k.readTerms(state)
	}
	for _, service := range slices.Sorted(maps.Keys(k.terms)) {
		input := fleetInput(state, service, k.terms[service])
		demand := k.demandFor(k.now(), service)
		input.Load = loadOf(demand, slotsOf(state, service))
		planner, known := k.planners[service]
		if !known {
			planner = fleetplan.New(fleetBase(state, service))
			k.planners[service] = planner
		}
		for _, order := range planner.Step(k.now(), input) {
			k.order(ctx, service, planner, order)
		}
		k.outlooks.note(service, planner.Outlook())
	}
}

// readTerms takes over what the configuration says of the numbers of replicas.
func (k *fleetKeeper) readTerms(state region.State) {
	k.version = state.Version
	configuration, err := readConfiguration(k.settings.Codec, state.Document)
	if err != nil {
		k.logger.Info(event.ConfigurationRefused, "version", state.Version, "reason", err.Error())
		return
	}
	k.terms = map[string]traffic.Scaling{}
	for _, service := range configuration.Services {
		terms := service.Scaling
		if terms == nil {
			continue
		}
		if terms.Minimum < 0 || terms.Maximum < max(terms.Minimum, 1) {
			k.logger.Info(event.FleetTermsIgnored, "service", service.Name, "minimum", terms.Minimum, "maximum", terms.Maximum)
			continue
		}
		k.terms[service.Name] = *terms
	}
}

// fleetBase is the number of replicas that there were before any was ordered, 0 if none has been
// or it was not known then.
func fleetBase(state region.State, service string) int {
	for _, order := range state.Fleet {
		if order.Service == service && order.Base > 0 {
			return order.Base
		}
	}
	return 0
}

// fleetInput is what the planner is told of a service.
func fleetInput(state region.State, service string, terms traffic.Scaling) fleetplan.Input {
	input := fleetplan.Input{
		Minimum:          terms.Minimum,
		Maximum:          terms.Maximum,
		BootTime:         terms.BootTime,
		PreemptiblePrice: terms.PreemptiblePrice,
	}
	zones := map[string]*fleetplan.Zone{}
	zoneOf := func(name string) *fleetplan.Zone {
		zone, known := zones[name]
		if !known {
			zone = &fleetplan.Zone{Name: name, Price: terms.ZonePrices[name]}
			zone.Ordered[fleetplan.Stable], zone.Ordered[fleetplan.Preemptible] = -1, -1
			zones[name] = zone
		}
		return zone
	}
	for _, listed := range state.Replicas {
		replica := listed.Replica
		if replica.Service != service {
			continue
		}
		zone := zoneOf(replica.Zone)
		if replica.Leaves() {
			zone.Leaving[kindOf(replica.Preemptible)]++
		} else {
			zone.Serving[kindOf(replica.Preemptible)]++
			if replica.Stage == region.StagePrefill {
				input.Readers++
			}
		}
	}
	for _, order := range state.Fleet {
		if order.Service == service {
			zoneOf(order.Zone).Ordered[kindOf(order.Preemptible)] = order.Count
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		input.Zones = append(input.Zones, *zones[name])
	}
	return input
}

// slotsOf is the number of requests that a replica of a service generates for at once.
func slotsOf(state region.State, service string) int {
	slots := 1
	for _, listed := range state.Replicas {
		if listed.Replica.Service == service {
			slots = max(slots, listed.Replica.Slots)
		}
	}
	return slots
}

// loadOf is what a service's replicas have to do.
func loadOf(demand region.ServiceDemand, slots int) fleetplan.Load {
	load := fleetplan.Load{
		Told:    demand.Gateways > 0,
		Busy:    demand.Reading + demand.Generating/float64(slots),
		Kept:    demand.Kept,
		Prompts: demand.Prompts,
		Delayed: demand.Delayed,
	}
	if demand.Prompts > 0 && demand.Reading > 0 {
		load.Slack = seconds(demand.Slack / demand.Prompts)
		load.Reading = seconds(demand.Squares / demand.Reading / 2)
	}
	return load
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

func kindOf(preemptible bool) fleetplan.Kind {
	if preemptible {
		return fleetplan.Preemptible
	}
	return fleetplan.Stable
}

// order commits a number and orders it.
func (k *fleetKeeper) order(ctx context.Context, service string, planner *fleetplan.Planner, planned fleetplan.Order) {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	order := region.FleetOrder{
		Service:     service,
		Zone:        planned.Zone,
		Preemptible: planned.Kind == fleetplan.Preemptible,
		Count:       planned.Count,
		Base:        planner.Base(),
	}
	fence, err := k.commitCall(bounded, &region.Command{Fleet: &order})
	if err == nil {
		err = k.settings.Platform.OrderFleet(bounded, DutyCall{Holder: k.settings.Name, Fence: fence}, order)
	}
	why := planner.Outlook()
	k.logger.Info(event.FleetOrdered, "service", service, "zone", order.Zone, "preemptible", order.Preemptible, "count", order.Count,
		"reason", planned.Reason, "learned", why.Learned, "wanted", why.Wanted, "enough", why.Enough, "busy", why.Load.Busy,
		"kept", why.Load.Kept, "readers", why.Readers, "prompts", why.Load.Prompts, "delayed", why.Load.Delayed, "trust", why.Trust, "slack_ms", why.Load.Slack.Milliseconds(),
		"reading_ms", why.Load.Reading.Milliseconds(), "late", why.Late, "next_worth", why.NextWorth, "next_price", why.NextPrice,
		"fence", fence, "term", k.term, "error", failure.Text(err))
	switch {
	case err == nil:
		planner.Ordered(k.now(), planned)
	case errors.Is(err, ErrNoneToBeHad):
		planner.Refused(k.now(), planned)
	default:
		planner.Lost(planned)
	}
}
