package cli

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

func (a *application) engineCommand() *cobra.Command {
	command := &cobra.Command{Use: "engine", Short: "Look at engines, drain them and change what they are"}
	command.AddCommand(
		a.engineListCommand(),
		a.engineActionCommand(operatorapi.ActionDrain, "Give an engine no new work until it is undrained"),
		a.engineActionCommand(operatorapi.ActionUndrain, "End a drain"),
		a.engineSetCommand(),
	)
	return command
}

func (a *application) engineListCommand() *cobra.Command {
	var zone string
	command := &cobra.Command{Use: "list", Short: "List the engines and application back ends of all zones", Args: cobra.NoArgs}
	command.Flags().StringVar(&zone, "zone", "", "list this zone only")
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := a.client()
		if err != nil {
			return err
		}
		list, err := client.Engines(command.Context())
		if err != nil {
			return explainRead(err)
		}
		list = filterEngines(list, zone)
		return a.print(list, func() table { return engineTable(list) })
	}
	return a.operatorCommand(command)
}

func filterEngines(list operatorapi.EngineList, zone string) operatorapi.EngineList {
	if zone == "" {
		return list
	}
	filtered := operatorapi.EngineList{}
	for _, each := range list.Zones {
		if each.Zone == zone {
			filtered.Zones = append(filtered.Zones, each)
		}
	}
	for _, each := range list.Engines {
		if each.Zone == zone {
			filtered.Engines = append(filtered.Engines, each)
		}
	}
	for _, each := range list.BackEnds {
		if each.Zone == zone {
			filtered.BackEnds = append(filtered.BackEnds, each)
		}
	}
	return filtered
}

func engineTable(list operatorapi.EngineList) table {
	content := table{header: []string{"zone", "id", "address", "observed", "desired", "phase", "takes work", "running", "note"}}
	watched := map[string]bool{}
	for _, zone := range list.Zones {
		watched[zone.Zone] = zone.FromLeader
	}
	for _, engine := range list.Engines {
		phase, running := engine.Phase, strconv.Itoa(engine.Running)
		if !watched[engine.Zone] {
			phase, running = unknown, unknown
		}
		content.add(engine.Zone, engine.ID, engine.Address, describeConfiguration(engine.Observed),
			describeConfiguration(engine.Desired), orDash(phase), yesNo(engine.Dispatchable),
			running, engineNote(engine, watched[engine.Zone]))
	}
	for _, backEnd := range list.BackEnds {
		content.add(backEnd.Zone, backEnd.ID, backEnd.Address, strings.Join(backEnd.Applications, ","), "-",
			"application", yesNo(backEnd.Dispatchable), "-", "")
	}
	addUnreached(&content, list.Zones)
	return content
}

// engineNote tells what stands out. Only a zone's leader watches the engines;
// without it nothing is known of their reachability.
func engineNote(engine operatorapi.Engine, watched bool) string {
	var notes []string
	if engine.Drained {
		notes = append(notes, "drained")
	}
	if engine.Change != "" {
		notes = append(notes, "change: "+engine.Change)
	}
	if !watched {
		notes = append(notes, "not watched, old row")
	} else if !engine.Reachable {
		notes = append(notes, "not reached lately")
	}
	if engine.Problem != "" && !slices.Contains(notes, engine.Problem) {
		notes = append(notes, engine.Problem)
	}
	return strings.Join(notes, "; ")
}

func describeConfiguration(configuration operatorapi.EngineConfiguration) string {
	if configuration.Model == "" && configuration.Role == "" {
		return "-"
	}
	text := fmt.Sprintf("%s %s@%s", configuration.Role, configuration.Model, configuration.Version)
	if len(configuration.Adapters) > 0 {
		text += "+" + strings.Join(configuration.Adapters, "+")
	}
	return text
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// addUnreached tells which zones the listing has nothing of, and which answers
// may be old.
func addUnreached(content *table, zones []operatorapi.ZoneState) {
	for _, zone := range zones {
		switch {
		case !zone.Reached:
			content.note("zone %s was not reached: %s", zone.Zone, zone.Problem)
		case !zone.FromLeader:
			content.note("zone %s has no leader that could be asked; its rows are from revision %d and may be old", zone.Zone, zone.Revision)
		}
	}
}

func (a *application) engineActionCommand(action operatorapi.EngineAction, short string) *cobra.Command {
	var zone string
	command := &cobra.Command{Use: string(action) + " ENGINE", Short: short, Args: cobra.ExactArgs(1)}
	command.Flags().StringVar(&zone, "zone", "", "zone of the engine (default: looked up)")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		return a.commandEngine(command.Context(), zone, arguments[0], action, nil)
	}
	return a.changeCommand(command)
}

func (a *application) engineSetCommand() *cobra.Command {
	var zone string
	var target operatorapi.EngineConfiguration
	command := &cobra.Command{
		Use:   "set ENGINE",
		Short: "Change an engine's role, model, version or adapters",
		Args:  cobra.ExactArgs(1),
	}
	flags := command.Flags()
	flags.StringVar(&zone, "zone", "", "zone of the engine (default: looked up)")
	flags.StringVar(&target.Role, "role", "", "prefill, decode or mixed")
	flags.StringVar(&target.Model, "model", "", "model to load")
	flags.StringVar(&target.Version, "version", "", "version of the model")
	flags.StringSliceVar(&target.Adapters, "adapters", nil, "adapters to load")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if target.Role == "" && target.Model == "" && target.Version == "" && len(target.Adapters) == 0 {
			return usagef("engine set: give at least one of --role, --model, --version and --adapters")
		}
		return a.commandEngine(command.Context(), zone, arguments[0], operatorapi.ActionAssign, &target)
	}
	return a.changeCommand(command)
}

func (a *application) commandEngine(ctx context.Context, zone, engine string, action operatorapi.EngineAction, target *operatorapi.EngineConfiguration) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	if zone == "" {
		if zone, err = zoneOfEngine(ctx, client, engine); err != nil {
			return err
		}
	}
	command := operatorapi.EngineCommand{RequestID: a.changeID(), Target: target}
	result, err := client.CommandEngine(ctx, zone, engine, action, command)
	if err != nil {
		return a.explainChange(fmt.Errorf("engine %q of zone %q: %w", engine, zone, err))
	}
	return a.printCommand(result, fmt.Sprintf("engine %s of zone %s: %s", engine, zone, action))
}

func (a *application) printCommand(result operatorapi.CommandResult, what string) error {
	return a.print(result, func() table {
		var content table
		content.note("%s accepted at the zone's revision %d", what, result.Revision)
		return content
	})
}

// zoneOfEngine looks an engine up in all zones.
func zoneOfEngine(ctx context.Context, client *operatorapi.Client, engine string) (string, error) {
	list, err := client.Engines(ctx)
	if err != nil {
		return "", explainRead(err)
	}
	for _, each := range list.Engines {
		if each.ID == engine {
			return each.Zone, nil
		}
	}
	var unreached []string
	for _, zone := range list.Zones {
		if !zone.Reached {
			unreached = append(unreached, zone.Zone)
		}
	}
	message := fmt.Sprintf("engine %q is not known", engine)
	if len(unreached) > 0 {
		message += "; not reached: " + strings.Join(unreached, ", ") + " (give --zone)"
	}
	return "", failure.New(failure.NotFound, message)
}
