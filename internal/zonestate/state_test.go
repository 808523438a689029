package zonestate

import (
	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
	"github.com/stretchr/testify/require"
	"testing"
)

func TestOrdersWaitForSessionsOfEarlierGenerations(t *testing.T) {
	log := newCommandLog(t, 2)
	engine := log.servingEngine()
	log.setDesiredRole(engineapi.RoleDecode)
	require.Equal(t, OutcomeDone, log.applyEngine(KindBeginChange, EngineCommand{DesiredAt: engine.DesiredAt}).Outcome)
	issue := EngineCommand{WithheldAt: engine.WithheldAt, DesiredAt: engine.DesiredAt}
	require.Equal(t, OutcomeNotReady, log.applyEngine(KindIssueOrder, issue).Outcome, "gateways of an earlier generation may still act")
	log.mustApply(Command{Kind: KindEndPriorSessions})
	require.Equal(t, OutcomeDone, log.applyEngine(KindIssueOrder, issue).Outcome)

	id := log.openSession("gateway")
	require.Equal(t, uint64(1)<<generationShift|log.index, id)
	again := Command{Kind: KindFound, Found: &Found{Zone: "hal-noord", Generation: 3, Parameters: log.state.Parameters()}}
	require.Equal(t, OutcomeStale, log.apply(again).Outcome)
	require.Equal(t, OutcomeNotReady, (&commandLog{t: t, state: New()}).apply(Command{Kind: KindAdvanceTime}).Outcome)
}

func TestOnceOnlyCalls(t *testing.T) {
	log := newCommandLog(t, 1)
	claim := OnceOnlyCommand{Tenant: "tenant", Key: "label-1", AttemptID: "a", Zone: "hal-noord", GatewayID: "gateway", BodyHash: []byte("h")}
	call := func(kind Kind, part OnceOnlyCommand) Result {
		return log.apply(Command{Kind: kind, TimeMillis: 2000, OnceOnly: &part})
	}
	require.Equal(t, OutcomeNotReady, call(KindClaim, claim).Outcome, "unknown tenant")
	log.adoptTenant(dynamic.Tenant{Name: "tenant", HomeZone: "hal-noord"})
	claim.SessionID = log.openSession("gateway")
	require.Equal(t, onceonly.StatusInvalid, call(KindClaim, claim).OnceOnly.Status, "opaque key")
	log.adoptTenant(dynamic.Tenant{Name: "tenant", HomeZone: "hal-noord", OpaqueKeys: true})
	require.Equal(t, onceonly.StatusGranted, call(KindClaim, claim).OnceOnly.Status)

	elsewhere := claim
	elsewhere.Key = "hal-zuid~label-1"
	require.Equal(t, onceonly.StatusInvalid, call(KindClaim, elsewhere).OnceOnly.Status, "the key of another zone")
	impostor := claim
	impostor.Key, impostor.GatewayID = "label-2", "other"
	require.Equal(t, OutcomeNotReady, call(KindClaim, impostor).Outcome)

	// A gateway of another zone has no session here.
	foreign := claim
	foreign.Key, foreign.Zone, foreign.AttemptID = "hal-noord~label-3", "hal-zuid", "b"
	require.Equal(t, onceonly.StatusGranted, call(KindClaim, foreign).OnceOnly.Status)

	log.mustApply(Command{Kind: KindForgetGateway, Session: &SessionCommand{GatewayID: "gateway"}})
	again := claim
	again.AttemptID, again.SessionID = "c", log.openSession("gateway")
	require.Equal(t, onceonly.StatusUnknown, call(KindClaim, again).OnceOnly.Status)
	late := OnceOnlyCommand{Tenant: "tenant", Key: "hal-noord~label-1", AttemptID: "a", Answer: &onceonly.Answer{Status: 200}}
	require.Equal(t, onceonly.StatusDone, call(KindComplete, late).OnceOnly.Status, "the true outcome, with or without the zone in the key")
	require.Equal(t, onceonly.StatusAnswered, call(KindClaim, again).OnceOnly.Status)
	foreign.AttemptID = "d"
	require.Equal(t, onceonly.StatusInProgress, call(KindClaim, foreign).OnceOnly.Status)
}

func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	log := newCommandLog(t, 1)
	log.mustApply(Command{Kind: KindAdoptConfig, Config: &dynamic.Snapshot{Revision: 7}})
	for _, revision := range []uint64{7, 6, 0} {
		older := Command{Kind: KindAdoptConfig, Config: &dynamic.Snapshot{Revision: revision}}
		require.Equal(t, OutcomeStale, log.apply(older).Outcome)
	}
	require.Equal(t, uint64(7), log.state.ConfigRevision())
}

func TestViews(t *testing.T) {
	log := newCommandLog(t, 1)
	log.servingEngine()
	log.mustApply(Command{Kind: KindRegisterBackEnd, BackEnd: &BackEndCommand{ID: "printer", Address: "10.0.0.3:1", Serving: true}})
	session := log.openSession("gateway")
	full := log.state.ViewFor(&wire.WatchRequest{SessionID: session})
	require.True(t, full.Full)
	require.Len(t, full.Engines, 1)
	require.Len(t, full.BackEnds, 1)
	require.Equal(t, []string{"engine"}, full.Isolation.Engines)

	same := log.state.ViewFor(&wire.WatchRequest{SessionID: session, Revision: full.Revision})
	require.Equal(t, full.Revision, same.Revision)
	require.Empty(t, same.Engines)
	require.Nil(t, same.Isolation)
	require.Equal(t, 1, same.GatewayCount)

	log.mustApply(Command{Kind: KindRemoveEngine, Engine: &EngineCommand{ID: "engine"}})
	log.mustApply(Command{Kind: KindSetBackEndServing, BackEnd: &BackEndCommand{ID: "printer"}})
	log.mustApply(Command{Kind: KindAdoptConfig, Config: &dynamic.Snapshot{Revision: 1}})
	partial := log.state.ViewFor(&wire.WatchRequest{SessionID: session, Revision: full.Revision})
	require.False(t, partial.Full)
	require.True(t, partial.Engines[0].Removed)
	require.False(t, partial.BackEnds[0].Dispatchable)
	require.NotNil(t, partial.Config)

	for range maximumRemovals + 1 {
		log.mustApply(Command{Kind: KindRegisterEngine, Engine: &EngineCommand{ID: "engine", Address: "10.0.0.1:1"}})
		log.mustApply(Command{Kind: KindRemoveEngine, Engine: &EngineCommand{ID: "engine"}})
	}
	old := log.state.ViewFor(&wire.WatchRequest{SessionID: session, Revision: full.Revision})
	require.True(t, old.Full, "not all removals since then are recorded")
}
