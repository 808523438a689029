package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
)

func (a *application) zoneCommand() *cobra.Command {
	command := &cobra.Command{Use: "zone", Short: "Look at zones"}
	command.AddCommand(a.operatorCommand(&cobra.Command{
		Use:   "list",
		Short: "List the zones with their groups",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			list, err := client.Zones(command.Context())
			if err != nil {
				return explainRead(err)
			}
			return a.print(list, func() table { return zoneTable(list.Zones) })
		},
	}))
	return command
}

func zoneTable(zones []operatorapi.ZoneState) table {
	content := table{header: []string{"zone", "reached", "leader", "members active", "revision", "config revision", "engines", "gateways"}}
	for _, zone := range zones {
		if !zone.Reached {
			content.add(zone.Zone, yesNo(false), unknown, unknown, unknown, unknown, unknown, unknown)
			continue
		}
		content.add(zone.Zone, yesNo(zone.Reached), orDash(zone.Group.LeaderAddress), activeMembers(zone.Group),
			zone.Revision, zone.ConfigRevision, zone.Engines, zone.Gateways)
	}
	addUnreached(&content, zones)
	return content
}

// activeMembers counts the members that the leader has heard of lately.
func activeMembers(group operatorapi.GroupState) string {
	active := 0
	for _, member := range group.Members {
		if member.Active {
			active++
		}
	}
	return fmt.Sprintf("%d/%d", active, len(group.Members))
}
