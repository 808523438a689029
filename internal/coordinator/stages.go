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

// Engines gives orders to model replicas.
type Engines interface {
	// Report asks a replica what it does.
	Report(ctx context.Context, replica region.Replica) (EngineReport, error)
	// Order gives an order to a replica. A refusal is an error that wraps
	// ErrOrderRefused; any other error leaves it open whether the order is or
	// will be carried out.
	Order(ctx context.Context, replica region.Replica, order EngineOrder) error
}

// EngineReport is a replica's own account.
type EngineReport struct {
	Stage string
	// Changing says that an order is being carried out.
	Changing bool
	// Sequence is the number of orders that the replica has taken.
	Sequence uint64
	// Born is the moment of its start in milliseconds since 1970, 0 if it is not told.
	Born int64
	// Requests are those that run or wait there.
	Requests int
}

// EngineOrder tells a replica to take a stage.
type EngineOrder struct {
	Stage  string
	Holder string
	Fence  uint64
	// Sequence is what the replica's count of orders has to be.
	Sequence uint64
}

// ErrOrderRefused says that a replica has not taken an order and never will.
var ErrOrderRefused = errors.New("the replica has refused the order")

const (
	stageInterval = 300 * time.Millisecond
	orderTimeout  = 800 * time.Millisecond
	// changeTimeout is how long a change may take before the replica counts as
	// what the list says it is.
	changeTimeout = 8 * time.Second
	// unclearHold is how long a replica gets no order after one without an
	// answer, which may be carried out late.
	unclearHold = 14 * time.Second
	refusedHold = 3 * time.Second
	// changeShare of a service's replicas may begin a change in one step: one change a step
	// needs half a minute to turn a third of 300 replicas round. With 210 replicas that come and
	// go, it serves 0.023 more of the credit owed (mean of six days).
	changeShare = 1.0 / 16
	// restlessTime is how long after replicas have come or gone none stops
	// generating.
	restlessTime = 5 * time.Second
	// unreachableReports is how many gateways have to find a replica unreachable
	// before it does not count.
	unreachableReports = 2
	// demandSettle is how long demand must have been told before it is believed.
	demandSettle = 3 * time.Second
)

// stageKeeper is the leader's work on the stages of replicas. What it keeps of a replica, the planners
// too, is by Life.Name.
type stageKeeper struct {
	dutyHolder
	plans  map[string]*stageplan.Regions
	begun  map[string]time.Duration
	holds  map[string]time.Duration
	doubts orderDoubts
	// demandFrom is when demand was first told.
	demandFrom map[stageGroup]time.Duration
	// leadsSince is since when this coordinator leads, and heard when demand was last told.
	leadsSince time.Duration
	heard      map[stageGroup]time.Duration
	// telling are the most gateways that have told of late.
	telling map[stageGroup]*recentMost
	// moved is when replicas of a group last came, went or began to leave, and
	// known are those that there were at the last step.
	moved map[stageGroup]time.Duration
	known map[stageGroup]string
	// spares are the replicas that stand by, as of the last step.
	spares map[stageGroup]stageplan.Spares
	// arrivals are the numbers of replicas on the list, by service.
	arrivals map[string]arrival
}

// stageGroup are the replicas of a service in a region. The region is empty where there is one.
type stageGroup struct{ service, region string }

// keepStages plans the stages of the model replicas, at the leader.
func (c *Coordinator) keepStages(ctx context.Context) {
	if c.settings.Engines == nil || c.settings.Without[mechanism.StageChanges] {
		return
	}
	keeper := &stageKeeper{dutyHolder: dutyHolder{Coordinator: c, duty: dutyStages}}
	for lifecycle.Sleep(ctx, stageInterval) {
		begun, leads := keeper.leads(ctx)
		if !leads {
			continue
		}
		if begun {
			keeper.reset()
		}
		keeper.step(ctx)
	}
}

