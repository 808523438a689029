package planner

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// EngineStatus is the state of an engine as known to the zone's controllers.
type EngineStatus struct {
	ID string
	// Desired is the configuration last committed; Observed is the one that the
	// engine reports.
	Desired  engineapi.Configuration
	Observed engineapi.Configuration
	Phase    engineapi.Phase
	// Reachable is false if the engine has answered no recent poll.
	Reachable bool
	// Draining is set from the commit of a drain until the engine is serving again.
	Draining bool
	// Pinned is set while an operator drains the engine or it is leaving: the
	// planner doesn't change it or count it as capacity.
	Pinned bool
	// Isolated is set while an unresponsive gateway may still dispatch to the engine.
	Isolated bool
	// AbandonedTarget is the target of the last change, if that change was abandoned and
	// no other target has been set since; nil otherwise.
	AbandonedTarget *engineapi.Configuration
	// InFlight is the number of requests in the engine at its last report.
	InFlight int
	// Load is the newest load report and LoadAge its age.
	Load    engineapi.LoadReport
	LoadAge time.Duration
	// CachedBlocks is the number of blocks in the engine's prefix cache.
	CachedBlocks int
}

// Demand is the demand for a model, summed over the zone's gateways. Rates are per
// second.
type Demand struct {
	Model    string
	Requests float64
	// PromptTokens is the rate of requested prompt tokens, cached or not.
	PromptTokens float64
	// OutputTokens is the expected rate of output tokens for these requests.
	OutputTokens float64
	// Queued is the number of requests waiting at gateways; OldestWait is the
	// longest wait among them.
	Queued     int
	OldestWait time.Duration
	// Missed is the rate of requests refused or answered outside their objectives.
	Missed float64
	// Age is the age of the oldest gateway heartbeat in the sum.
	Age time.Duration
}

// Model is a model with its objectives, placement and rules for changes.
type Model struct {
	Name          string
	Version       string
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Minimum is the minimum number of engines that the placement rules require.
	Minimum int
	// Placement decides which engines may run the model; nil allows all.
	Placement Placement
	// Rules limit the changes of the model's engines; nil means the zone's rules.
	Rules *Rules
}

// Rules limit the planner's changes. They come from the role-change rule of the
// policy that governs a model.
type Rules struct {
	// Price is the price of one change, in requests of goodput.
	Price float64
	// MinimumDwell is the least time between changes of an engine.
	MinimumDwell time.Duration
	// MaximumAway is the maximum number of engines that change at the same time;
	// 0 forbids changes.
	MaximumAway int
	// Permit is the policy's role-change condition; nil permits every change.
	Permit func(Proposal) bool
}

// Input is the state on which Step decides.
type Input struct {
	Engines []EngineStatus
	Demand  []Demand
	Models  []Model
	// Rules apply to models without rules of their own. Their MaximumAway also
	// limits the engines of all models that are away in the zone.
	Rules Rules
	// GatewaysExpected is the number of gateway sessions, GatewaysReporting the
	// number of gateways with fresh heartbeats. Nothing is changed unless a
	// sufficient share reports (Options.MinimumReportingShare).
	GatewaysExpected  int
	GatewaysReporting int
}

// rulesOf returns the rules that limit the changes of a model's engines.
func (i *Input) rulesOf(model *Model) Rules {
	if model.Rules != nil {
		return *model.Rules
	}
	return i.Rules
}
