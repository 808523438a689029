package coordinator

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/stageplan"
)

// Engines sends queries and orders to model replicas.
type Engines interface {
	// Report queries a replica's state.
	Report(ctx context.Context, replica region.Replica) (EngineReport, error)
	// Order sends an order to a replica. If the replica rejects it, the error wraps
	// ErrOrderRejected; after any other error the order may have been or may yet be
	// carried out.
	Order(ctx context.Context, replica region.Replica, order EngineOrder) error
}

// EngineReport is the state that a replica reports of itself.
type EngineReport struct {
	Stage string
	// Changing is set while an order is being carried out.
	Changing bool
	// Sequence is the number of orders that the replica has accepted.
	Sequence uint64
	// Born is the start time of the process in milliseconds since 1970, 0 if it is not reported.
	Born int64
	// Requests is the number of requests that run or wait there.
	Requests int
}

// EngineOrder orders a replica to change to a stage.
type EngineOrder struct {
	Stage string
	// Holder and Fence identify the call, as in DutyCall.
	Holder string
	Fence  uint64
	// Sequence is the count of accepted orders that the replica must have to accept this one.
	Sequence uint64
}

// ErrOrderRejected means that a replica has not accepted an order and never will.
var ErrOrderRejected = errors.New("the replica has refused the order")

const (
	stageInterval = 300 * time.Millisecond
	// orderTimeout bounds the queries that choose a replica. The query, commit and order of a change
	// together may take twice as long.
	orderTimeout = 800 * time.Millisecond
	// changeTimeout is how long a change may take. After that the replica counts
	// as having the stage that the list shows.
	changeTimeout = 8 * time.Second
	// unansweredOrderHold is how long a replica gets no order after one without a
	// response, which may be carried out late, or after a change that has timed out.
	unansweredOrderHold = 14 * time.Second
	// rejectedOrderHold is how long a replica gets no order after one that was rejected or not sent.
	rejectedOrderHold = 3 * time.Second
	// changeShare is the share of a service's replicas that may begin a change in one step: with one
	// change a step, changing a third of 300 replicas takes half a minute. With 210 replicas, some of
	// which are added and removed, this share serves 0.023 more of the credit owed (mean of six days).
	changeShare = 1.0 / 16
	// listChangeHold is how long after a change of a group's replicas the planner
	// keeps an extra decode replica, since more may be removed soon.
	listChangeHold = 5 * time.Second
	// minimumReports is the number of gateways that must report a replica as
	// unreachable or refusing before the planners act on it: an unreachable one is
	// not counted and keeps its stage, a refusing one only keeps its stage.
	minimumReports = 2
	// demandSettleTime is how long demand must have been reported before the planner
	// relies on it. Until then its target is an initial share of decode replicas or,
	// with replicas on standby, the present number, and more if demand needs them.
	demandSettleTime = 3 * time.Second
)

// stagePlanner plans and orders the stages of replicas at the leader. Its maps of replicas, and those of the
// planners, are keyed by Incarnation.Name.
type stagePlanner struct {
	dutyHolder
	plans           map[string]*stageplan.Regions
	changeStartedAt map[string]time.Duration
	ordersHeldUntil map[string]time.Duration
	unanswered      unansweredOrders
	// demandSince is when running streams were first reported.
	demandSince map[stageGroup]time.Duration
	// leaderSince is the start of this coordinator's term as leader, and demandReportedAt is when demand was
	// last reported.
	leaderSince      time.Duration
	demandReportedAt map[stageGroup]time.Duration
	// reportingGateways is the recent maximum of the number of gateways that report.
	reportingGateways map[stageGroup]*recentMaximum
	// listChangedAt is when replicas of a group last were added, removed, restarted, activated or sent
	// to standby, or began to leave. lastReplicas are the group's replicas at the last step.
	listChangedAt map[stageGroup]time.Duration
	lastReplicas  map[stageGroup]string
	// standby are the numbers of replicas on standby at the last step.
	standby map[stageGroup]stageplan.Standby
	// replicaCounts are the numbers of replicas on the list that are not leaving, by service.
	replicaCounts map[string]replicaCount
}

// stageGroup identifies the replicas of a service in a region. The region is empty if there is only one.
type stageGroup struct{ service, region string }

// planStages plans and orders the stages of the model replicas while this coordinator leads.
func (c *Coordinator) planStages(ctx context.Context) {
	if c.settings.Engines == nil || c.settings.DisabledMechanisms[mechanism.StageChanges] {
		return
	}
	planner := &stagePlanner{dutyHolder: dutyHolder{Coordinator: c, duty: dutyStages}}
	for lifecycle.Sleep(ctx, stageInterval) {
		begun, leads := planner.leads(ctx)
		if !leads {
			continue
		}
		if begun {
			planner.reset()
		}
		planner.step(ctx)
	}
}

