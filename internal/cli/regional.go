package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/config/regional"
	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/linelog"
	"github.com/pierhaven/pierhaven/internal/listener"
	"github.com/pierhaven/pierhaven/internal/membudget"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/relay/daemon"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/platform"
)

const (
	logCloseTime   = 200 * time.Millisecond
	bitsPerMegabit = 1e6
	// stopReserve is kept of the time for a planned stop, for the end itself.
	stopReserve = 400 * time.Millisecond
)

func (a *application) relayCommand() *cobra.Command {
	return a.regionalCommand("relay", "Run a gateway that relays opaque requests", regional.ProcessRelay, runRelay)
}

func (a *application) coordinatorCommand() *cobra.Command {
	return a.regionalCommand("coordinator", "Run a coordinator of a region's gateways", regional.ProcessCoordinator, runCoordinator)
}

// regionalProcess is a started process of a region.
type regionalProcess struct {
	settings *regional.Settings
	seeds    *regional.Seeds
	metrics  *telemetry.Metrics
	// answers bounds what is kept of the answers of others.
	answers *membudget.Budget
	// requests bounds what is kept of the requests of others.
	requests *listener.Memory
	logger   logr.Logger
}

// regionalCommand returns the command that runs one kind of process.
func (a *application) regionalCommand(name, short string, process regional.Process, run func(regionalProcess) error) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				path = a.streams.variable(settingsVariable)
			}
			settings, err := regional.Load(path, process)
			if err != nil {
				return invalidError{err.Error()}
			}
			log := linelog.New(linelog.Options{
				Writer:    os.Stdout,
				Process:   name + " " + settings.Name,
				Verbosity: settings.LogVerbosity,
			})
			defer log.Close(logCloseTime)
			logger := log.Logger()
			logger.Info(event.Start, "settings", path, "zone", settings.Zone, "address", settings.Address, "seeds", settings.Seeds)
			started := regionalProcess{
				settings: settings,
				seeds:    regional.NewSeeds(path, process, settings, logger),
				metrics:  telemetry.NewMetrics(name),
				answers:  membudget.New(int64(answerMemoryShare * float64(settings.MemoryMegabytes<<20))),
				requests: listener.NewMemory(int64(requestMemoryShare * float64(settings.MemoryMegabytes<<20))),
				logger:   logger,
			}
			started.metrics.Register(listener.NewCollector("pierhaven_"+name, started.requests))
			registerAnswers(started)
			started.metrics.GaugeFunc("log_lines_dropped", "Log lines that were not written since the start.", func() float64 {
				return float64(log.Dropped())
			})
			if err := serveMetrics(started); err != nil {
				return err
			}
			tuneMemory(settings)
			err = runUntilStopped(started, run)
			logger.Info(event.Stop, "error", failure.Text(err))
			return err
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file, else $"+settingsVariable)
	return command
}

// serveMetrics serves the metrics page, if it has an address.
func serveMetrics(process regionalProcess) error {
	if process.settings.MetricsListen == "" {
		return nil
	}
	opened, err := process.listen("metrics", process.settings.MetricsListen, metricsConnections)
	if err != nil {
		return err
	}
	page := listener.NewServer(opened)
	telemetry.Mount(page, telemetry.NewHealth(), process.metrics)
	go func() { _ = page.Run() }()
	return nil
}

// metricsConnections are those of the few that collect metrics.
const metricsConnections = 32

// listen opens a listener whose requests are kept with those of the process's others.
func (p regionalProcess) listen(name, address string, connections int) (*listener.Listener, error) {
	opened, err := listener.Listen(address, connections, p.metrics.Failure)
	if err != nil {
		return nil, err
	}
	opened.Name, opened.Logger = name, p.logger
	opened.Use(p.requests)
	return opened, nil
}

// collectionPercent has the collector run often: the processes are many and
// small, and their memory costs more than their processor time.
const collectionPercent = 50

// memoryShare of what the process may use is where the collector works harder
// instead of letting the heap grow: the rest is for stacks and sockets.
const memoryShare = 0.6

// answerMemoryShare of what the process may use is for the answers of others while they are read.
const answerMemoryShare = 0.125

// requestMemoryShare of it is for requests, from their first byte until their answer.
const requestMemoryShare = 0.25

// registerAnswers registers the gauges of what is kept of the answers of others.
func registerAnswers(process regionalProcess) {
	answers := process.answers
	process.metrics.GaugeFunc("answer_bytes_held", "Bytes of answers of other processes that are kept now.", func() float64 {
		return float64(answers.Held())
	})
	process.metrics.GaugeFunc("answer_bytes_held_most", "The most of these bytes since the start.", func() float64 { return float64(answers.Most()) })
	process.metrics.GaugeFunc("answer_bytes_held_by_one", "The most of these bytes that a single answer has held since the start.", func() float64 {
		return float64(answers.MostOfOne())
	})
}

func tuneMemory(settings *regional.Settings) {
	debug.SetGCPercent(collectionPercent)
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMegabytes<<20)))
	}
}

// runUntilStopped runs a process; a hangup only has the settings read again,
// which happens when they are used.
func runUntilStopped(process regionalProcess, run func(regionalProcess) error) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go func() {
		for range hangups {
			process.logger.Info(event.Reload, "seeds", process.seeds.Addresses())
		}
	}()
	return run(process)
}

