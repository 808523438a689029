package manygateways

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// defaultCoordinators is the number of coordinators of a large deployment.
const defaultCoordinators = 5

// Curve is the goodput by the number of gateways, as the mean of several seeds.
type Curve struct {
	Name     string
	Gateways []int
	Goodput  []float64
	Busiest  []float64
}

// Command returns the sub-command that compares numbers of gateways.
func Command() *cobra.Command {
	var gateways []int
	var coordinators, seeds int
	var file string
	command := &cobra.Command{
		Use:   "gateways",
		Short: "Play the same load with few and with many gateways, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			curves := []Curve{
				measure("gateways choose by themselves", gateways, 0, seeds),
				measure(fmt.Sprint(coordinators, " coordinators choose"), gateways, coordinators, seeds),
			}
			if err := write(command.OutOrStdout(), curves); err != nil {
				return err
			}
			if file == "" {
				return nil
			}
			return save(file, curves)
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&gateways, "gateways", []int{1, 10, 100, 300}, "numbers of gateways")
	flags.IntVar(&coordinators, "coordinators", defaultCoordinators, "coordinators that choose for them")
	flags.IntVar(&seeds, "seeds", 3, "seeds for each point")
	flags.StringVar(&file, "plot", "", "write a plot into this file (PNG or SVG)")
	return command
}

// measure simulates each number of gateways.
func measure(name string, gateways []int, coordinators, seeds int) Curve {
	curve := Curve{Name: name, Gateways: gateways}
	for _, count := range gateways {
		goodput, busiest := 0.0, 0.0
		for seed := range seeds {
			result := Run(Options{Gateways: count, Coordinators: coordinators, Seed: uint64(seed + 1)})
			goodput += result.Goodput() / float64(seeds)
			busiest += result.Busiest / float64(seeds)
		}
		curve.Goodput = append(curve.Goodput, goodput)
		curve.Busiest = append(curve.Busiest, busiest)
	}
	return curve
}

func write(to io.Writer, curves []Curve) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "who chooses\tgateways\tgoodput\tbusiest reader / mean")
	for _, curve := range curves {
		for index, count := range curve.Gateways {
			_, _ = fmt.Fprintf(table, "%s\t%d\t%.3f\t%.2f\n", curve.Name, count, curve.Goodput[index], curve.Busiest[index])
		}
	}
	return table.Flush()
}

func save(file string, curves []Curve) error {
	drawn := plot.New()
	drawn.Title.Text = "Goodput of the same load"
	drawn.X.Label.Text = "gateways"
	drawn.Y.Label.Text = "share answered within the objective"
	drawn.X.Scale = plot.LogScale{}
	drawn.X.Tick.Marker = plot.LogTicks{}
	drawn.Y.Min, drawn.Y.Max = 0, 1
	var lines []any
	for _, curve := range curves {
		points := make(plotter.XYs, len(curve.Gateways))
		for index, count := range curve.Gateways {
			points[index] = plotter.XY{X: float64(count), Y: curve.Goodput[index]}
		}
		lines = append(lines, curve.Name, points)
	}
	if err := plotutil.AddLinePoints(drawn, lines...); err != nil {
		return merry.Prepend(err, "plot")
	}
	return drawn.Save(8*vg.Inch, 4*vg.Inch, file)
}
