package scale

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/pierhaven/pierhaven/bench/fleet"
	"github.com/pierhaven/pierhaven/bench/scale/hollow"
	"github.com/pierhaven/pierhaven/bench/truth"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/wire"
)

const (
	// settleTime is the time until sessions and polls are steady.
	settleTime = 3 * time.Second
	// drainTime is the time in which the last change of a window comes into force.
	drainTime = 5 * time.Second
	// observeTimeout bounds the query for one process's configuration.
	observeTimeout = 30 * time.Second
	// shortestPause bounds the rate of changes, which are made one after another.
	shortestPause = 50 * time.Millisecond
)

// Run performs one run. It returns an error only if the run failed; violations and missed budgets are in the report.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	if err := settings.Size.check(); err != nil {
		return nil, merry.Wrap(err)
	}
	began := time.Now()
	s, err := openStage(ctx, settings)
	if err != nil {
		return nil, err
	}
	report := &Report{
		Size: settings.Size, Fault: settings.Fault, Machine: describeMachine(),
		Started: time.Since(began).Seconds(), Proxied: s.proxy != nil,
	}
	if err := s.measure(ctx, report); err != nil {
		s.kill()
		return nil, err
	}
	if err := s.stop(); err != nil {
		return nil, merry.Prepend(err, "stop the fleet")
	}
	entries, _, err := truth.ReadFolder(s.fleet.TruthFolder())
	if err != nil {
		return nil, merry.Wrap(err)
	}
	report.takeTruth(entries)
	report.Judgements = report.judgements()
	return report, nil
}

// measure fills in the report: a steady window first, then the loss.
func (s *stage) measure(ctx context.Context, report *Report) error {
	if !sleep(ctx, settleTime) {
		return ctx.Err()
	}
	if err := s.measureSteady(ctx, report); err != nil {
		return err
	}
	if s.settings.Fault != FaultNone {
		var err error
		if report.Losses, err = s.lose(ctx); err != nil {
			return err
		}
	}
	return s.observeConfigurations(ctx)
}

// measureSteady measures a window with changes of configuration and one change
// of a role in each zone.
func (s *stage) measureSteady(ctx context.Context, report *Report) error {
	processes := append(s.workers(), s.fleet.Processes()...)
	trafficBefore, err := s.traffic(ctx)
	if err != nil {
		return err
	}
	report.OpeningBytes = float64(trafficBefore[wire.PathOpenSession].ReplyBytes) / float64(s.hollowNodes())
	before, err := takeSample(processes)
	if err != nil {
		return err
	}
	if err := s.work(ctx); err != nil {
		return err
	}
	after, err := takeSample(processes)
	if err != nil {
		return err
	}
	trafficAfter, err := s.traffic(ctx)
	if err != nil {
		return err
	}
	report.Seconds = after.at.Sub(before.at).Seconds()
	report.RunMemory = float64(after.residentBytes())
	report.Traffic = pathTraffic(trafficAfter, trafficBefore, report.Seconds, s.hollowNodes())
	if err := s.takeRates(ctx, report, before, after); err != nil {
		return err
	}
	// The last change may not be in force yet.
	if !sleep(ctx, drainTime) {
		return ctx.Err()
	}
	_, report.Problems = s.operator.counts()
	line, err := s.timeline()
	report.Changes = line.summarize(s.operator.accepted(0), s.gatewayIDs(anyZone))
	return err
}

// work makes the changes of the window.
func (s *stage) work(ctx context.Context) error {
	window, cancel := context.WithTimeout(ctx, s.settings.Duration)
	defer cancel()
	group, window := errgroup.WithContext(window)
	if rate := s.settings.Size.ChangesPerMinute; rate > 0 {
		pause := max(shortestPause, time.Duration(float64(time.Minute)/rate))
		group.Go(func() error { return s.operator.changeUntil(window, pause) })
	}
	for index, zone := range s.fleet.Layout().Zones {
		engine := zone.Engines[0]
		role := engineapi.RolePrefill
		if engine.Engine.Role == engineapi.RolePrefill {
			role = engineapi.RoleDecode
		}
		if err := s.operator.changeRole(window, s.zones[index].name, engine.Name, string(role)); err != nil {
			return merry.Prependf(err, "change the role of %s", engine.Name)
		}
	}
	<-window.Done()
	return group.Wait()
}

