package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pierhaven/pierhaven/bench/faultproxy"
	"github.com/pierhaven/pierhaven/bench/fleet"
	"github.com/pierhaven/pierhaven/bench/scale/hollow"
	"github.com/pierhaven/pierhaven/bench/truth"
)

const (
	// holdTime is the duration of a loss, and healTime the time for which the recovery is observed.
	holdTime = 15 * time.Second
	healTime = 20 * time.Second
	// probePause is the interval between changes during a loss. It is the resolution of recovery times.
	probePause = 250 * time.Millisecond
)

// loss is a failure that is injected and then repaired.
type loss struct {
	event string
	take  func(context.Context) error
	give  func(context.Context) error
	// others must keep working during the loss, and all must work after its end.
	others []string
}

// lose injects the run's loss and measures the recovery.
func (s *stage) lose(ctx context.Context) ([]Loss, error) {
	chosen, err := s.chooseLoss(ctx)
	if err != nil {
		return nil, err
	}
	probing, stop := context.WithCancel(ctx)
	defer stop()
	first, _ := s.operator.counts()
	probes := make(chan error, 1)
	go func() { probes <- s.operator.changeUntil(probing, probePause) }()

	taken, during, err := s.event(ctx, chosen.event+" lost", chosen.take, holdTime)
	if err != nil {
		return nil, err
	}
	given, after, err := s.event(ctx, chosen.event+" back", chosen.give, healTime)
	if err != nil {
		return nil, err
	}
	stop()
	if err := <-probes; err != nil {
		return nil, err
	}
	if !sleep(ctx, drainTime) {
		return nil, ctx.Err()
	}
	line, err := s.timeline()
	if err != nil {
		return nil, err
	}
	changes := s.operator.accepted(first)
	all := s.gatewayIDs(anyZone)
	return []Loss{
		measured(line, chosen.event+" lost", taken, changesBefore(changes, given), chosen.others, during),
		measured(line, chosen.event+" back", given, changes, all, after),
	}, nil
}

// event performs an action, waits, and returns the number of nodes without a lease afterwards.
func (s *stage) event(ctx context.Context, name string, act func(context.Context) error, wait time.Duration) (at time.Duration, note string, err error) {
	if err := s.truth.Write(truth.FaultInjected{Fault: name, Target: name}); err != nil {
		return 0, "", merry.Wrap(err)
	}
	at = truth.Now()
	if err := act(ctx); err != nil {
		return 0, "", merry.Prepend(err, name)
	}
	if !sleep(ctx, wait) {
		return 0, "", ctx.Err()
	}
	without, up, err := s.withoutLease(ctx)
	return at, fmt.Sprintf("%d of %d running nodes without a lease %.0f s later", without, up, wait.Seconds()), err
}

// changesBefore returns the changes that were submitted before a time.
func changesBefore(changes []Change, end time.Duration) []Change {
	for index, change := range changes {
		if change.Submitted >= end {
			return changes[:index]
		}
	}
	return changes
}

func measured(line timeline, event string, at time.Duration, changes []Change, nodes []string, note string) Loss {
	took, known := line.recovery(at, changes, nodes)
	return Loss{
		Event: event, Measure: fmt.Sprintf("until a new change was in force on %d nodes", len(nodes)),
		Time: took, Known: known, Note: note,
	}
}

func (s *stage) chooseLoss(ctx context.Context) (*loss, error) {
	leading, err := s.leaders(ctx)
	if err != nil {
		return nil, err
	}
	configLeader := s.fleet.Find(leading.config)
	if configLeader == nil {
		return nil, merry.New("the config group has no leader")
	}
	switch s.settings.Fault {
	case FaultController:
		return s.processLoss("controller "+configLeader.Name+", leader of the config group",
			[]*fleet.Process{configLeader}, s.gatewayIDs(anyZone)), nil
	case FaultZone:
		zone := s.zoneIndex(configLeader.Zone)
		others := s.gatewayIDs(func(other int) bool { return other != zone })
		return s.processLoss("control machines of "+configLeader.Zone, s.controllersOf(zone), others), nil
	case FaultRack:
		return s.rackLoss(), nil
	case FaultRegionLink:
		return s.regionLoss(), nil
	}
	return nil, merry.Errorf("unknown fault %q", s.settings.Fault)
}

func (s *stage) zoneIndex(name string) int {
	for index, zone := range s.zones {
		if zone.name == name {
			return index
		}
	}
	return -1
}

func (s *stage) processLoss(event string, processes []*fleet.Process, others []string) *loss {
	each := func(act func(*fleet.Process) error) func(context.Context) error {
		return func(context.Context) error {
			for _, process := range processes {
				if err := act(process); err != nil {
					return err
				}
			}
			return nil
		}
	}
	return &loss{event: event, take: each((*fleet.Process).Kill), give: each((*fleet.Process).Start), others: others}
}

// rackLoss ends as many nodes of the last zone as a rack holds.
func (s *stage) rackLoss() *loss {
	zone := s.zones[len(s.zones)-1]
	rack := zone.rack()
	lost := make(map[string]bool, len(rack.Gateways))
	for _, id := range rack.Gateways {
		lost[id] = true
	}
	var others []string
	for _, id := range s.gatewayIDs(anyZone) {
		if !lost[id] {
			others = append(others, id)
		}
	}
	tell := func(path string) func(context.Context) error {
		return func(ctx context.Context) error { return s.client.Post(ctx, zone.controlAddress, path, rack, nil) }
	}
	return &loss{
		event: fmt.Sprintf("rack of %d nodes", len(rack.Gateways)), take: tell(hollow.PathDown), give: tell(hollow.PathUp), others: others,
	}
}

// regionLoss cuts the controllers of the first region, the majority of the config group, off from the others.
func (s *stage) regionLoss() *loss {
	isFirst := func(zone int) bool { return s.settings.Size.regionOf(zone) == 0 }
	var heal []func()
	take := func(context.Context) error {
		for from := range s.zones {
			for to := range s.zones {
				if isFirst(from) != isFirst(to) {
					heal = append(heal, s.cutLink(from, to))
				}
			}
		}
		return nil
	}
	give := func(context.Context) error {
		for _, remove := range heal {
			remove()
		}
		return nil
	}
	return &loss{event: "link between the regions", take: take, give: give, others: s.gatewayIDs(isFirst)}
}

func (s *stage) cutLink(from, to int) (remove func()) {
	match := faultproxy.Match{Source: s.zones[from].name + "-*", Destination: s.zones[to].name + "-*"}
	return s.proxy.Apply(match, faultproxy.Faults{CutForward: true, CutBackward: true})
}
