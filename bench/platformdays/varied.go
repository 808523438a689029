package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"

	"github.com/spf13/cobra"
)

// newVariedCommand plays days of deployments that are made from the given ones when
// it runs.
func newVariedCommand(flags *options) *cobra.Command {
	var days int
	command := &cobra.Command{
		Use:   "varied SITE...",
		Short: "Hunt on deployments that are made from the given ones",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, sites []string) error {
			return huntVaried(*flags, days, sites)
		},
	}
	command.Flags().IntVar(&days, "days", 6, "days of hunt on each deployment")
	return command
}

// huntVaried hunts on every variation of every site and prints a table.
func huntVaried(flags options, days int, sites []string) error {
	folder, err := os.MkdirTemp("", "platformdays")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	chosen := chosenVariations(flags.only)
	results := make([]result, len(sites)*len(chosen))
	slots := make(chan struct{}, flags.jobs)
	var hunts sync.WaitGroup
	for siteIndex, original := range sites {
		for index, each := range chosen {
			varied, err := readSite(original)
			if err != nil {
				return err
			}
			each.vary(varied)
			name := strings.TrimSuffix(filepath.Base(original), ".toml") + "-" + each.name
			path, err := varied.write(folder, name, original)
			if err != nil {
				return err
			}
			hunts.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				results[siteIndex*len(chosen)+index] = hunt(flags, days, name, path)
			})
		}
	}
	hunts.Wait()
	return report(results)
}

var (
	// huntSummary is the bench's last word on a hunt.
	huntSummary = regexp.MustCompile(`(?m)^\d+ days on .*, (\d+) with a rule broken$`)
	// huntFinding is a line of a day that broke a rule.
	huntFinding = regexp.MustCompile(`(?m)^.*(?:BROKEN|breaks|--seed \d+ +[A-Z]+).*$`)
)

// hunt hunts on one deployment.
func hunt(flags options, days int, name, path string) result {
	output, _ := flags.runBench("hunt", path, "--days", fmt.Sprint(days), "--why", flags.why+": "+name)
	played := result{site: name, day: "hunt"}
	found := huntSummary.FindStringSubmatch(output)
	if found == nil {
		played.broken = true
		played.line = "not played: " + lastLine(output)
		return played
	}
	played.line = found[0]
	played.broken = found[1] != "0"
	if played.broken {
		played.line += "; " + strings.Join(huntFinding.FindAllString(output, -1), "; ")
	}
	return played
}
