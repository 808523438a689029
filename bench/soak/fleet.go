package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pierhaven/pierhaven/bench/faultproxy"
	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	coordinators = 3
	gateways     = 2
	replicas     = 3
	engines      = 6
	// fewActive is fewer than there are of each service.
	fewActive = 2

	internalPort = 17400
	operatorPort = 17401
	callerPort   = 17402
	readyPort    = 17403
	metricsPort  = 17404

	// leaseMillis is how far orders of two coordinators lie apart.
	leaseMillis = 1000

	// usageSeconds is the length of the windows of usage, and usageLateSeconds after how long
	// a window is due.
	usageSeconds     = 1
	usageLateSeconds = 5
	// lostCalls of the calls to the platform get no answer and are carried out after lateBy.
	lostCalls = 0.1
	lateBy    = 2 * time.Second

	// A long list has pages of so many entries, takes so many calls a second, of which a share fails once service has begun, and is
	// so old.
	longListEntries = 1
	longListRate    = 40
	longListFailed  = 0.2
	longListLag     = 200 * time.Millisecond
	// plantedFailed is the share that leaves hardly any reading of the list without a failure.
	plantedFailed = 0.5

	// engineService is the service of the model replicas.
	engineService = "model"
	// firstVersion is that of the engines' software.
	firstVersion = "v1"
	// listName is the platform's list, for the proxy.
	listName = "list"
)

// fleet is a region: coordinators, gateways, and stand-ins for the rest.
type fleet struct {
	folder string
	// subnet is that of all addresses, and claim keeps other fleets away from it.
	subnet int
	claim  net.Listener
	// placesAbove is the setting of the coordinators: those of even seeds choose the replicas
	// for the gateways, those of odd ones leave it to them.
	placesAbove int
	// activeReplicas is the setting of the coordinators: with every other pair of seeds some replicas
	// stand by.
	activeReplicas int
	coordinators   []*process
	// added is the number of coordinators that were added after the start.
	added    int
	gateways []*process
	// listAddress is where the platform's list is read.
	listAddress string
	servers     []*httptest.Server
	// proxy stands before the coordinators' internal addresses, the replicas and
	// the platform's list.
	proxy   *faultproxy.Proxy
	list    []platformtest.Listed
	engines *platformtest.Engines
	// engineTargets are where the engines listen behind the proxy.
	engineTargets map[string]string
	// mutex guards the processes, which the proxy looks up while they are laid out, the replicas and what the list shows.
	mutex sync.Mutex
	// replicas are those that requests may end.
	replicas []*replicaProcess
	// keepsIDs says that a replica which starts again does so under its id, as with those of
	// half of the seeds.
	keepsIDs bool
	plants   Plants
	// pages serves the list.
	pages *platformtest.List
	// draining are the engines that the list shows as draining.
	draining map[string]bool
	// farApart says that there are two regions with a delay between them, as with half of the seeds.
	farApart bool
	// broken are the entries of the list that name no usable replica, and strays the requests
	// that were sent to the address that they tell of.
	broken []string
	strays atomic.Int64
	// duties takes the calls that one coordinator makes at a time.
	duties *platformtest.Duties
}

// wrapper puts something before the handler of a stand-in, by its name and its number among its kind.
type wrapper func(name string, number int, inner http.Handler) http.Handler

// around returns the handler of a stand-in, without anything before it if nothing is to be put there.
func (w wrapper) around(name string, number int, inner http.Handler) http.Handler {
	if w == nil {
		return inner
	}
	return w(name, number, inner)
}

