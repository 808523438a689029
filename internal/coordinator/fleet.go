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

// ErrNoMoreReplicas means that the platform has no further replicas of a kind in a zone.
var ErrNoMoreReplicas = errors.New("no further replicas are to be had")

const fleetInterval = 250 * time.Millisecond

// fleetScaler orders replicas at the leader.
type fleetScaler struct {
	dutyHolder
	planners map[string]*fleetplan.Planner
	// version is the version of the configuration that scaling was read from.
	version uint64
	scaling map[string]traffic.Scaling
}

// scaleFleet plans how many replicas each service with scaling bounds needs, and sends the orders for
// them to the platform, while this coordinator leads and the previous leader's lease has expired. It
// does nothing without a platform or if fleet orders are disabled.
func (c *Coordinator) scaleFleet(ctx context.Context) {
	if c.settings.Platform == nil || !c.settings.EnableFleetOrders {
		return
	}
	scaler := &fleetScaler{dutyHolder: dutyHolder{Coordinator: c, duty: dutyFleet}, scaling: map[string]traffic.Scaling{}}
	for lifecycle.Sleep(ctx, fleetInterval) {
		begun, leads := scaler.leads(ctx)
		if !leads {
			continue
		}
		if begun {
			scaler.planners = map[string]*fleetplan.Planner{}
		}
		if scaler.mayCall() {
			scaler.step(ctx)
		}
	}
}

// step plans each service with scaling bounds, and sends the orders that are due.
func (s *fleetScaler) step(ctx context.Context) {
	state, _ := s.machine.read()
	if state.Version > s.version {
		s.readScaling(state)
	}
	for _, service := range slices.Sorted(maps.Keys(s.scaling)) {
		input := fleetInput(state, service, s.scaling[service])
		demand := s.demandFor(s.now(), service)
		input.Load = loadOf(demand, slotsOf(state, service))
		planner, known := s.planners[service]
		if !known {
			planner = fleetplan.New(baseOf(state, service))
			s.planners[service] = planner
		}
		for _, order := range planner.Step(s.now(), input) {
			s.order(ctx, service, planner, order)
		}
		s.explanations.note(service, planner.Explanation())
	}
}

// readScaling reads the services' scaling bounds from the configuration.
func (s *fleetScaler) readScaling(state region.State) {
	s.version = state.Version
	configuration, err := decodeConfiguration(s.settings.Codec, state.Document)
	if err != nil {
		s.logger.Info(event.ConfigurationRefused, "version", state.Version, "reason", err.Error())
		return
	}
	s.scaling = map[string]traffic.Scaling{}
	for _, service := range configuration.Services {
		scaling := service.Scaling
		if scaling == nil {
			continue
		}
		if scaling.Minimum < 0 || scaling.Maximum < max(scaling.Minimum, 1) {
			s.logger.Info(event.FleetTermsIgnored, "service", service.Name, "minimum", scaling.Minimum, "maximum", scaling.Maximum)
			continue
		}
		s.scaling[service.Name] = *scaling
	}
}

// baseOf returns the number of a service's replicas before the first order, 0 if none was ordered
// or the number was not known then.
func baseOf(state region.State, service string) int {
	for _, order := range state.Fleet {
		if order.Service == service && order.Base > 0 {
			return order.Base
		}
	}
	return 0
}

// fleetInput describes a service to the planner, without its load.
func fleetInput(state region.State, service string, scaling traffic.Scaling) fleetplan.Input {
	input := fleetplan.Input{
		Minimum:          scaling.Minimum,
		Maximum:          scaling.Maximum,
		BootTime:         scaling.BootTime,
		PreemptiblePrice: scaling.PreemptiblePrice,
	}
	zones := map[string]*fleetplan.Zone{}
	zoneOf := func(name string) *fleetplan.Zone {
		zone, known := zones[name]
		if !known {
			zone = &fleetplan.Zone{Name: name, Price: scaling.ZonePrices[name]}
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
		if replica.IsLeaving() {
			zone.Leaving[kindOf(replica.Preemptible)]++
		} else {
			zone.Serving[kindOf(replica.Preemptible)]++
			if replica.Stage == region.StagePrefill {
				input.PrefillReplicas++
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

// slotsOf returns the greatest number of slots of a service's replicas, at least 1.
func slotsOf(state region.State, service string) int {
	slots := 1
	for _, listed := range state.Replicas {
		if listed.Replica.Service == service {
			slots = max(slots, listed.Replica.Slots)
		}
	}
	return slots
}

// loadOf converts the reported demand for a service to the planner's load.
func loadOf(demand region.ServiceDemand, slots int) fleetplan.Load {
	load := fleetplan.Load{
		Reported:     demand.Gateways > 0,
		Busy:         demand.Reading + demand.Generating/float64(slots),
		CacheSavings: demand.Kept,
		Prompts:      demand.Prompts,
		Delayed:      demand.Delayed,
	}
	if demand.Prompts > 0 && demand.Reading > 0 {
		load.Slack = seconds(demand.Slack / demand.Prompts)
		// Half the mean square of the prefill times, divided by their mean, is the mean remaining time of a
		// prefill in progress.
		load.ResidualPrefill = seconds(demand.Squares / demand.Reading / 2)
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

// order commits an order and sends it to the platform.
func (s *fleetScaler) order(ctx context.Context, service string, planner *fleetplan.Planner, planned fleetplan.Order) {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	order := region.FleetOrder{
		Service:     service,
		Zone:        planned.Zone,
		Preemptible: planned.Kind == fleetplan.Preemptible,
		Count:       planned.Count,
		Base:        planner.Base(),
	}
	fence, err := s.commitCall(bounded, &region.Command{Fleet: &order})
	if err == nil {
		err = s.settings.Platform.OrderFleet(bounded, DutyCall{Holder: s.settings.Name, Fence: fence}, order)
	}
	explanation := planner.Explanation()
	s.logger.Info(event.FleetOrdered, "service", service, "zone", order.Zone, "preemptible", order.Preemptible, "count", order.Count,
		"reason", planned.Reason, "learned", explanation.Learned, "wanted", explanation.Wanted, "enough", explanation.Sufficient, "busy", explanation.Load.Busy,
		"kept", explanation.Load.CacheSavings, "readers", explanation.PrefillReplicas, "prompts", explanation.Load.Prompts, "delayed", explanation.Load.Delayed, "trust", explanation.DelayRatio, "slack_ms", explanation.Load.Slack.Milliseconds(),
		"reading_ms", explanation.Load.ResidualPrefill.Milliseconds(), "late", explanation.Late, "next_worth", explanation.NextWorth, "next_price", explanation.NextPrice,
		"fence", fence, "term", s.term, "error", failure.Text(err))
	switch {
	case err == nil:
		planner.OrderAccepted(s.now(), planned)
	case errors.Is(err, ErrNoMoreReplicas):
		planner.OrderRefused(s.now(), planned)
	default:
		planner.OrderUnanswered(planned)
	}
}
