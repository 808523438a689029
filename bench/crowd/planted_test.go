package crowd

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/testnet/crowd"
)

// buildPlanted builds the program with a fault in one of its files.
func buildPlanted(t *testing.T, file, text, planted string) string {
	t.Helper()
	folder := t.TempDir()
	path, err := filepath.Abs(filepath.Join("..", "..", file))
	require.NoError(t, err)
	source, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(source), text))
	replaced := filepath.Join(folder, "planted.go")
	require.NoError(t, os.WriteFile(replaced, []byte(strings.Replace(string(source), text, planted, 1)), 0o600))
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: replaced}})
	require.NoError(t, err)
	overlayFile := filepath.Join(folder, "overlay.json")
	require.NoError(t, os.WriteFile(overlayFile, overlay, 0o600))
	binary := filepath.Join(folder, "pierhaven")
	output, err := exec.Command("go", "build", "-overlay", overlayFile, "-o", binary, "../../cmd/pierhaven").CombinedOutput()
	require.NoError(t, err, "%s", output)
	return binary
}

// Without the sum over connections, or without places for those who come, the crowds are noticed.
func TestCrowdsAreNoticedWithoutABound(t *testing.T) {
	t.Run("no sum", func(t *testing.T) {
		r := startRegionOf(t, buildPlanted(t, "internal/listener/memory.go", "if err := c.keep(size); err == nil {", "if true {"), memoryMegabytes)
		groups := crowd.Groups(target(callerPath))
		ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
		defer cancel()
		var running sync.WaitGroup
		for number := range announcedClients {
			running.Go(func() { groups[0].Clients[number%2].Send(ctx, r.callers) })
		}
		running.Go(func() { r.gateway.watch(ctx) })
		running.Wait()
		assert.Greater(t, r.gateway.mostMemory.Load(), int64(memoryMegabytes)<<20)
	})
	t.Run("no places", func(t *testing.T) {
		r := startRegionOf(t, buildPlanted(t, "internal/listener/listener.go", "!l.makePlace()", "true"), memoryMegabytes)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		for range idleClients {
			running.Go(func() {
				for ctx.Err() == nil {
					crowd.Idle(target(callerPath))[0].Clients[0].Send(ctx, r.callers)
					time.Sleep(redialPause)
				}
			})
		}
		running.Go(func() { r.gateway.watch(ctx) })
		require.Eventually(t, func() bool { return r.gateway.mostDescriptors.Load() > crowdDescriptors }, patience, 10*time.Millisecond)
		require.Error(t, r.call(t, "beside"))
	})
}
