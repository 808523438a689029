package controller

import (
	"context"
	"fmt"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// CommandEngine implements operatorapi.Backend.
func (c *Controller) CommandEngine(ctx context.Context, zone, engine string, action operatorapi.EngineAction, command operatorapi.EngineCommand) (operatorapi.CommandResult, error) {
	request := &peer.EngineChangeRequest{RequestID: command.RequestID, EngineID: engine, Action: string(action)}
	if target := command.Target; target != nil {
		request.Role = target.Role
		request.Model = target.Model
		request.Version = target.Version
		request.Adapters = target.Adapters
	}
	return c.changeAtZoneLeader(ctx, zone, request)
}

// ForgetGateway implements operatorapi.Backend.
func (c *Controller) ForgetGateway(ctx context.Context, zone, gateway string, command operatorapi.ForgetCommand) (operatorapi.CommandResult, error) {
	request := &peer.EngineChangeRequest{RequestID: command.RequestID, GatewayID: gateway, Action: peer.ActionForget}
	return c.changeAtZoneLeader(ctx, zone, request)
}

func (c *Controller) changeAtZoneLeader(ctx context.Context, zone string, request *peer.EngineChangeRequest) (operatorapi.CommandResult, error) {
	call, err := c.zoneLeaderCall(zone, nil)
	if err != nil {
		return operatorapi.CommandResult{}, err
	}
	var reply peer.EngineChangeReply
	call.attempt = func(ctx context.Context, address string) error {
		return c.client.Call(ctx, address, peer.PathEngineChange, request, &reply)
	}
	if err := call.run(ctx); err != nil {
		return operatorapi.CommandResult{}, err
	}
	return operatorapi.CommandResult{RequestID: request.RequestID, Revision: reply.Index}, nil
}

func (c *Controller) zoneLeaderCall(zone string, attempt func(ctx context.Context, address string) error) (*leaderCall, error) {
	if !c.isZone(zone) {
		return nil, failure.New(failure.NotFound, fmt.Sprintf("there is no zone %q", zone))
	}
	addresses := c.zoneControllers(zone)
	if len(addresses) == 0 {
		return nil, failure.New(failure.NoQuorum, fmt.Sprintf("no controller of zone %q is known", zone))
	}
	return &leaderCall{groupName: zone, addresses: addresses, searchTime: c.leaderSearchTime(), attempt: attempt}, nil
}

// handleEngineChange executes an operator's action at the zone group's leader.
func (c *Controller) handleEngineChange(ctx context.Context, request *peer.EngineChangeRequest) (*peer.EngineChangeReply, error) {
	command, err := c.operatorCommand(request)
	if err != nil {
		return nil, err
	}
	command.RequestID = request.RequestID
	result, err := c.proposeZone(ctx, command)
	if err != nil {
		return nil, err
	}
	if err := resultError(result); err != nil {
		return nil, err
	}
	c.logger.Info("operator action applied", "action", request.Action, "engine", request.EngineID, "gateway", request.GatewayID)
	return &peer.EngineChangeReply{Index: result.Index}, nil
}

func (c *Controller) operatorCommand(request *peer.EngineChangeRequest) (*zonestate.Command, error) {
	if command := rolloutCommand(request); command != nil {
		return command, nil
	}
	engine := &zonestate.EngineCommand{ID: request.EngineID}
	switch request.Action {
	case string(operatorapi.ActionDrain):
		return &zonestate.Command{Kind: zonestate.KindDrainEngine, Engine: engine}, nil
	case string(operatorapi.ActionUndrain):
		return &zonestate.Command{Kind: zonestate.KindUndrainEngine, Engine: engine}, nil
	case string(operatorapi.ActionAssign):
		return c.assignCommand(request)
	case peer.ActionForget:
		session := &zonestate.SessionCommand{GatewayID: request.GatewayID}
		return &zonestate.Command{Kind: zonestate.KindForgetGateway, Session: session}, nil
	}
	return nil, failure.New(failure.InvalidDocument, "unknown action "+request.Action)
}

// assignCommand returns a partial command: fields that the operator omitted keep
// the values of the configuration that the engine should run when the command is
// applied.
func (c *Controller) assignCommand(request *peer.EngineChangeRequest) (*zonestate.Command, error) {
	found, configured := false, false
	c.zoneMachine.Read(func(state *zonestate.State) {
		engine, known := state.Engine(request.EngineID)
		found = known
		configured = known && engine.Desired != nil
	})
	if !found {
		if !c.zone.Leads() {
			return nil, c.notLeading()
		}
		return nil, failure.New(failure.NotFound, "there is no engine "+request.EngineID)
	}
	target := engineapi.Configuration{
		Role: engineapi.Role(request.Role), Model: request.Model, Version: request.Version, Adapters: request.Adapters,
	}
	if !configured && (target.Role == "" || target.Model == "" || target.Version == "") {
		return nil, failure.New(failure.InvalidDocument, "target: the engine has no configuration yet; role, model and version are needed")
	}
	entry := zonestate.DesiredEntry{EngineID: request.EngineID, Target: target, Partial: true}
	return &zonestate.Command{Kind: zonestate.KindSetDesired, Desired: []zonestate.DesiredEntry{entry}}, nil
}
