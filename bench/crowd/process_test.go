package crowd

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/platform/platformtest"
)

// Settings of the processes.
const (
	memoryMegabytes = 80
	fileDescriptors = 400

	callerHost = "h.example"
	callerPath = "/once/"
	// patience bounds every wait of a test; nothing is concluded from its length.
	patience = 30 * time.Second
)

// limits are those of the configuration in force.
var limits = platformtest.Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 1000, IdleTimeoutMs: 5000}

// watched is a process that is judged from outside.
type watched struct {
	name string
	pid  int
	// ended is closed with the process's end; nil if somebody else looks after it.
	ended chan struct{}

	mostMemory, mostDescriptors atomic.Int64
}

// memory returns the resident memory that is no file's, in bytes, 0 if the process is gone.
func (w *watched) memory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// watch notes the most that the process holds until the context ends.
func (w *watched) watch(ctx context.Context) {
	for ctx.Err() == nil {
		w.mostMemory.Store(max(w.mostMemory.Load(), w.memory()))
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid)); err == nil {
			w.mostDescriptors.Store(max(w.mostDescriptors.Load(), int64(len(open))))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// isRunning reports whether the process has not ended.
func (w *watched) isRunning() bool {
	if w.ended == nil {
		return syscall.Kill(w.pid, 0) == nil && w.memory() > 0
	}
	select {
	case <-w.ended:
		return false
	default:
		return true
	}
}

// region is a coordinator and a gateway with a replica.
type region struct {
	coordinator, gateway *watched
	// Addresses of the listeners.
	operators, coordinatorCalls, coordinatorMetrics  string
	callers, gatewayCalls, readiness, gatewayMetrics string

	config []byte
}

var (
	buildOnce   sync.Once
	buildResult error
	program     string
)

// TestMain removes the program.
func TestMain(m *testing.M) {
	status := m.Run()
	if program != "" {
		_ = os.RemoveAll(filepath.Dir(program))
	}
	os.Exit(status)
}

// build returns the product's program.
func build(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		folder, err := os.MkdirTemp("", "pierhaven-crowd-")
		if err != nil {
			buildResult = err
			return
		}
		program = filepath.Join(folder, "pierhaven")
		output, err := exec.Command("go", "build", "-o", program, "../../cmd/pierhaven").CombinedOutput()
		if err != nil {
			buildResult = fmt.Errorf("%w: %s", err, output)
		}
	})
	require.NoError(t, buildResult)
	return program
}

// startRegion starts the processes and waits until the gateway serves.
func startRegion(t testing.TB, memory int) *region {
	t.Helper()
	return startRegionOf(t, build(t), memory)
}

// startRegionOf is startRegion with a program.
func startRegionOf(t testing.TB, binary string, memory int) *region {
	t.Helper()
	var address atomic.Value
	replica := httptest.NewServer(platformtest.ReplicaHandler("i-1", func(request platformtest.Request) platformtest.Reply {
		return platformtest.Reply{Status: http.StatusOK, Body: fmt.Sprintf("answer to %s of %d bytes", request.ID, len(request.Body))}
	}))
	t.Cleanup(replica.Close)
	address.Store(replica.Listener.Addr().String())
	list := httptest.NewServer((&platformtest.List{Entries: func() []platformtest.Listed {
		return []platformtest.Listed{{ID: "i-1", Service: "service", Address: address.Load().(string), Zone: "zone", Slots: 64, State: "ready"}}
	}}).Handler())
	t.Cleanup(list.Close)
	r := &region{
		operators: testnet.Address(t), coordinatorCalls: testnet.Address(t), coordinatorMetrics: testnet.Address(t),
		callers: testnet.Address(t), readiness: testnet.Address(t), gatewayMetrics: testnet.Address(t),
	}
	// Processes reach each other at the same port, each at an address of its own.
	r.gatewayCalls = neighbor(r.coordinatorCalls)
	listAddress := list.Listener.Addr().String()
	r.coordinator = start(t, binary, "coordinator", memory, listAddress, r.operators, r.coordinatorCalls, r.coordinatorMetrics, fmt.Sprintf(
		"bootstrap: true\noperator_listen: %s\ndata_folder: %s\ntolerated_losses: 0\nlease_ms: 1000\n", r.operators, t.TempDir()))
	r.gateway = start(t, binary, "relay", memory, listAddress, r.operators, r.gatewayCalls, r.gatewayMetrics, fmt.Sprintf(
		"listen: %s\nready_listen: %s\nretry_ratio: 0.2\nretry_window_seconds: 10\nretry_slack: 20\n", r.callers, r.readiness))
	r.config = platformtest.ConfigurationWithLimits(1, limits, []platformtest.Route{
		{Name: "once", Host: callerHost, Prefix: callerPath, Service: "service", Timeout: patience},
	})
	require.Eventually(t, func() bool {
		status, err := platformtest.Replace(t.Context(), newClient(), r.operators, r.config)
		return err == nil && status == http.StatusOK
	}, patience, 20*time.Millisecond)
	require.Eventually(t, func() bool { return r.call(t, "ready") == nil }, patience, 20*time.Millisecond)
	return r
}