// newFleet lays a region out on the loopback network, in a subnet of its own, so that several may run.
func newFleet(options Options, run func(replica int, request platformtest.Request) platformtest.Reply, engineWatch platformtest.EngineWatch, wrap wrapper) (*fleet, error) {
	subnet, claim, err := claimSubnet(options.Seed)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		folder:      options.Folder,
		subnet:      subnet,
		claim:       claim,
		placesAbove: int(options.Seed%2) * gateways,
		// 0 is the default, with which all are active.
		activeReplicas: int(options.Seed/2%2) * fewActive,
		keepsIDs:       options.Seed/2%2 == 0,
		plants:         options.Plants,
		draining:       map[string]bool{},
		farApart:       options.Seed/4%2 == 1,
		duties:         platformtest.NewDuties(options.Seed, leaseMillis*time.Millisecond),

		engineTargets: map[string]string{},
	}
	f.pages = &platformtest.List{Entries: f.listed, Broken: func() []string { return f.broken }, Seed: options.Seed}
	if options.LongList {
		f.pages.PageEntries, f.pages.RatePerS, f.pages.Lag = longListEntries, longListRate, longListLag
	}
	f.duties.Lose, f.duties.LateBy = lostCalls, lateBy
	f.proxy = faultproxy.New(&faultproxy.Owners{Processes: f.numbers}, rand.New(rand.NewPCG(options.Seed, 3)))
	for number := range replicas {
		added := &replicaProcess{name: replicaName(number), keepsID: f.keepsIDs, address: f.replicaIP(number) + ":0"}
		handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			platformtest.ReplicaHandler(f.instanceOf(added), func(request platformtest.Request) platformtest.Reply {
				return run(number, request)
			}).ServeHTTP(writer, request)
		})
		server := httptest.NewServer(wrap.around(added.name, number, handler))
		f.servers = append(f.servers, server)
		added.target = server.Listener.Addr().String()
		f.replicas = append(f.replicas, added)
		if err := f.startReplica(number); err != nil {
			return f, err
		}
	}
	f.layBrokenEntries()
	f.addOther(run)
	list := httptest.NewServer(wrap.around(listName, 0, f.platform()))
	f.servers = append(f.servers, list)
	if err := f.addEngines(engineWatch, wrap); err != nil {
		return f, err
	}
	if options.Releases {
		for number := range engines {
			f.engines.Release(engineName(number), versions[number%len(versions)])
		}
	}
	if f.listAddress, err = f.proxy.ListenTCP(listName, "127.0.0.1:0", list.Listener.Addr().String()); err != nil {
		return f, err
	}
	f.delayRegions()
	for number := range coordinators + gateways {
		if err := f.lay(number, options); err != nil {
			return f, err
		}
	}
	return f, nil
}

// platform serves the list of replicas and the calls of duties.
func (f *fleet) platform() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", f.pages.Handler())
	mux.Handle("POST /", f.duties.Handler())
	return mux
}

// layBrokenEntries puts entries on the list that name no usable replica.
func (f *fleet) layBrokenEntries() {
	trap := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		f.strays.Add(1)
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	f.servers = append(f.servers, trap)
	address := trap.Listener.Addr().String()
	f.broken = platformtest.BrokenEntries("service", address)
	if f.plants.UsableEntry {
		f.list = append(f.list, platformtest.Listed{ID: "planted", Service: "service", Address: address, Zone: nearZone, Slots: 16, State: "ready"})
	}
}

// addEngines adds model replicas, of which one reads prompts at first.
func (f *fleet) addEngines(watch platformtest.EngineWatch, wrap wrapper) error {
	f.engines = platformtest.NewEngines(watch)
	for number := range engines {
		id := engineName(number)
		stage := platformtest.StageDecode
		if number == 0 {
			stage = platformtest.StagePrefill
		}
		server := httptest.NewServer(wrap.around(id, number, f.engines.Add(id, stage)))
		f.servers = append(f.servers, server)
		address, err := f.proxy.ListenTCP(id, f.replicaIP(replicas+number)+":0", server.Listener.Addr().String())
		if err != nil {
			return err
		}
		f.engines.Reach(id, address)
		f.engineTargets[id] = server.Listener.Addr().String()
		f.list = append(f.list, platformtest.Listed{
			ID: id, Service: engineService, Address: address, Zone: f.engineZone(number), Slots: 16, State: "ready", Stage: stage, Version: firstVersion,
		})
	}
	return nil
}

// otherReplica is the replica of the service that only a part of a split goes to. It never ends.
const otherReplica = "i-other"

// addOther adds the replica of the other service.
func (f *fleet) addOther(run func(replica int, request platformtest.Request) platformtest.Reply) {
	server := httptest.NewServer(platformtest.ReplicaHandler(otherReplica, func(request platformtest.Request) platformtest.Reply {
		return run(replicas, request)
	}))
	f.servers = append(f.servers, server)
	f.list = append(f.list, platformtest.Listed{
		ID: otherReplica, Service: otherService, Address: server.Listener.Addr().String(), Zone: f.zoneOf(farGateway), Slots: 16, State: "ready",
	})
}

// setDraining has the list show an engine as draining, or as ready again.
func (f *fleet) setDraining(id string, draining bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.draining[id] = draining
}

const (
	nearZone = "zone"
	farZone  = "far"
	// regionDelay is added one way to and from processes of the other region.
	regionDelay = 6 * time.Millisecond
	// farCoordinator and farGateway are the processes in the other region.
	farCoordinator = coordinators - 1
	farGateway     = coordinators + gateways - 1
)

// zoneOf returns the zone of a process.
func (f *fleet) zoneOf(number int) string {
	if f.farApart && (number == farCoordinator || number == farGateway) {
		return farZone
	}
	return nearZone
}

// engineZone returns the zone of an engine: every other one is in the other region.
func (f *fleet) engineZone(number int) string {
	if f.farApart && number%2 == 1 {
		return farZone
	}
	return nearZone
}

