package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pierhaven/pierhaven/bench/faultproxy"
	"github.com/pierhaven/pierhaven/bench/fleet"
	"github.com/pierhaven/pierhaven/bench/scale/hollow"
	"github.com/pierhaven/pierhaven/bench/standin"
	"github.com/pierhaven/pierhaven/bench/truth"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// Settings are the settings of a run.
type Settings struct {
	Size     Size
	Fault    Fault
	Duration time.Duration
	Binaries fleet.Binaries
	// Folder is the folder for settings, data, logs and the ground truth.
	Folder string
}

// stage is a running deployment with its workers.
type stage struct {
	settings Settings
	fleet    *fleet.Fleet
	proxy    *faultproxy.Proxy
	client   *standin.Client
	operator *operator
	truth    *truth.Writer
	zones    []*zoneStage
}

// zoneStage holds the workers of a zone.
type zoneStage struct {
	name     string
	engines  *fleet.Process
	gateways *fleet.Process
	// controlAddress is the address at which the gateways' worker accepts commands of the bench.
	controlAddress string
	gatewayIDs     []string
	engineIDs      []string
}

const (
	startTimeout = 3 * time.Minute
	pollPause    = 250 * time.Millisecond
	workerGrace  = 20 * time.Second
)

// openStage starts everything and waits until all nodes follow the
// configuration.
func openStage(ctx context.Context, settings Settings) (*stage, error) {
	s := &stage{settings: settings}
	var err error
	if s.client, err = standin.NewClient(); err != nil {
		return nil, err
	}
	options := fleet.Options{
		Deployment: settings.Size.deployment(), Binaries: settings.Binaries, Folder: settings.Folder, EnginesElsewhere: true,
	}
	var running atomic.Pointer[fleet.Fleet]
	if settings.Fault == FaultRegionLink {
		owners := &faultproxy.Owners{Processes: func() map[int]string { return controllerNames(running.Load()) }}
		s.proxy = faultproxy.New(owners, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		options.Interposer = &controllerInterposer{proxy: s.proxy}
	}
	if s.fleet, err = fleet.Start(options); err != nil {
		return nil, err
	}
	running.Store(s.fleet)
	if err := s.setUp(ctx); err != nil {
		s.kill()
		return nil, err
	}
	return s, nil
}

func (s *stage) setUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	if s.truth, err = truth.OpenWriter(s.fleet.TruthFolder(), operatorName); err != nil {
		return err
	}
	for index := range s.fleet.Layout().Zones {
		if err := s.startEngines(&s.fleet.Layout().Zones[index]); err != nil {
			return err
		}
	}
	revision, err := s.fleet.SetUp(ctx)
	if err != nil {
		return err
	}
	if err := s.truth.Write(truth.ConfigAccepted{Operator: operatorName, Revision: revision}); err != nil {
		return err
	}
	client, err := s.fleet.Operator()
	if err != nil {
		return err
	}
	s.operator = &operator{client: client, size: s.settings.Size, truth: s.truth}
	if err := s.operator.readRevisions(ctx); err != nil {
		return err
	}
	for index, zone := range s.zones {
		if err := s.startGateways(zone, index); err != nil {
			return err
		}
	}
	return s.waitForNodes(ctx, revision)
}

// startEngines starts the worker that simulates the engines of a zone.
func (s *stage) startEngines(places *fleet.ZonePlaces) error {
	zone := &zoneStage{name: places.Name}
	s.zones = append(s.zones, zone)
	specification := s.specification(zone, "engines")
	for index := range places.Engines {
		place := &places.Engines[index]
		specification.Engines = append(specification.Engines, hollow.Engine{
			ID: place.Name, Listen: place.Listen,
			Initial: engineapi.Configuration{Role: place.Engine.Role, Model: place.Engine.Model, Version: place.Engine.Version},
		})
		zone.engineIDs = append(zone.engineIDs, place.Name)
	}
	var err error
	zone.engines, _, err = s.startWorker(specification)
	return err
}

