package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all processes of the region. Each process has a loopback address of its own.
const (
	internalPort = 7380
	controlPort  = 8144
	frontPort    = 8149
	readyPort    = 8141
	metricsPort  = 9464
)

// The bounds of a small deployment, as SYSTEM.md gives them for both sites.
const (
	drainMillis   = 3000
	contactMillis = 3000
	leaseMillis   = 3000
	graceSeconds  = 8
	budgetRatio   = 0.2
	budgetWindow  = 10
	budgetSlack   = 54
	listRate      = 42
	linkMegabits  = 1000
	frontMemory   = 284
	coreMemory    = 280
	frontFiles    = 4100
)

// binary is the program of the deploy file, built by its build command.
const binary = "target/pierhaven"

// process is one process of the region, with its settings file.
type process struct {
	name     string
	role     string
	ip       string
	zone     string
	settings string
	command  *exec.Cmd
	done     chan struct{}
}

// region is the processes of the project, and the platform's list.
type region struct {
	folder       string
	record       *record
	coordinators []*process
	gateways     []*process
	list         *platformList
	zones        []string
	client       *http.Client
}

// coordinators is the number of coordinators, all of which are seeds.
const coordinators = 3

// newRegion lays a region out; nothing runs yet.
func newRegion(written *record, gateways int) (*region, error) {
	folder, err := os.MkdirTemp("", "pierhaven-review-")
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	r := &region{
		folder: folder, record: written, zones: []string{"zone-a", "zone-b", "zone-c"},
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if r.list, err = newPlatformList(subnet + ".200:0"); err != nil {
		return nil, err
	}
	for number := range coordinators {
		r.coordinators = append(r.coordinators, r.lay("coordinator", number, subnet, 10))
	}
	for number := range gateways {
		r.gateways = append(r.gateways, r.lay("relay", number, subnet, 30))
	}
	for _, each := range append(append([]*process{}, r.coordinators...), r.gateways...) {
		if err := r.writeSettings(each); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *region) lay(role string, number int, subnet string, first int) *process {
	name := fmt.Sprintf("%s-%d", role, number+1)
	return &process{
		name: name, role: role, ip: fmt.Sprintf("%s.%d", subnet, first+number), zone: r.zones[number%len(r.zones)],
		settings: filepath.Join(r.folder, name+".yaml"),
	}
}

// freeSubnet returns the first three bytes of loopback addresses that nothing listens on.
func freeSubnet() (string, error) {
	for try := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		if isFree(subnet) {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback subnet")
}

func isFree(subnet string) bool {
	for _, host := range []int{10, 11, 12, 30, 31, 32} {
		for _, port := range []int{internalPort, controlPort, frontPort, readyPort, metricsPort} {
			opened, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, host, port))
			if err != nil {
				return false
			}
			_ = opened.Close()
		}
	}
	return true
}

// writeSettings writes what the deploy file's templates give for a small deployment.
func (r *region) writeSettings(each *process) error {
	seeds := make([]string, 0, len(r.coordinators))
	for _, seed := range r.coordinators {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed.ip, controlPort)))
	}
	var text strings.Builder
	line := func(format string, arguments ...any) { fmt.Fprintf(&text, format+"\n", arguments...) }
	line("name: %q", each.name)
	line("zone: %q", each.zone)
	line("zones: {zone-a: region, zone-b: region, zone-c: region}")
	line("address: %q", each.ip)
	line("internal_port: %d", internalPort)
	line("seeds: [%s]", strings.Join(seeds, ", "))
	line("metrics_listen: %s:%d", each.ip, metricsPort)
	line("replica_list: %q", r.list.address)
	line("list_calls_per_second: %d", listRate)
	line("drain_ms: %d", drainMillis)
	line("contact_ms: %d", contactMillis)
	line("stop_seconds: %d", graceSeconds)
	line("link_megabits: %d", linkMegabits)
	line("log_verbosity: 1")
	if each.role == "relay" {
		line("listen: %q", fmt.Sprintf("%s:%d", each.ip, frontPort))
		line("ready_listen: %q", fmt.Sprintf("%s:%d", each.ip, readyPort))
		line("retry_ratio: %g", budgetRatio)
		line("retry_window_seconds: %d", budgetWindow)
		line("retry_slack: %d", budgetSlack)
		line("memory_megabytes: %d", frontMemory)
		line("file_descriptors: %d", frontFiles)
	} else {
		line("bootstrap: true")
		line("operator_listen: %q", fmt.Sprintf("%s:%d", each.ip, controlPort))
		line("data_folder: %q", filepath.Join(r.folder, each.name))
		line("ignore_file_identity: true")
		line("tolerated_losses: 1")
		line("policy: deploy/stages.yaml")
		line("lease_ms: %d", leaseMillis)
		line("duties: []")
		line("memory_megabytes: %d", coreMemory)
	}
	return os.WriteFile(each.settings, []byte(text.String()), 0o600)
}

