package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/relay/daemon"
	"github.com/pierhaven/pierhaven/internal/replicalist"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

const (
	// contactTime is the maximum time for processes that reach each other to learn what one of them
	// knows.
	contactTime = 3 * time.Second
	// leavingGrace is how long replicas that announce that they leave may get requests.
	leavingGrace = 2 * time.Second
	// crashingPart is the part of prompts that crashes replicas.
	crashingPart = "part-that-ends-replicas"
	// crashingBody is the body of the request that crashes replicas.
	crashingBody = "ends what runs it"
	// restartDelay is how long a crashed replica is down.
	restartDelay = 400 * time.Millisecond
)

// replicaSet is a set of replicas of one service, which a request can crash.
type replicaSet struct {
	t     *testing.T
	mutex sync.Mutex
	// running holds the running replicas by address.
	running map[string]*crashableReplica
	started int
	// arrivals are the times at which the crashing request arrived, and crashes the times at which
	// replicas crashed.
	arrivals []time.Time
	crashes  []time.Time
	closed   bool
	// limits holds the rate limits that replicas declare, and received the arrival times of all
	// requests, both by replica ID.
	limits   map[string]float64
	received map[string][]time.Time
	// leaving holds the IDs of the replicas that announce that they leave.
	leaving map[string]bool
}

// crashableReplica is one incarnation of a replica.
type crashableReplica struct {
	id      string
	address string
	server  *http.Server
}

func newReplicaSet(t *testing.T, count int) *replicaSet {
	t.Helper()
	set := &replicaSet{t: t, running: map[string]*crashableReplica{}, limits: map[string]float64{}, received: map[string][]time.Time{}, leaving: map[string]bool{}}
	for range count {
		set.start(testnet.Address(t))
	}
	t.Cleanup(set.close)
	return set
}

// start starts a new incarnation at an address.
func (s *replicaSet) start(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Errorf("replica failed to restart: %v", err)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = listener.Close()
		return
	}
	s.started++
	replica := &crashableReplica{id: fmt.Sprintf("i-%d", s.started), address: address}
	replica.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.serve(replica, writer, request)
	})}
	s.running[address] = replica
	go func() { _ = replica.server.Serve(listener) }()
}

// serve streams a few events, unless the request crashes the replica.
func (s *replicaSet) serve(replica *crashableReplica, writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if request.Header.Get("Instance") != replica.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	crashing := string(body) == crashingBody || slices.Contains(strings.Split(request.Header.Get("Parts"), ","), crashingPart)
	if crashing {
		s.mutex.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mutex.Unlock()
	}
	s.recordRequest(replica, writer)
	writer.Header().Set("Sealed", "yes")
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := range 4 {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", number)
		writer.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
		if crashing && number == 1 {
			s.crash(replica)
			return
		}
	}
}

// crash breaks all connections of a replica and closes its port. The replica restarts after
// restartDelay as a new incarnation.
func (s *replicaSet) crash(replica *crashableReplica) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running[replica.address] != replica {
		return
	}
	delete(s.running, replica.address)
	s.crashes = append(s.crashes, time.Now())
	_ = replica.server.Close()
	if !s.closed {
		time.AfterFunc(restartDelay, func() { s.start(replica.address) })
	}
}

func (s *replicaSet) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for _, replica := range s.running {
		_ = replica.server.Close()
	}
}

// Page implements replicalist.ReadPage.
func (s *replicaSet) Page(context.Context, string) (replicalist.Page, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var listed []region.Replica
	for _, replica := range s.running {
		listed = append(listed, region.Replica{ID: replica.id, Service: "service", Address: replica.address, Zone: "zone", Slots: 16, Software: "v1"})
	}
	return replicalist.Page{Replicas: listed}, nil
}

// lateArrivals returns how often the crashing request arrived later than wait after the third crash,
// and the total number of crashes.
func (s *replicaSet) lateArrivals(wait time.Duration) (late, crashes int) {
	return s.arrivalsAfter(3, wait)
}

// arrivalsAfter returns how often crashing requests arrived later than wait after a number of crashes, and the total
// number of crashes.
func (s *replicaSet) arrivalsAfter(counted int, wait time.Duration) (late, crashes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.crashes) < counted {
		return 0, len(s.crashes)
	}
	for _, arrival := range s.arrivals {
		if arrival.After(s.crashes[counted-1].Add(wait)) {
			late++
		}
	}
	return late, len(s.crashes)
}

