package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// Core holds the uncommitted state of one leadership. It is not replicated.
type Core struct {
	options      Options
	observations map[string]*observation
}

// observation is what a leader has observed of a rollout since the rollout entered
// its current phase.
type observation struct {
	changedAt uint64
	// baseline holds the outcomes by version when the observation began.
	baseline map[string]Outcomes
	// settledSince is when the last step was seen to be complete, at first when
	// the observation began. stepBaseline is the number of ended attempts on the
	// new version at that time.
	settledSince time.Duration
	stepBaseline uint64
	// stepInProgress reports whether engines are being changed. stepStartedAt is
	// when this was first observed.
	stepInProgress bool
	stepStartedAt  time.Duration
}

// New returns the Core of a new leadership.
func New(options Options) *Core {
	return &Core{options: options, observations: make(map[string]*observation)}
}

// Step decides what to do at time now. It should be called about once a second.
func (c *Core) Step(now time.Duration, input Input) Output {
	var output Output
	slots := input.MaximumAway - input.Away
	for index := range input.Models {
		model := &input.Models[index]
		if model.ChangesForbidden {
			none := 0
			c.stepModel(now, model, &none, &output)
			continue
		}
		c.stepModel(now, model, &slots, &output)
	}
	return output
}

func (c *Core) stepModel(now time.Duration, model *Model, slots *int, output *Output) {
	committed := model.Committed
	from, to := nextVersion(model)
	isNew := committed == nil || committed.Phase == zonestate.RolloutDone || committed.To != to
	if to != "" && isNew {
		if *slots > 0 {
			output.propose(zonestate.KindBeginRollout, model, &zonestate.RolloutCommand{From: from, To: to})
		}
		return
	}
	if committed == nil {
		return
	}
	switch committed.Phase {
	case zonestate.RolloutRunning:
		c.advance(now, model, slots, output)
	case zonestate.RolloutHalted:
		output.revertFailed(model)
	case zonestate.RolloutReverting:
		c.revert(model, slots, output)
	}
}

// nextVersion returns the next version (to) that the placement requires and that
// some engines do not have yet, and the version that most of those engines have
// instead (from). Both are empty if there is none. The target of the committed
// rollout takes precedence.
func nextVersion(model *Model) (from, to string) {
	for _, engine := range model.Engines {
		if !engine.atTarget() && (to == "" || model.Committed != nil && engine.Version == model.Committed.To) {
			to = engine.Version
		}
	}
	counts := map[string]int{}
	for _, engine := range model.Engines {
		if !engine.atTarget() && engine.Version == to {
			counts[engine.Desired.Version]++
		}
	}
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if from == "" || counts[version] > counts[from] {
			from = version
		}
	}
	return from, to
}

func (e *Engine) atTarget() bool { return e.Version == "" || e.Desired.Version == e.Version }

// observe returns the observation of a rollout, and starts a new one if the
// rollout has changed its phase since.
func (c *Core) observe(now time.Duration, model *Model) *observation {
	known, found := c.observations[model.Name]
	if !found || known.changedAt != model.Committed.ChangedAt {
		known = &observation{
			changedAt:    model.Committed.ChangedAt,
			baseline:     maps.Clone(model.Outcomes),
			settledSince: now,
			stepBaseline: model.Outcomes[model.Committed.To].Ended,
		}
		c.observations[model.Name] = known
	}
	return known
}

// advance takes the next step of a running rollout, halts it or ends it.
func (c *Core) advance(now time.Duration, model *Model, slots *int, output *Output) {
	observed := c.observe(now, model)
	if reason := c.haltReason(model, observed); reason != "" {
		output.propose(zonestate.KindHaltRollout, model, &zonestate.RolloutCommand{Reason: reason})
		return
	}
	done, changing, remaining := groupEngines(model)
	if changing > 0 {
		c.checkStepTimeout(now, model, observed, output)
		return
	}
	if observed.stepInProgress {
		observed.stepInProgress = false
		observed.settledSince = now
		observed.stepBaseline = model.Outcomes[model.Committed.To].Ended
	}
	if done > 0 && !c.observedLongEnough(now, model, observed) {
		return
	}
	if len(remaining) == 0 {
		output.propose(zonestate.KindEndRollout, model, &zonestate.RolloutCommand{})
		return
	}
	step := *slots
	if done == 0 {
		step = min(step, 1)
	}
	for _, engine := range selectEngines(model, remaining, step) {
		output.setDesired(engine, engine.Version, engine.Adapters)
		*slots--
	}
}