// zoneSettings is the line on zones and regions in the settings of all processes.
func (f *fleet) zoneSettings() string {
	if !f.farApart {
		return ""
	}
	return fmt.Sprintf("zones: {%s: near, %s: far}\n", nearZone, farZone)
}

// delayRegions puts the delay between the regions on the links of the far processes.
func (f *fleet) delayRegions() {
	if !f.farApart {
		return
	}
	coordinator, gateway := fmt.Sprintf("p%d", farCoordinator), fmt.Sprintf("p%d", farGateway)
	for _, link := range []faultproxy.Match{{Source: coordinator}, {Destination: coordinator}, {Source: gateway}} {
		f.proxy.Apply(link, faultproxy.Faults{Delay: regionDelay})
	}
}

// restartEngine has an engine start again at once, under its id and at its address.
func (f *fleet) restartEngine(number int) error {
	id := engineName(number)
	f.proxy.End(id)
	f.engines.Restart(id)
	_, err := f.proxy.ListenTCP(id, f.engines.Address(id), f.engineTargets[id])
	return err
}

// releaseEngine has another engine with a version of the software start at an engine's address.
func (f *fleet) releaseEngine(number int, version string) error {
	id := engineName(number)
	f.proxy.End(id)
	f.engines.Release(id, version)
	_, err := f.proxy.ListenTCP(id, f.engines.Address(id), f.engineTargets[id])
	return err
}

// steadyEngines returns the engines that have run a version for a time, and that the list does not show as draining.
func (f *fleet) steadyEngines(version string, since time.Duration) (steady []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for number := range engines {
		name := engineName(number)
		_, born := f.engines.Shows(name)
		_, runs := f.engines.Instance(name)
		if runs == version && !f.draining[name] && time.Since(time.UnixMilli(born)) > since {
			steady = append(steady, name)
		}
	}
	return steady
}

// listed is the platform's list, with the engines as they are. A replica that comes back under its
// id stays listed, and for some time its former life too.
func (f *fleet) listed() []platformtest.Listed {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := slices.Clone(f.list)
	for _, replica := range f.replicas {
		entry := platformtest.Listed{
			ID: replica.instance(), Service: "service", Address: replica.address, Zone: nearZone, Slots: 16, State: "ready", Born: replica.born.UnixMilli(),
		}
		if replica.runs || replica.keepsID {
			list = append(list, entry)
		}
		if replica.keepsID && replica.starts > 1 && time.Since(replica.born) < formerListed {
			entry.Born = replica.bornBefore.UnixMilli()
			list = append(list, entry)
		}
	}
	for index := range f.list {
		if list[index].Stage != "" {
			name := list[index].ID
			list[index].Stage, list[index].Born = f.engines.Shows(name)
			if f.draining[name] {
				list[index].State = "draining"
			}
			if instance, version := f.engines.Instance(name); version != "" {
				list[index].ID, list[index].Version = instance, version
			}
		}
	}
	if f.plants.UntoldStarts {
		for index := range list {
			list[index].Born = 0
		}
	}
	return list
}

func (f *fleet) ip(number int) string { return fmt.Sprintf("127.77.%d.%d", f.subnet, number+1) }

// hiddenIP is where a coordinator listens behind the proxy.
func (f *fleet) hiddenIP(number int) string { return fmt.Sprintf("127.78.%d.%d", f.subnet, number+1) }

// replicaIP is where a replica or an engine is reached, each at an address of its own: outgoing connections take
// ports of the common one, so that a port there may be taken when it is needed again.
func (f *fleet) replicaIP(number int) string { return fmt.Sprintf("127.79.%d.%d", f.subnet, number+1) }

// numbers names the running processes by their numbers, for the proxy.
func (f *fleet) numbers() map[int]string {
	numbers := map[int]string{}
	for _, each := range f.all() {
		each.mutex.Lock()
		if each.command != nil {
			numbers[each.command.Process.Pid] = each.name
		}
		each.mutex.Unlock()
	}
	return numbers
}

// callerLinks are the callers' connections, if they lead through the proxy.
var callerLinks = faultproxy.Match{Destination: "callers-*"}

func (f *fleet) all() []*process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append(append([]*process(nil), f.coordinators...), f.gateways...)
}

func (f *fleet) start() error {
	for _, each := range f.all() {
		if err := each.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends everything that the fleet has started.
func (f *fleet) stop() {
	for _, each := range f.all() {
		each.signal(syscall.SIGCONT)
		each.end(syscall.SIGKILL)
		_ = each.log.Close()
	}
	f.proxy.Close()
	for _, server := range f.servers {
		server.CloseClientConnections()
		server.Close()
	}
	_ = f.claim.Close()
}

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}