func runRelay(process regionalProcess) error {
	settings := process.settings
	gate := platform.NewGate(settings.LeaveTime(), settings.ListedTime(), process.logger)
	created, err := daemon.New(daemon.Settings{
		Name: settings.Name,
		Zone: settings.Zone,

		Topology: settings.Topology(),
		Quota:    settings.QuotaEnforcement(),

		LinkBitsPerSecond:          settings.LinkMegabits * bitsPerMegabit,
		OtherRegionsBytesPerSecond: settings.OtherRegionsRate,

		Listen:      settings.Listen,
		ReadyListen: settings.ReadyListen,
		ReadyPath:   platform.ReadyPath,
		PeerListen:  settings.InternalAddress(),
		Seeds:       process.seeds.Addresses,
		Budget: relay.RetryBudgetOptions{
			Ratio:  settings.RetryRatio,
			Window: settings.RetryWindow(),
			Slack:  settings.RetrySlack,
		},
		MaximumKeyAge: settings.KeyMemory(),

		UsageWindow: settings.UsageWindow(),

		ContactTime:      settings.Contact(),
		EvidenceHoldTime: settings.Hold(),

		MemoryBytes:        int64(settings.MemoryMegabytes) << 20,
		FileDescriptors:    settings.FileDescriptors,
		StopTimeout:        settings.StopTime() - stopReserve,
		DisabledMechanisms: settings.SwitchedOff(),
		ReadListPage:       newLister(process).Page,
		ListCallsPerSecond: settings.ListRate(),
		Gate:               gate,
		PrefixSource:       platform.NewEngines(gate, process.answers),
		AnswerBudget:       process.answers,
		RequestMemory:      process.requests,
		Codec:              platform.Codec{},
		Dialect:            platform.Dialect{},
		Metrics:            process.metrics,
		Logger:             process.logger,
	})
	if err != nil {
		return err
	}
	return runDaemon(process, created.Run)
}

// newLister returns the reader of the platform's list, with its metric.
func newLister(process regionalProcess) *platform.Lister {
	lister := platform.NewLister(process.settings.ReplicaList, process.answers, process.logger)
	process.metrics.GaugeFunc("list_entries_unusable", "Entries of the platform's list, when it was last read here, that name no replica.", func() float64 {
		return float64(lister.Unusable())
	})
	return lister
}

func runCoordinator(process regionalProcess) error {
	settings := process.settings
	var fileSystem storage.FileSystem = storage.OSFileSystem{}
	if settings.IgnoreFileIdentity {
		fileSystem = storage.WithoutFileIdentity{FileSystem: fileSystem}
	}
	stagePolicy, err := regional.OpenPolicy(settings.Policy, process.logger)
	if err != nil {
		return invalidError{err.Error()}
	}
	duties, unknown := platform.ReadDuties(settings.Duties)
	if len(unknown) > 0 {
		process.logger.Info(event.DutyUnknown, "duties", unknown)
	}
	var usage coordinator.UsageOptions
	if duties.Usage {
		usage = coordinator.UsageOptions{Window: settings.UsageWindow(), Late: settings.UsageLate()}
	}
	gate := platform.NewGate(settings.LeaveTime(), settings.ListedTime(), process.logger)
	engines := platform.NewEngines(gate, process.answers)
	created, err := coordinator.New(coordinator.Settings{
		Name:              settings.Name,
		Zone:              settings.Zone,
		Address:           settings.InternalAddress(),
		Listen:            settings.InternalListen,
		Seeds:             process.seeds.Addresses,
		Bootstrap:         settings.Bootstrap,
		Voters:            settings.Voters(),
		DataFolder:        settings.DataFolder,
		FileSystem:        fileSystem,
		ReadListPage:      newLister(process).Page,
		Engines:           engines,
		PrefixSource:      engines,
		Platform:          platform.NewCaller(settings.ReplicaList, process.logger),
		Usage:             usage,
		EnableFleetOrders: duties.Fleet,
		Lease:             settings.Lease(),
		ContactTime:       settings.Contact(),
		EvidenceHoldTime:  settings.Hold(),

		Topology: settings.Topology(),
		Quota:    settings.QuotaEnforcement(),

		PlacementGatewayThreshold:  settings.PlacesFrom(),
		MinimumActiveReplicas:      settings.ActiveReplicas,
		ListInterval:               settings.ListInterval(),
		ListBound:                  settings.ListBound(),
		ListCallsPerSecond:         settings.ListRate(),
		LinkBitsPerSecond:          settings.LinkMegabits * bitsPerMegabit,
		OtherRegionsBytesPerSecond: settings.OtherRegionsRate,

		DisabledMechanisms: settings.SwitchedOff(),
		Policy:             stagePolicy.Program,
		Codec:              platform.Codec{},
		Metrics:            process.metrics,
		RequestMemory:      process.requests,
		FileDescriptors:    settings.FileDescriptors,
		Logger:             process.logger,
	})
	if err != nil {
		return err
	}
	gate.OnChange(created.NotePeerState)
	operators, err := process.listen("operators", settings.OperatorListen, operatorConnections(settings.FileDescriptors))
	if err != nil {
		return err
	}
	operatorServer := platform.NewOperatorServer(operators, created)
	created.MountOperatorRoutes(operatorServer)
	go func() { _ = operatorServer.Run() }()
	return runDaemon(process, created.Run)
}

const (
	// operatorDescriptors is the share of the file descriptors for operators' calls, unknownOperatorConnections their bound if the number
	// is not known.
	operatorDescriptors        = 0.2
	unknownOperatorConnections = 1000
)

// operatorConnections returns how many connections operators may have.
func operatorConnections(descriptors int) int {
	if descriptors <= 0 {
		return unknownOperatorConnections
	}
	return int(operatorDescriptors * float64(descriptors))
}

func runDaemon(process regionalProcess, run func(context.Context) error) error {
	options := lifecycle.Options{Deadline: process.settings.StopTime(), KeepsDeadline: true, Logger: process.logger}
	return lifecycle.Run(options, func(scope *lifecycle.Scope) error { return run(scope.Stopping()) })
}
