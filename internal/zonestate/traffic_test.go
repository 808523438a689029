package zonestate

import (
	"fmt"
	"testing"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// BenchmarkRoleChangeTraffic measures the bytes and watch replies that one role
// change sends to each gateway in a zone of the target size, with the gateways'
// isolation sets assigned one by one and all at once.
func BenchmarkRoleChangeTraffic(b *testing.B) {
	const gateways, engines = 70, 530
	for _, batch := range []int{1, gateways} {
		b.Run(fmt.Sprintf("sets in one command=%d", batch), func(b *testing.B) {
			bytes, replies := 0, 0
			for range b.N {
				log := newCommandLog(b, 1)
				for number := range engines {
					log.addServingEngine(fmt.Sprintf("zone-engine-%d", number))
				}
				var sessions []SessionCommand
				for number := range gateways {
					sessions = append(sessions, SessionCommand{SessionID: log.openSession(fmt.Sprintf("zone-gateway-%d", number)), Acknowledged: 1 << 40})
				}
				watcher := wire.WatchRequest{SessionID: sessions[0].SessionID, Revision: log.state.Revision()}
				watch := func() {
					view := log.state.ViewFor(&watcher)
					reply := wire.WatchReply{View: view}
					data, _ := reply.MarshalMsg(nil)
					bytes += len(data)
					replies++
					watcher.Revision = view.Revision
				}
				for _, kind := range []Kind{KindBeginChange, KindIssueOrder, KindCompleteOrder} {
					log.executeStep("zone-engine-7", kind)
					watch()
				}
				for len(sessions) > 0 {
					log.mustApply(Command{Kind: KindAssignIsolation, Sessions: sessions[:batch]})
					sessions = sessions[batch:]
					watch()
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/gateway")
			b.ReportMetric(float64(replies)/float64(b.N), "replies/gateway")
		})
	}
}

// addServingEngine registers an engine with an id and puts it into service.
func (log *commandLog) addServingEngine(id string) {
	log.mustApply(Command{Kind: KindRegisterEngine, Engine: &EngineCommand{ID: id, Address: "10.11.12.13:9000"}})
	engine, _ := log.state.Engine(id)
	log.mustApply(Command{Kind: KindVerifyEngine, Engine: &EngineCommand{
		ID: id, WithheldAt: engine.WithheldAt, Observed: configuration(engineapi.RoleMixed),
	}})
}

// executeStep executes the given step of a role change.
func (log *commandLog) executeStep(id string, kind Kind) {
	engine, _ := log.state.Engine(id)
	if kind == KindBeginChange {
		log.mustApply(Command{Kind: KindSetDesired, Desired: []DesiredEntry{{EngineID: id, Target: *configuration(engineapi.RoleDecode)}}})
	}
	part := EngineCommand{ID: id, DesiredAt: engine.DesiredAt, WithheldAt: engine.WithheldAt}
	if engine.Order != nil {
		part.Fence = engine.Order.Fence
	}
	log.mustApply(Command{Kind: kind, Engine: &part})
}
