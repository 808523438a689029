package policycheck_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policycheck"
)

const sorteerhulp = "../../deployments/sorteerhulp"

// readRecordedTrace returns the recorded Sorteerhulp trace and its settings without
// policies.
func readRecordedTrace(t *testing.T) (policycheck.Trace, policycheck.ReplaySettings) {
	t.Helper()
	path := filepath.Join(sorteerhulp, "traces", "evening-truck.jsonl")
	file, err := os.Open(path)
	require.NoError(t, err)
	defer file.Close()
	trace, err := policycheck.ReadTrace(path, file)
	require.NoError(t, err)
	require.NotEmpty(t, trace.Calls)

	content, err := os.ReadFile(filepath.Join(sorteerhulp, "deployment.yaml"))
	require.NoError(t, err)
	zones, err := policycheck.ReadZones("deployment.yaml", content)
	require.NoError(t, err)
	require.Len(t, zones, 4)
	content, err = os.ReadFile(filepath.Join(sorteerhulp, "configuration.yaml"))
	require.NoError(t, err)
	var configuration dynamic.Snapshot
	require.NoError(t, yaml.Unmarshal(content, &configuration))
	return trace, policycheck.ReplaySettings{
		Zones: zones, Models: configuration.Models, Tenants: configuration.Tenants,
		Start: time.Date(2026, 12, 2, 17, 0, 0, 0, time.UTC),
	}
}

func currentPolicy() dynamic.Policy {
	return dynamic.Policy{
		Name:       "evening",
		Models:     []string{"address-reading"},
		RoleChange: dynamic.RoleChangeRule{Price: 2, MinimumDwellSeconds: 5, MaximumAway: 1},
	}
}

func TestTheSamePolicyChangesNothing(t *testing.T) {
	trace, settings := readRecordedTrace(t)
	settings.Present = []dynamic.Policy{currentPolicy()}
	settings.Checked = settings.Present
	comparison := policycheck.Compare(trace, settings)
	assert.Equal(t, len(trace.Calls), comparison.Calls)
	assert.Equal(t, comparison.Present, comparison.Checked)
	assert.NotEmpty(t, comparison.Present.Changes, "the request mix changes during the trace")
	offered := 0
	for _, call := range trace.Calls {
		if !call.Batch {
			offered += call.Requests
		}
	}
	assert.InDelta(t, float64(offered), comparison.Present.Offered, 1e-6)
	assert.LessOrEqual(t, comparison.Present.Served, comparison.Present.Offered)
	assert.Empty(t, comparison.Placement)
	assert.Empty(t, comparison.Failures)
	for _, class := range comparison.Ranking {
		assert.Zero(t, class.Earlier+class.Later)
		assert.Equal(t, class.Present, class.Checked)
	}
}

func TestCompareShowsWhatAPolicyWouldChange(t *testing.T) {
	trace, settings := readRecordedTrace(t)
	settings.Present = []dynamic.Policy{currentPolicy()}
	checked := currentPolicy()
	checked.Ranking = "-request.prompt_tokens"
	checked.Placement = []dynamic.PlacementRule{
		{Model: "address-reading", Version: "2026-12", Adapters: []string{"belt"}, Condition: "engine.index == 0"},
		{Model: "address-reading", Version: "2026-11"},
	}
	checked.RoleChange.MaximumAway = 0
	settings.Checked = []dynamic.Policy{checked}
	comparison := policycheck.Compare(trace, settings)

	assert.NotEmpty(t, comparison.Present.Changes)
	assert.Empty(t, comparison.Checked.Changes, "maximum_away 0 forbids changes")
	require.Len(t, comparison.Placement, 4, "the first engine of each zone")
	assert.Equal(t, "hal-noord-engine-1", comparison.Placement[0].Engine)
	assert.Equal(t, policycheck.Placement{Version: "2026-12", Adapters: []string{"belt"}}, comparison.Placement[0].Checked)
	moved := 0
	for _, class := range comparison.Ranking {
		moved += class.Earlier + class.Later
	}
	assert.Positive(t, moved)
}

