package cli

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/coordinator"
)

// softwareCommand shows what the replicas of a region run.
func (a *application) softwareCommand() *cobra.Command {
	command := &cobra.Command{Use: "software", Short: "The versions of the software that a region's replicas run"}
	command.AddCommand(a.softwareListCommand())
	return command
}

func (a *application) softwareListCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "list",
		Short: "List the replicas of each service by the version of their software, and the versions that have gone shortly before",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var report coordinator.SoftwareReport
			if err := callCoordinator(command.Context(), http.MethodGet, address, coordinator.PathSoftware, &report); err != nil {
				return err
			}
			return a.print(report, func() table { return softwareTable(report) })
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

func softwareTable(report coordinator.SoftwareReport) table {
	content := table{header: []string{"service", "version", "replicas", "standby", "leaving", "prefill", "gone for"}}
	for _, each := range report.Running {
		content.add(each.Service, each.Version, strconv.Itoa(each.Replicas), strconv.Itoa(each.Standby), strconv.Itoa(each.Leaving), strconv.Itoa(each.Prefill), "")
	}
	for _, each := range report.Former {
		content.add(each.Service, each.Version, "0", "", "", "", fmt.Sprintf("%.0fs", each.AgoS))
	}
	return content
}
