package policycheck

import (
	"cmp"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// ReplaySettings are the environment in which a trace is replayed.
type ReplaySettings struct {
	Zones  []Zone
	Models []dynamic.Model
	// Tenants give the weights; a tenant that is missing has weight 1.
	Tenants []dynamic.Tenant
	// Present are the policies in effect; the built-in policy applies if empty.
	Present []dynamic.Policy
	// Checked are the policies to check. They replace present policies with the
	// same name and are added to the others.
	Checked []dynamic.Policy
	// Start is the wall-clock time at which the replay starts, for the clock
	// variables.
	Start time.Time
}

// Comparison reports what the checked policies would have changed.
type Comparison struct {
	Trace string `json:"trace"`
	Calls int    `json:"calls"`
	// Ranking has one row per class of calls.
	Ranking []ClassOrder `json:"ranking"`
	// Placement lists the engines that the policies place differently.
	Placement []PlacementChange `json:"placement"`
	Present   RoleChanges       `json:"present"`
	Checked   RoleChanges       `json:"checked"`
	// Failures are the failures during the replay with the checked policies, and
	// the policies that do not compile.
	Failures []policy.Failure `json:"failures"`
}

// Compare replays a trace under the present and under the checked policies.
func Compare(trace Trace, settings ReplaySettings) Comparison {
	present := policy.CompileSet(settings.Present)
	checked := policy.CompileSet(mergePolicies(settings.Present, settings.Checked))
	comparison := Comparison{
		Trace:     trace.Name,
		Calls:     len(trace.Calls),
		Ranking:   compareRanking(trace, settings, present, checked),
		Placement: comparePlacement(settings, present, checked),
		Present:   replayRoleChanges(trace, settings, present),
		Checked:   replayRoleChanges(trace, settings, checked),
		Failures:  []policy.Failure{},
	}
	comparison.Failures = append(comparison.Failures, checked.Failures()...)
	return comparison
}

// mergePolicies replaces present policies by the checked ones with the same names.
// The result is sorted by name, because of several policies for a model the first
// by name is used.
func mergePolicies(present, checked []dynamic.Policy) []dynamic.Policy {
	result := slices.Clone(checked)
	for _, each := range present {
		replaced := slices.ContainsFunc(checked, func(other dynamic.Policy) bool { return other.Name == each.Name })
		if !replaced {
			result = append(result, each)
		}
	}
	slices.SortFunc(result, func(a, b dynamic.Policy) int { return cmp.Compare(a.Name, b.Name) })
	return result
}

func (s *ReplaySettings) clockAt(since time.Duration) policy.Clock {
	return policy.ClockAt(s.Start.Add(since))
}
