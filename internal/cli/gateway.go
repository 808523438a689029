package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
)

// gatewayListCommand and gatewayForgetCommand stand below the daemon's command.
func (a *application) gatewayListCommand() *cobra.Command {
	return a.operatorCommand(&cobra.Command{
		Use:   "list",
		Short: "List the gateways with open sessions in all zones",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			list, err := client.Gateways(command.Context())
			if err != nil {
				return explainRead(err)
			}
			return a.print(list, func() table { return gatewayTable(list) })
		},
	})
}

func gatewayTable(list operatorapi.GatewayList) table {
	content := table{header: []string{"zone", "id", "address", "state", "heartbeat", "config revision", "view", "leaving"}}
	for _, gateway := range list.Gateways {
		configRevision, view, leaving := fmt.Sprint(gateway.ConfigRevision), fmt.Sprint(gateway.AppliedRevision), yesNo(gateway.Leaving)
		if gateway.HeartbeatAgeMillis < 0 {
			configRevision, view, leaving = unknown, unknown, unknown
		}
		content.add(gateway.Zone, gateway.ID, gateway.Address, gateway.State, age(gateway.HeartbeatAgeMillis),
			configRevision, view, leaving)
	}
	addUnreached(&content, list.Zones)
	return content
}

func age(millis int64) string {
	if millis < 0 {
		return unknown
	}
	return (time.Duration(millis) * time.Millisecond).String() + " ago"
}

func (a *application) gatewayForgetCommand() *cobra.Command {
	var zone string
	var stopped bool
	command := &cobra.Command{
		Use:   "forget GATEWAY",
		Short: "End the session of a gateway that is known to be dead",
		Long: "End the session of a dead gateway, so that changes of engines need not wait for\n" +
			"its isolation limit. A gateway that is still running would go on dispatching:\n" +
			"stop its process or its machine first, then confirm with --confirm-stopped.",
		Args: cobra.ExactArgs(1),
	}
	command.Flags().StringVar(&zone, "zone", "", "zone of the gateway")
	command.Flags().BoolVar(&stopped, "confirm-stopped", false, "I have made sure that the process does not run")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if zone == "" {
			return usagef("gateway forget: --zone is needed")
		}
		if !stopped {
			return usagef("gateway forget: stop the process first, then confirm with --confirm-stopped")
		}
		client, err := a.client()
		if err != nil {
			return err
		}
		forget := operatorapi.ForgetCommand{RequestID: a.changeID(), ConfirmStopped: true}
		result, err := client.ForgetGateway(command.Context(), zone, arguments[0], forget)
		if err != nil {
			return a.explainChange(err)
		}
		return a.printCommand(result, fmt.Sprintf("gateway %s of zone %s: forget", arguments[0], zone))
	}
	return a.changeCommand(command)
}
