package cli

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/coordinator"
)

// fleetCommand shows why a region's services have as many replicas as they have.
func (a *application) fleetCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "fleet",
		Short: "Why a region's services have as many replicas as they have, and what the next one would add",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var report coordinator.FleetReport
			if err := callCoordinator(command.Context(), http.MethodGet, address, coordinator.PathFleet, &report); err != nil {
				return err
			}
			return a.print(report, func() table { return fleetTable(report) })
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

func fleetTable(report coordinator.FleetReport) table {
	content := table{header: []string{
		"service", "learned", "wanted", "readers", "enough", "busy", "prompts/s", "delayed/s", "late/s", "next adds", "next costs",
	}}
	for _, each := range report.Services {
		content.add(each.Service, fmt.Sprint(each.Learned), fmt.Sprint(each.Wanted), fmt.Sprint(each.Readers), fmt.Sprint(each.Enough),
			figure(each.Busy), figure(each.Prompts), figure(each.Delayed), figure(each.Late), figure(each.NextWorth), figure(each.NextPrice))
	}
	if len(report.Services) == 0 {
		content.note("no numbers are ordered, or this coordinator does not lead; the leader's address is %q", report.Leader)
	}
	return content
}

func figure(value float64) string { return fmt.Sprintf("%.3g", value) }