// startGateways starts the worker that simulates the gateways of a zone, except the real ones.
func (s *stage) startGateways(zone *zoneStage, index int) error {
	specification := s.specification(zone, "gateways")
	for _, controller := range s.fleet.Layout().Zones[index].Controllers {
		specification.Controllers = append(specification.Controllers, controller.Internal.Listen)
	}
	count := split(s.settings.Size.Nodes, s.settings.Size.Zones)[index] - realGatewaysPerZone
	for number := range count {
		gateway := hollow.Gateway{
			ID: fmt.Sprintf("%s-hollow-%d", zone.name, number+1),
			// Nothing connects to it; it only has to be unique.
			Address: fmt.Sprintf("127.255.%d.%d:9", index+1, number+1),
		}
		specification.Gateways = append(specification.Gateways, gateway)
		zone.gatewayIDs = append(zone.gatewayIDs, gateway.ID)
	}
	specification.Work = s.settings.Size.work()
	var err error
	zone.gateways, zone.controlAddress, err = s.startWorker(specification)
	return err
}

// work returns the load of one node at the target, independent of the size of the run.
func (s Size) work() hollow.Work {
	work := hollow.Work{
		RequestsPerSecond: float64(targetRequests) / targetNodes,

		TenantTokensPerSecond: tenantTokensPerSecond,
		ClaimsPerSecond:       s.ClaimsPerSecond / float64(s.Nodes),
	}
	for model := range s.Models {
		work.Models = append(work.Models, modelName(model))
	}
	for tenant := range s.Tenants {
		work.Tenants = append(work.Tenants, tenantName(tenant))
	}
	return work
}

func (s *stage) specification(zone *zoneStage, kind string) *hollow.Specification {
	return &hollow.Specification{Name: zone.name + "-hollow-" + kind, Zone: zone.name, TruthFolder: s.fleet.TruthFolder()}
}

// startWorker starts a worker, and returns the address at which it accepts commands of the bench.
func (s *stage) startWorker(specification *hollow.Specification) (*fleet.Process, string, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, "", err
	}
	specification.Listen = address
	path := filepath.Join(s.fleet.Folder(), specification.Name+".json")
	if err := specification.Write(path); err != nil {
		return nil, "", err
	}
	worker := s.fleet.NewWorker(specification.Name, specification.Zone, []string{"scale-worker", "--specification", path})
	return worker, address, worker.Start()
}

// freeAddress returns an address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Wrap(err)
	}
	return listener.Addr().String(), merry.Wrap(listener.Close())
}

// workers returns the workers that were started.
func (s *stage) workers() []*fleet.Process {
	var started []*fleet.Process
	for _, zone := range s.zones {
		for _, worker := range []*fleet.Process{zone.engines, zone.gateways} {
			if worker != nil {
				started = append(started, worker)
			}
		}
	}
	return started
}

// kill kills all processes.
func (s *stage) kill() {
	for _, worker := range s.workers() {
		_ = worker.Kill()
	}
	_ = s.fleet.Kill()
	s.closeRest()
}

// stop stops all processes gracefully.
func (s *stage) stop() error {
	var problems []error
	for _, worker := range s.workers() {
		problems = append(problems, worker.Stop(workerGrace))
	}
	problems = append(problems, s.fleet.Stop(fleet.StopGrace))
	s.closeRest()
	return errors.Join(problems...)
}

func (s *stage) closeRest() {
	if s.proxy != nil {
		s.proxy.Close()
	}
	_ = s.truth.Close()
}

// controllerNames returns the names of the controllers by process ID, to identify the sources of connections.
func controllerNames(running *fleet.Fleet) map[int]string {
	names := map[int]string{os.Getpid(): operatorName}
	if running == nil {
		return names
	}
	for _, process := range running.OfKind(fleet.KindController, "") {
		names[process.ProcessID()] = process.Name
	}
	return names
}

// controllerInterposer puts the proxy in front of the controllers only.
type controllerInterposer struct {
	proxy *faultproxy.Proxy
}

// Interpose implements fleet.Interposer.
func (i *controllerInterposer) Interpose(process, address string) (string, error) {
	if !isController(process) {
		return address, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", merry.Wrap(err)
	}
	return i.proxy.ListenTCP(process, net.JoinHostPort(host, "0"), address)
}
