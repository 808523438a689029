package controller

import (
	"context"
	"fmt"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

var _ operatorapi.Backend = (*Controller)(nil)

// Status implements operatorapi.Backend.
func (c *Controller) Status(context.Context) (operatorapi.Status, error) {
	status := operatorapi.Status{
		Controller:     c.settings.ID,
		Zone:           c.settings.Zone,
		Version:        c.settings.Version,
		Health:         string(c.health.Report().State),
		UptimeMillis:   c.now().Milliseconds(),
		ConfigRevision: c.zoneConfigRevision(),
		Groups:         []operatorapi.GroupState{},
		Warnings:       []string{},
	}
	for _, missing := range c.health.Report().Missing {
		status.Warnings = append(status.Warnings, "not ready: "+missing)
	}
	for _, g := range c.groups() {
		state := groupState(g)
		status.Groups = append(status.Groups, state)
		status.Warnings = append(status.Warnings, groupWarnings(&state)...)
	}
	status.Warnings = append(status.Warnings, c.leaderWarnings()...)
	return status, nil
}

func groupWarnings(state *operatorapi.GroupState) []string {
	var warnings []string
	if state.Problem != "" {
		warnings = append(warnings, fmt.Sprintf("group %s: %s", state.Name, state.Problem))
	}
	switch {
	case state.Role == roleJoining:
		warnings = append(warnings, fmt.Sprintf("group %s: this replica (%d) waits to be added", state.Name, state.ReplicaID))
	case state.Role == roleRemoved:
		warnings = append(warnings, fmt.Sprintf("group %s: this replica (%d) was removed; an operator may add it again with its data", state.Name, state.ReplicaID))
	case state.Leader == 0:
		warnings = append(warnings, fmt.Sprintf("group %s: no leader is known", state.Name))
	}
	if state.Leader != state.ReplicaID {
		return warnings
	}
	for _, member := range state.Members {
		if !member.Active && member.ReplicaID != state.ReplicaID {
			warnings = append(warnings, fmt.Sprintf("group %s: member %d at %s is silent", state.Name, member.ReplicaID, member.Address))
		}
	}
	return warnings
}

func zoneState(result *zoneResult) operatorapi.ZoneState {
	state := operatorapi.ZoneState{Zone: result.zone, Controllers: result.controllers}
	state.Group.Members = []operatorapi.Member{}
	state.PolicyFailures = []operatorapi.PolicyFailure{}
	state.Rollouts = []operatorapi.Rollout{}
	if result.report == nil {
		state.Problem = describeError(result.problem)
		return state
	}
	state.Reached = true
	state.FromLeader = result.report.FromLeader
	state.Revision = result.report.Revision
	state.ConfigRevision = result.report.ConfigRevision
	state.Engines = len(result.report.Engines)
	state.Gateways = len(result.report.Gateways)
	state.Group = result.report.Group
	state.Rollouts = append(state.Rollouts, result.report.Rollouts...)
	state.PolicyFailures = append(state.PolicyFailures, result.report.PolicyFailures...)
	if state.Group.Members == nil {
		state.Group.Members = []operatorapi.Member{}
	}
	if !state.FromLeader {
		state.Problem = "no leader of the zone group answered; this is an older copy"
	}
	return state
}

// Zones implements operatorapi.Backend.
func (c *Controller) Zones(ctx context.Context) (operatorapi.ZoneList, error) {
	list := operatorapi.ZoneList{Zones: []operatorapi.ZoneState{}}
	for _, result := range c.collectReports(ctx) {
		list.Zones = append(list.Zones, zoneState(&result))
	}
	return list, nil
}

// Engines implements operatorapi.Backend.
func (c *Controller) Engines(ctx context.Context) (operatorapi.EngineList, error) {
	list := operatorapi.EngineList{
		Zones:    []operatorapi.ZoneState{},
		Engines:  []operatorapi.Engine{},
		BackEnds: []operatorapi.BackEnd{},
	}
	for _, result := range c.collectReports(ctx) {
		list.Zones = append(list.Zones, zoneState(&result))
		if result.report == nil {
			continue
		}
		list.Engines = append(list.Engines, result.report.Engines...)
		for _, backEnd := range result.report.BackEnds {
			backEnd.Applications = append([]string{}, backEnd.Applications...)
			list.BackEnds = append(list.BackEnds, backEnd)
		}
	}
	return list, nil
}

// Gateways implements operatorapi.Backend.
func (c *Controller) Gateways(ctx context.Context) (operatorapi.GatewayList, error) {
	list := operatorapi.GatewayList{Zones: []operatorapi.ZoneState{}, Gateways: []operatorapi.Gateway{}}
	for _, result := range c.collectReports(ctx) {
		list.Zones = append(list.Zones, zoneState(&result))
		if result.report != nil {
			list.Gateways = append(list.Gateways, result.report.Gateways...)
		}
	}
	return list, nil
}

// DumpLog implements operatorapi.Backend.
func (c *Controller) DumpLog(context.Context) (operatorapi.LogDump, error) {
	if c.settings.DumpLog == nil {
		return operatorapi.LogDump{}, failure.New(failure.NotFound, "this controller keeps no log")
	}
	path, err := c.settings.DumpLog("operator's request")
	return operatorapi.LogDump{Path: path}, err
}
