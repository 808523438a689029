package cli

import (
	"errors"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/config/static"
)

// settingsVariable names the settings file where --settings is not given.
const settingsVariable = static.EnvironmentPrefix + "SETTINGS"

func (a *application) configCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "config",
		Short: "Check and show settings, apply and export the configuration",
	}
	command.AddCommand(a.configCheckCommand(), a.configShowCommand(), a.configApplyCommand(), a.configExportCommand())
	return command
}

// checkReport is the JSON form of `config check`.
type checkReport struct {
	File     string           `json:"file"`
	Sections []static.Section `json:"sections,omitempty"`
	Problems static.Problems  `json:"problems"`
}

func (a *application) configCheckCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check a settings file and report all problems at once",
		Long: "Check the settings that a daemon would start with: FILE, the environment and\n" +
			"the flags. All problems are reported at once, each with its place.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) == 1 {
				a.settingsFile = arguments[0]
			}
			loaded, err := a.loadSettings(command)
			var problems static.Problems
			if err != nil && !errors.As(err, &problems) {
				return err
			}
			report := checkReport{File: a.settingsFile, Sections: loaded.Sections, Problems: problems}
			if a.output == outputJSON || err == nil {
				printError := a.print(report, func() table { return checkTable(report) })
				return errors.Join(err, printError)
			}
			return err
		},
	}
	a.addSettingsFlags(command)
	return command
}

func checkTable(report checkReport) table {
	var content table
	content.note("%s: no problems in %d sections", report.File, len(report.Sections))
	return content
}

func (a *application) configShowCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "show",
		Short: "Show the effective settings and where each value comes from",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := a.loadSettings(command)
			rows := loaded.Effective()
			printError := a.print(rows, func() table { return effectiveTable(rows) })
			return errors.Join(err, printError)
		},
	}
	a.addSettingsFlags(command)
	return command
}

func effectiveTable(rows []static.Effective) table {
	content := table{header: []string{"key", "value", "origin"}}
	for _, row := range rows {
		content.add(row.Key, quoteEmpty(row.Value), row.Origin)
	}
	return content
}

func quoteEmpty(value string) string {
	if value == "" {
		return strconv.Quote(value)
	}
	return value
}

// addSettingsFlags adds --settings and a flag for each key of some sections,
// or of all.
func (a *application) addSettingsFlags(command *cobra.Command, sections ...static.Section) {
	command.Flags().StringVar(&a.settingsFile, "settings", "", "settings file (default $"+settingsVariable+")")
	static.AddFlags(command.Flags(), sections...)
}

// loadSettings reads the settings from the file, the environment and the
// command's flags.
func (a *application) loadSettings(command *cobra.Command, sections ...static.Section) (static.Loaded, error) {
	if a.settingsFile == "" {
		a.settingsFile = a.streams.variable(settingsVariable)
	}
	return static.Load(static.Sources{
		File:        a.settingsFile,
		Environment: a.streams.Environment,
		Flags:       command.Flags(),
		Sections:    sections,
	})
}
