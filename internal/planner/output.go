package planner

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// Change is a new desired configuration for one engine.
type Change struct {
	EngineID string
	Target   engineapi.Configuration
	Reason   string
}

// Hold is the reason why Step made no change.
type Hold string

// Reasons for making no change.
const (
	HoldNone       Hold = ""
	HoldStale      Hold = "stale_input"
	HoldForbidden  Hold = "maximum_away_is_zero"
	HoldAway       Hold = "engines_away"
	HoldDwell      Hold = "minimum_dwell"
	HoldPolicy     Hold = "policy_condition"
	HoldWarmingUp  Hold = "warming_up"
	HoldNoEngine   Hold = "no_engine_may_change"
	HoldUnsettled  Hold = "demand_unsettled"
	HoldNoDemand   Hold = "no_demand"
	HoldWellPlaced Hold = "well_placed"

	// Reasons for not moving an engine to another model.

	// HoldMinimumsExceedEngines: the minimums of all models add up to more than the
	// zone's usable engines.
	HoldMinimumsExceedEngines Hold = "minimums_exceed_engines"
	// HoldRulesTakeTooFew: the model's rules allow fewer usable engines than its minimum.
	HoldRulesTakeTooFew Hold = "rules_take_too_few_engines"
	// HoldNoSpare: every allowed engine is needed by its present model.
	HoldNoSpare Hold = "no_engine_to_spare"
	// HoldNoRule: no other model has a rule that allows the engine.
	HoldNoRule Hold = "no_rule_takes_the_engine"
	// HoldRecentShortage: the model has been below its minimum for less than
	// Options.PlacementDelay.
	HoldRecentShortage Hold = "may_pass"
	// HoldMoveInProgress: another engine is moving from or to the model.
	HoldMoveInProgress Hold = "move_under_way"
	// HoldAbandoned: the engine's change to this target was recently abandoned.
	HoldAbandoned Hold = "engine_gave_up"
)

// Proposal is a change under consideration, as passed to the policy's condition.
type Proposal struct {
	Model string
	From  engineapi.Role
	To    engineapi.Role
	// Gain is the expected gain in goodput over the horizon, in requests, less the
	// goodput lost during the changes. Price is not yet subtracted.
	Gain  float64
	Price float64
	// PromptRate and OutputRate are the forecast rates, in tokens a second.
	PromptRate float64
	OutputRate float64
	// PrefillUtilisation and DecodeUtilisation are the utilisation of the two
	// stages under the forecast; 1 is full.
	PrefillUtilisation float64
	DecodeUtilisation  float64
	Prefill            int
	Decode             int
	Mixed              int
	// Queued is the number of requests waiting at gateways.
	Queued int
	// SinceLastChange is the time since the zone's last change.
	SinceLastChange time.Duration
}

// Output is the decision of Step.
type Output struct {
	Changes []Change
	// Hold explains an Output without changes.
	Hold Hold
	// Unplaced are the models whose placement is not as their rules require, in
	// the order of the models.
	Unplaced []Unplaced
	// Best is the last proposal that was made, or else the first that was held
	// back; nil if there was none.
	Best *Proposal
}
