package scale

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/bench/fleet"
)

// commandOptions are the flags of the command.
type commandOptions struct {
	settings Settings
	fault    string
	binaries string
	asJSON   bool
	// slopes is the output folder of the sweeps; if empty, there is a single run.
	slopes string
}

const defaultDuration = time.Minute

// Command returns the sub-command that runs the control plane at a given size.
func Command() *cobra.Command {
	options := &commandOptions{settings: Settings{Size: TargetSize()}}
	command := &cobra.Command{
		Use:   "scale",
		Short: "Run the control plane at a chosen size and compare it with the budgets",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command)
		},
	}
	options.addFlags(command)
	return command
}

func (o *commandOptions) addFlags(command *cobra.Command) {
	size := &o.settings.Size
	flags := command.Flags()
	flags.IntVar(&size.Nodes, "nodes", size.Nodes, "gateways, hollow and real")
	flags.IntVar(&size.Replicas, "replicas", size.Replicas, "hollow engines")
	flags.IntVar(&size.Zones, "zones", size.Zones, "zones")
	flags.IntVar(&size.Regions, "regions", size.Regions, "regions")
	flags.IntVar(&size.Controllers, "controllers", size.Controllers, "control machines")
	flags.IntVar(&size.Tenants, "tenants", size.Tenants, "tenants")
	flags.IntVar(&size.Models, "models", size.Models, "models")
	flags.Float64Var(&size.ChangesPerMinute, "changes-per-minute", size.ChangesPerMinute, "configuration changes a minute")
	flags.Float64Var(&size.ClaimsPerSecond, "claims-per-second", size.ClaimsPerSecond, "once-only claims a second, of the whole fleet")
	flags.DurationVar(&o.settings.Duration, "duration", defaultDuration, "length of the measured window")
	flags.StringVar(&o.fault, "fail", "", "what to lose after the window: controller, zone, rack or region-link")
	flags.StringVar(&o.settings.Folder, "folder", "", "run folder (default: a new temporary folder, removed after a clean run)")
	flags.StringVar(&o.binaries, "binaries", "", "folder with pierhaven and pierbench (default: build them)")
	flags.StringVar(&o.slopes, "slopes", "", "run the sweeps instead of one run, and write table, points and plots into this folder")
	flags.BoolVar(&o.asJSON, "json", false, "write the report as JSON")
}

// prepare builds the programs and completes the settings.
func (o *commandOptions) prepare(ctx context.Context) error {
	o.settings.Fault = Fault(o.fault)
	if !slices.Contains(faults(), o.settings.Fault) {
		return merry.Errorf("--fail: %q is none of controller, zone, rack and region-link", o.fault)
	}
	if o.settings.Fault == FaultRegionLink && o.settings.Size.Regions < 2 {
		return merry.New("--fail region-link needs two regions")
	}
	var err error
	o.settings.Binaries = fleet.BinariesIn(o.binaries)
	if o.binaries == "" {
		if o.settings.Binaries, err = fleet.Build(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (o *commandOptions) run(command *cobra.Command) error {
	if err := o.prepare(command.Context()); err != nil {
		return err
	}
	if o.slopes != "" {
		return runSlopes(command.Context(), o.settings, o.slopes, command.OutOrStdout())
	}
	report, err := runInFolder(command.Context(), o.settings)
	if err != nil {
		return err
	}
	if o.asJSON {
		err = report.WriteJSON(command.OutOrStdout())
	} else {
		err = report.Write(command.OutOrStdout())
	}
	if err != nil {
		return err
	}
	if report.Violations > 0 {
		return merry.Errorf("%d violations", report.Violations)
	}
	return nil
}

// runInFolder runs in the settings' folder, or in a temporary one that is deleted unless the run fails.
func runInFolder(ctx context.Context, settings Settings) (*Report, error) {
	if settings.Folder != "" {
		return Run(ctx, settings)
	}
	folder, err := os.MkdirTemp("", "pierhaven-scale-")
	if err != nil {
		return nil, merry.Wrap(err)
	}
	settings.Folder = folder
	report, err := Run(ctx, settings)
	if err != nil {
		return nil, merry.Append(err, fmt.Sprintf("(run folder %s)", folder))
	}
	if report.Violations == 0 {
		err = os.RemoveAll(folder)
	}
	return report, merry.Wrap(err)
}