// testRegion is a coordinator with gateways, all in this process.
type testRegion struct {
	t            *testing.T
	replicas     *replicaSet
	coordinator  string
	folder       string
	gateways     []*gateway
	running      *coordinator.Coordinator
	requestCount atomic.Int64
	stop         func()
	// tenants are the configured tenants, if any; version is the version of the configuration.
	tenants []traffic.Tenant
	version uint64
}

// toleratedOverrun lets a tenant with a limit of almost zero send 14 requests, and none after that
// while the test runs: a pool that counts the whole limit grants a debt of 0.35 of the overrun.
var toleratedOverrun = quota.Enforcement{AbsoluteTolerance: 40}

func newTestRegion(t *testing.T, replicas, gateways int, tenants ...traffic.Tenant) *testRegion {
	t.Helper()
	r := &testRegion{t: t, replicas: newReplicaSet(t, replicas), coordinator: testnet.Address(t), folder: t.TempDir(), tenants: tenants}
	r.startCoordinator()
	t.Cleanup(func() { r.stop() })
	for number := range gateways {
		r.gateways = append(r.gateways, r.startGateway(number))
	}
	return r
}

func (r *testRegion) startCoordinator() {
	r.t.Helper()
	created, err := coordinator.New(coordinator.Settings{
		Name: "coordinator", Zone: "zone", Address: r.coordinator, Seeds: func() []string { return []string{r.coordinator} },
		Bootstrap: true, Voters: 1, DataFolder: filepath.Join(r.folder, "data"), FileSystem: storage.OSFileSystem{},
		ReadListPage: r.replicas.Page, Codec: jsonCodec{}, ListInterval: 50 * time.Millisecond, PlacementGatewayThreshold: -1, Quota: toleratedOverrun, ContactTime: r.contact(), Logger: logr.Discard(),
	})
	require.NoError(r.t, err)
	r.running = created
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- created.Run(ctx) }()
	r.stop = func() {
		cancel()
		assert.NoError(r.t, <-done)
	}
	r.configure()
}

// contact returns the contact time of the processes, 0 for the default. It is long where tenants'
// limits are tested, so that queries are answered in time on a busy machine too.
func (r *testRegion) contact() time.Duration {
	if len(r.tenants) == 0 {
		return 0
	}
	return 20 * time.Second
}

// configure applies a configuration with the region's tenants.
func (r *testRegion) configure() {
	r.t.Helper()
	r.version++
	document, err := json.Marshal(&traffic.Configuration{
		Version: r.version,
		Routes: []traffic.Route{{
			Name: "route", Host: "h.example", PathPrefix: "/", Kind: traffic.KindStream, Resumable: true,
			MaximumAttempts: 2, Timeout: 3 * time.Second, Split: []traffic.Part{{Service: "service", Weight: 1}},
		}},
		Services: []traffic.Service{{Name: "service"}},
		Tenants:  r.tenants,
	})
	require.NoError(r.t, err)
	require.Eventually(r.t, func() bool { return r.running.Replace(context.Background(), document) == nil },
		30*time.Second, 50*time.Millisecond)
}

func (r *testRegion) startGateway(number int) *gateway {
	r.t.Helper()
	g := &gateway{t: r.t, address: testnet.Address(r.t), readyAddress: testnet.Address(r.t), done: make(chan error, 1)}
	created, err := daemon.New(daemon.Settings{
		Name: fmt.Sprint("gateway-", number), Zone: "zone", Listen: g.address, ReadyListen: g.readyAddress, ReadyPath: "/ready",
		PeerListen: testnet.Address(r.t), Seeds: func() []string { return []string{r.coordinator} },
		Budget:      relay.RetryBudgetOptions{Ratio: 1, Window: time.Second, Slack: 100},
		StopTimeout: 2 * time.Second, ReadListPage: readUnreachableList, Codec: jsonCodec{}, Dialect: testDialect{},
		ContactTime: r.contact(), LeavingGrace: leavingGrace, Metrics: telemetry.NewMetrics("test"), Logger: logr.Discard(),
	})
	require.NoError(r.t, err)
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	go func() { g.done <- created.Run(ctx) }()
	r.t.Cleanup(func() {
		stop()
		<-g.done
	})
	g.awaitReadiness(http.StatusOK)
	return g
}

// callerIPs is the number of source IPs of requests. One caller uses many, as its requests come
// through proxies and from several machines.
const callerIPs = 7

// ask sends a request to a gateway and returns its status, or 0 if the answer is incomplete.
func (r *testRegion) ask(gateway int, id, body string) (status int, answer string) {
	return r.askWithParts(gateway, id, body, "")
}

