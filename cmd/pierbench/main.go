// Command pierbench runs everything around pierhaven that is not the product:
// stand-ins for engines and application back ends, whole fleets on loopback,
// replays, faults and experiments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/bench/application"
	"github.com/pierhaven/pierhaven/bench/dataplane"
	"github.com/pierhaven/pierhaven/bench/demo"
	"github.com/pierhaven/pierhaven/bench/engine"
	"github.com/pierhaven/pierhaven/bench/experiment"
	"github.com/pierhaven/pierhaven/bench/faults"
	"github.com/pierhaven/pierhaven/bench/fleet"
	"github.com/pierhaven/pierhaven/bench/manygateways"
	"github.com/pierhaven/pierhaven/bench/platform"
	"github.com/pierhaven/pierhaven/bench/replay"
	"github.com/pierhaven/pierhaven/bench/scale"
	"github.com/pierhaven/pierhaven/bench/scale/hollow"
	"github.com/pierhaven/pierhaven/bench/simulation"
	"github.com/pierhaven/pierhaven/bench/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the program at once.
	context.AfterFunc(ctx, stop)
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "pierbench:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "pierbench",
		Short:         "Stand-ins, fleets, replays, faults and experiments for pierhaven",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(subCommands()...)
	return root
}

func subCommands() []*cobra.Command {
	return []*cobra.Command{
		dataplane.Command(),
		demo.Command(),
		experiment.Command(),
		faults.Command(),
		fleet.Command(),
		manygateways.Command(),
		replay.Command(),
		replay.GenerateCommand(),
		scale.Command(),
		hollow.Command(),
		simulation.Command(),
		soak.Command(),
		engine.Command(),
		application.Command(),
		platform.MachineListCommand(),
		platform.WeightStoreCommand(),
	}
}
