package policy_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// TestInvalidPoliciesReportThePosition checks for ten kinds of mistakes that the
// one problem reported has the mistake's field, line and column.
func TestInvalidPoliciesReportThePosition(t *testing.T) {
	condition := func(text string) dynamic.Policy {
		return dynamic.Policy{Name: "p", RoleChange: dynamic.RoleChangeRule{Condition: text}}
	}
	ranking := func(text string) dynamic.Policy { return dynamic.Policy{Name: "p", Ranking: text} }
	placement := func(text string) dynamic.Policy {
		rule := dynamic.PlacementRule{Model: "m", Version: "1"}
		wrong := rule
		wrong.Condition = text
		return dynamic.Policy{Name: "p", Placement: []dynamic.PlacementRule{rule, wrong}}
	}
	cases := []struct {
		name         string
		document     dynamic.Policy
		field        string
		line, column int
		message      string
	}{
		{"unknown variable", ranking("request.priority + request.pirority"), "ranking", 1, 28, "pirority"},
		{"unknown root on the second line", ranking("request.priority +\n  requests.priority"), "ranking", 2, 3, "unknown name requests"},
		{"syntax", ranking("request.priority + * 2"), "ranking", 1, 20, "unexpected token"},
		{"text plus number", ranking("1 + request.tenant"), "ranking", 1, 3, "mismatched types"},
		{"boolean for a number", ranking("request.batch"), "ranking", 1, 1, "expected"},
		{"number for a boolean", condition("change.gain"), "role_change.condition", 1, 1, "expected bool"},
		{"loop", condition("any([1, 2], # > 1)"), "role_change.condition", 1, 1, "any"},
		{"range", condition("change.gain > 1 and 5 in 1..1000000000"), "role_change.condition", 1, 27, "ranges"},
		{"variable of another program", placement("engine.id == request.tenant"), "placement[1].condition", 1, 14, "unknown name request"},
		{"division by zero", placement("10 % zone.engines == 0"), "placement[1].condition", 1, 4, "integer divide by zero"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, problems := policy.Compile(test.document)
			require.Len(t, problems, 1)
			assert.Equal(t, test.field, problems[0].Field)
			assert.Equal(t, test.line, problems[0].Line, problems[0].Error())
			assert.Equal(t, test.column, problems[0].Column, problems[0].Error())
			assert.Contains(t, problems[0].Message, test.message)
		})
	}
}

func TestEveryProblemIsReported(t *testing.T) {
	_, problems := policy.Compile(dynamic.Policy{
		Ranking:    "nothing",
		Placement:  []dynamic.PlacementRule{{Condition: "1 +", Minimum: -1}},
		RoleChange: dynamic.RoleChangeRule{Price: math.NaN(), MaximumAway: -1, Condition: "true and"},
	})
	fields := make([]string, 0, len(problems))
	for _, problem := range problems {
		fields = append(fields, problem.Field)
	}
	assert.Equal(t, []string{
		"name", "placement[0].model", "placement[0].version", "placement[0].minimum",
		"role_change.price", "role_change.maximum_away", "ranking", "placement[0].condition", "role_change.condition",
	}, fields)
}

func TestOversizedExpressionsAreRejected(t *testing.T) {
	text := "1"
	for range policy.MaximumNodes {
		text += "+request.priority"
	}
	_, problems := policy.Compile(dynamic.Policy{Name: "p", Ranking: text})
	require.Len(t, problems, 1)
	assert.Positive(t, problems[0].Line)
}

func TestRank(t *testing.T) {
	program, problems := policy.Compile(dynamic.Policy{Name: "p", Ranking: "request.priority * 100 - request.prompt_tokens / 1000"})
	require.Empty(t, problems)
	rank := program.Rank(policy.RankingVariables{Request: policy.Request{Priority: 2, PromptTokens: 500}})
	assert.InDelta(t, 199.5, rank, 1e-9)
}

// TestRuntimeFailureFallsBack divides by a value that is zero at run time but not
// in the samples, so that the programs compile.
func TestRuntimeFailureFallsBack(t *testing.T) {
	program, problems := policy.Compile(dynamic.Policy{
		Name:       "p",
		Ranking:    "float(100 % (request.priority - 7))",
		Placement:  []dynamic.PlacementRule{{Model: "m", Version: "1", Condition: "1 % (engine.index - 7) == 0"}},
		RoleChange: dynamic.RoleChangeRule{Condition: "1 % (zone.away - 7) == 0"},
	})
	require.Empty(t, problems)
	variables := policy.RankingVariables{Request: policy.Request{Priority: 7, HasDeadline: true, DeadlineIn: 3}}
	assert.InDelta(t, policy.BuiltinRank(&variables), program.Rank(variables), 0)
	assert.False(t, program.AllowsEngine(0, policy.PlacementVariables{Engine: policy.Engine{Index: 7}}))
	assert.True(t, program.PermitsChange(policy.RoleChangeVariables{Zone: policy.Zone{Away: 7}}))
	failures := program.Failures()
	require.Len(t, failures, 3)
	for _, failure := range failures {
		assert.Equal(t, uint64(1), failure.Count)
		assert.Contains(t, failure.Last, "integer divide by zero")
	}
}

