package scale

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
)

// sweepResult holds the results of a sweep.
type sweepResult struct {
	sweep   Sweep
	reports []*Report
}

// fits returns the fitted line of each metric of the sweep.
func (s *sweepResult) fits() []Fit {
	var list []Fit
	for _, metric := range metrics() {
		var points []Point
		for _, report := range s.reports {
			points = append(points, Point{X: s.sweep.x(report.Size), Y: metric.read(report)})
		}
		if fitted, enough := fit(s.sweep.Name, metric, points); enough {
			list = append(list, fitted)
		}
	}
	return list
}

// runSlopes runs all sweeps and writes table, points and plots into a folder.
func runSlopes(ctx context.Context, settings Settings, folder string, progress io.Writer) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return merry.Wrap(err)
	}
	var results []*sweepResult
	for _, sweep := range sweeps() {
		result, err := runSweep(ctx, settings, sweep, progress)
		if err != nil {
			return err
		}
		results = append(results, result)
		// Results are written even if a later sweep fails.
		if err := writeSlopes(folder, results); err != nil {
			return err
		}
	}
	return nil
}

func runSweep(ctx context.Context, settings Settings, sweep Sweep, progress io.Writer) (*sweepResult, error) {
	result := &sweepResult{sweep: sweep}
	for _, size := range sweep.Sizes {
		settings.Size = size
		settings.Fault = FaultNone
		settings.Duration = sweep.Duration
		settings.Folder = ""
		report, err := runInFolder(ctx, settings)
		if err != nil {
			return nil, merry.Prependf(err, "sweep %s at %g", sweep.Name, sweep.x(size))
		}
		if report.Violations > 0 {
			return nil, merry.Errorf("sweep %s at %g: %d violations", sweep.Name, sweep.x(size), report.Violations)
		}
		fmt.Fprintf(progress, "%s %g: node %.0f B/s, zone leader %.1f%% of a core\n", sweep.Name, sweep.x(size),
			report.HollowGateway.ReceivedBytes+report.HollowGateway.SentBytes, 100*report.ZoneLeader.Core)
		result.reports = append(result.reports, report)
	}
	return result, nil
}
