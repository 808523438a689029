package cli

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/coordinator"
)

// groupCommand shows the group of a region's coordinators.
func (a *application) groupCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "group",
		Short: "Show the coordinators of a region as one of them sees them: who votes, who leads, and whether that one is a member",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var report coordinator.GroupReport
			if err := callCoordinator(command.Context(), http.MethodGet, address, coordinator.PathGroup, &report); err != nil {
				return err
			}
			return a.print(report, func() table { return groupTable(&report) })
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

func groupTable(report *coordinator.GroupReport) table {
	content := table{header: []string{"coordinator", "replica", "votes", "heard", "note"}}
	voters := 0
	listed := false
	for _, each := range report.Members {
		if each.Voter {
			voters++
		}
		note := ""
		if each.Replica == report.Replica {
			listed = true
			note = "asked; " + memberNote(report)
		}
		content.add(each.Address, strconv.FormatUint(each.Replica, 10), yesNo(each.Voter), heardBy(report, each), note)
	}
	if !listed {
		content.add(report.Address, strconv.FormatUint(report.Replica, 10), "no", "", "asked; "+memberNote(report))
	}
	if voters != report.WantedVoters {
		content.add("", "", "", "", fmt.Sprintf("%d voters of %d wanted", voters, report.WantedVoters))
	}
	return content
}

// memberNote says what a coordinator takes itself for.
func memberNote(report *coordinator.GroupReport) string {
	switch {
	case report.Problem != "":
		return report.Problem
	case report.RemovedAt != 0:
		return fmt.Sprintf("removed at %d, the list is older", report.RemovedAt)
	case !report.Member:
		return "waits to be added"
	case report.Leader == "":
		return fmt.Sprintf("no leader for %dms", report.LeaderSilentMillis)
	default:
		return "leader " + report.Leader
	}
}

// heardBy says whether the leader has heard from a member of late.
func heardBy(report *coordinator.GroupReport, member coordinator.GroupMember) string {
	if report.Leader != report.Address {
		return ""
	}
	return yesNo(member.Heard)
}