func TestRoleChangeConditionsAndFailuresCount(t *testing.T) {
	trace, settings := readRecordedTrace(t)
	settings.Present = []dynamic.Policy{currentPolicy()}
	refusing, failing := currentPolicy(), currentPolicy()
	refusing.RoleChange.Condition = "change.since_last < 0"
	settings.Checked = []dynamic.Policy{refusing}
	assert.Empty(t, policycheck.Compare(trace, settings).Checked.Changes)

	// Sorteerhulp has 3 engines per zone, and the compiler's samples have 0 and 6,
	// so the condition fails only in the replay.
	failing.RoleChange.Condition = "1 % (zone.engines - 3) == 0"
	settings.Checked = []dynamic.Policy{failing}
	comparison := policycheck.Compare(trace, settings)
	require.Len(t, comparison.Failures, 1)
	assert.Equal(t, "role_change.condition", comparison.Failures[0].Field)
	assert.Equal(t, comparison.Present.Changes, comparison.Checked.Changes, "a failed condition permits the change")
}

func TestRankingComparesWithinTenantAndPriority(t *testing.T) {
	lines := []string{`{"format":"pierhaven-trace/1","name":"t","duration_ms":1000}`}
	call := func(at, priority, prompt int, tenant, class string) {
		lines = append(lines, fmt.Sprintf(`{"arrival_us":%d,"kind":"model","class":%q,"tenant":%q,"zone":"z","priority":%d,"model":"m","prompt_tokens":%d,"output_tokens":1}`,
			at, class, tenant, priority, prompt))
	}
	call(1, 1, 900, "a", "long")
	call(2, 1, 10, "a", "short")
	call(3, 2, 1, "a", "urgent")
	call(4, 1, 1, "b", "other")
	lines = append(lines, `{"arrival_us":5,"kind":"application","tenant":"a","zone":"z"}`)
	trace, err := policycheck.ReadTrace("t.jsonl", strings.NewReader(strings.Join(lines, "\n")))
	require.NoError(t, err)
	assert.Equal(t, 1, trace.Others)
	comparison := policycheck.Compare(trace, policycheck.ReplaySettings{
		Checked: []dynamic.Policy{{Name: "p", Ranking: "-request.prompt_tokens"}},
	})
	assert.Equal(t, []policycheck.ClassOrder{
		{Class: "long", Calls: 1, Compared: 1, Present: 0, Checked: 1, Later: 1},
		{Class: "other", Calls: 1},
		{Class: "short", Calls: 1, Compared: 1, Present: 1, Checked: 0, Earlier: 1},
		{Class: "urgent", Calls: 1},
	}, comparison.Ranking)
}

func TestInvalidTracesAreRejectedWithTheLine(t *testing.T) {
	const header = `{"format":"pierhaven-trace/1","name":"t"}` + "\n"
	cases := map[string]string{
		"":                                  "t.jsonl: is empty",
		"{":                                 "t.jsonl:1:1: unexpected end",
		`{"format":"other"}`:                `t.jsonl:1:1: format is "other"`,
		header + "[]":                       "t.jsonl:2:1: ",
		header + `{"kind":"model"}`:         "t.jsonl:2:1: a model item needs model, zone and tenant",
		header + "\n{}":                     "t.jsonl:2:1: ",
		header + strings.Repeat("x", 1<<20): "t.jsonl:2:1: bufio.Scanner: token too long",
		header + `{"kind":"model","model":"m","zone":"z","tenant":"t","prompt_tokens":-1}`: "t.jsonl:2:1: an arrival",
	}
	for content, message := range cases {
		_, err := policycheck.ReadTrace("t.jsonl", strings.NewReader(content))
		require.ErrorContains(t, err, message)
	}
	_, err := policycheck.ReadZones("d.yaml", []byte("zones: [{name: z, engines: [{count: 2000000000}]}]"))
	require.ErrorContains(t, err, "more than 100000 engines")
	_, err = policycheck.ReadZones("d.yaml", []byte("zones: ["))
	require.Error(t, err)
}
