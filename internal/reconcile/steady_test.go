package reconcile

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// faultFreeZone simulates a zone whose leader's proposals are committed immediately
// and whose engines answer every poll and order, unless a test sets otherwise.
type faultFreeZone struct {
	t       *testing.T
	core    *Core
	state   *zonestate.State
	index   uint64
	now     time.Duration
	engines map[string]*engineapi.State
	// unresponsive holds the engines that answer no poll or order. failingVersions
	// maps an engine to the version that it can't load.
	unresponsive    map[string]bool
	failingVersions map[string]string
	orders          []engineapi.Order
}

func newFaultFreeZone(t *testing.T, engines int, config Config) *faultFreeZone {
	z := &faultFreeZone{
		t: t, state: zonestate.New(), engines: map[string]*engineapi.State{},
		unresponsive: map[string]bool{}, failingVersions: map[string]string{},
	}
	config.Zone, config.Generation = "zone-a", 1
	config.Parameters = zonestate.DefaultParameters([]string{"zone-a"})
	for number := range engines {
		id := fmt.Sprintf("engine-%d", number)
		config.Engines = append(config.Engines, Target{ID: id, Address: id + ":1"})
		z.engines[id] = &engineapi.State{
			EngineID: id, Incarnation: 1, Phase: engineapi.PhaseServing,
			Observed: engineapi.Configuration{Role: engineapi.RoleMixed, Model: "model", Version: "1"},
		}
	}
	z.core = New(0, config)
	z.run(5 * time.Second)
	require.Len(t, z.dispatchable(), engines)
	return z
}

func (z *faultFreeZone) commit(command zonestate.Command) zonestate.Result {
	z.index++
	data, err := command.Encode()
	require.NoError(z.t, err)
	result, err := zonestate.DecodeResult(z.state.Apply(z.index, data))
	require.NoError(z.t, err)
	return result
}

// run advances the zone by a duration, in steps of 100 ms.
func (z *faultFreeZone) run(duration time.Duration) {
	for end := z.now + duration; z.now < end; {
		z.now += 100 * time.Millisecond
		outputs := z.core.Tick(z.now, z.now.Milliseconds(), z.state)
		for _, proposal := range outputs.Proposals {
			z.commit(proposal.Command)
			z.core.ProposalEnded(proposal.Key)
		}
		for _, poll := range outputs.EnginePolls {
			if z.unresponsive[poll.ID] {
				z.core.RecordEngineNoResponse(z.now, poll.ID)
				continue
			}
			z.core.RecordEngineState(z.now, z.now, poll.ID, z.engines[poll.ID])
		}
		for _, call := range outputs.Orders {
			z.executeOrder(&call.Order)
		}
	}
}

// executeOrder completes or fails an order immediately.
func (z *faultFreeZone) executeOrder(order *engineapi.Order) {
	engine := z.engines[order.EngineID]
	if z.unresponsive[order.EngineID] || order.Fence.Less(engine.HighestFence) {
		return
	}
	z.orders = append(z.orders, *order)
	engine.HighestFence = order.Fence
	status := engineapi.OrderDone
	if version := z.failingVersions[order.EngineID]; version != "" && version == order.Target.Version {
		status = engineapi.OrderFailed
	} else {
		engine.Observed = order.Target
	}
	reply := engineapi.OrderReply{Status: status, State: *engine, Detail: "no weights"}
	z.core.RecordOrderReply(z.now, z.now, order, &reply)
}

func (z *faultFreeZone) dispatchable() []string {
	var list []string
	for _, engine := range z.state.Engines() {
		if engine.Dispatchable() {
			list = append(list, engine.ID)
		}
	}
	return list
}
