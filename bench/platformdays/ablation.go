package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/mechanism"
)

// ablation says which days are played, and with how many seeds.
type ablation struct {
	days  []string
	seeds int
}

// newAblationCommand plays days with each mechanism switched off.
func newAblationCommand(flags *options) *cobra.Command {
	var plan ablation
	command := &cobra.Command{
		Use:   "ablation SITE...",
		Short: "Measure what each mechanism is worth, without processor time",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, sites []string) error {
			return plan.run(*flags, sites)
		},
	}
	command.Flags().StringSliceVar(&plan.days, "days", []string{"scale-1", "trouble-1"}, "the site's days that are played")
	command.Flags().IntVar(&plan.seeds, "seeds", 4, "seeds of each day, from --seed on")
	return command
}

// allOn names the row with nothing switched off.
const allOn = "none"

// run prints a row of mean worths for each mechanism, and the first for all of them.
func (a ablation) run(flags options, sites []string) error {
	folder, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	panels, err := a.writePanels(folder, flags.seed, sites)
	if err != nil {
		return err
	}
	fmt.Printf("| switched off | %s |\n|---|%s\n", strings.Join(namesOf(sites), " | "), strings.Repeat("---|", len(sites)))
	for _, off := range rowsOf(flags.only) {
		copied, err := copyWithout(filepath.Join(folder, off), off)
		if err != nil {
			return err
		}
		worths, err := flags.worthsOf(copied, panels, "ablation: without "+off)
		if err := errors.Join(err, collectJournal(copied)); err != nil {
			return err
		}
		row := "| " + off
		for _, worth := range worths {
			row += fmt.Sprintf(" | %.3f", worth)
		}
		fmt.Println(row + " |")
	}
	return nil
}

// worthsOf plays the panels at the same time, with an equal share of the jobs.
func (o options) worthsOf(sources string, panels []string, why string) ([]float64, error) {
	o.jobs = max(1, o.jobs/len(panels))
	worths := make([]float64, len(panels))
	problems := make([]error, len(panels))
	var plays sync.WaitGroup
	for index, panel := range panels {
		plays.Go(func() { worths[index], problems[index] = o.worthOf(sources, panel, why) })
	}
	plays.Wait()
	return worths, errors.Join(problems...)
}

// rowsOf are the mechanisms whose names begin with a text, and none at all first.
func rowsOf(only string) []string {
	rows := []string{allOn}
	for _, each := range mechanism.All() {
		if strings.HasPrefix(string(each), only) {
			rows = append(rows, string(each))
		}
	}
	return rows
}

func namesOf(sites []string) []string {
	names := make([]string, 0, len(sites))
	for _, site := range sites {
		names = append(names, strings.TrimSuffix(filepath.Base(site), ".toml"))
	}
	return names
}

var (
	dayName = regexp.MustCompile(`(?m)^name = "(.*)"$`)
	daySeed = regexp.MustCompile(`(?m)^seed = \d+$`)
)

// writePanels writes a copy of each site file whose days are the chosen ones with each seed.
func (a ablation) writePanels(folder string, firstSeed int64, sites []string) ([]string, error) {
	panels := make([]string, 0, len(sites))
	for _, site := range sites {
		content, err := os.ReadFile(site)
		if err != nil {
			return nil, err
		}
		panel := filepath.Join(folder, "panels", filepath.Base(site))
		if err := os.MkdirAll(filepath.Dir(panel), 0o700); err != nil {
			return nil, err
		}
		text := a.panelOf(string(content), firstSeed)
		if err := errors.Join(os.WriteFile(panel, []byte(text), 0o600), copyWireFile(site, folder)); err != nil {
			return nil, err
		}
		panels = append(panels, panel)
	}
	return panels, nil
}

func (a ablation) panelOf(site string, firstSeed int64) string {
	days := dayStart.Split(site, -1)
	panel := days[0]
	for _, day := range days[1:] {
		found := dayName.FindStringSubmatch(day)
		if found == nil || !slices.Contains(a.days, found[1]) {
			continue
		}
		for seed := firstSeed; seed < firstSeed+int64(a.seeds); seed++ {
			named := strings.Replace(day, found[0], fmt.Sprintf("name = \"%s-s%d\"", found[1], seed), 1)
			panel += "[[day]]\n" + daySeed.ReplaceAllLiteralString(named, fmt.Sprint("seed = ", seed))
		}
	}
	return panel
}

// copyWireFile puts the names on the wire beside the panels.
func copyWireFile(site, folder string) error {
	const name = "wire.json"
	content, err := os.ReadFile(filepath.Join(filepath.Dir(site), name))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "panels", name), content, 0o600)
}

// copyWithout makes a copy of the committed sources whose settings switch a mechanism off.
func copyWithout(folder, off string) (string, error) {
	output, err := exec.Command("git", "clone", "--quiet", ".", folder).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("git clone: %w: %s", err, output)
	}
	if off == allOn {
		return folder, nil
	}
	for _, template := range []string{"relay", "coordinator"} {
		path := filepath.Join(folder, "deploy", template+".yaml.template")
		content, err := os.ReadFile(path)
		if err != nil {
			return "", err
		}
		content = append(content, "without: ["+off+"]\n"...)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return "", err
		}
	}
	return folder, nil
}

// journalEntry is what is read of the bench's account of a run.
type journalEntry struct {
	Days []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"G"`
	} `json:"days"`
}

var snapshotLine = regexp.MustCompile(`(?m)^snapshot (\S+)$`)

// worthOf scores a panel with a copy's sources and returns the mean worth of its days.
func (o options) worthOf(sources, panel, why string) (float64, error) {
	command := exec.Command(o.bench, "score", panel, "--no-cpu", "--jobs", fmt.Sprint(o.jobs), "--why", why)
	command.Dir = sources
	output, _ := command.CombinedOutput()
	found := snapshotLine.FindStringSubmatch(string(output))
	if found == nil {
		return 0, fmt.Errorf("%s: %s", why, lastLine(string(output)))
	}
	entries, err := filepath.Glob(filepath.Join(sources, "journal", "*-"+found[1]+".json"))
	if err != nil || len(entries) != 1 {
		return 0, fmt.Errorf("%s: %d journal entries of %s", why, len(entries), found[1])
	}
	content, err := os.ReadFile(entries[0])
	if err != nil {
		return 0, err
	}
	return meanWorth(content)
}

// seedName is the name of a day of a panel; the bench adds one of its own.
var seedName = regexp.MustCompile(`-s\d+$`)

func meanWorth(entry []byte) (float64, error) {
	var read journalEntry
	if err := json.Unmarshal(entry, &read); err != nil {
		return 0, err
	}
	sum, count := 0.0, 0
	for _, day := range read.Days {
		if seedName.MatchString(day.Name) {
			sum += day.Worth
			count++
		}
	}
	if count == 0 {
		return 0, errNoDays
	}
	return sum / float64(count), nil
}

var errNoDays = errors.New("the journal entry tells of no days")

// collectJournal copies a copy's new journal entries to this repository's journal.
func collectJournal(sources string) error {
	output, err := exec.Command("cp", "-rn", filepath.Join(sources, "journal"), ".").CombinedOutput()
	if err != nil {
		return fmt.Errorf("journal: %w: %s", err, output)
	}
	return nil
}