func TestNotFiniteRankFallsBack(t *testing.T) {
	program, problems := policy.Compile(dynamic.Policy{Name: "p", Ranking: "1 / (request.priority - 7.0)"})
	require.Empty(t, problems)
	variables := policy.RankingVariables{Request: policy.Request{Priority: 7}}
	assert.InDelta(t, policy.BuiltinRank(&variables), program.Rank(variables), 0)
	assert.Len(t, program.Failures(), 1)
}

func TestPriceProgram(t *testing.T) {
	priced := func(text string) *policy.Program {
		program, problems := policy.Compile(dynamic.Policy{Name: "p", RoleChange: dynamic.RoleChangeRule{Price: 7, PriceProgram: text}})
		require.Empty(t, problems)
		return program
	}
	evening := policy.PriceVariables{Clock: policy.Clock{Hour: 18}}
	var none *policy.Program
	assert.Zero(t, none.Price(evening))
	assert.InDelta(t, 7, priced("").Price(evening), 0)
	assert.InDelta(t, 1, priced("clock.hour >= 17 ? 1 : 20").Price(evening), 0)
	for _, failing := range []string{"17 - clock.hour", "1 / (clock.hour - 18.0)", "float(1 % (clock.hour - 18))"} {
		program := priced(failing)
		assert.InDelta(t, 7, program.Price(evening), 0, failing)
		require.Len(t, program.Failures(), 1)
		assert.Equal(t, "role_change.price_program", program.Failures()[0].Field)
	}
	_, problems := policy.Compile(dynamic.Policy{Name: "p", RoleChange: dynamic.RoleChangeRule{PriceProgram: "change.gain"}})
	require.Len(t, problems, 1, "the price is computed before a change is proposed, so its variables are not available")
}

func TestSetPrefersThePolicyThatNamesTheModel(t *testing.T) {
	set := policy.CompileSet([]dynamic.Policy{
		{Name: "all", Ranking: "1"},
		{Name: "broken", Models: []string{"booking"}, Ranking: "nothing"},
		{Name: "mine", Models: []string{"booking"}, Ranking: "2"},
	})
	assert.Equal(t, "mine", set.ProgramFor("booking").Document().Name)
	assert.Equal(t, "all", set.ProgramFor("other").Document().Name)
	failures := set.Failures()
	require.Len(t, failures, 1)
	assert.Equal(t, "broken", failures[0].Policy)
	assert.Equal(t, "ranking", failures[0].Field)
	assert.Zero(t, failures[0].Count)
}

// TestUnchangedPoliciesKeepTheirFailureCounts applies a configuration in which only
// another policy has changed; a recompiled program would lose its failure count.
func TestUnchangedPoliciesKeepTheirFailureCounts(t *testing.T) {
	failing := dynamic.Policy{Name: "failing", Models: []string{"m"}, Ranking: "float(1 % (request.priority - 7))"}
	set := policy.CompileSet([]dynamic.Policy{failing, {Name: "other", Ranking: "1"}})
	set.ProgramFor("m").Rank(policy.RankingVariables{Request: policy.Request{Priority: 7}})
	require.Len(t, set.Failures(), 1)
	later := set.Recompile([]dynamic.Policy{failing, {Name: "other", Ranking: "2"}})
	require.Len(t, later.Failures(), 1)
	assert.Equal(t, uint64(1), later.Failures()[0].Count)
	failing.Ranking = "1"
	assert.Empty(t, later.Recompile([]dynamic.Policy{failing}).Failures())
}

func TestBuiltinRankAtComparesRequestsOfDifferentTimes(t *testing.T) {
	assert.Greater(t, policy.BuiltinRankAt(10*time.Second), policy.BuiltinRankAt(11*time.Second))
	assert.Less(t, policy.BuiltinRankAt(0), policy.BuiltinRankAt(1000*time.Hour))
}

func TestRankingReadsCachedTokens(t *testing.T) {
	for ranking, reads := range map[string]bool{
		"":                         false,
		"-request.deadline_at":     false,
		"request.cached_tokens":    true,
		`request["cached_tokens"]`: true,
		"request.has_deadline ? -request.deadline_at : 0.5 * request?.cached_tokens": true,
	} {
		program, problems := policy.Compile(dynamic.Policy{Name: "p", Ranking: ranking})
		require.Empty(t, problems, ranking)
		require.Equal(t, reads, program.RankingReadsCachedTokens(), ranking)
	}
}