// reset forgets what an earlier term of this coordinator has seen.
func (k *stageKeeper) reset() {
	k.plans = map[string]*stageplan.Regions{}
	k.begun = map[string]time.Duration{}
	k.holds = map[string]time.Duration{}
	k.doubts = nil
	k.demandFrom = map[stageGroup]time.Duration{}
	k.leadsSince = k.now()
	k.heard = map[stageGroup]time.Duration{}
	k.telling = map[stageGroup]*recentMost{}
	k.arrivals = map[string]arrival{}
	k.moved = map[stageGroup]time.Duration{}
	k.known = map[stageGroup]string{}
}

// changesAtOnce is the number of changes that a service with some replicas may begin in a step.
func changesAtOnce(replicas int) int { return max(1, int(changeShare*float64(replicas))) }

// step makes some changes of each service. A new leader first lets the lease
// of the last order run out.
func (k *stageKeeper) step(ctx context.Context) {
	now := k.now()
	state, _ := k.machine.read()
	k.endStuckChanges(ctx, now, state)
	if !k.mayCall() {
		return
	}
	services, spares := modelReplicas(state, k.settings.Topology.Group)
	k.spares = spares
	for service, replicas := range services {
		k.stepService(ctx, now, service, replicas, state.Changes)
	}
}

// stepService makes some changes of a service, wherever its replicas are.
func (k *stageKeeper) stepService(ctx context.Context, now time.Duration, service string, replicas []region.Replica, changes []region.StageChange) {
	inputs := k.inputsFor(now, service, replicas, changes)
	if k.stillArrive(now, service, len(replicas)+k.sparesOf(service)) {
		return
	}
	planned := 0
	for _, input := range inputs {
		planned += len(input.Replicas)
	}
	plan := k.planFor(service)
	for range changesAtOnce(planned) {
		input, change, planner := plan.Step(now, inputs)
		if change == nil {
			return
		}
		planner.Choose(now, change, k.leastBusy(ctx, replicas, change.Candidates))
		k.carryOutStage(ctx, input.Region, replicas, change)
		input.NoteChange(change)
	}
}

func (k *stageKeeper) planFor(service string) *stageplan.Regions {
	plan, found := k.plans[service]
	if !found {
		plan = &stageplan.Regions{New: func() *stageplan.Planner {
			return &stageplan.Planner{IgnoreForecast: k.settings.Without[mechanism.Forecast], UnevenShortage: k.settings.Without[mechanism.EvenShortage]}
		}}
		k.plans[service] = plan
	}
	return plan
}

// modelReplicas returns the active replicas with a stage that are not leaving, by service, and counts
// those that stand by.
func modelReplicas(state region.State, groupOf func(zone string) string) (services map[string][]region.Replica, spares map[stageGroup]stageplan.Spares) {
	services = map[string][]region.Replica{}
	spares = map[stageGroup]stageplan.Spares{}
	for _, listed := range state.Replicas {
		replica := listed.Replica
		switch {
		case replica.Stage == "" || replica.Leaves():
		case !listed.Standby:
			services[replica.Service] = append(services[replica.Service], replica)
		default:
			group := stageGroup{service: replica.Service, region: groupOf(replica.Zone)}
			spare := spares[group]
			if replica.Stage == region.StagePrefill {
				spare.Readers++
			} else {
				spare.Generators++
			}
			spares[group] = spare
		}
	}
	return services, spares
}

// endStuckChanges ends changes that the list has not shown in time.
func (k *stageKeeper) endStuckChanges(ctx context.Context, now time.Duration, state region.State) {
	under := map[string]bool{}
	for _, change := range state.Changes {
		name := change.Life().Name()
		under[name] = true
		begun, known := k.begun[name]
		if !known {
			k.begun[name] = now
			continue
		}
		if now-begun > changeTimeout {
			k.logger.Info(event.ChangeStuck, "replica", change.Replica, "stage", change.Stage)
			k.endChange(ctx, change.Life(), unclearHold)
		}
	}
	for replica := range k.begun {
		if !under[replica] {
			delete(k.begun, replica)
		}
	}
}

// endChange commits the end of a change and leaves the replica alone for a time.
func (k *stageKeeper) endChange(ctx context.Context, life region.Life, hold time.Duration) {
	k.holds[life.Name()] = k.now() + hold
	delete(k.begun, life.Name())
	command := &region.Command{ChangeEnd: &region.ChangeEndCommand{Replica: life.ID}}
	if _, err := k.commit(ctx, command); err != nil {
		k.logger.Info(event.ChangeEndLost, "replica", life.ID, "error", err.Error())
	}
}