// reset discards the state of this coordinator's earlier term as leader.
func (p *stagePlanner) reset() {
	p.plans = map[string]*stageplan.Regions{}
	p.changeStartedAt = map[string]time.Duration{}
	p.ordersHeldUntil = map[string]time.Duration{}
	p.unanswered = nil
	p.demandSince = map[stageGroup]time.Duration{}
	p.leaderSince = p.now()
	p.demandReportedAt = map[stageGroup]time.Duration{}
	p.reportingGateways = map[stageGroup]*recentMaximum{}
	p.replicaCounts = map[string]replicaCount{}
	p.listChangedAt = map[stageGroup]time.Duration{}
	p.lastReplicas = map[stageGroup]string{}
}

// changesAtOnce returns the number of changes that a service with a number of replicas may begin in a step.
func changesAtOnce(replicas int) int { return max(1, int(changeShare*float64(replicas))) }

// step begins stage changes for each service. A new leader first waits until
// the lease of the last order has expired.
func (p *stagePlanner) step(ctx context.Context) {
	now := p.now()
	state, _ := p.machine.read()
	p.endStuckChanges(ctx, now, state)
	if !p.mayCall() {
		return
	}
	services, standby := modelReplicas(state, p.settings.Topology.Group)
	p.standby = standby
	for service, replicas := range services {
		p.stepService(ctx, now, service, replicas, state.Changes)
	}
}

// stepService begins stage changes for a service, in all regions.
func (p *stagePlanner) stepService(ctx context.Context, now time.Duration, service string, replicas []region.Replica, changes []region.StageChange) {
	inputs := p.inputsFor(now, service, replicas, changes)
	if p.listIsSettling(now, service, len(replicas)+p.standbyCount(service)) {
		return
	}
	planned := 0
	for _, input := range inputs {
		planned += len(input.Replicas)
	}
	plan := p.planFor(service)
	for range changesAtOnce(planned) {
		input, change, planner := plan.Step(now, inputs)
		if change == nil {
			return
		}
		planner.ReplaceCandidate(now, change, p.leastBusy(ctx, replicas, change.Candidates))
		p.orderStage(ctx, input.Region, replicas, change)
		input.NoteChange(change)
	}
}

func (p *stagePlanner) planFor(service string) *stageplan.Regions {
	plan, found := p.plans[service]
	if !found {
		plan = &stageplan.Regions{NewPlanner: func() *stageplan.Planner {
			return &stageplan.Planner{IgnoreForecast: p.settings.DisabledMechanisms[mechanism.Forecast], DecodeFirst: p.settings.DisabledMechanisms[mechanism.EvenShortage]}
		}}
		p.plans[service] = plan
	}
	return plan
}

// modelReplicas returns the active replicas with a stage that are not leaving, by service, and the numbers
// of those on standby.
func modelReplicas(state region.State, groupOf func(zone string) string) (services map[string][]region.Replica, standby map[stageGroup]stageplan.Standby) {
	services = map[string][]region.Replica{}
	standby = map[stageGroup]stageplan.Standby{}
	for _, listed := range state.Replicas {
		replica := listed.Replica
		switch {
		case replica.Stage == "" || replica.IsLeaving():
		case !listed.Standby:
			services[replica.Service] = append(services[replica.Service], replica)
		default:
			group := stageGroup{service: replica.Service, region: groupOf(replica.Zone)}
			onStandby := standby[group]
			if replica.Stage == region.StagePrefill {
				onStandby.Prefill++
			} else {
				onStandby.Decode++
			}
			standby[group] = onStandby
		}
	}
	return services, standby
}

// endStuckChanges ends changes that the list has not shown within changeTimeout.
func (p *stagePlanner) endStuckChanges(ctx context.Context, now time.Duration, state region.State) {
	changing := map[string]bool{}
	for _, change := range state.Changes {
		name := change.Incarnation().Name()
		changing[name] = true
		begun, known := p.changeStartedAt[name]
		if !known {
			p.changeStartedAt[name] = now
			continue
		}
		if now-begun > changeTimeout {
			p.logger.Info(event.ChangeStuck, "replica", change.Replica, "stage", change.Stage)
			p.endChange(ctx, change.Incarnation(), unansweredOrderHold)
		}
	}
	for replica := range p.changeStartedAt {
		if !changing[replica] {
			delete(p.changeStartedAt, replica)
		}
	}
}

// endChange commits the end of a change, and holds back further orders to the replica for a time.
func (p *stagePlanner) endChange(ctx context.Context, incarnation region.Incarnation, hold time.Duration) {
	p.ordersHeldUntil[incarnation.Name()] = p.now() + hold
	delete(p.changeStartedAt, incarnation.Name())
	command := &region.Command{ChangeEnd: &region.ChangeEndCommand{Replica: incarnation.ID}}
	if _, err := p.commit(ctx, command); err != nil {
		p.logger.Info(event.ChangeEndLost, "replica", incarnation.ID, "error", err.Error())
	}
}

