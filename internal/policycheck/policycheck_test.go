package policycheck_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policycheck"
)

func references(t *testing.T) *policycheck.References {
	t.Helper()
	content, err := os.ReadFile("testdata/configuration.yaml")
	require.NoError(t, err)
	var configuration dynamic.Snapshot
	require.NoError(t, yaml.Unmarshal(content, &configuration))
	return policycheck.NewReferences(configuration)
}

func check(t *testing.T, path string, known *policycheck.References) policycheck.Problems {
	t.Helper()
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	document, problems := policycheck.Read(path, content)
	if len(problems) > 0 {
		return problems
	}
	return document.Check(known)
}

// TestProblemsOfInvalidFilesHaveTheirPosition checks that each file gives one
// problem with its position in the file, not in the expression.
func TestProblemsOfInvalidFilesHaveTheirPosition(t *testing.T) {
	cases := map[string]struct{ position, message string }{
		"unknown-variable": {"4:13: ranking", "pirority"},
		"type-mismatch":    {"2:33: ranking", "mismatched types"},
		"wrong-result":     {"2:10: ranking", "expected"},
		"unbounded-range":  {"5:11: role_change.condition", "ranges are not allowed"},
		"loop":             {"3:15: role_change.condition", "any"},
		"too-costly":       {"2:", "nodes"},
		"division-by-zero": {"5:19: placement[0].condition", "integer divide by zero"},
		"syntax":           {"2:30: ranking", "unexpected token"},
		"unknown-model":    {"2:19: models[1]", `there is no model "bookin"; known: booking, triage`},
		"unknown-version":  {"4:14: placement[0].version", `there is no version "2026-11"; known: 2026-10`},
		"unknown-adapter":  {"5:25: placement[0].adapters[1]", `there is no adapter "cardif"; known: cardiff`},
		"negative-price":   {"4:10: role_change.price", "at least 0"},
		"unknown-field":    {"3:3", "unknown field"},
		"repeated-key":     {"3:1", "already defined"},
		"no-name":          {"1:1: name", "needs a name"},
		"unreachable-rule": {"5:12: placement[1].model", "an earlier rule without condition"},
		"not-governed":     {"4:13: placement[0].model", "not among the policy's models"},
	}
	files, err := filepath.Glob("testdata/wrong/*.yaml")
	require.NoError(t, err)
	require.Len(t, files, len(cases), "each file needs a test case")
	for name, expected := range cases {
		t.Run(name, func(t *testing.T) {
			path := fmt.Sprintf("testdata/wrong/%s.yaml", name)
			problems := check(t, path, references(t))
			require.Len(t, problems, 1, problems.Error())
			assert.Contains(t, problems[0].Error(), path+":"+expected.position)
			assert.Contains(t, problems[0].Message, expected.message)
			assert.NotContains(t, problems[0].Error(), "\n")
		})
	}
}

func TestGoodPolicies(t *testing.T) {
	assert.Empty(t, check(t, "testdata/good.yaml", references(t)))
	for _, deployment := range []string{"sorteerhulp", "apwyntiad-cymru"} {
		folder := filepath.Join("../../deployments", deployment)
		content, err := os.ReadFile(filepath.Join(folder, "configuration.yaml"))
		require.NoError(t, err)
		var configuration dynamic.Snapshot
		require.NoError(t, yaml.Unmarshal(content, &configuration))
		policies, err := filepath.Glob(filepath.Join(folder, "policies", "*.yaml"))
		require.NoError(t, err)
		require.NotEmpty(t, policies)
		for _, path := range policies {
			assert.Empty(t, check(t, path, policycheck.NewReferences(configuration)), path)
		}
	}
}

func TestLoadedVersionsAndAdaptersAreKnown(t *testing.T) {
	known := references(t)
	known.AddLoaded("booking", "2026-11", []string{"cardif"})
	known.AddLoaded("bookin", "1", nil)
	assert.Empty(t, check(t, "testdata/wrong/unknown-version.yaml", known))
	assert.Empty(t, check(t, "testdata/wrong/unknown-adapter.yaml", known))
	assert.Len(t, check(t, "testdata/wrong/unknown-model.yaml", known), 1)
}

func TestDuplicateNamesAcrossFilesAreReported(t *testing.T) {
	first, problems := policycheck.Read("a.yaml", []byte("name: same\n"))
	require.Empty(t, problems)
	second, problems := policycheck.Read("b.yaml", []byte("# another\nname: same\n"))
	require.Empty(t, problems)
	problems = policycheck.CheckDuplicateNames([]policycheck.Document{first, second})
	require.Len(t, problems, 1)
	assert.Equal(t, `b.yaml:2:7: name: "same" is the name of the policy in a.yaml too`, problems[0].Error())
}

func TestPartsWithoutEffectGiveWarnings(t *testing.T) {
	rule := dynamic.RoleChangeRule{Price: 2, MaximumAway: 1}
	first := dynamic.Policy{Name: "a", Models: []string{"m"}, RoleChange: rule}
	second := dynamic.Policy{Name: "b", Models: []string{"m", "n"}, RoleChange: dynamic.RoleChangeRule{Price: 9}}
	warnings := policycheck.Warnings([]dynamic.Policy{first}, []dynamic.Policy{second})
	require.Len(t, warnings, 1)
	assert.Contains(t, warnings[0], `"b": does not govern the model "m", because "a" does`)
	general := []dynamic.Policy{{Name: "c", RoleChange: rule}, {Name: "d", RoleChange: rule}}
	warnings = policycheck.Warnings([]dynamic.Policy{first}, general)
	require.Len(t, warnings, 1)
	assert.Contains(t, warnings[0], `"d": governs no model, because "c" lists none either`)
	assert.Empty(t, policycheck.Warnings(general, []dynamic.Policy{second}), "a policy that lists models takes precedence over one that lists none")
	assert.Empty(t, policycheck.Warnings([]dynamic.Policy{second}, []dynamic.Policy{first}))
	assert.Empty(t, policycheck.Warnings(nil, []dynamic.Policy{second}))
}

// TestAllProblemsOfAFileAreReported checks that all problems are reported, in the
// order of the file.
func TestAllProblemsOfAFileAreReported(t *testing.T) {
	content := "role_change: {price: -1, condition: 1 +}\nranking: nothing\nname: w\n"
	document, problems := policycheck.Read("w.yaml", []byte(content))
	require.Empty(t, problems)
	lines := []int{}
	for _, problem := range document.Check(nil) {
		lines = append(lines, problem.Line)
	}
	assert.Equal(t, []int{1, 1, 2}, lines)
}

func FuzzRead(f *testing.F) {
	for _, pattern := range []string{"testdata/*.yaml", "testdata/wrong/*.yaml"} {
		files, err := filepath.Glob(pattern)
		require.NoError(f, err)
		for _, path := range files {
			content, err := os.ReadFile(path)
			require.NoError(f, err)
			f.Add(content)
		}
	}
	f.Add([]byte("name: &a [*a]\n"))
	f.Add([]byte("ranking: >+2\n\n\n   1 +\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		document, problems := policycheck.Read("f.yaml", content)
		if len(problems) == 0 {
			problems = document.Check(policycheck.NewReferences(dynamic.Snapshot{}))
		}
		for _, problem := range problems {
			require.NotEmpty(t, problem.Message)
			require.NotContains(t, problem.Error(), "\n")
			require.GreaterOrEqual(t, problem.Line, 0)
		}
	})
}
