package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/config/static"
	"github.com/pierhaven/pierhaven/internal/controller"
	"github.com/pierhaven/pierhaven/internal/eventlog"
	"github.com/pierhaven/pierhaven/internal/gateway"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
)

// logFolder is the folder of the log dumps below the data folder.
const logFolder = "log"

func (a *application) gatewayCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway, list gateways and forget dead ones",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := a.loadSettings(command, static.SectionGateway)
			if err != nil {
				return err
			}
			return runGateway(loaded.Settings)
		},
	}
	a.addSettingsFlags(command, static.SectionCommon, static.SectionGateway)
	command.AddCommand(a.gatewayListCommand(), a.gatewayForgetCommand())
	return command
}

func (a *application) controllerCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "controller",
		Short: "Run a controller, look at controllers and change the members of groups",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := a.loadSettings(command, static.SectionController)
			if err != nil {
				return err
			}
			return runController(loaded.Settings)
		},
	}
	a.addSettingsFlags(command, static.SectionCommon, static.SectionController)
	command.AddCommand(
		a.controllerListCommand(),
		a.controllerAddCommand(),
		a.controllerPromoteCommand(),
		a.controllerRemoveCommand(),
		a.controllerReplaceCommand(),
		a.dataCommand(),
	)
	return command
}

func runGateway(settings static.Settings) error {
	converted, err := gatewaySettings(settings)
	if err != nil {
		return err
	}
	daemon, err := gateway.New(converted)
	if err != nil {
		return err
	}
	options := lifecycle.Options{
		Deadline: settings.Common.StopDeadline,
		Logger:   daemon.Log().Logger(),
		OnQuit:   func() { dumpOnQuit(daemon.Log()) },
	}
	return lifecycle.Run(options, func(scope *lifecycle.Scope) error {
		defer daemon.Log().DumpOnPanic()
		scope.OnCut(daemon.InFlight)
		go func() {
			<-scope.Cut().Done()
			daemon.Cut()
		}()
		return daemon.Run(scope.Stopping())
	})
}

func runController(settings static.Settings) error {
	converted, err := controllerSettings(settings)
	if err != nil {
		return err
	}
	log, err := eventlog.New(eventlog.Options{
		Process:   "controller " + settings.Common.Name,
		Folder:    logFolderOf(settings.Common),
		Entries:   settings.Common.LogEntries,
		MaxFiles:  settings.Common.LogMaxFiles,
		Verbosity: settings.Common.LogVerbosity,
		Threshold: logThreshold(settings.Common),
	})
	if err != nil {
		return err
	}
	defer log.Close()
	converted.Logger = log.Logger()
	converted.DumpLog = log.Dump
	daemon, err := controller.New(converted)
	if err != nil {
		return err
	}
	options := lifecycle.Options{
		Deadline: settings.Common.StopDeadline,
		Logger:   log.Logger(),
		OnQuit:   func() { dumpOnQuit(log) },
	}
	return lifecycle.Run(options, func(scope *lifecycle.Scope) error {
		defer log.DumpOnPanic()
		return daemon.Run(scope.Stopping())
	})
}

func dumpOnQuit(log *eventlog.Log) {
	path, err := log.Dump("SIGQUIT")
	if err != nil {
		fmt.Fprintf(os.Stderr, "pierhaven: %v\n", err)
		return
	}
	fmt.Fprintf(os.Stderr, "pierhaven: log ring written to %s\n", orStandardError(path))
}

// logFolderOf is where the log dumps go, "" for standard error.
func logFolderOf(common static.Common) string {
	if common.DataFolder == "" {
		return ""
	}
	return filepath.Join(common.DataFolder, logFolder)
}

// clusterToken reads the token that all processes share, "" if there is none.
func clusterToken(common static.Common) (string, error) {
	if common.ClusterTokenFile == "" {
		return "", nil
	}
	content, err := os.ReadFile(common.ClusterTokenFile)
	if err != nil {
		return "", invalidError{"common.cluster_token_file: " + err.Error()}
	}
	return strings.TrimSpace(string(content)), nil
}