// orderStage orders the replica of a planned change to change its stage.
func (p *stagePlanner) orderStage(ctx context.Context, regionName string, replicas []region.Replica, change *stageplan.Change) {
	replica, found := findReplica(replicas, change.ReplicaID)
	if !found {
		return
	}
	stage := region.StagePrefill
	if change.Decodes {
		stage = region.StageDecode
	}
	err := p.order(ctx, replica, stage)
	p.logger.Info(event.Order, "replica", replica.ID, "region", regionName, "stage", stage, "reason", change.Reason, "term", p.term,
		"generating", change.StreamPeak, "reading", change.PrefillPeak, "generators", change.DecodeReplicas, "replicas", len(replicas),
		"error", failure.Text(err))
	switch {
	case err == nil:
	case errors.Is(err, ErrOrderRejected):
		p.ordersHeldUntil[change.ReplicaID] = p.now() + rejectedOrderHold
		if _, committed := p.changeStartedAt[change.ReplicaID]; committed {
			p.endChange(ctx, replica.Incarnation(), rejectedOrderHold)
		}
	default:
		p.ordersHeldUntil[change.ReplicaID] = p.now() + unansweredOrderHold
	}
}

// maximumReportQueries bounds the replicas whose load is queried before one of them is changed.
const maximumReportQueries = 8

// leastBusy returns the candidate that reports the fewest requests, since a replica's requests have to end
// before its stage changes. Candidates are given by Incarnation.Name; only the first maximumReportQueries are
// queried and considered. A replica that does not answer counts as the busiest.
func (p *stagePlanner) leastBusy(ctx context.Context, replicas []region.Replica, candidates []string) string {
	if len(candidates) == 1 {
		return candidates[0]
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	queried := candidates[:min(len(candidates), maximumReportQueries)]
	requests := make([]int, len(queried))
	var calls sync.WaitGroup
	for index, name := range queried {
		calls.Go(func() {
			requests[index] = math.MaxInt
			replica, _ := findReplica(replicas, name)
			if report, err := p.settings.Engines.Report(ctx, replica); err == nil {
				requests[index] = report.Requests
			}
		})
	}
	calls.Wait()
	return queried[slices.Index(requests, slices.Min(requests))]
}

func findReplica(replicas []region.Replica, name string) (region.Replica, bool) {
	for _, replica := range replicas {
		if replica.Incarnation().Name() == name {
			return replica, true
		}
	}
	return region.Replica{}, false
}

// order queries a replica, commits the change of its stage, and sends the order. Any error before the
// sending other than a failed commit wraps ErrOrderRejected, since the order will not be carried out.
func (p *stagePlanner) order(ctx context.Context, replica region.Replica, stage string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
	defer cancel()
	report, err := p.settings.Engines.Report(ctx, replica)
	if err != nil {
		return errors.Join(ErrOrderRejected, err)
	}
	incarnation := replica.Incarnation()
	if report.Changing || p.unanswered.wouldEnableOlder(p.now(), incarnation, report.Sequence) {
		return ErrOrderRejected
	}
	if report.Born != 0 && incarnation.Born != 0 && report.Born != incarnation.Born {
		return errors.Join(ErrOrderRejected, errReplicaRestarted)
	}
	change := &region.ChangeCommand{Replica: incarnation.ID, Born: incarnation.Born, Stage: stage}
	fence, err := p.commitCall(ctx, &region.Command{Change: change})
	if fence != 0 {
		p.changeStartedAt[incarnation.Name()] = p.now()
	}
	if errors.Is(err, errSendDelayExceeded) {
		return errors.Join(ErrOrderRejected, err)
	}
	if err != nil {
		return err
	}
	if !p.isListed(incarnation) {
		return errors.Join(ErrOrderRejected, errReplicaRestarted)
	}
	err = p.settings.Engines.Order(ctx, replica, EngineOrder{
		Stage:    stage,
		Holder:   p.settings.Name,
		Fence:    fence,
		Sequence: report.Sequence,
	})
	if err != nil && !errors.Is(err, ErrOrderRejected) {
		p.unanswered.add(p.now(), incarnation, report.Sequence)
	}
	return err
}

// errReplicaRestarted means that an order was not sent because the replica has restarted or is no longer listed.
var errReplicaRestarted = errors.New("the replica has started again")

// isListed reports whether the list still shows an incarnation.
func (p *stagePlanner) isListed(incarnation region.Incarnation) bool {
	state, _ := p.machine.read()
	listed, found := findListed(state.Replicas, incarnation.ID)
	return found && listed.Incarnation() == incarnation
}

// commit proposes a command and returns its log position.
func (c *Coordinator) commit(ctx context.Context, command *region.Command) (uint64, error) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		return 0, failure.Wrap(err, failure.Internal)
	}
	index, _, err := c.group.Propose(ctx, encoded)
	return index, err
}
