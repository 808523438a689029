package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// Streams is what a command line works with.
type Streams struct {
	Out io.Writer
	Err io.Writer
	// Environment lists NAME=VALUE pairs.
	Environment []string
}

// variable returns a variable of the environment, "" if it is not set.
func (s Streams) variable(name string) string {
	for _, pair := range s.Environment {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}

// Run runs one command line and returns its exit code. Errors go to
// streams.Err, one line for each problem.
func Run(arguments []string, streams Streams) int {
	root := New(streams)
	root.SetArgs(arguments)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = io.WriteString(streams.Err, describe(err))
	return exitCode(err)
}

// application is what all commands share.
type application struct {
	streams Streams
	output  string
	// settingsFile is the value of --settings.
	settingsFile string
	operator     operatorFlags
}

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// New returns the root command.
func New(streams Streams) *cobra.Command {
	app := &application{streams: streams}
	root := &cobra.Command{
		Use:           "pierhaven",
		Short:         "Serve language models from a fixed fleet of engines",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if app.output != outputTable && app.output != outputJSON {
				return usagef("--output: must be %s or %s, not %q", outputTable, outputJSON, app.output)
			}
			return nil
		},
	}
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err.Error()} })
	root.PersistentFlags().StringVarP(&app.output, "output", "o", outputTable, "table or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(app.commands()...)
	asUsageErrors(root)
	return root
}

// commands lists the commands in the order of the help text.
func (a *application) commands() []*cobra.Command {
	return []*cobra.Command{
		a.statusCommand(),
		a.relayCommand(),
		a.coordinatorCommand(),
		a.explainCommand(),
		a.tenantsCommand(),
		a.heldCommand(), a.quotaCommand(), a.limitCommand(), a.softwareCommand(), a.buildCommand(), a.regionsCommand(), a.groupCommand(), a.fleetCommand(),
		a.policyCommand(),
		documentCommand[dynamic.Tenant](a, dynamic.KindTenant),
		documentCommand[dynamic.Model](a, dynamic.KindModel),
		documentCommand[dynamic.Application](a, dynamic.KindApplication),
		a.engineCommand(),
		a.rolloutCommand(),
		a.zoneCommand(),
		a.gatewayCommand(),
		a.controllerCommand(),
		a.logCommand(),
		a.configCommand(),
		a.versionCommand(),
	}
}

// asUsageErrors marks the errors about positional arguments of a command and
// its children, and makes a parent without an action of its own refuse unknown
// children.
func asUsageErrors(command *cobra.Command) {
	check := command.Args
	command.Args = func(command *cobra.Command, arguments []string) error {
		if check == nil {
			return unknownChild(command, arguments)
		}
		if err := check(command, arguments); err != nil {
			return usageError{fmt.Sprintf("%s: %v", command.CommandPath(), err)}
		}
		return nil
	}
	if command.RunE == nil && command.Run == nil {
		command.RunE = func(command *cobra.Command, _ []string) error {
			_ = command.Help()
			return usagef("%s: a subcommand is needed", command.CommandPath())
		}
	}
	for _, child := range command.Commands() {
		asUsageErrors(child)
	}
}

func unknownChild(command *cobra.Command, arguments []string) error {
	if len(arguments) == 0 {
		return nil
	}
	message := fmt.Sprintf("unknown command %q for %q", arguments[0], command.CommandPath())
	if near := command.SuggestionsFor(arguments[0]); len(near) > 0 {
		message += ", did you mean " + strings.Join(near, " or ") + "?"
	}
	return usageError{message}
}