// askWithParts sends a request whose prompt has parts, separated by commas.
func (r *testRegion) askWithParts(gateway int, id, body, parts string) (status int, answer string) {
	address := net.IPv4(127, 0, 0, byte(2+r.requestCount.Add(1)%callerIPs))
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: address}}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, "http://"+r.gateways[gateway].address+"/x", bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "h.example"
	request.Header.Set("Request", id)
	request.Header.Set("Parts", parts)
	if len(r.tenants) > 0 {
		request.Header.Set("Authorization", "Bearer "+limitedKey)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
}

// repeatCrashing sends the crashing request repeatedly until the context ends, each time with a new
// ID to the next gateway.
func (r *testRegion) repeatCrashing(ctx context.Context, every time.Duration) {
	for number := 0; ctx.Err() == nil; number++ {
		r.ask(number%len(r.gateways), fmt.Sprint("ending-", number), crashingBody)
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

// Guards against a request that crashes one replica after the other for as long as its caller
// repeats it: 33 crashed in 4 s, and the requests that they were serving failed with them. The
// gateway retries the request on the next replica, and its caller sends it again under another ID to
// another gateway. Attempt limits and retry budgets hold for one ID, so the evidence must be shared
// between calls and gateways. In the log, the lines "replica lost under a request" have one digest
// and ended=true, and the replica's port refuses connections 2 to 230 ms after the first broken
// stream.
func TestCrashingRequestReachesFewReplicasAfterThreeCrashes(t *testing.T) {
	r := newTestRegion(t, 8, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.repeatCrashing(ctx, 40*time.Millisecond) })
	time.Sleep(2 * contactTime)
	cancel()
	running.Wait()
	late, crashes := r.replicas.lateArrivals(contactTime)
	assert.GreaterOrEqual(t, crashes, 3)
	assert.LessOrEqual(t, late, 3, "late arrivals of a request that has crashed %d replicas", crashes)
	status, answer := r.ask(0, "innocent", "another body")
	assert.Equal(t, http.StatusOK, status, answer)
	for gateway := range r.gateways {
		status, answer = r.ask(gateway, "ending-again", crashingBody)
		assert.Equal(t, http.StatusBadGateway, status)
		assert.Contains(t, answer, string(failure.RequestHeld))
		assert.Contains(t, answer, `"ran":"no","repeatable":false`)
		assert.NotContains(t, answer, "retry_after")
	}
}

// isHeld reports whether an answer says that the request is held.
func isHeld(answer string) bool { return strings.Contains(answer, `"`+string(failure.RequestHeld)) }

// Guards against evidence that is split by source IP: a request that came a few times per second
// from several machines in turn, with the same content, still crashed 32 replicas because its
// digest included the IP.
func TestDigestIgnoresSourceIP(t *testing.T) {
	r := newTestRegion(t, 8, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 3*contactTime)
	defer cancel()
	r.repeatCrashing(ctx, contactTime/10)
	late, crashes := r.replicas.lateArrivals(contactTime)
	assert.LessOrEqual(t, late, 3, "late arrivals of a request that has crashed %d replicas", crashes)
}

// sendUntilHeld sends the crashing request to all gateways at once until all of them hold it.
func (r *testRegion) sendUntilHeld() {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		var sending sync.WaitGroup
		var held atomic.Int64
		for gateway := range r.gateways {
			sending.Go(func() {
				if _, answer := r.ask(gateway, "ending", crashingBody); isHeld(answer) {
					held.Add(1)
				}
			})
		}
		sending.Wait()
		return int(held.Load()) == len(r.gateways)
	}, 30*time.Second, 20*time.Millisecond)
}

func TestRequestIsHeldAtAllGateways(t *testing.T) {
	r := newTestRegion(t, 8, 4)
	r.sendUntilHeld()
	_, crashes := r.replicas.lateArrivals(0)
	// Three crashes are enough to hold it; each gateway may have two attempts in flight meanwhile.
	assert.LessOrEqual(t, crashes, 3+2*4*3)
	late, _ := r.replicas.lateArrivals(contactTime)
	assert.LessOrEqual(t, late, 3)
}

func TestHeldRequestsSurviveRestarts(t *testing.T) {
	r := newTestRegion(t, 6, 2)
	r.sendUntilHeld()
	before, _ := r.replicas.lateArrivals(0)
	r.stop()
	r.startCoordinator()
	r.gateways = append(r.gateways, r.startGateway(2))
	for gateway := range r.gateways {
		status, answer := r.ask(gateway, "ending-later", crashingBody)
		assert.Equal(t, http.StatusBadGateway, status, "gateway %d", gateway)
		assert.Contains(t, answer, string(failure.RequestHeld))
	}
	after, _ := r.replicas.lateArrivals(0)
	assert.Equal(t, before, after)
}

