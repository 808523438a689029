package policy_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// FuzzCompile checks that any text gives either problems with their positions or a
// program that runs.
func FuzzCompile(f *testing.F) {
	seeds := []string{
		"", "1", "1 +", "request.priority * 2 - request.deadline_in", "10 % zone.engines == 0",
		`request.tenant matches "a+" ? 1 : 0`, "let x = request.priority; x * x", "any([1, 2], # > 1)",
		"change.gain > change.price and demand.queued > 3", "engine.id in ['a', 'b']", "-9223372036854775808 % -1",
		doublingProgram("'x'", "v + v", "len(v)"), doublingProgram("[1]", "[v, v]", "v == v ? 1 : 2"), "(request.batch ? 'a' : 1) + 1",
	}
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		program, problems := policy.Compile(dynamic.Policy{
			Name: "p", Ranking: text,
			Placement:  []dynamic.PlacementRule{{Model: "m", Version: "1", Condition: text}},
			RoleChange: dynamic.RoleChangeRule{Condition: text, PriceProgram: text},
		})
		for _, problem := range problems {
			require.Positive(t, problem.Line, problem.Error())
			require.Positive(t, problem.Column, problem.Error())
			require.NotEmpty(t, problem.Message)
		}
		if len(problems) > 0 {
			return
		}
		program.Rank(policy.RankingVariables{Request: policy.Request{Priority: 7}})
		program.AllowsEngine(0, policy.PlacementVariables{Engine: policy.Engine{Index: 7}})
		program.Price(policy.PriceVariables{Clock: policy.Clock{Hour: 7}})
		program.PermitsChange(policy.RoleChangeVariables{Zone: policy.Zone{Away: 7}})
	})
}
