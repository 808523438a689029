package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the small deployments, as their pages state them.
const (
	contactTime   = 3 * time.Second
	configApply   = 2 * time.Second
	graceSeconds  = 8
	drainMillis   = 3000
	leaseMillis   = 3000
	machineMemory = 284
)

// Ports of each machine. All machines of a day have the same ones.
const (
	internalPort = 7380
	controlPort  = 8144
	frontPort    = 8149
	readyPort    = 8141
	platformPort = 8142
	replicaPort  = 8660
	metricsPort  = 9464
)

// region is a deployment on loopback addresses: the project's own processes, and stand-ins for the rest.
type region struct {
	folder  string
	subnet  string
	record  *record
	list    *instanceList
	servers []*http.Server
	// seeds are the hosts whose control addresses settings that are written now name.
	seeds []int

	mutex sync.Mutex
	// processes are by the names of their machines.
	processes map[string]*process
}

// process is one machine with its one process.
type process struct {
	name, ip, role, zone string
	settings             string
	command              *exec.Cmd
	log                  *os.File
	ended                chan struct{}
}

// newRegion lays a region out in a temporary folder, on a loopback subnet whose ports are free.
func newRegion(record *record) (*region, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &region{folder: folder, record: record, list: &instanceList{}, seeds: []int{firstCore, firstCore + 1, firstCore + 2}, processes: map[string]*process{}}
	for range 50 {
		r.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if r.isFree() {
			started.mutex.Lock()
			started.region = r
			started.mutex.Unlock()
			return r, r.serve(r.platformAddress(), r.list)
		}
	}
	return nil, fmt.Errorf("no loopback subnet has free ports")
}

// isFree reports whether the ports of the region's machines can be listened on.
func (r *region) isFree() bool {
	for host := range 40 {
		for _, port := range []int{internalPort, controlPort, frontPort, readyPort, platformPort, replicaPort, metricsPort} {
			opened, err := net.Listen("tcp", r.address(host+1, port))
			if err != nil {
				return false
			}
			_ = opened.Close()
		}
	}
	return true
}

func (r *region) ip(host int) string { return r.subnet + "." + strconv.Itoa(host) }

func (r *region) address(host, port int) string { return r.ip(host) + ":" + strconv.Itoa(port) }

func (r *region) platformAddress() string { return r.address(40, platformPort) }

// Hosts of the machines.
const (
	firstFront   = 11
	firstCore    = 21
	firstReplica = 31
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// serve has a stand-in listen until the region is closed.
func (r *region) serve(address string, handler http.Handler) error {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(opened) }()
	return nil
}

