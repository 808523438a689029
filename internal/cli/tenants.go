package cli

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/platform"
)

// tenantsTimeout bounds the reading of a configuration, longer than a coordinator takes to make
// sure that it is the newest.
const tenantsTimeout = 5 * time.Second

// shownTenant is a tenant as operators see it: without its keys.
type shownTenant struct {
	Name string `json:"name"`
	Keys int    `json:"keys"`
	// Priority is absent if the routes' hold.
	Priority *int `json:"priority,omitempty"`
}

func (a *application) tenantsCommand() *cobra.Command {
	var coordinator string
	command := &cobra.Command{
		Use:   "tenants",
		Short: "List a region's tenants, without their API keys",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := netip.ParseAddrPort(coordinator); err != nil {
				return invalidError{fmt.Sprintf("--coordinator must be IP:port, not %q", coordinator)}
			}
			ctx, cancel := context.WithTimeout(command.Context(), tenantsTimeout)
			defer cancel()
			configuration, err := platform.ReadConfiguration(ctx, coordinator)
			if err != nil {
				return err
			}
			shown := showTenants(configuration)
			return a.print(shown, func() table { return tenantsTable(shown) })
		},
	}
	coordinatorFlag(command, &coordinator)
	return command
}

func showTenants(configuration *traffic.Configuration) []shownTenant {
	shown := make([]shownTenant, 0, len(configuration.Tenants))
	for _, each := range configuration.Tenants {
		shown = append(shown, shownTenant{Name: each.Name, Keys: len(each.Keys), Priority: each.Priority})
	}
	return shown
}

func tenantsTable(shown []shownTenant) table {
	content := table{header: []string{"tenant", "keys", "priority"}}
	for _, each := range shown {
		priority := "of the route"
		if each.Priority != nil {
			priority = fmt.Sprint(*each.Priority)
		}
		content.add(each.Name, fmt.Sprint(each.Keys), priority)
	}
	return content
}
