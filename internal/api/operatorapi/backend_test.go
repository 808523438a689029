package operatorapi_test

import (
	"context"
	"encoding/json"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/poison"
	"time"
)

// cannedBackend answers every call with filled messages, or with err.
type cannedBackend struct{ err error }

var (
	cannedGroup = operatorapi.GroupState{Name: "hal-noord", ReplicaID: 1 << 63, Role: "leader",
		Members: []operatorapi.Member{{ReplicaID: 1, Address: "127.0.0.1:1", Learner: true}}, Problem: "none"}
	cannedZones = []operatorapi.ZoneState{{Zone: "hal-noord", Problem: "silent", Controllers: []string{"127.0.0.1:1"}, Group: cannedGroup,
		PolicyFailures: []operatorapi.PolicyFailure{{Zone: "hal-noord", Process: "g", Policy: "p", Field: "ranking", Count: 1}},
		Rollouts:       []operatorapi.Rollout{{Zone: "hal-noord", Model: "m", From: "1", To: "2", Phase: "halted", Reason: "it fails", Engines: 3}}}}
)

func (b cannedBackend) Configuration(context.Context) (operatorapi.Configuration, error) {
	return operatorapi.Configuration{Freshness: operatorapi.Freshness{Source: operatorapi.SourceLeader}}, b.err
}

func (b cannedBackend) Documents(_ context.Context, kind dynamic.Kind) (operatorapi.DocumentList, error) {
	document, _ := b.Document(context.Background(), kind, "a")
	return operatorapi.DocumentList{
		Freshness: operatorapi.Freshness{Source: operatorapi.SourceCopy, Problem: "no quorum"},
		Documents: []operatorapi.Document{document},
	}, b.err
}

func (b cannedBackend) Document(_ context.Context, kind dynamic.Kind, name string) (operatorapi.Document, error) {
	return operatorapi.Document{Kind: kind, Name: name, Revision: 4, Body: json.RawMessage(`{"name":"a"}`)}, b.err
}

func (b cannedBackend) ChangeDocument(context.Context, dynamic.Kind, string, operatorapi.DocumentChange) (operatorapi.ChangeResult, error) {
	return operatorapi.ChangeResult{RequestID: "r", Revision: 3}, b.err
}

func (b cannedBackend) WithdrawDocument(context.Context, dynamic.Kind, string, operatorapi.DocumentWithdrawal) (operatorapi.ChangeResult, error) {
	return operatorapi.ChangeResult{RequestID: "r", Revision: 3}, b.err
}

func (b cannedBackend) ApplyConfiguration(context.Context, operatorapi.ConfigurationChange) (operatorapi.ApplyResult, error) {
	return operatorapi.ApplyResult{Changes: []operatorapi.AppliedDocument{
		{Kind: dynamic.KindModel, Name: "m", Operation: operatorapi.OperationWithdraw, Revision: 3},
	}}, b.err
}

func (b cannedBackend) ChangeStatus(context.Context, uint64, time.Duration) (operatorapi.ChangeStatus, error) {
	return operatorapi.ChangeStatus{
		Zones:   []operatorapi.ZoneChange{{Zone: "hal-noord"}},
		Missing: []operatorapi.Missing{{Zone: "hal-noord", Gateway: "g", Reason: "behind"}},
	}, b.err
}

func (b cannedBackend) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{Groups: []operatorapi.GroupState{cannedGroup}, Warnings: []string{"w"}}, b.err
}

func (b cannedBackend) Zones(context.Context) (operatorapi.ZoneList, error) {
	return operatorapi.ZoneList{Zones: cannedZones}, b.err
}

func (b cannedBackend) Engines(context.Context) (operatorapi.EngineList, error) {
	target := operatorapi.EngineConfiguration{Role: "mixed", Adapters: []string{"a"}}
	return operatorapi.EngineList{
		Zones:    cannedZones,
		Engines:  []operatorapi.Engine{{ID: "e", Desired: target, Observed: target, Change: "draining", Problem: "p"}},
		BackEnds: []operatorapi.BackEnd{{ID: "b", Applications: []string{"floor"}}},
	}, b.err
}

func (b cannedBackend) Gateways(context.Context) (operatorapi.GatewayList, error) {
	return operatorapi.GatewayList{
		Zones:    cannedZones,
		Gateways: []operatorapi.Gateway{{ID: "g", State: operatorapi.GatewaySilent, HeartbeatAgeMillis: -1}},
	}, b.err
}

func (b cannedBackend) CommandEngine(context.Context, string, string, operatorapi.EngineAction, operatorapi.EngineCommand) (operatorapi.CommandResult, error) {
	return operatorapi.CommandResult{RequestID: "r"}, b.err
}

func (b cannedBackend) CommandRollout(context.Context, string, string, operatorapi.RolloutAction, operatorapi.RolloutCommand) (operatorapi.CommandResult, error) {
	return operatorapi.CommandResult{RequestID: "r"}, b.err
}

func (b cannedBackend) ForgetGateway(context.Context, string, string, operatorapi.ForgetCommand) (operatorapi.CommandResult, error) {
	return operatorapi.CommandResult{RequestID: "r"}, b.err
}

func (b cannedBackend) Members(context.Context, string) (operatorapi.MemberList, error) {
	return operatorapi.MemberList{Group: cannedGroup}, b.err
}

func (b cannedBackend) CommandMembers(context.Context, string, operatorapi.MemberCommand) (operatorapi.MemberList, error) {
	return operatorapi.MemberList{Group: cannedGroup}, b.err
}

func (b cannedBackend) HeldRequests(context.Context) ([]poison.Held, error) {
	return []poison.Held{{
		Digest: cannedDigest, Replicas: 3,
		FirstCrash: "2026-01-01T00:00:00Z", LastCrash: "2026-01-01T00:00:01Z", Since: "2026-01-01T00:00:02Z",
	}}, b.err
}

func (b cannedBackend) ReleaseRequest(context.Context, poison.Digest) error { return b.err }

// cannedDigest is that of a request that is held.
const cannedDigest = "000102030405060708090a0b0c0d0e0f"

func (b cannedBackend) DumpLog(context.Context) (operatorapi.LogDump, error) {
	return operatorapi.LogDump{Path: "/data/log"}, b.err
}

func newEngine(backend operatorapi.Backend, tokenHashes ...string) *route.Engine {
	engine := route.NewEngine(config.NewOptions(nil))
	operatorapi.Mount(engine, operatorapi.Options{Backend: backend, TokenHashes: tokenHashes})
	return engine
}
