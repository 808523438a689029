package reconcile

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

func (z *faultFreeZone) setDesired(engineID string, role engineapi.Role) {
	z.commit(zonestate.Command{Kind: zonestate.KindSetDesired, Desired: []zonestate.DesiredEntry{{
		EngineID: engineID, Target: engineapi.Configuration{Role: role}, Partial: true,
	}}})
}

// Two zones that list the same engine must not send it orders in turn.
func TestEngineOrderedByAnotherGroupIsNotOrdered(t *testing.T) {
	z := newFaultFreeZone(t, 4, Config{})
	z.setDesired("engine-1", engineapi.RoleDecode)
	z.run(10 * time.Second)
	require.Len(t, z.orders, 1)
	z.engines["engine-1"].HighestFence.Index += 1000
	z.engines["engine-1"].Observed.Role = engineapi.RolePrefill
	z.run(10 * time.Second)
	require.Equal(t, []string{"engine-0", "engine-2", "engine-3"}, z.dispatchable())
	require.Equal(t, ReasonForeign, z.core.Status(z.now, z.state)[1].Reason)
	z.setDesired("engine-1", engineapi.RoleMixed)
	z.run(time.Minute)
	require.Len(t, z.orders, 1, "it receives no further order")
}

// An engine that returns with another configuration must be verified before it is put
// into service.
func TestEngineReturningWithAnotherVersionIsVerifiedFirst(t *testing.T) {
	z := newFaultFreeZone(t, 2, Config{})
	z.engines["engine-1"].Phase = engineapi.PhaseLeaving
	z.run(3 * time.Second)
	left, _ := z.state.Engine("engine-1")
	since := left.WithheldAt
	require.NotZero(t, since)
	z.engines["engine-1"].Phase = engineapi.PhaseServing
	z.engines["engine-1"].Observed.Version = "2"
	for range 20 {
		z.run(100 * time.Millisecond)
		if left.Dispatchable() {
			require.Equal(t, z.engines["engine-1"].Observed, *left.Verified)
		}
	}
}

// A machine that takes over the address of an engine that has moved must not be sent
// work for that engine.
func TestReusedAddressReceivesNoWorkForFormerEngine(t *testing.T) {
	z := newFaultFreeZone(t, 3, Config{})
	z.unresponsive["engine-0"] = true
	z.core.config.Engines[0].Address = "other:1"
	z.core.config.Engines = append(z.core.config.Engines, Target{ID: "engine-9", Address: "engine-1:1"})
	z.unresponsive["engine-9"] = true
	z.unresponsive["engine-1"] = true
	z.run(2 * time.Second)
	require.Equal(t, []string{"engine-2"}, z.dispatchable())
}