// fields are those of a machine's settings, by the names of the pages.
func (r *region) fields(name, ip, zone string, bootstrap bool) map[string]string {
	var addresses []string
	for _, each := range r.seeds {
		addresses = append(addresses, r.address(each, controlPort))
	}
	seeds, _ := json.Marshal(addresses)
	places := map[string]string{}
	for _, each := range zones {
		places[each] = "region"
	}
	zoneMap, _ := json.Marshal(places)
	return map[string]string{
		"NodeName|json": strconv.Quote(name), "Zone|json": strconv.Quote(zone), "Zones|json": string(zoneMap),
		"Ip": ip, "Ip|json": strconv.Quote(ip), "InternalPortRange.0": strconv.Itoa(internalPort), "Seeds|json": string(seeds),
		"Listen.Front|json": strconv.Quote(ip + ":" + strconv.Itoa(frontPort)), "Listen.Ready|json": strconv.Quote(ip + ":" + strconv.Itoa(readyPort)),
		"Listen.Control|json": strconv.Quote(ip + ":" + strconv.Itoa(controlPort)),
		"Cloud.Address|json":  strconv.Quote(r.platformAddress()), "Cloud.RatePerS": "47.0", "Cloud.Duties|json": "[]",
		"DataDir|json": strconv.Quote(filepath.Join(r.folder, name, "data")), "Bootstrap|json": strconv.FormatBool(bootstrap),
		"FaultTolerance.Machines": "1", "Limits.LinkMbps": "1000.0", "Limits.MemoryMb": strconv.Itoa(machineMemory), "Limits.MaxFds": "4100",
		"Bounds.DrainMs": strconv.Itoa(drainMillis), "Bounds.GraceS": strconv.Itoa(graceSeconds), "Bounds.LeaseMs": strconv.Itoa(leaseMillis),
		"Bounds.ContactMs": strconv.FormatInt(contactTime.Milliseconds(), 10), "Bounds.BudgetRatio": "0.2", "Bounds.BudgetWindowS": "10", "Bounds.BudgetSlack": "58",
	}
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([A-Za-z.0-9]+)\}\}(.*?)\{\{/([A-Za-z.0-9]+)\}\}`)
	gap     = regexp.MustCompile(`\{\{([^{}]+)\}\}`)
)

// fill fills a template of the deploy folder. Sections stand if their value is given.
func fill(template string, fields map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(whole string) string {
		parts := section.FindStringSubmatch(whole)
		if _, given := fields[parts[1]]; !given {
			return ""
		}
		return parts[2]
	})
	return gap.ReplaceAllStringFunc(template, func(whole string) string {
		return fields[gap.FindStringSubmatch(whole)[1]]
	})
}

// startCore and startFront start the process of a machine for the first time.
func (r *region) startCore(number int) error {
	return r.startNew("core-"+strconv.Itoa(number+1), "coordinator", r.ip(firstCore+number), zones[number%len(zones)])
}

func (r *region) startFront(number int) error {
	return r.startNew("front-"+strconv.Itoa(number+1), "relay", r.ip(firstFront+number), zones[number%len(zones)])
}

func (r *region) startNew(name, role, ip, zone string) error {
	folder := filepath.Join(r.folder, name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	p := &process{name: name, ip: ip, role: role, zone: zone, settings: filepath.Join(folder, "settings.yaml")}
	r.mutex.Lock()
	r.processes[name] = p
	r.mutex.Unlock()
	return r.start(p, true)
}

// startAdded starts the coordinator of a machine that is added to a system that runs.
func (r *region) startAdded(number int) error {
	name := "core-" + strconv.Itoa(number+1)
	folder := filepath.Join(r.folder, name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	p := &process{name: name, ip: r.ip(firstCore + number), role: "coordinator", zone: zones[number%len(zones)], settings: filepath.Join(folder, "settings.yaml")}
	r.processes[name] = p
	return r.start(p, false)
}

// startAgain starts a process whose machine has run before.
func (r *region) startAgain(p *process) error { return r.start(p, false) }

var errNotAcknowledged = errors.New("the configuration is not acknowledged")

func (r *region) writeSettings(p *process, bootstrap bool) error {
	template, err := os.ReadFile(filepath.Join("deploy", p.role+".yaml.template"))
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, []byte(fill(string(template), r.fields(p.name, p.ip, p.zone, bootstrap))), 0o600)
}

// start starts a machine's process with the command of the deploy file.
func (r *region) start(p *process, bootstrap bool) error {
	if err := r.writeSettings(p, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.folder, p.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.log = log
	p.command = exec.Command("target/pierhaven", p.role)
	p.command.Env = []string{"PIERHAVEN_SETTINGS=" + p.settings}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		p.command.Env = append(p.command.Env, name+"="+os.Getenv(name))
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(p.command, p.ended)
	return nil
}

// kill ends a process at once and waits for its end.
func (r *region) kill(p *process) {
	_ = p.command.Process.Kill()
	<-p.ended
	_ = p.log.Close()
}

// close ends everything that the region has started.
func (r *region) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, each := range r.processes {
		if each.command != nil && each.command.Process != nil {
			r.kill(each)
		}
	}
	r.processes = map[string]*process{}
	for _, each := range r.servers {
		_ = each.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
}

// isReady asks a gateway what the platform asks it each second.
func (r *region) isReady(front int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address(firstFront+front, readyPort)+"/pierhaven/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until gateways are ready.
func (r *region) awaitReady(fronts int, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for front := range fronts {
			if r.isReady(front) {
				ready++
			}
		}
		if ready == fronts {
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready after %s", limit)
}

// replaceConfiguration sends a configuration as the operator does, to one node after the other, until one acknowledges it.
// It returns the moment of the acknowledgement.
func (r *region) replaceConfiguration(version int, body []byte, limit time.Duration) (time.Time, error) {
	r.record.note("operator sends version %d, %d bytes", version, len(body))
	pause := 100 * time.Millisecond
	for number, until := 0, time.Now().Add(limit); time.Now().Before(until); number++ {
		status, err := post("http://"+r.address(firstCore+number%3, controlPort)+"/pierhaven/Config.Replace", body)
		if status == http.StatusOK {
			at := time.Now()
			r.record.note("version %d is acknowledged by core-%d", version, number%3+1)
			return at, nil
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return time.Time{}, fmt.Errorf("version %d is refused with %d", version, status)
		}
		r.record.note("version %d: core-%d answers %d %v", version, number%3+1, status, err)
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return time.Time{}, fmt.Errorf("version %d is not acknowledged after %s", version, limit)
}

func post(target string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(string(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_ = answer.Body.Close()
	return answer.StatusCode, nil
}
