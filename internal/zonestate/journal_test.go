package zonestate

import (
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/stretchr/testify/require"
)

// commandLog applies commands to a state at consecutive log indexes.
type commandLog struct {
	t     require.TestingT
	state *State
	index uint64
}

func newCommandLog(t require.TestingT, generation uint64) *commandLog {
	log := &commandLog{t: t, state: New()}
	parameters := DefaultParameters([]string{"hal-zuid", "hal-noord"})
	log.mustApply(Command{Kind: KindFound, TimeMillis: 1000, Found: &Found{Zone: "hal-noord", Generation: generation, Parameters: parameters}})
	return log
}

func (log *commandLog) apply(command Command) Result {
	log.index++
	data, err := command.Encode()
	require.NoError(log.t, err)
	result, err := DecodeResult(log.state.Apply(log.index, data))
	require.NoError(log.t, err)
	return result
}

func (log *commandLog) mustApply(command Command) uint64 {
	result := log.apply(command)
	require.Equal(log.t, OutcomeDone, result.Outcome, "%s: %s", command.Kind, result.Detail)
	return result.Index
}

func (log *commandLog) applyEngine(kind Kind, part EngineCommand) Result {
	part.ID = "engine"
	return log.apply(Command{Kind: kind, Engine: &part})
}

func configuration(role engineapi.Role) *engineapi.Configuration {
	return &engineapi.Configuration{Role: role, Model: "model", Version: "1"}
}

// servingEngine registers an engine and puts it into service.
func (log *commandLog) servingEngine() *Engine {
	log.mustApply(Command{Kind: KindRegisterEngine, Engine: &EngineCommand{ID: "engine", Address: "10.0.0.1:1"}})
	engine, _ := log.state.Engine("engine")
	result := log.applyEngine(KindVerifyEngine, EngineCommand{WithheldAt: engine.WithheldAt, Observed: configuration(engineapi.RoleMixed)})
	require.Equal(log.t, OutcomeDone, result.Outcome)
	require.True(log.t, engine.Dispatchable())
	return engine
}

func (log *commandLog) setDesiredRole(role engineapi.Role) {
	log.mustApply(Command{Kind: KindSetDesired, Desired: []DesiredEntry{{EngineID: "engine", Target: *configuration(role)}}})
}

// changeRole executes a complete change of the engine's role and returns the fencing token of its order.
func (log *commandLog) changeRole(role engineapi.Role) engineapi.Fence {
	engine, _ := log.state.Engine("engine")
	log.setDesiredRole(role)
	log.applyEngine(KindBeginChange, EngineCommand{DesiredAt: engine.DesiredAt})
	result := log.applyEngine(KindIssueOrder, EngineCommand{WithheldAt: engine.WithheldAt, DesiredAt: engine.DesiredAt})
	require.Equal(log.t, OutcomeDone, result.Outcome, result.Detail)
	fence := engine.Order.Fence
	log.applyEngine(KindCompleteOrder, EngineCommand{Fence: fence})
	return fence
}

func (log *commandLog) openSession(gatewayID string) uint64 {
	result := log.apply(Command{Kind: KindOpenSession, Session: &SessionCommand{
		GatewayID: gatewayID, Incarnation: 1, Address: "10.0.0.9:1", Ticket: log.index,
	}})
	require.Equal(log.t, OutcomeDone, result.Outcome)
	return result.SessionID
}

func (log *commandLog) adoptTenant(tenant dynamic.Tenant) {
	log.mustApply(Command{Kind: KindAdoptConfig, Config: &dynamic.Snapshot{
		Revision: log.state.ConfigRevision() + 1,
		Tenants:  []dynamic.Tenant{tenant},
	}})
}
