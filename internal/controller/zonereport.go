package controller

import (
	"context"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/reconcile"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

const (
	// reportTimeout is the timeout of a query of one controller for its report of
	// its zone or of a group.
	reportTimeout = 2 * time.Second
	// engineUnreachableAfter is the time without a response after which an engine
	// counts as unreachable in reports, for the planner and for prefetches.
	engineUnreachableAfter = 5 * time.Second
)

// handleZoneReport returns a report of the zone. The leader makes it after a read
// barrier; a follower makes it from its own copy of the state.
func (c *Controller) handleZoneReport(ctx context.Context, request *peer.ZoneReportRequest) (*operatorapi.ZoneReport, error) {
	if t := c.currentTerm(); t != nil && c.zone.ReadBarrier(ctx) == nil {
		return c.leaderReport(t), nil
	}
	if request.LeaderOnly {
		return nil, c.notLeading()
	}
	return c.followerReport(), nil
}

func (c *Controller) emptyReport() *operatorapi.ZoneReport {
	return &operatorapi.ZoneReport{
		Zone:       c.settings.Zone,
		Controller: c.settings.ID,
		Engines:    []operatorapi.Engine{},
		BackEnds:   []operatorapi.BackEnd{},
		Gateways:   []operatorapi.Gateway{},
		Group:      groupState(c.zone),

		PolicyFailures: []operatorapi.PolicyFailure{},
	}
}

func (c *Controller) followerReport() *operatorapi.ZoneReport {
	report := c.emptyReport()
	c.zoneMachine.Read(func(state *zonestate.State) {
		c.fillCommitted(report, state)
		for _, engine := range state.Engines() {
			report.Engines = append(report.Engines, c.engineRow(engine))
		}
		for _, session := range state.Sessions().List() {
			row := c.gatewayRow(session)
			row.State = operatorapi.GatewayUnknown
			report.Gateways = append(report.Gateways, row)
		}
	})
	return report
}

func (c *Controller) leaderReport(t *term) *operatorapi.ZoneReport {
	report := c.emptyReport()
	report.FromLeader = true
	now := c.now()
	t.with(func(core *reconcile.Core, state *zonestate.State) {
		c.fillCommitted(report, state)
		for _, status := range core.Status(now, state) {
			report.Engines = append(report.Engines, c.observedEngineRow(&status))
		}
		for _, session := range state.Sessions().List() {
			row := c.gatewayRow(session)
			t.fillGateway(&row, now, core, session)
			report.Gateways = append(report.Gateways, row)
		}
		report.PolicyFailures = append(report.PolicyFailures, t.policyFailures(report)...)
	})
	return report
}

// policyFailures returns the policy programs that have failed at run time and, with
// a count of 0, the policies that don't compile, at this controller and at the
// gateways of the report. The caller must hold t.mutex.
func (t *term) policyFailures(report *operatorapi.ZoneReport) []operatorapi.PolicyFailure {
	var failures []operatorapi.PolicyFailure
	for _, failed := range t.policies.set.Failures() {
		failures = append(failures, operatorapi.PolicyFailure{
			Zone: report.Zone, Process: report.Controller, Policy: failed.Policy,
			Field: failed.Field, Count: failed.Count, Message: failed.Last,
		})
	}
	for _, gateway := range report.Gateways {
		for _, failed := range t.gateways[gateway.SessionID].heartbeat.PolicyFailures {
			failures = append(failures, operatorapi.PolicyFailure{
				Zone: report.Zone, Process: gateway.ID, Policy: failed.Policy,
				Field: failed.Field, Count: failed.Count, Message: failed.Last,
			})
		}
	}
	return failures
}

func (c *Controller) fillCommitted(report *operatorapi.ZoneReport, state *zonestate.State) {
	report.Revision = state.Revision()
	report.ConfigRevision = state.ConfigRevision()
	report.Rollouts = rolloutRows(c.settings.Zone, state)
	for _, backEnd := range state.BackEnds() {
		report.BackEnds = append(report.BackEnds, operatorapi.BackEnd{
			ID:           backEnd.ID,
			Zone:         c.settings.Zone,
			Address:      backEnd.Address,
			Applications: append([]string{}, backEnd.Applications...),
			Dispatchable: backEnd.Serving,
		})
	}
}

func (c *Controller) engineRow(engine *zonestate.Engine) operatorapi.Engine {
	return operatorapi.Engine{
		ID:           engine.ID,
		Zone:         c.settings.Zone,
		Address:      engine.Address,
		Desired:      engineConfiguration(engine.Desired),
		Observed:     engineConfiguration(engine.Verified),
		Drained:      engine.Drained,
		Dispatchable: engine.Dispatchable(),
		Change:       changeStage(engine),
		Problem:      engine.FailureDetail,
	}
}

func engineConfiguration(configuration *engineapi.Configuration) operatorapi.EngineConfiguration {
	if configuration == nil {
		return operatorapi.EngineConfiguration{}
	}
	return operatorapi.EngineConfiguration{
		Role:     string(configuration.Role),
		Model:    configuration.Model,
		Version:  configuration.Version,
		Adapters: configuration.Adapters,
	}
}

func changeStage(engine *zonestate.Engine) string {
	switch {
	case engine.Order != nil:
		return "ordered"
	case engine.Changing:
		return "draining"
	case engine.NeedsChange():
		return "wanted"
	}
	return ""
}

func (c *Controller) observedEngineRow(status *reconcile.EngineStatus) operatorapi.Engine {
	row := c.engineRow(&status.Engine)
	row.Reachable = status.Reported != nil && status.SinceLastResponse < engineUnreachableAfter
	if status.Reported != nil {
		row.Phase = string(status.Reported.Phase)
		row.Observed = engineConfiguration(&status.Reported.Observed)
		row.Running = status.Reported.Running
	}
	if status.Reason != "" {
		row.Problem = status.Reason
	}
	return row
}

func (c *Controller) gatewayRow(session *membership.Session) operatorapi.Gateway {
	return operatorapi.Gateway{
		ID:                 session.MemberID,
		Zone:               c.settings.Zone,
		Address:            session.Address,
		SessionID:          session.ID,
		HeartbeatAgeMillis: -1,
	}
}

// fillGateway adds what the leader knows from heartbeats. The caller must hold
// t.mutex.
func (t *term) fillGateway(row *operatorapi.Gateway, now time.Duration, core *reconcile.Core, session *membership.Session) {
	row.AppliedRevision = core.Acknowledged(session.ID)
	row.State = operatorapi.GatewayLive
	if core.SinceLastHeartbeat(now, session.ID) > session.Terms.Lease() {
		row.State = operatorapi.GatewaySilent
	}
	report, found := t.gateways[session.ID]
	if !found {
		if row.State == operatorapi.GatewayLive {
			row.State = operatorapi.GatewayUnknown
		}
		return
	}
	row.ConfigRevision = report.heartbeat.ConfigRevision
	row.Leaving = report.heartbeat.Leaving
	row.HeartbeatAgeMillis = (now - report.at).Milliseconds()
}

// zoneResult is the result of querying one zone: a report, or the problem that
// prevented one. Its controllers are the addresses that were queried.
type zoneResult struct {
	zone        string
	controllers []string
	report      *operatorapi.ZoneReport
	problem     error
}

// collectReports queries all zones concurrently. The results are in the order of
// the settings.
func (c *Controller) collectReports(ctx context.Context) []zoneResult {
	results := make([]zoneResult, len(c.settings.Zones))
	var running sync.WaitGroup
	for index, zone := range c.settings.Zones {
		running.Go(func() { results[index] = c.queryZone(ctx, zone) })
	}
	running.Wait()
	return results
}

// queryZone queries all known controllers of a zone concurrently. It returns the
// leader's report or, if no leader answers, the newest of the others.
func (c *Controller) queryZone(ctx context.Context, zone string) zoneResult {
	result := zoneResult{zone: zone, controllers: c.zoneControllers(zone)}
	if len(result.controllers) == 0 {
		result.problem = failure.New(failure.NotFound, "no controller of the zone is known")
		return result
	}
	reports := make(chan *operatorapi.ZoneReport, len(result.controllers))
	problems := make(chan error, len(result.controllers))
	for _, address := range result.controllers {
		go func() {
			report, err := c.queryController(ctx, address)
			if err == nil && report.Zone != zone {
				err = failure.New(failure.NotFound, address+" is of zone "+report.Zone)
			}
			if err != nil {
				problems <- err
				return
			}
			reports <- report
		}()
	}
	for range result.controllers {
		select {
		case result.problem = <-problems:
		case report := <-reports:
			result.report = newerReport(result.report, report)
			if report.FromLeader {
				return result
			}
		}
	}
	return result
}

func newerReport(left, right *operatorapi.ZoneReport) *operatorapi.ZoneReport {
	if left == nil || right.FromLeader || right.Revision > left.Revision {
		return right
	}
	return left
}

func (c *Controller) queryController(ctx context.Context, address string) (*operatorapi.ZoneReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report := &operatorapi.ZoneReport{}
	err := c.client.Call(ctx, address, peer.PathZoneReport, &peer.ZoneReportRequest{}, report)
	return report, err
}

// zoneControllers returns the addresses of a zone's controllers. For the own zone
// they include the members of the zone group.
func (c *Controller) zoneControllers(zone string) []string {
	if zone == c.settings.Zone {
		return concatUnique([]string{c.settings.AdvertiseAddress}, c.zone.MemberAddresses(), c.directory.controllers(zone))
	}
	return c.directory.controllers(zone)
}