// checkStepTimeout halts a rollout whose step exceeds StepLimit. Otherwise an engine
// that never finishes loading its weights would block all other changes.
func (c *Core) checkStepTimeout(now time.Duration, model *Model, observed *observation, output *Output) {
	if !observed.stepInProgress {
		observed.stepInProgress = true
		observed.stepStartedAt = now
	}
	if now-observed.stepStartedAt > c.options.StepLimit {
		reason := fmt.Sprintf("engines have been changing to version %s for more than %v", model.Committed.To, c.options.StepLimit)
		output.propose(zonestate.KindHaltRollout, model, &zonestate.RolloutCommand{Reason: reason})
	}
}

// groupEngines counts the engines that run the new version and those that are being
// changed to it, and returns those that are still to be changed.
func groupEngines(model *Model) (done, changing int, remaining []*Engine) {
	to := model.Committed.To
	for index := range model.Engines {
		engine := &model.Engines[index]
		switch {
		case engine.Desired.Version == to && engine.Settled:
			done++
		case engine.Desired.Version == to && engine.Changeable:
			changing++
		case engine.Version == to && !engine.atTarget():
			remaining = append(remaining, engine)
		}
	}
	return done, changing, remaining
}

// observedLongEnough reports whether the observation period of the last step is over.
func (c *Core) observedLongEnough(now time.Duration, model *Model, observed *observation) bool {
	waited := now - observed.settledSince
	attempts := model.Outcomes[model.Committed.To].Ended - observed.stepBaseline
	if waited < c.options.Observe {
		return false
	}
	return attempts >= c.options.MinimumAttempts || waited >= c.options.ObserveLimit
}

// revert returns the changed engines to the old version, within the limit on
// concurrent changes.
func (c *Core) revert(model *Model, slots *int, output *Output) {
	reverting, changing := 0, 0
	for index := range model.Engines {
		engine := &model.Engines[index]
		switch {
		case engine.Desired.Version == model.Committed.To:
			reverting++
			if *slots > 0 {
				output.setDesired(engine, model.Committed.From, engine.Desired.Adapters)
				*slots--
			}
		case !engine.Settled && engine.Changeable:
			changing++
		}
	}
	if reverting == 0 && changing == 0 {
		output.propose(zonestate.KindEndRollout, model, &zonestate.RolloutCommand{})
	}
}

func (o *Output) propose(kind zonestate.Kind, model *Model, part *zonestate.RolloutCommand) {
	part.Model = model.Name
	part.Guarded = true
	if model.Committed != nil {
		part.ChangedAt = model.Committed.ChangedAt
	}
	o.Commands = append(o.Commands, zonestate.Command{Kind: kind, Rollout: part})
}

func (o *Output) setDesired(engine *Engine, version string, adapters []string) {
	target := engine.Desired
	target.Version = version
	target.Adapters = adapters
	o.Desired = append(o.Desired, zonestate.DesiredEntry{
		EngineID: engine.ID, Target: target, DesiredAt: engine.DesiredAt, Guarded: true,
	})
}

// revertFailed returns engines that failed to load the new version to the old one.
func (o *Output) revertFailed(model *Model) {
	for index := range model.Engines {
		engine := &model.Engines[index]
		if engine.Desired.Version == model.Committed.To && !engine.Settled && engine.FailedLoads > 0 {
			o.setDesired(engine, model.Committed.From, engine.Desired.Adapters)
		}
	}
}
