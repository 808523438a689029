package policy

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// BuiltinRank is the ranking that applies without a policy and when a policy
// fails: the nearer the deadline, the higher the rank. Requests without a deadline
// rank last.
func BuiltinRank(variables *RankingVariables) float64 {
	if !variables.Request.HasDeadline {
		return -math.MaxFloat32
	}
	return -variables.Request.DeadlineIn
}

// BuiltinRankAt is the built-in ranking for an absolute deadline, 0 for none.
// Unlike BuiltinRank, its results are comparable between requests that arrived at
// different times.
func BuiltinRankAt(deadline time.Duration) float64 {
	if deadline <= 0 {
		return -math.MaxFloat32
	}
	return -deadline.Seconds()
}

// Document returns the policy that was compiled.
func (p *Program) Document() dynamic.Policy { return p.document }

// Governs reports whether the policy applies to a model.
func (p *Program) Governs(model string) bool {
	return len(p.document.Models) == 0 || slices.Contains(p.document.Models, model)
}

// Rank returns a request's rank; higher ranks go first. A nil program, a program
// without a ranking and one that fails or whose result is not finite give the
// built-in rank.
func (p *Program) Rank(variables RankingVariables) float64 {
	if p == nil || p.ranking == nil {
		return BuiltinRank(&variables)
	}
	result, err := p.ranking.run(variables)
	if err != nil {
		p.ranking.recordFailure(err)
		return BuiltinRank(&variables)
	}
	rank, ok := result.(float64)
	if !ok || math.IsNaN(rank) || math.IsInf(rank, 0) {
		p.ranking.recordFailure(fmt.Errorf("the rank is %v, which is no finite number", result))
		return BuiltinRank(&variables)
	}
	return rank
}

// HasRanking reports whether the policy has a ranking program.
func (p *Program) HasRanking() bool { return p != nil && p.ranking != nil }

// RankingReadsCachedTokens reports whether the ranking program reads the length of the cached
// prefix, which is known only after a routing decision.
func (p *Program) RankingReadsCachedTokens() bool {
	return p.HasRanking() && p.ranking.reads("cached_tokens")
}

// AllowsEngine reports whether a placement rule allows an engine. A rule without a
// condition allows every engine. A rule whose condition fails allows none, so that
// a run-time error never moves an engine.
func (p *Program) AllowsEngine(rule int, variables PlacementVariables) bool {
	if rule >= len(p.placement) {
		return false
	}
	if p.placement[rule] == nil {
		return true
	}
	return p.placement[rule].evaluateCondition(variables, false)
}

// PermitsChange reports whether the role-change condition permits a proposed
// change. It returns true without a condition and when the condition fails, so
// that the planner's own estimate decides.
func (p *Program) PermitsChange(variables RoleChangeVariables) bool {
	if p == nil || p.roleChange == nil {
		return true
	}
	return p.roleChange.evaluateCondition(variables, true)
}

// Price returns the price of one role change in requests. The document's fixed
// price is used if there is no price program, if it fails, or if its result is
// negative or not finite. A nil program gives 0.
func (p *Program) Price(variables PriceVariables) float64 {
	if p == nil {
		return 0
	}
	if p.price == nil {
		return p.document.RoleChange.Price
	}
	result, err := p.price.run(variables)
	if err != nil {
		p.price.recordFailure(err)
		return p.document.RoleChange.Price
	}
	price, ok := result.(float64)
	if !ok || math.IsNaN(price) || math.IsInf(price, 0) || price < 0 {
		p.price.recordFailure(fmt.Errorf("the price is %v, which is no finite number of at least 0", result))
		return p.document.RoleChange.Price
	}
	return price
}

// evaluateCondition evaluates a condition and returns fallback on a run-time
// failure.
func (e *expression) evaluateCondition(variables any, fallback bool) bool {
	result, err := e.run(variables)
	if err != nil {
		e.recordFailure(err)
		return fallback
	}
	holds, ok := result.(bool)
	if !ok {
		e.recordFailure(fmt.Errorf("the condition gave %v", result))
		return fallback
	}
	return holds
}

// Failure counts the run-time failures of one field. A count of 0 reports a field
// that does not compile.
type Failure struct {
	Policy string `json:"policy"`
	Field  string `json:"field"`
	Count  uint64 `json:"count"`
	// Last is the message of the most recent failure, or of the compile error.
	Last string `json:"last"`
}

// Failures returns the fields that have failed at run time, for status reports.
func (p *Program) Failures() []Failure {
	if p == nil {
		return nil
	}
	var failures []Failure
	for _, each := range append([]*expression{p.ranking, p.roleChange, p.price}, p.placement...) {
		if each == nil || each.failures.Load() == 0 {
			continue
		}
		failure := Failure{Policy: p.document.Name, Field: each.field, Count: each.failures.Load()}
		if last := each.lastFailure.Load(); last != nil {
			failure.Last = *last
		}
		failures = append(failures, failure)
	}
	return failures
}
