package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

func (a *application) rolloutCommand() *cobra.Command {
	command := &cobra.Command{Use: "rollout", Short: "Look at changes of models' versions, halt, resume and revert them"}
	command.AddCommand(
		a.rolloutListCommand(),
		a.rolloutActionCommand(operatorapi.RolloutHalt, "Change no further engine to the new version"),
		a.rolloutActionCommand(operatorapi.RolloutResume, "Go on with a rollout that was halted or reverted"),
		a.rolloutActionCommand(operatorapi.RolloutRevert, "Take the changed engines back to the old version"),
	)
	return command
}

func (a *application) rolloutListCommand() *cobra.Command {
	return a.operatorCommand(&cobra.Command{
		Use:   "list",
		Short: "List the rollouts of all zones",
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
			return a.print(rolloutsOf(list.Zones), func() table { return rolloutTable(list.Zones) })
		},
	})
}

func rolloutsOf(zones []operatorapi.ZoneState) []operatorapi.Rollout {
	rollouts := []operatorapi.Rollout{}
	for _, zone := range zones {
		rollouts = append(rollouts, zone.Rollouts...)
	}
	return rollouts
}

func rolloutTable(zones []operatorapi.ZoneState) table {
	content := table{header: []string{"zone", "model", "from", "to", "phase", "engines changed", "note"}}
	for _, rollout := range rolloutsOf(zones) {
		content.add(rollout.Zone, rollout.Model, rollout.From, rollout.To, rollout.Phase,
			fmt.Sprintf("%d/%d", rollout.Changed, rollout.Engines), rollout.Reason)
	}
	addUnreached(&content, zones)
	return content
}

func describeRollout(rollout operatorapi.Rollout) string {
	text := fmt.Sprintf("rollout of model %s from %s to %s in zone %s: %s, %d of %d engines changed",
		rollout.Model, rollout.From, rollout.To, rollout.Zone, rollout.Phase, rollout.Changed, rollout.Engines)
	if rollout.Reason != "" {
		text += "; " + rollout.Reason
	}
	return text
}

// printPolicy shows a policy, and below it the rollouts of the models that it
// places.
func (a *application) printPolicy(ctx context.Context, client *operatorapi.Client, document operatorapi.Document) error {
	if err := a.printDocument(document); err != nil {
		return err
	}
	var policy dynamic.Policy
	if err := json.Unmarshal(document.Body, &policy); err != nil || len(policy.Placement) == 0 {
		return nil
	}
	var content table
	zones, err := client.Zones(ctx)
	if err != nil {
		content.note("# rollouts are not known: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	for _, rollout := range rolloutsOf(zones.Zones) {
		if slices.ContainsFunc(policy.Placement, func(rule dynamic.PlacementRule) bool { return rule.Model == rollout.Model }) {
			content.note("# %s", describeRollout(rollout))
		}
	}
	for _, zone := range zones.Zones {
		if !zone.Reached {
			content.note("# zone %s was not reached; its rollouts are not known", zone.Zone)
		}
	}
	return a.printTable(content)
}

func (a *application) rolloutActionCommand(action operatorapi.RolloutAction, short string) *cobra.Command {
	var zone string
	command := &cobra.Command{Use: string(action) + " MODEL", Short: short, Args: cobra.ExactArgs(1)}
	command.Flags().StringVar(&zone, "zone", "", "zone of the rollout")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if zone == "" {
			return usagef("rollout %s: --zone is needed", action)
		}
		client, err := a.client()
		if err != nil {
			return err
		}
		asked := operatorapi.RolloutCommand{RequestID: a.changeID()}
		result, err := client.CommandRollout(command.Context(), zone, arguments[0], action, asked)
		if err != nil {
			return a.explainChange(fmt.Errorf("rollout of model %q in zone %q: %w", arguments[0], zone, err))
		}
		return a.printCommand(result, fmt.Sprintf("rollout of model %s in zone %s: %s", arguments[0], zone, action))
	}
	return a.changeCommand(command)
}
