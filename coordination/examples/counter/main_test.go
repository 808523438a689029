package main

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCounterContinuesAfterRestart(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "data")
	for run := uint64(1); run <= 3; run++ {
		value, err := count(directory, 4)
		require.NoError(t, err)
		require.Equal(t, 4*run, value)
	}
}