// A request that comes rarely must be recognized by evidence from before a restart of all
// processes.
func TestEvidenceSurvivesRestarts(t *testing.T) {
	r := newTestRegion(t, 6, 1)
	status, _ := r.ask(0, "ending-1", crashingBody)
	assert.Zero(t, status, "the stream breaks off after two replicas have crashed")
	time.Sleep(contactTime / 3)
	r.stop()
	r.startCoordinator()
	r.gateways = append(r.gateways[:0], r.startGateway(1))
	r.ask(0, "ending-2", crashingBody)
	// The coordinator may take long to hold the request on a busy machine; requests sent meanwhile
	// would crash more replicas.
	require.Eventually(t, func() bool {
		held, err := r.running.HeldRequests(t.Context())
		return err == nil && len(held) == 1
	}, time.Minute, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		_, answer := r.ask(0, "ending-3", crashingBody)
		return isHeld(answer)
	}, 30*time.Second, contactTime/4)
	_, crashes := r.replicas.lateArrivals(0)
	assert.LessOrEqual(t, crashes, 3+3)
}

func TestRequestsThatDifferInOneByteHaveOtherDigests(t *testing.T) {
	r := newTestRegion(t, 6, 2)
	r.sendUntilHeld()
	require.Eventually(t, func() bool {
		status, answer := r.ask(0, "other", crashingBody+".")
		assert.False(t, isHeld(answer))
		return status == http.StatusOK
	}, 30*time.Second, restartDelay)
	_, answer := r.ask(0, "ending", crashingBody)
	assert.True(t, isHeld(answer), answer)
}

// Other requests repeatedly lose the replicas that the crashing one takes down, and must still be
// served.
func TestOtherRequestsAreServedBesideACrashingOne(t *testing.T) {
	r := newTestRegion(t, 8, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var held, served, asked atomic.Int64
	for caller := range 12 {
		running.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				body := fmt.Sprint("innocent ", caller, " ", number)
				for try := range 3 {
					status, answer := r.ask((caller+try)%len(r.gateways), fmt.Sprint(caller, "-", number, "-", try), body)
					asked.Add(1)
					if isHeld(answer) {
						held.Add(1)
					}
					if status == http.StatusOK {
						served.Add(1)
						break
					}
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	r.sendUntilHeld()
	time.Sleep(contactTime / 3)
	// A busy machine needs longer to serve this many.
	require.Eventually(t, func() bool { return served.Load() > 100 }, time.Minute, 20*time.Millisecond)
	cancel()
	running.Wait()
	assert.Zero(t, held.Load(), "of %d", asked.Load())
	assert.Greater(t, served.Load(), int64(100))
}

func TestIsolatedGatewayUsesLocalEvidence(t *testing.T) {
	r := newTestRegion(t, 8, 1)
	r.stop()
	r.stop = func() {}
	time.Sleep(contactTime / 2)
	for number := range 20 {
		r.ask(0, fmt.Sprint("ending-", number), crashingBody)
		time.Sleep(contactTime / 10)
	}
	_, crashes := r.replicas.lateArrivals(0)
	assert.GreaterOrEqual(t, crashes, 3)
	assert.LessOrEqual(t, crashes, 3+3)
	late, _ := r.replicas.lateArrivals(contactTime)
	assert.Zero(t, late)
	r.startCoordinator()
	require.Eventually(t, func() bool { return len(r.heldRequests()) == 1 }, 30*time.Second, 10*time.Millisecond,
		"the coordinators learn that the request is held")
}

func TestOperatorReleasesAHeldRequest(t *testing.T) {
	r := newTestRegion(t, 6, 2)
	r.sendUntilHeld()
	held := r.heldRequests()
	require.Len(t, held, 1)
	digest, err := poison.ParseDigest(held[0].Digest)
	require.NoError(t, err)
	require.NoError(t, r.running.ReleaseRequest(context.Background(), digest))
	assert.Empty(t, r.heldRequests())
	assert.Equal(t, failure.NotFound, failure.KindOf(r.running.ReleaseRequest(context.Background(), digest)))
	require.Eventually(t, func() bool {
		_, answer := r.ask(1, "ending", crashingBody)
		return !isHeld(answer)
	}, 30*time.Second, 10*time.Millisecond)
}

// heldRequests lists the held requests, once the coordinator is sure to know all of them.
func (r *testRegion) heldRequests() []poison.Held {
	r.t.Helper()
	var held []poison.Held
	require.Eventually(r.t, func() (known bool) {
		var err error
		held, err = r.running.HeldRequests(context.Background())
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
	return held
}
