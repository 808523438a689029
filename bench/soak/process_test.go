package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestASoakNoticesProcessesThatEndAtAHangUp(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "program")
	// It ends once the line of its settings has no end.
	script := "#!/bin/sh\nwhile grep -q ']' \"$3\"; do sleep 0.005; done\n"
	require.NoError(t, os.WriteFile(program, []byte(script), 0o700))
	log, err := os.Create(filepath.Join(folder, "log"))
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	seeds := []string{"a", "b"}
	ending := &process{name: "p0", binary: program, settings: filepath.Join(folder, "p0.yaml"), text: seedsLine(seeds), seeds: seeds, log: log}
	require.NoError(t, ending.start())
	defer ending.end(syscall.SIGKILL)
	s := &soak{truth: newTruth()}
	require.Eventually(t, func() bool {
		s.hangUp(ending)
		return len(s.truth.violations) > 0
	}, time.Minute, time.Millisecond)
	require.Contains(t, s.truth.violations[0], "p0 has ended")
}

func TestChangedSettingsListTheSeedsInAnotherOrder(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	changed := &process{settings: filepath.Join(t.TempDir(), "p0.yaml"), text: "name: p0\n" + seedsLine(seeds) + "\n", seeds: seeds}
	require.NoError(t, changed.changeSettings())
	written, err := os.ReadFile(changed.settings)
	require.NoError(t, err)
	require.Equal(t, "name: p0\nseeds: [b, c, a]\n", string(written))
}
