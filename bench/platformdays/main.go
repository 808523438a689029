// Command platformdays plays a day for every kind of disruption on deployments of
// the users' platform, with the users' bench, and prints a table.
//
//	go run ./bench/platformdays --bench PATH SITE...
//	go run ./bench/platformdays varied --bench PATH SITE...
//	go run ./bench/platformdays ablation --bench PATH SITE...
//
// The second form hunts on deployments that are varied from the given ones.
// The third measures what each mechanism is worth.
//
// A day is made from the site's own quiet one when the command runs: nothing of the
// users' files is kept here. Each kind is played in each of its variants, twice in
// the day, and once more while a coordinator is in trouble.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"

	"github.com/spf13/cobra"
)

// options are the command's flags.
type options struct {
	bench string
	only  string
	jobs  int
	why   string
	seed  int64
}

func main() {
	var flags options
	command := &cobra.Command{
		Use:   "platformdays SITE...",
		Short: "Play a day for every kind of disruption",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, sites []string) error {
			return playAll(flags, sites)
		},
		SilenceUsage: true,
	}
	command.AddCommand(newVariedCommand(&flags), newAblationCommand(&flags))
	command.PersistentFlags().StringVar(&flags.bench, "bench", "", "the users' bench program")
	command.PersistentFlags().StringVar(&flags.only, "only", "", "play only disruptions, or variations, whose name begins so")
	command.PersistentFlags().IntVar(&flags.jobs, "jobs", 4, "days played at the same time")
	command.PersistentFlags().StringVar(&flags.why, "why", "a day for every kind of disruption", "a line for the journal")
	command.PersistentFlags().Int64Var(&flags.seed, "seed", 1, "seed of the days")
	_ = command.MarkPersistentFlagRequired("bench")
	if command.Execute() != nil {
		os.Exit(1)
	}
}

// result is what the bench said of a day.
type result struct {
	site, day, line string
	broken          bool
}

func playAll(flags options, sites []string) error {
	folder, err := os.MkdirTemp("", "platformdays")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	days := daysOf(flags.only)
	results := make([]result, len(sites)*len(days))
	slots := make(chan struct{}, flags.jobs)
	var plays sync.WaitGroup
	for siteIndex, site := range sites {
		quiet, err := quietDay(site)
		if err != nil {
			return err
		}
		for dayIndex, day := range days {
			path := filepath.Join(folder, fmt.Sprintf("%d-%s.toml", siteIndex, day.name))
			if err := os.WriteFile(path, []byte(day.in(quiet)), 0o600); err != nil {
				return err
			}
			plays.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				results[siteIndex*len(days)+dayIndex] = play(flags, site, day.name, path)
			})
		}
	}
	plays.Wait()
	return report(results)
}

// runBench runs the bench with one job and returns what it printed.
func (o options) runBench(arguments ...string) (string, error) {
	output, err := exec.Command(o.bench, append(arguments, "--jobs", "1")...).CombinedOutput()
	return string(output), err
}

// play plays one day.
func play(flags options, site, name, path string) result {
	output, err := flags.runBench("run", site, path, "--no-cpu", "--seed", fmt.Sprint(flags.seed), "--why", flags.why+": "+name)
	played := result{site: filepath.Base(site), day: name, line: lineOf(output)}
	notOpen := strings.Contains(output, "is not open")
	played.broken = err != nil && played.line == "" && !notOpen || strings.Contains(played.line, "BROKEN")
	if played.line == "" {
		played.line = "not played: " + lastLine(output)
	}
	return played
}

var dayLine = regexp.MustCompile(`(?m)^\S+ +\d+/\d+ +.*$`)

func lineOf(output string) string {
	line := dayLine.FindString(output)
	_, figures, _ := strings.Cut(line, "/")
	return figures
}

func lastLine(output string) string {
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return lines[len(lines)-1]
}

func report(results []result) error {
	broken := 0
	fmt.Println("site | day | servers, score, worth, served, refused, failed")
	for _, each := range results {
		fmt.Printf("%s | %s | %s\n", each.site, each.day, each.line)
		if each.broken {
			broken++
		}
	}
	fmt.Printf("%d days, %d with a rule broken\n", len(results), broken)
	if broken > 0 {
		return fmt.Errorf("%d days broke a rule", broken)
	}
	return nil
}
