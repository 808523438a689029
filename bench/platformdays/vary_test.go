package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallSite is a deployment of the form that variations know.
const smallSite = `
name = "small"
wire = "wire.json"
zones = [{ name = "a", region = "r" }, { name = "b", region = "r" }]
machines = [
  { class = "front", zone = "a", count = 3, cpu_share = 0.4, memory_mb = 284 },
  { class = "core", zone = "a", count = 1, cpu_share = 0.4, memory_mb = 280, disk = { mb = 128, sync_ms = 5 } },
  { class = "core", zone = "b", count = 1, cpu_share = 0.4, memory_mb = 280, disk = { mb = 128, sync_ms = 5 } },
]
services = [
  { name = "m", slots = 32, conn_cap = 90, servers = [{ zone = "b", count = 2 }], llm = { batch = 32, kv_tokens = 400000, prefill = 0.4, switch_s = 1.0, step_ms = 4.0, prefill_tokens_per_ms = 30, link_mbps = 1000.0 } },
  { name = "app", slots = 6, conn_cap = 90 },
]
[net]
cross_zone_ms = 0.5
[tolerate]
machines = 1
[bounds]
fenced = true
[[day]]
name = "quiet-1"
traffic = [{ zone = "b", per_s = 3.0 }]
`

func writeSmallSite(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "small.toml")
	require.NoError(t, os.WriteFile(path, []byte(smallSite), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "wire.json"), []byte("{}"), 0o600))
	return path
}

func TestEachVariationIsAnotherDeploymentThatCanBeReadAgain(t *testing.T) {
	original := writeSmallSite(t)
	seen := map[string]string{}
	for _, each := range variations {
		varied, err := readSite(original)
		require.NoError(t, err)
		each.vary(varied)
		path, err := varied.write(t.TempDir(), "varied", original)
		require.NoError(t, err, each.name)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		assert.Empty(t, seen[string(text)], "%s is the same as another", each.name)
		seen[string(text)] = each.name
		_, err = readSite(path)
		require.NoError(t, err, each.name)
	}
}

func TestZonesThatBecomeOneAreRenamedEverywhere(t *testing.T) {
	varied, err := readSite(writeSmallSite(t))
	require.NoError(t, err)
	chosenVariations("one-zone")[0].vary(varied)
	require.Len(t, varied.list("zones"), 1)
	for _, machine := range varied.list("machines") {
		assert.Equal(t, "a", machine["zone"])
	}
	path, err := varied.write(t.TempDir(), "one", writeSmallSite(t))
	require.NoError(t, err)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.False(t, strings.Contains(string(text), `"b"`), string(text))
}

func TestCoresAreSpreadOverTheZones(t *testing.T) {
	varied, err := readSite(writeSmallSite(t))
	require.NoError(t, err)
	varied.cores(5, 2)
	var counts []any
	varied.machines("core", func(m site) { counts = append(counts, m["count"]) })
	assert.Equal(t, []any{int64(3), int64(2)}, counts)
	assert.EqualValues(t, 2, varied.table("tolerate")["machines"])
}
