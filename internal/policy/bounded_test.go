package policy_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// doublingProgram builds a program in which each step doubles the result of the
// previous one. 20 steps show the growth without exhausting memory if the program
// runs.
func doublingProgram(first, step, last string) string {
	const steps = 20
	var text strings.Builder
	fmt.Fprintf(&text, "let v0 = %s; ", first)
	for number := range steps {
		fmt.Fprintf(&text, "let v%d = %s; ", number+1, strings.ReplaceAll(step, "v", fmt.Sprintf("v%d", number)))
	}
	return text.String() + strings.ReplaceAll(last, "v", fmt.Sprintf("v%d", steps))
}

// TestProgramsWithUnboundedCostAreRejected guards against programs of a few
// hundred bytes that take memory or time exponential in their size.
func TestProgramsWithUnboundedCostAreRejected(t *testing.T) {
	cases := map[string]string{
		"texts that double":       doublingProgram("request.tenant", "v + v", "len(v)"),
		"constants that double":   doublingProgram("'x'", "v + v", "len(v)"),
		"lists that double":       doublingProgram("[1, 1]", "[v, v]", "v == v ? 1 : 2"),
		"maps that double":        doublingProgram("{a: 1}", "{a: v, b: v}", "v == v ? 1 : 2"),
		"list kept in a variable": "let list = ['a', 'b']; request.tenant in list ? 1 : 2",
		"list in a list":          "request.priority in [[1], [2]] ? 1 : 2",
		"text or number":          "len((request.batch ? request.tenant : request.model) + request.tenant)",
		"a value of either type":  "(request.batch ? request.tenant : 1) + (request.batch ? request.tenant : 1) == 2 ? 1 : 2",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, problems := policy.Compile(dynamic.Policy{Name: "p", Ranking: text})
			require.Len(t, problems, 1, text)
			assert.Contains(t, problems[0].Message, "not allowed", problems[0].Error())
			assert.Positive(t, problems[0].Line)
			assert.Positive(t, problems[0].Column)
		})
	}
}

func TestBoundedListsAndSumsCompile(t *testing.T) {
	for _, text := range []string{
		"request.tenant in ['a', 'b'] ? 1 : 2",
		"not (request.priority in [1, 2 + 3, request.prompt_tokens]) ? 1 : 2",
		"request.priority + request.deadline_in + 1",
		"let late = request.has_deadline ? 1 / max(request.deadline_in, 0.1) : 0; late + (request.batch ? 0 : 1) + (late + 1)",
		"let doubled = request.priority + request.priority; doubled + doubled",
		"request.tenant + 'x' == 'y' ? 1 : 2",
	} {
		_, problems := policy.Compile(dynamic.Policy{Name: "p", Ranking: text})
		if strings.Contains(text, "'x'") {
			require.Len(t, problems, 1, "string concatenation is rejected")
			continue
		}
		require.Empty(t, problems, text)
	}
}
