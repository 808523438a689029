package scale

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Files in the output folder of the sweeps.
const (
	slopesFile = "slopes.md"
	pointsFile = "points.csv"
	plotSide   = 4 * vg.Inch
	plotWidth  = 7 * vg.Inch
)

// writeSlopes writes the results of the sweeps.
func writeSlopes(folder string, results []*sweepResult) error {
	if err := writeSlopeTable(filepath.Join(folder, slopesFile), results); err != nil {
		return err
	}
	if err := writePoints(filepath.Join(folder, pointsFile), results); err != nil {
		return err
	}
	for _, result := range results {
		for _, each := range plots() {
			if err := each.write(folder, result); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeSlopeTable(path string, results []*sweepResult) error {
	var text bytes.Buffer
	fmt.Fprintln(&text, "# Measured slopes")
	fmt.Fprintln(&text, "\nWritten by `pierbench scale --slopes docs/capacity`; don't edit. The figures are a line")
	fmt.Fprintln(&text, "`base + slope x` by least squares over the sizes of each sweep; the points stand in points.csv.")
	for _, result := range results {
		sweep := result.sweep
		first := result.reports[0]
		fmt.Fprintf(&text, "\n## Sweep `%s`: x is %s\n\n", sweep.Name, sweep.Variable)
		fmt.Fprintf(&text, "%s. Windows of %s.\n\n", first.Machine, sweep.Duration)
		fmt.Fprintf(&text, "| role | figure | unit |%s base | slope | R² | line at x = %.4g |\n", xHeaders(result), sweep.Target)
		fmt.Fprintf(&text, "|---|---|---|%s---|---|---|---|\n", repeated("---|", len(result.reports)))
		for _, fitted := range result.fits() {
			fmt.Fprintf(&text, "| %s | %s | %s |%s %.4g | %.4g | %.3f | %.4g |\n", fitted.Metric.Role, fitted.Metric.Name, fitted.Metric.Unit,
				values(fitted.Points), fitted.Base, fitted.Slope, fitted.Determination, fitted.at(sweep.Target))
		}
	}
	return merry.Wrap(os.WriteFile(path, text.Bytes(), 0o644))
}

func xHeaders(result *sweepResult) string {
	text := ""
	for _, report := range result.reports {
		text += fmt.Sprintf(" x = %.4g |", result.sweep.x(report.Size))
	}
	return text
}

func values(points []Point) string {
	text := ""
	for _, point := range points {
		text += fmt.Sprintf(" %.4g |", point.Y)
	}
	return text
}

func repeated(text string, times int) string {
	return string(bytes.Repeat([]byte(text), times))
}

func writePoints(path string, results []*sweepResult) error {
	var text bytes.Buffer
	writer := csv.NewWriter(&text)
	rows := [][]string{{"sweep", "nodes", "replicas", "zones", "tenants", "changes_per_minute", "claims_per_second", "role", "figure", "unit", "x", "y"}}
	for _, result := range results {
		for _, report := range result.reports {
			for _, metric := range metrics() {
				rows = append(rows, pointRow(result, report, metric))
			}
		}
	}
	if err := writer.WriteAll(rows); err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(os.WriteFile(path, text.Bytes(), 0o644))
}

func pointRow(result *sweepResult, report *Report, metric Metric) []string {
	number := func(value float64) string { return strconv.FormatFloat(value, 'g', 6, 64) }
	size := report.Size
	return []string{
		result.sweep.Name, strconv.Itoa(size.Nodes), strconv.Itoa(size.Replicas), strconv.Itoa(size.Zones), strconv.Itoa(size.Tenants),
		number(size.ChangesPerMinute), number(size.ClaimsPerSecond), metric.Role, metric.Name, metric.Unit,
		number(result.sweep.x(size)), number(metric.read(report)),
	}
}

// slopePlot is a plot of one figure of several roles over a sweep.
type slopePlot struct {
	file   string
	figure string
	roles  []string
}

func plots() []slopePlot {
	control := []string{roleLeader, roleVoter, roleConfig}
	return []slopePlot{
		{"node-received", "received", []string{roleNode}},
		{"node-sent", "sent", []string{roleNode}},
		{"control-processor", "processor", control},
		{"control-received", "received", control},
		{"control-disk", "disk", control},
	}
}

// write plots the points and their lines.
func (p slopePlot) write(folder string, result *sweepResult) error {
	made := plot.New()
	made.X.Label.Text = result.sweep.Variable
	made.Legend.Top, made.Legend.Left = true, true
	made.Y.Min = 0
	color := 0
	for _, fitted := range result.fits() {
		if fitted.Metric.Name != p.figure || !slices.Contains(p.roles, fitted.Metric.Role) {
			continue
		}
		made.Y.Label.Text = fitted.Metric.Name + ", " + fitted.Metric.Unit
		if err := addFit(made, fitted, color); err != nil {
			return err
		}
		color++
	}
	path := filepath.Join(folder, result.sweep.Name+"-"+p.file+".png")
	return merry.Prependf(made.Save(plotWidth, plotSide, path), "plot %s", path)
}

func addFit(made *plot.Plot, fitted Fit, color int) error {
	var points plotter.XYs
	for _, point := range fitted.Points {
		points = append(points, plotter.XY{X: point.X, Y: point.Y})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return merry.Wrap(err)
	}
	scatter.Color = plotutil.Color(color)
	last := points[len(points)-1].X
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: fitted.Base}, {X: last, Y: fitted.at(last)}})
	if err != nil {
		return merry.Wrap(err)
	}
	line.Color = plotutil.Color(color)
	made.Add(scatter, line)
	made.Legend.Add(fitted.Metric.Role, scatter, line)
	return nil
}
