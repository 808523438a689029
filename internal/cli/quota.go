package cli

import (
	"context"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/quota"
)

// quotaCommand shows what tenants use of their limits.
func (a *application) quotaCommand() *cobra.Command {
	command := &cobra.Command{Use: "quota", Short: "Limits of a region's tenants, and what they use"}
	command.AddCommand(a.quotaListCommand(), a.quotaHolderCommand())
	return command
}

func (a *application) quotaListCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "list",
		Short: "List the tenants with limits: what each may use, has used and was refused in the last window",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			status, err := quotaStatus(command.Context(), address)
			if err != nil {
				return err
			}
			return a.print(status.Tenants, func() table { return quotaTable(status.Tenants) })
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

func (a *application) quotaHolderCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "holder",
		Short: "Show where the count stands, and which coordinators' parts of the limits count there",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			status, err := quotaStatus(command.Context(), address)
			if err != nil {
				return err
			}
			return a.print(status, func() table { return holderTable(status) })
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

func quotaStatus(ctx context.Context, address string) (quota.Status, error) {
	var status quota.Status
	err := callCoordinator(ctx, http.MethodGet, address, coordinator.PathQuotas, &status)
	return status, err
}

func quotaTable(tenants []quota.TenantStatus) table {
	content := table{header: []string{"tenant", "rate", "burst", "level", "admitted", "refused", "window", "tolerated"}}
	for _, each := range tenants {
		content.add(each.Tenant, units(each.Rate), units(each.Burst), units(each.Level), units(each.Admitted), units(each.Refused),
			fmt.Sprintf("%gs", each.WindowS), units(each.Tolerance))
	}
	return content
}

func units(count float64) string { return fmt.Sprintf("%.0f", count) }

func holderTable(status quota.Status) table {
	content := table{header: []string{"coordinator", "mode", "parts", "lease left"}}
	content.add(status.Address, string(status.Mode), fmt.Sprintf("%d of %d", status.Parts, status.Members), "")
	for _, each := range status.Attached {
		content.add(each.Address, string(quota.ModeAttached), "", fmt.Sprintf("%.2fs", each.LeaseLeftS))
	}
	return content
}
