package reconcile

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/api/platformapi"
)

// listedEngines returns a list that reports the given engines in a state.
func listedEngines(sequence uint64, state platformapi.MachineState, ids ...string) *platformapi.MachineList {
	list := &platformapi.MachineList{Sequence: sequence}
	for _, id := range ids {
		list.Machines = append(list.Machines, platformapi.Machine{
			ID: id, Kind: platformapi.KindEngine, Zone: "zone-a", Address: id + ":1", State: state,
		})
	}
	return list
}

func TestPlatformLeavingWithholdsEngine(t *testing.T) {
	z := newFaultFreeZone(t, 4, Config{})
	z.core.RecordMachineList(listedEngines(1, platformapi.MachineLeaving, "engine-2"))
	z.run(time.Second)
	require.Equal(t, []string{"engine-0", "engine-1", "engine-3"}, z.dispatchable())
}

// A wrong list must not drain the fleet. Engines that are really leaving report it
// themselves.
func TestMachineListReportingMostEnginesUnavailableIsIgnored(t *testing.T) {
	for _, state := range []platformapi.MachineState{platformapi.MachineLeaving, platformapi.MachineGone} {
		z := newFaultFreeZone(t, 4, Config{})
		z.core.RecordMachineList(listedEngines(1, state, "engine-0", "engine-1", "engine-2", "engine-3"))
		z.run(30 * time.Second)
		require.Len(t, z.dispatchable(), 4, state)
		require.True(t, z.core.MachineListSuspect())
	}
}

func TestEnginesReportingLeavingAreWithheld(t *testing.T) {
	z := newFaultFreeZone(t, 4, Config{})
	for _, engine := range z.engines {
		engine.Phase = engineapi.PhaseLeaving
	}
	z.run(3 * time.Second)
	require.Empty(t, z.dispatchable())
}

func TestRespondingEngineIsNotRemoved(t *testing.T) {
	z := newFaultFreeZone(t, 4, Config{})
	z.core.RecordMachineList(listedEngines(1, platformapi.MachineGone, "engine-2"))
	z.run(20 * time.Minute)
	require.Len(t, z.dispatchable(), 4)
}

// After a restart the platform restarts its sequence numbers and lists no machines
// at first. This must not put a leaving engine back into service.
func TestEmptyMachineListAfterPlatformRestartKeepsHints(t *testing.T) {
	z := newFaultFreeZone(t, 4, Config{})
	z.core.RecordMachineList(listedEngines(500, platformapi.MachineLeaving, "engine-2"))
	z.run(time.Second)
	for sequence := range uint64(10) {
		z.core.RecordMachineList(listedEngines(sequence, platformapi.MachineLive))
		z.run(time.Second)
	}
	require.Equal(t, []string{"engine-0", "engine-1", "engine-3"}, z.dispatchable(), "a machine missing from the list keeps its hint")
	z.core.RecordMachineList(listedEngines(11, platformapi.MachineLive, "engine-2"))
	z.run(30 * time.Second)
	require.Len(t, z.dispatchable(), 4, "the restarted sequence is accepted")
}

// A flapping list must not put an engine into service and withhold it each time.
func TestFlappingMachineListKeepsEngineWithheld(t *testing.T) {
	z := newFaultFreeZone(t, 4, Config{})
	z.core.RecordMachineList(listedEngines(1, platformapi.MachineLeaving, "engine-2"))
	z.run(time.Second)
	withheld, _ := z.state.Engine("engine-2")
	since := withheld.WithheldAt
	require.NotZero(t, since)
	for sequence := uint64(2); sequence < 22; sequence += 2 {
		z.core.RecordMachineList(listedEngines(sequence, platformapi.MachineLive, "engine-2"))
		z.run(time.Second)
		z.core.RecordMachineList(listedEngines(sequence+1, platformapi.MachineLeaving, "engine-2"))
		z.run(time.Second)
	}
	require.Equal(t, since, withheld.WithheldAt)
	z.core.RecordMachineList(listedEngines(30, platformapi.MachineLive, "engine-2"))
	z.run(30 * time.Second)
	require.Len(t, z.dispatchable(), 4)
}

func TestFormerAddressDoesNotVerifyMovedEngine(t *testing.T) {
	z := newFaultFreeZone(t, 4, Config{})
	z.unresponsive["engine-2"] = true
	z.core.config.Engines[2].Address = "other:1"
	z.run(5 * time.Second)
	require.Equal(t, []string{"engine-0", "engine-1", "engine-3"}, z.dispatchable(), "no response from the new address")
	z.unresponsive["engine-2"] = false
	z.run(5 * time.Second)
	require.Len(t, z.dispatchable(), 4)
}
