package zonestate

import (
	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
	"testing"
)

// TestSnapshotIsComplete checks that a state which is restored from a snapshot before
// each command returns the same results as one that never is.
func TestSnapshotIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newCommandLog(t, 1)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			data, err := log.state.Snapshot()
			require.NoError(t, err)
			restored := New()
			require.NoError(t, restored.Restore(data))
			command := drawCommand(t, log)
			want := log.apply(command)
			encoded, err := command.Encode()
			require.NoError(t, err)
			got, err := DecodeResult(restored.Apply(log.index, encoded))
			require.NoError(t, err)
			require.Equal(t, want, got)
			after, err := log.state.Snapshot()
			require.NoError(t, err)
			afterRestored, err := restored.Snapshot()
			require.NoError(t, err)
			require.Equal(t, after, afterRestored)
			request := wire.WatchRequest{Revision: rapid.Uint64Range(0, log.index).Draw(t, "since")}
			require.Equal(t, log.state.ViewFor(&request), restored.ViewFor(&request))
		}
	})
}

// drawCommand generates commands whose guards mostly match.
func drawCommand(t *rapid.T, log *commandLog) Command {
	command := Command{TimeMillis: rapid.Int64Range(0, 5000).Draw(t, "time")}
	command.Kind = rapid.SampledFrom([]Kind{
		KindRegisterEngine, KindRemoveEngine, KindVerifyEngine, KindDoubtEngine, KindSetEngineLeaving,
		KindDrainEngine, KindUndrainEngine, KindBeginChange, KindCancelChange, KindIssueOrder,
		KindCompleteOrder, KindFailOrder, KindAbandonChange, KindSetDesired, KindAdoptConfig,
		KindOpenSession, KindForgetGateway, KindAssignIsolation, KindClaim, KindComplete, KindRelease,
		KindBeginRollout, KindHaltRollout, KindResumeRollout, KindRevertRollout, KindEndRollout,
	}).Draw(t, "kind")
	id := rapid.SampledFrom([]string{"engine", "other"}).Draw(t, "id")
	role := rapid.SampledFrom([]engineapi.Role{engineapi.RoleMixed, engineapi.RoleDecode}).Draw(t, "role")
	switch command.Kind {
	case KindSetDesired:
		command.Desired = []DesiredEntry{{EngineID: id, Target: *configuration(role)}}
	case KindAdoptConfig:
		command.Config = &dynamic.Snapshot{
			Revision: rapid.Uint64Range(0, 20).Draw(t, "revision"),
			Tenants:  []dynamic.Tenant{{Name: "tenant", HomeZone: "hal-noord", OpaqueKeys: true}},
		}
	case KindAssignIsolation:
		command.Sessions = []SessionCommand{*drawSessionCommand(t, log, id), *drawSessionCommand(t, log, "other")}
	case KindOpenSession, KindForgetGateway:
		command.Session = drawSessionCommand(t, log, id)
	case KindBeginRollout, KindHaltRollout, KindResumeRollout, KindRevertRollout, KindEndRollout:
		command.Rollout = &RolloutCommand{
			Model: id, From: "1", To: string(role), Reason: "it fails",
			Guarded: rapid.Bool().Draw(t, "guarded"), ChangedAt: rapid.Uint64Range(0, log.index).Draw(t, "changed at"),
		}
	case KindClaim, KindComplete, KindRelease:
		command.OnceOnly = &OnceOnlyCommand{
			Tenant: "tenant", Key: id, AttemptID: string(role), Zone: "hal-zuid", BodyHash: []byte("h"),
			Answer: &onceonly.Answer{Status: 200, Body: []byte("label")},
			NotRun: rapid.Bool().Draw(t, "not run"),
		}
	default:
		command.Engine = drawEngineCommand(t, log, id, role)
		if command.Kind == KindDrainEngine {
			command.RequestID = rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "request")
		}
	}
	return command
}

func drawSessionCommand(t *rapid.T, log *commandLog, gatewayID string) *SessionCommand {
	part := &SessionCommand{
		GatewayID:    gatewayID,
		Incarnation:  rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Address:      "10.0.0.9:1",
		Ticket:       log.index,
		Acknowledged: rapid.Uint64Range(0, log.index).Draw(t, "acknowledged"),
	}
	if session, found := log.state.Sessions().ByMember(gatewayID); found {
		part.SessionID = session.ID
	}
	return part
}

func drawEngineCommand(t *rapid.T, log *commandLog, id string, role engineapi.Role) *EngineCommand {
	part := &EngineCommand{ID: id, Address: "10.0.0.1:1", Observed: configuration(role)}
	engine, found := log.state.Engine(id)
	if !found {
		return part
	}
	part.WithheldAt = engine.WithheldAt
	part.DesiredAt = engine.DesiredAt
	if engine.Order != nil && rapid.Bool().Draw(t, "right fence") {
		part.Fence = engine.Order.Fence
	}
	return part
}

func FuzzApply(f *testing.F) {
	seeds := []Command{
		{Kind: KindFound, Found: &Found{Zone: "hal-noord", Generation: 1, Parameters: DefaultParameters([]string{"hal-noord"})}},
		{Kind: KindRegisterEngine, Engine: &EngineCommand{ID: "engine", Address: "10.0.0.1:1"}},
		{Kind: KindSetDesired, Desired: []DesiredEntry{{EngineID: "engine", Target: *configuration(engineapi.RoleMixed)}}},
		{Kind: KindOpenSession, Session: &SessionCommand{GatewayID: "g", Incarnation: 1, Address: "a", Ticket: 1}},
		{Kind: KindClaim, OnceOnly: &OnceOnlyCommand{Tenant: "t", Key: "k", AttemptID: "a"}},
		{Kind: KindAdoptConfig, Config: &dynamic.Snapshot{Revision: 1}},
	}
	for i := range seeds {
		data, err := seeds[i].Encode()
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		log := newCommandLog(t, 1)
		log.servingEngine()
		_, err := DecodeResult(log.state.Apply(log.index+1, data))
		require.NoError(t, err)
		snapshot, err := log.state.Snapshot()
		require.NoError(t, err)
		require.NoError(t, New().Restore(snapshot))
		_ = New().Restore(data)
	})
}
