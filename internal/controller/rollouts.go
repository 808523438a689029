package controller

import (
	"context"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/planner"
	"github.com/pierhaven/pierhaven/internal/planner/policyinput"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/reconcile"
	"github.com/pierhaven/pierhaven/internal/rollout"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// versionOutcomes holds the sums of the outcomes that gateways report, by model and
// version. A gateway reports totals since its start, so only the differences between
// two reports are added: a gateway's first row for a version is only the baseline,
// and a row with a smaller total than before, of a restarted count, is a new one.
type versionOutcomes map[string]map[string]rollout.Outcomes

func (v versionOutcomes) add(before, after []wire.VersionOutcome) {
	for _, row := range after {
		index := slices.IndexFunc(before, func(known wire.VersionOutcome) bool {
			return known.Model == row.Model && known.Version == row.Version
		})
		if index < 0 || before[index].Ended > row.Ended {
			continue
		}
		known := before[index]
		byVersion, found := v[row.Model]
		if !found {
			byVersion = map[string]rollout.Outcomes{}
			v[row.Model] = byVersion
		}
		sum := byVersion[row.Version]
		sum.Ended += row.Ended - known.Ended
		sum.Failed += row.Failed - known.Failed
		sum.Late += row.Late - known.Late
		byVersion[row.Version] = sum
	}
}

// rollOut runs one step of the rollouts, and commits the commands and desired
// configurations that it returns.
func (c *Controller) rollOut(ctx context.Context, t *term) {
	output := t.stepRollouts(c.now(), c.settings.Zone)
	for _, command := range output.Commands {
		if result, err := c.proposeZone(ctx, &command); err == nil && result.Outcome == zonestate.OutcomeDone {
			c.logger.Info("rollout", "command", command.Kind, "model", command.Rollout.Model,
				"from", command.Rollout.From, "to", command.Rollout.To, "reason", command.Rollout.Reason)
		}
	}
	if len(output.Desired) == 0 {
		return
	}
	command := &zonestate.Command{Kind: zonestate.KindSetDesired, Desired: output.Desired}
	if _, err := c.proposeZone(ctx, command); err != nil {
		c.logger.V(1).Info("could not commit desired configurations of rollouts", "error", err.Error())
	}
}

func (t *term) stepRollouts(now time.Duration, zone string) rollout.Output {
	var output rollout.Output
	t.with(func(core *reconcile.Core, state *zonestate.State) {
		if state.Config() == nil {
			return
		}
		output = t.rollouts.Step(now, t.rolloutInput(now, zone, core, state))
	})
	return output
}

func (t *term) rolloutInput(now time.Duration, zone string, core *reconcile.Core, state *zonestate.State) rollout.Input {
	policies := t.policies.forConfig(state.Config())
	engines := t.plannerEngines(now, core, state)
	description := policyinput.DescribeZone(zone, engines, state.Sessions().Len())
	input := rollout.Input{
		MaximumAway: policyinput.MaximumAway(policies),
		Away:        description.Away,
	}
	for _, model := range state.Config().Models {
		program := policies.ProgramFor(model.Name)
		row := rollout.Model{
			Name:             model.Name,
			Outcomes:         t.outcomes[model.Name],
			ChangesForbidden: policyinput.ModelMaximumAway(program) <= 0,
		}
		if committed, found := state.Rollout(model.Name); found {
			row.Committed = committed
		}
		placement := policyinput.NewPlacement(model, program, engines, description, policy.ClockAt(time.Now()))
		for index := range engines {
			engine, found := state.Engine(engines[index].ID)
			if found && engine.Desired != nil && engine.Desired.Model == model.Name {
				row.Engines = append(row.Engines, rolloutEngine(engine, &engines[index], placement))
			}
		}
		input.Models = append(input.Models, row)
	}
	return input
}

func rolloutEngine(engine *zonestate.Engine, status *planner.EngineStatus, placement policyinput.Placement) rollout.Engine {
	row := rollout.Engine{
		ID:            engine.ID,
		Desired:       *engine.Desired,
		DesiredAt:     engine.DesiredAt,
		Settled:       engine.Verified != nil && !engine.NeedsChange() && !engine.Changing && engine.Order == nil,
		FailedLoads:   engine.Failures,
		FailureDetail: engine.FailureDetail,
		Changeable:    status.Reachable && !status.Pinned && !status.Isolated,
		InFlight:      status.InFlight,
	}
	row.Version, row.Adapters = placement.ConfigurationFor(engine.ID, engine.Desired.Adapters)
	if engine.Abandoned != nil {
		row.AbandonedVersion, row.AbandonedAt = engine.Abandoned.Version, engine.DesiredAt
	}
	return row
}

func rolloutRows(zone string, state *zonestate.State) []operatorapi.Rollout {
	rows := []operatorapi.Rollout{}
	for _, committed := range state.Rollouts() {
		row := operatorapi.Rollout{
			Zone: zone, Model: committed.Model, From: committed.From, To: committed.To,
			Phase: string(committed.Phase), Reason: committed.Reason,
		}
		for _, engine := range state.Engines() {
			if engine.Desired == nil || engine.Desired.Model != committed.Model {
				continue
			}
			row.Engines++
			if engine.Verified != nil && engine.Verified.Version == committed.To {
				row.Changed++
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// CommandRollout implements operatorapi.Backend.
func (c *Controller) CommandRollout(ctx context.Context, zone, model string, action operatorapi.RolloutAction, command operatorapi.RolloutCommand) (operatorapi.CommandResult, error) {
	request := &peer.EngineChangeRequest{RequestID: command.RequestID, Model: model, Action: peer.ActionRollout + string(action)}
	return c.changeAtZoneLeader(ctx, zone, request)
}

// rolloutKinds maps operators' actions to kinds of zone commands.
var rolloutKinds = map[string]zonestate.Kind{
	peer.ActionRollout + string(operatorapi.RolloutHalt):   zonestate.KindHaltRollout,
	peer.ActionRollout + string(operatorapi.RolloutResume): zonestate.KindResumeRollout,
	peer.ActionRollout + string(operatorapi.RolloutRevert): zonestate.KindRevertRollout,
}

// rolloutCommand returns the zone command of a rollout action, nil if the request
// has another action.
func rolloutCommand(request *peer.EngineChangeRequest) *zonestate.Command {
	kind, known := rolloutKinds[request.Action]
	if !known {
		return nil
	}
	part := &zonestate.RolloutCommand{Model: request.Model}
	if kind == zonestate.KindHaltRollout {
		part.Reason = "an operator halted it"
	}
	return &zonestate.Command{Kind: kind, Rollout: part}
}
