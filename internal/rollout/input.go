package rollout

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// Options configures a Core.
type Options struct {
	// Observe is the minimum time between two steps. ObserveLimit is the time
	// after which the next step is taken even with fewer than MinimumAttempts.
	Observe      time.Duration
	ObserveLimit time.Duration
	// StepLimit is the time after which an unfinished step halts the rollout.
	StepLimit time.Duration
	// MinimumAttempts is the number of attempts on the new version that ends the
	// observation period once Observe has passed. It is also the minimum sample
	// for judging lateness.
	MinimumAttempts uint64
	// FailureMargin is how far the fraction of failed attempts on the new version
	// may exceed that on the other versions. LateMargin is the same for the
	// fraction of attempts whose first token misses the model's objective.
	FailureMargin float64
	LateMargin    float64
	// Significance is the significance level of the test whether a fraction
	// exceeds its margin: the probability below which that is not put down to
	// chance.
	Significance float64
	// MaximumFailedLoads is the number of failed orders to load the new version
	// on one engine that halts the rollout.
	MaximumFailedLoads int
}

// DefaultOptions returns the options that the controllers use. The margin for
// lateness is wide because a newly changed engine is slow while its prefix cache
// is cold.
func DefaultOptions() Options {
	return Options{
		Observe:            10 * time.Second,
		ObserveLimit:       time.Minute,
		StepLimit:          10 * time.Minute,
		MinimumAttempts:    20,
		FailureMargin:      0.05,
		LateMargin:         0.25,
		Significance:       0.001,
		MaximumFailedLoads: 2,
	}
}

// Engine is one engine of a model.
type Engine struct {
	ID string
	// Desired is the configuration that the engine should run. DesiredAt is the
	// log position at which it was set; an update made on an older one is rejected.
	Desired   engineapi.Configuration
	DesiredAt uint64
	// Version and Adapters are what the policy's placement requires.
	Version  string
	Adapters []string
	// Settled reports whether the engine runs its desired configuration and is in
	// service, or would be if no operator had drained it.
	Settled bool
	// FailedLoads counts the failed orders to reach Desired.
	FailedLoads int
	// AbandonedVersion is the version of the last abandoned change, and AbandonedAt
	// the log position at which the change was abandoned.
	AbandonedVersion string
	AbandonedAt      uint64
	// FailureDetail is the detail that the engine reported for its last failure.
	FailureDetail string
	// Changeable reports whether the engine is reachable, neither drained by an
	// operator nor leaving, and not usable by a gateway that is cut off from the
	// leader.
	Changeable bool
	// InFlight counts the unfinished attempts on the engine, over all gateways.
	InFlight int
}

// Outcomes counts the attempts on a version over all gateways, from an arbitrary
// starting point. Late counts those whose first token missed the model's objective.
type Outcomes struct {
	Ended  uint64
	Failed uint64
	Late   uint64
}

func (o Outcomes) minus(other Outcomes) Outcomes {
	return Outcomes{Ended: o.Ended - other.Ended, Failed: o.Failed - other.Failed, Late: o.Late - other.Late}
}

func (o Outcomes) plus(other Outcomes) Outcomes {
	return Outcomes{Ended: o.Ended + other.Ended, Failed: o.Failed + other.Failed, Late: o.Late + other.Late}
}

// Model is the rollout state of one model and its engines in the zone.
type Model struct {
	Name string
	// Committed is the model's latest rollout, nil if there was none.
	Committed *zonestate.Rollout
	// ChangesForbidden reports whether the model's policy permits no changes.
	ChangesForbidden bool
	Engines          []Engine
	// Outcomes maps each version to its counts, which never decrease during one
	// leadership.
	Outcomes map[string]Outcomes
}

// Input is the state on which Step decides.
type Input struct {
	Models []Model
	// MaximumAway is the maximum number of engines that change at the same time;
	// 0 forbids rollouts.
	MaximumAway int
	// Away counts the engines that are unavailable because of other changes.
	Away int
}

// Output holds the rollout commands and the updates of desired configurations
// that Step decided on.
type Output struct {
	Commands []zonestate.Command
	Desired  []zonestate.DesiredEntry
}
