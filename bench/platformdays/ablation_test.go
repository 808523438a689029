package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAPanelHasTheChosenDaysWithEachSeed(t *testing.T) {
	site := "name = \"s\"\n[[day]]\nname = \"quiet-1\"\nseed = 5\n[[day]]\nname = \"scale-1\"\nseed = 6\nload = 2\n"
	panel := ablation{days: []string{"scale-1"}, seeds: 2}.panelOf(site, 3)
	assert.Equal(t, "name = \"s\"\n[[day]]\nname = \"scale-1-s3\"\nseed = 3\nload = 2\n[[day]]\nname = \"scale-1-s4\"\nseed = 4\nload = 2\n", panel)
}

func TestTheMeanLeavesTheBenchsOwnDayOut(t *testing.T) {
	worth, err := meanWorth([]byte(`{"days":[{"name":"scale-1-s1","G":0.2},{"name":"scale-1-s2","G":0.4},{"name":"fresh","G":0.9}]}`))
	require.NoError(t, err)
	assert.InDelta(t, 0.3, worth, 1e-9)
	_, err = meanWorth([]byte(`{"days":[]}`))
	require.ErrorIs(t, err, errNoDays)
}

func TestRowsBeginWithAllOn(t *testing.T) {
	assert.Equal(t, []string{allOn, "prefix_affinity"}, rowsOf("prefix"))
	assert.Greater(t, len(rowsOf("")), 10)
}
