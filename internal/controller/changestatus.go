package controller

import (
	"context"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"time"
)

// changeStatusInterval is the time between two checks of a change's status.
const changeStatusInterval = 100 * time.Millisecond

// ChangeStatus implements operatorapi.Backend.
func (c *Controller) ChangeStatus(ctx context.Context, revision uint64, wait time.Duration) (operatorapi.ChangeStatus, error) {
	deadline := time.Now().Add(wait)
	for {
		status := changeStatus(revision, c.collectReports(ctx))
		if status.InForce || time.Now().After(deadline) || !lifecycle.Sleep(ctx, changeStatusInterval) {
			return status, nil
		}
	}
}

func changeStatus(revision uint64, results []zoneResult) operatorapi.ChangeStatus {
	status := operatorapi.ChangeStatus{
		Revision: revision,
		Zones:    []operatorapi.ZoneChange{},
		Missing:  []operatorapi.Missing{},
	}
	for _, result := range results {
		zone, missing := zoneChange(revision, &result)
		status.Zones = append(status.Zones, zone)
		status.Missing = append(status.Missing, missing...)
	}
	status.InForce = len(status.Missing) == 0
	return status
}

func zoneChange(revision uint64, result *zoneResult) (operatorapi.ZoneChange, []operatorapi.Missing) {
	change := operatorapi.ZoneChange{Zone: result.zone}
	report := result.report
	if report == nil {
		reason := "the zone can't be reached: " + describeError(result.problem)
		return change, []operatorapi.Missing{{Zone: result.zone, Reason: reason}}
	}
	change.Reached = true
	change.Revision = report.ConfigRevision
	change.Gateways = len(report.Gateways)
	var missing []operatorapi.Missing
	if report.ConfigRevision < revision {
		reason := "the zone has not adopted it"
		missing = append(missing, operatorapi.Missing{Zone: result.zone, Revision: report.ConfigRevision, Reason: reason})
	}
	if !report.FromLeader {
		reason := "no leader of the zone group answered"
		return change, append(missing, operatorapi.Missing{Zone: result.zone, Revision: report.ConfigRevision, Reason: reason})
	}
	for _, gateway := range report.Gateways {
		if gateway.ConfigRevision >= revision {
			change.InForce++
			continue
		}
		missing = append(missing, operatorapi.Missing{
			Zone: result.zone, Gateway: gateway.ID, Revision: gateway.ConfigRevision, Reason: "the gateway is " + gateway.State,
		})
	}
	return change, missing
}

func describeError(err error) string {
	if err == nil {
		return "no answer"
	}
	return err.Error()
}