// start starts a process with the command of the deploy file.
func (r *region) start(each *process) error {
	log, err := os.OpenFile(filepath.Join(r.folder, each.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	each.command = exec.Command(binary, each.role)
	each.command.Env = []string{
		"PIERHAVEN_SETTINGS=" + each.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8",
	}
	each.command.Stdout, each.command.Stderr = log, log
	if err := each.command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	each.done = done
	command := each.command
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// startAll starts all processes.
func (r *region) startAll() error {
	for _, each := range append(append([]*process{}, r.coordinators...), r.gateways...) {
		if err := r.start(each); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a process that this program has started.
func (p *process) signal(sent syscall.Signal) {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(sent)
	}
}

// kill ends a process and waits for its end.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// end ends all processes, and removes the folder.
func (r *region) end() {
	var ended sync.WaitGroup
	for _, each := range append(append([]*process{}, r.coordinators...), r.gateways...) {
		ended.Go(each.kill)
	}
	ended.Wait()
	r.list.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println("kept:", r.folder)
	}
}

// replace sends a configuration to a coordinator, and returns the status, 0 if none came.
func (r *region) replace(to *process, document []byte) int {
	answer, err := r.client.Post(fmt.Sprintf("http://%s:%d/pierhaven/Config.Replace", to.ip, controlPort), "application/json", bytes.NewReader(document))
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// replaceUntilTaken sends a configuration to one coordinator after the other until one acknowledges it.
func (r *region) replaceUntilTaken(document []byte, within time.Duration) error {
	for end, number := time.Now().Add(within), 0; time.Now().Before(end); number++ {
		if status := r.replace(r.coordinators[number%len(r.coordinators)], document); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no coordinator has acknowledged the configuration in time")
}

// awaitReady waits until all gateways call themselves ready.
func (r *region) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, each := range r.gateways {
		for !r.isReady(each) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready in time", each.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (r *region) isReady(gateway *process) bool {
	answer, err := r.client.Get(fmt.Sprintf("http://%s:%d/pierhaven/readyz", gateway.ip, readyPort))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// front is the address at which a gateway takes requests.
func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, frontPort) }

// instance is an entry of the platform's list.
type instance struct {
	Service         string
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           string
	ColdRemainingMs int
	ID              string `json:"Id"`
	Stage           string `json:",omitempty"`
}

// platformList is a stand-in of the platform's list of replicas.
type platformList struct {
	address string
	server  *http.Server
	mutex   sync.Mutex
	entries []func() instance
}

func newPlatformList(address string) (*platformList, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &platformList{address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(writer http.ResponseWriter, _ *http.Request) {
		l.mutex.Lock()
		entries := make([]instance, 0, len(l.entries))
		for _, shown := range l.entries {
			entries = append(entries, shown())
		}
		l.mutex.Unlock()
		page := map[string]any{"Instances": entries, "NextPageToken": nil}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(page)
	})
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

func (l *platformList) add(entry instance) { l.addShown(func() instance { return entry }) }

// addShown adds an entry that is asked for whenever the list is read.
func (l *platformList) addShown(shown func() instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries = append(l.entries, shown)
}

func (l *platformList) close() { _ = l.server.Close() }