// neighbor returns the same port at another address of this test process.
func neighbor(address string) string {
	var numbers [4]int
	var port int
	_, _ = fmt.Sscanf(address, "%d.%d.%d.%d:%d", &numbers[0], &numbers[1], &numbers[2], &numbers[3], &port)
	return fmt.Sprintf("%d.%d.%d.%d:%d", numbers[0], numbers[1]+64, numbers[2], numbers[3], port)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
}

// call sends an ordinary request on a new connection.
func (r *region) call(t testing.TB, id string) error {
	caller := platformtest.Caller{Host: callerHost, Path: callerPath, ID: id, Wait: patience, Body: strings.Repeat("b", 600)}
	answer, err := platformtest.CallWith(t.Context(), newClient(), r.callers, caller)
	if err != nil {
		return err
	}
	if want := fmt.Sprintf("answer to %s of 600 bytes", id); answer.Status != http.StatusOK || answer.Body != want {
		return fmt.Errorf("status %d, %q", answer.Status, answer.Body)
	}
	return nil
}

// readBack asks for the configuration on a new connection.
func (r *region) readBack(t *testing.T) error {
	status, document, err := platformtest.Current(t.Context(), newClient(), r.operators)
	if err != nil {
		return err
	}
	if status != http.StatusOK || len(document) == 0 {
		return fmt.Errorf("status %d, %d bytes", status, len(document))
	}
	return nil
}

// start starts a process of the region, and ends it with the test.
func start(t testing.TB, binary, role string, memory int, list, seed, internal, metrics, more string) *watched {
	t.Helper()
	ip, port, _ := strings.Cut(internal, ":")
	text := fmt.Sprintf("name: %s-1\nzone: zone\naddress: %s\ninternal_port: %s\nseeds: [%q]\nreplica_list: %s\nmetrics_listen: %s\nstop_seconds: 6\nlog_verbosity: 1\ncontact_ms: 3000\nmemory_megabytes: %d\nfile_descriptors: %d\n%s",
		role, ip, port, seed, list, metrics, memory, fileDescriptors, more)
	folder := t.TempDir()
	settings := filepath.Join(folder, "settings.yaml")
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(folder, "log"))
	require.NoError(t, err)
	command := exec.Command(binary, role, "--settings", settings)
	command.Stdout, command.Stderr = log, log
	require.NoError(t, command.Start())
	started := &watched{name: role, pid: command.Process.Pid, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(started.ended)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-started.ended
		_ = log.Close()
		if t.Failed() {
			content, _ := os.ReadFile(log.Name())
			t.Logf("end of the log of %s:\n%s", role, content[max(0, len(content)-2000):])
		}
	})
	return started
}
