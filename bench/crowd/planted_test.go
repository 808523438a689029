package crowd

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/bench/planted"
	"github.com/pierhaven/pierhaven/internal/testnet/crowd"
)

// Without the sum over connections, or without places for those who come, the crowds are noticed.
func TestCrowdsAreNoticedWithoutABound(t *testing.T) {
	t.Run("no sum", func(t *testing.T) {
		r := startRegionOf(t, planted.Build(t, "internal/listener/memory.go", "if err := c.keep(size); err == nil {", "if true {"), memoryMegabytes)
		meet(t, r.gateway, r.callers, crowd.Groups(target(callerPath))[0].Clients[:2], announcedClients)
		assert.Greater(t, r.gateway.mostMemory.Load(), int64(memoryMegabytes)<<20)
	})
	t.Run("no places", func(t *testing.T) {
		r := startRegionOf(t, planted.Build(t, "internal/listener/listener.go", "!l.makePlace()", "true"), memoryMegabytes)
		defer r.fill(t, crowd.Idle(target(callerPath))[0].Clients[0])()
		require.Error(t, r.call(t, "beside"))
	})
}