// carryOutStage commits an order and gives it.
func (k *stageKeeper) carryOutStage(ctx context.Context, where string, replicas []region.Replica, change *stageplan.Change) {
	replica, found := findReplica(replicas, change.ReplicaID)
	if !found {
		return
	}
	stage := region.StagePrefill
	if change.Generates {
		stage = region.StageDecode
	}
	err := k.order(ctx, replica, stage)
	k.logger.Info(event.Order, "replica", replica.ID, "region", where, "stage", stage, "reason", change.Reason, "term", k.term,
		"generating", change.Generating, "reading", change.Reading, "generators", change.Generators, "replicas", len(replicas),
		"error", failure.Text(err))
	switch {
	case err == nil:
	case errors.Is(err, ErrOrderRefused):
		k.holds[change.ReplicaID] = k.now() + refusedHold
		if _, committed := k.begun[change.ReplicaID]; committed {
			k.endChange(ctx, replica.Life(), refusedHold)
		}
	default:
		k.holds[change.ReplicaID] = k.now() + unclearHold
	}
}

// maximumAsked bounds the replicas that are asked for their work before one is changed.
const maximumAsked = 8

// leastBusy returns the candidate, by Life.Name, that says it has the least to do: what runs there has to
// end before its stage changes. One that does not answer counts as busy.
func (k *stageKeeper) leastBusy(ctx context.Context, replicas []region.Replica, candidates []string) string {
	if len(candidates) == 1 {
		return candidates[0]
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	asked := candidates[:min(len(candidates), maximumAsked)]
	work := make([]int, len(asked))
	var calls sync.WaitGroup
	for index, name := range asked {
		calls.Go(func() {
			work[index] = math.MaxInt
			replica, _ := findReplica(replicas, name)
			if report, err := k.settings.Engines.Report(ctx, replica); err == nil {
				work[index] = report.Requests
			}
		})
	}
	calls.Wait()
	return asked[slices.Index(work, slices.Min(work))]
}

func findReplica(replicas []region.Replica, name string) (region.Replica, bool) {
	for _, replica := range replicas {
		if replica.Life().Name() == name {
			return replica, true
		}
	}
	return region.Replica{}, false
}

func (k *stageKeeper) order(ctx context.Context, replica region.Replica, stage string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
	defer cancel()
	report, err := k.settings.Engines.Report(ctx, replica)
	if err != nil {
		return errors.Join(ErrOrderRefused, err)
	}
	life := replica.Life()
	if report.Changing || k.doubts.wouldWake(k.now(), life, report.Sequence) {
		return ErrOrderRefused
	}
	if report.Born != 0 && life.Born != 0 && report.Born != life.Born {
		return errors.Join(ErrOrderRefused, errLifeEnded)
	}
	change := &region.ChangeCommand{Replica: life.ID, Born: life.Born, Stage: stage}
	fence, err := k.commitCall(ctx, &region.Command{Change: change})
	if fence != 0 {
		k.begun[life.Name()] = k.now()
	}
	if errors.Is(err, errCallLate) {
		return errors.Join(ErrOrderRefused, err)
	}
	if err != nil {
		return err
	}
	if !k.isListed(life) {
		return errors.Join(ErrOrderRefused, errLifeEnded)
	}
	err = k.settings.Engines.Order(ctx, replica, EngineOrder{
		Stage:    stage,
		Holder:   k.settings.Name,
		Fence:    fence,
		Sequence: report.Sequence,
	})
	if err != nil && !errors.Is(err, ErrOrderRefused) {
		k.doubts.add(k.now(), life, report.Sequence)
	}
	return err
}

// errLifeEnded says that an order was not given, since the replica has started again.
var errLifeEnded = errors.New("the replica has started again")

// isListed reports whether the list still shows a life.
func (k *stageKeeper) isListed(life region.Life) bool {
	state, _ := k.machine.read()
	listed, found := findListed(state.Replicas, life.ID)
	return found && listed.Life() == life
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