func (s *stage) hollowNodes() int { return len(s.gatewayIDs(anyZone)) }

// timeline returns the configurations that were applied so far.
func (s *stage) timeline() (timeline, error) {
	entries, _, err := truth.ReadFolder(s.fleet.TruthFolder())
	return newTimeline(entries), merry.Wrap(err)
}

// takeRates attributes the resource usage of the processes to the roles.
func (s *stage) takeRates(ctx context.Context, report *Report, before, after *sample) error {
	leaders, err := s.leaders(ctx)
	if err != nil {
		return err
	}
	var workers, engines mean
	for _, zone := range s.zones {
		if rates, found := after.rates(before, zone.gateways.Name); found {
			workers.addShared(rates, len(zone.gatewayIDs))
		}
		if rates, found := after.rates(before, zone.engines.Name); found {
			engines.addShared(rates, len(zone.engineIDs))
		}
	}
	byRole := make(map[controllerRole]*mean)
	for role := range controllerRoles {
		byRole[controllerRole(role)] = &mean{}
	}
	machines := make(map[int]Rates)
	var gateways mean
	for _, process := range s.fleet.Processes() {
		rates, found := after.rates(before, process.Name)
		switch {
		case !found:
		case process.Kind == fleet.KindGateway:
			gateways.add(rates)
		case process.Kind == fleet.KindController:
			byRole[leaders.roleOf(process.Name)].add(rates)
			machine := s.machineOf(process.Name)
			machines[machine] = machines[machine].plus(rates)
		}
	}
	report.HollowGateway, report.HollowEngine = workers.value(), engines.value()
	report.RealGateway = gateways.value()
	report.ZoneLeader = byRole[roleZoneLeader].value()
	report.ZoneFollower = byRole[roleFollower].value()
	report.ConfigLeader = byRole[roleConfigLeader].value()
	for _, rates := range machines {
		if rates.Core > report.ControlMachine.Core {
			report.ControlMachine = rates
		}
	}
	return nil
}

// mean returns the mean usage per process, or per node that the processes simulate.
type mean struct {
	sum   Rates
	parts int
}

func (m *mean) add(rates Rates) { m.addShared(rates, 1) }

func (m *mean) addShared(rates Rates, parts int) {
	m.sum = m.sum.plus(rates)
	m.parts += parts
}

func (m *mean) value() Rates {
	if m.parts == 0 {
		return Rates{}
	}
	return m.sum.dividedBy(float64(m.parts))
}

// observeConfigurations records which configuration the real processes have in force.
func (s *stage) observeConfigurations(ctx context.Context) error {
	for _, process := range s.fleet.Processes() {
		if process.Kind != fleet.KindGateway && process.Kind != fleet.KindController {
			continue
		}
		revision, err := s.observedRevision(ctx, process)
		if err != nil {
			return merry.Prependf(err, "configuration of %s", process.Name)
		}
		if err := s.truth.Write(truth.ConfigInForce{Process: process.Name, Revision: revision}); err != nil {
			return merry.Wrap(err)
		}
	}
	return nil
}

// observedRevision queries a process until it answers, since a query may time out on a busy machine.
func (s *stage) observedRevision(ctx context.Context, process *fleet.Process) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	for {
		revision, err := s.fleet.ConfigRevision(ctx, process)
		if err == nil || !sleep(ctx, pollPause) {
			return revision, err
		}
	}
}

func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// rack returns the nodes that are lost together in one zone.
func (z *zoneStage) rack() hollow.Rack {
	return hollow.Rack{Gateways: z.gatewayIDs[:min(rackNodes, len(z.gatewayIDs))]}
}
