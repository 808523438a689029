package cli

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/coordinator"
)

// limitCommand shows what replicas say they take, and what they get.
func (a *application) limitCommand() *cobra.Command {
	command := &cobra.Command{Use: "limit", Short: "Limits that a region's replicas name, and what they get"}
	command.AddCommand(a.limitListCommand())
	return command
}

func (a *application) limitListCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "list",
		Short: "List the replicas that name limits: for how long, what each takes, got and was spared in the last window, and who counts",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var limits coordinator.ReplicaLimits
			if err := callCoordinator(command.Context(), http.MethodGet, address, coordinator.PathReplicaLimits, &limits); err != nil {
				return err
			}
			return a.print(limits, func() table { return limitTable(limits) })
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

func limitTable(limits coordinator.ReplicaLimits) table {
	content := table{header: []string{"replica", "takes", "named for", "sent", "refused", "room", "window", "counted by", "mode"}}
	for _, each := range limits.Replicas {
		content.add(each.Replica, fmt.Sprintf("%g/s", each.Rate), fmt.Sprintf("%.0fs", each.DeclaredForS), units(each.Sent), units(each.Refused),
			fmt.Sprintf("%.1f", each.Room), fmt.Sprintf("%gs", each.WindowS), limits.Address, string(limits.Mode))
	}
	return content
}
