package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
)

func (a *application) statusCommand() *cobra.Command {
	return a.operatorCommand(&cobra.Command{
		Use:   "status",
		Short: "Show a controller's account of itself and of the zones",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return a.showStatus(command)
		},
	})
}

// statusReport is the JSON form of `status`.
type statusReport struct {
	operatorapi.Status
	Zones []operatorapi.ZoneState `json:"zones,omitempty"`
	// SilentGateways are those that don't answer their zone.
	SilentGateways []operatorapi.Gateway `json:"silent_gateways,omitempty"`
	// ZonesProblem says why the zones could not be listed.
	ZonesProblem string `json:"zones_problem,omitempty"`
}

func (a *application) showStatus(command *cobra.Command) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	status, err := client.Status(command.Context())
	if err != nil {
		return explainRead(err)
	}
	report := statusReport{Status: status}
	zones, err := client.Zones(command.Context())
	if err != nil {
		report.ZonesProblem = err.Error()
	}
	report.Zones = zones.Zones
	if gateways, err := client.Gateways(command.Context()); err == nil {
		report.SilentGateways = silentGateways(gateways.Gateways)
	}
	return a.print(report, func() table { return statusTable(report) })
}

func statusTable(report statusReport) table {
	content := zoneTable(report.Zones)
	uptime := (time.Duration(report.UptimeMillis) * time.Millisecond).Round(time.Second)
	content.note("controller %s of zone %s: %s, version %s, up %s, config revision %d",
		report.Controller, report.Zone, report.Health, report.Version, uptime, report.ConfigRevision)
	for _, group := range report.Groups {
		content.note("group %s: %s", group.Name, describeGroup(group))
	}
	for _, warning := range report.Warnings {
		content.note("warning: %s", warning)
	}
	for _, rollout := range rolloutsOf(report.Zones) {
		if rollout.Phase == operatorapi.RolloutHalted {
			content.note("warning: %s", describeRollout(rollout))
		}
	}
	for _, zone := range report.Zones {
		addZoneWarnings(&content, zone, report.Warnings)
	}
	for _, gateway := range report.SilentGateways {
		content.note("warning: gateway %s of zone %s is silent: dead, paused or cut off", gateway.ID, gateway.Zone)
	}
	if report.ZonesProblem != "" {
		content.note("warning: the zones could not be listed: %s", strings.ReplaceAll(report.ZonesProblem, "\n", "; "))
	}
	return content
}

func silentGateways(gateways []operatorapi.Gateway) []operatorapi.Gateway {
	var silent []operatorapi.Gateway
	for _, gateway := range gateways {
		if gateway.State == operatorapi.GatewaySilent {
			silent = append(silent, gateway)
		}
	}
	return silent
}

// addZoneWarnings tells of members that the zone's leader has not heard of
// lately, if the controller's own warnings don't, and of policies that don't run
// as written.
func addZoneWarnings(content *table, zone operatorapi.ZoneState, known []string) {
	for _, member := range zone.Group.Members {
		if zone.FromLeader && !member.Active && !strings.Contains(strings.Join(known, "\n"), member.Address) {
			content.note("warning: zone %s: controller %s (replica %d) is silent", zone.Zone, member.Address, member.ReplicaID)
		}
	}
	for _, failed := range zone.PolicyFailures {
		content.note("warning: %s", describePolicyFailure(failed))
	}
}

func describePolicyFailure(failed operatorapi.PolicyFailure) string {
	what := fmt.Sprintf("policy %q: %s has failed %d times at %s of zone %s",
		failed.Policy, failed.Field, failed.Count, failed.Process, failed.Zone)
	if failed.Count == 0 {
		what = fmt.Sprintf("policy %q: %s does not compile at %s of zone %s",
			failed.Policy, failed.Field, failed.Process, failed.Zone)
	}
	message, _, _ := strings.Cut(failed.Message, "\n")
	return what + "; the built-in policy stands in: " + message
}

func describeGroup(group operatorapi.GroupState) string {
	text := fmt.Sprintf("replica %d is %s in term %d, leader %s, %d members, applied %d of %d",
		group.ReplicaID, group.Role, group.Term, orDash(group.LeaderAddress), len(group.Members),
		group.AppliedIndex, group.CommitIndex)
	if group.Problem != "" {
		text += "; " + group.Problem
	}
	return text
}
