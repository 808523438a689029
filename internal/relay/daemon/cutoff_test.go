package daemon_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// replicasOfCutOff is the number of replicas in tests of gateways that reach none of them.
const replicasOfCutOff = 6

// refusingAddress returns an address at which connections are refused.
func refusingAddress(t *testing.T) string { return testnet.Address(t) }

// silentAddress returns an address at which connections are neither accepted nor refused: its queue is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	require.NoError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(descriptor, 0))
	bound, err := syscall.Getsockname(descriptor)
	require.NoError(t, err)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}).String()
	for {
		queued, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = queued.Close() })
	}
}

// viewOfReplicas returns a view of one service with replicas at addresses, and of the gateways with those peer
// addresses.
func viewOfReplicas(t *testing.T, kind traffic.Kind, addresses, gateways []string) region.View {
	t.Helper()
	view := newView(t, 3, "")
	view.Document = newDocument(t, view.Version, kind)
	view.Replicas = nil
	for number, address := range addresses {
		view.Replicas = append(view.Replicas, region.Replica{ID: "i-" + string(rune('a'+number)), Service: "service", Address: address, Zone: "zone", Slots: 4, Software: "v1"})
	}
	slices.Sort(gateways)
	view.Peers, view.PeersHash, view.Gateways = gateways, 7, len(gateways)
	return view
}

// startPeers starts two gateways of a region, of which each knows the replicas at other addresses.
func startPeers(t *testing.T, kind traffic.Kind, first, second []string) (*gateway, *gateway) {
	t.Helper()
	peers := []string{testnet.Address(t), testnet.Address(t)}
	var started []*gateway
	for number, replicas := range [][]string{first, second} {
		coordinator := startCoordinator(t, viewOfReplicas(t, kind, replicas, slices.Clone(peers)))
		started = append(started, startGatewayAt(t, peers[number], logr.Discard(), coordinator))
	}
	for _, each := range started {
		each.awaitReadiness(http.StatusOK)
	}
	return started[0], started[1]
}

// addresses returns as many addresses.
func addresses(t *testing.T, create func(*testing.T) string) (created []string) {
	for range replicasOfCutOff {
		created = append(created, create(t))
	}
	return created
}

// Guards against callers that are not served because their gateway alone has lost its links to the replicas.
func TestCallersOfAGatewayThatReachesNoReplicaAreServed(t *testing.T) {
	for name, unreachable := range map[string]func(*testing.T) string{"refused": refusingAddress, "silent": silentAddress} {
		for _, kind := range []traffic.Kind{traffic.KindStream, traffic.KindOnce} {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				var sound, cut []string
				for range replicasOfCutOff {
					sound = append(sound, startReplica(t, func(writer http.ResponseWriter, request *http.Request) {
						runs.Add(1)
						streaming(3, false)(writer, request)
					}))
					cut = append(cut, unreachable(t))
				}
				isolated, _ := startPeers(t, kind, cut, sound)

				const calls = 12
				served := 0
				for range calls {
					answer, err := isolated.post("/v3/x")
					require.NoError(t, err)
					body, err := io.ReadAll(answer.Body)
					_ = answer.Body.Close()
					if answer.StatusCode == http.StatusOK {
						served++
						require.NoError(t, err)
						assert.Equal(t, 3, bytes.Count(body, []byte("data: x\n\n")))
						assert.Equal(t, "yes", answer.Header.Get("Sealed"))
					}
				}
				assert.Equal(t, calls, served)
				assert.EqualValues(t, calls, runs.Load(), "each runs once")
			})
		}
	}
}

// Guards against requests that are passed round, or wait for their deadline, while no gateway reaches a replica.
func TestARequestThatNoGatewayCanPassOnIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	first, _ := startPeers(t, traffic.KindOnce, addresses(t, refusingAddress), addresses(t, refusingAddress))
	for range 6 {
		begun := time.Now()
		answer, err := first.post("/v3/x")
		require.NoError(t, err)
		_ = answer.Body.Close()
		assert.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
		assert.NotEmpty(t, answer.Header.Get("Retry-After"))
		assert.Less(t, time.Since(begun), 5*time.Second, "its caller waits for 20 s")
	}
}

// A forwarded request whose replica breaks off has run, and is not repeated by either gateway.
func TestAForwardedRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	t.Parallel()
	var runs atomic.Int32
	dropping := func(t *testing.T) string {
		return startReplica(t, func(_ http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			runs.Add(1)
			panic(http.ErrAbortHandler)
		})
	}
	isolated, _ := startPeers(t, traffic.KindOnce, addresses(t, refusingAddress), addresses(t, dropping))
	answer, err := isolated.post("/v3/x")
	require.NoError(t, err)
	_ = answer.Body.Close()
	assert.Equal(t, http.StatusBadGateway, answer.StatusCode)
	assert.EqualValues(t, 1, runs.Load())
}

// A caller that leaves ends the work of the replica, also behind a peer gateway.
func TestTheCallerOfAForwardedRequestMayLeave(t *testing.T) {
	t.Parallel()
	begun, ended := make(chan struct{}, 1), make(chan struct{})
	endless := func(t *testing.T) string {
		return startReplica(t, func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			writer.Header().Set("Sealed", "yes")
			writer.Header().Set("Content-Type", "text/event-stream")
			_, _ = writer.Write([]byte("id: 1\ndata: x\n\n"))
			writer.(http.Flusher).Flush()
			begun <- struct{}{}
			<-request.Context().Done()
			close(ended)
		})
	}
	isolated, _ := startPeers(t, traffic.KindStream, addresses(t, refusingAddress), addresses(t, endless))
	answer, err := isolated.post("/v3/x")
	require.NoError(t, err)
	<-begun
	_ = answer.Body.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the replica works on")
	}
}

// Guards against a stream that a peer has begun and that goes on, here or at another peer, at other software.
func TestAStreamThatAPeerHasBegunGoesOnAtItsSoftware(t *testing.T) {
	var begun, wentOn sync.Map
	replicaOf := func(software string) string {
		return startReplica(t, func(writer http.ResponseWriter, request *http.Request) {
			if request.Header.Get("Last-Event") != "" {
				wentOn.Store(software, true)
				streaming(3, false)(writer, request)
				return
			}
			begun.Store(software, true)
			streaming(2, true)(writer, request)
		})
	}
	peers := []string{testnet.Address(t), testnet.Address(t)}
	start := func(number int, addresses []string, software func(int) string) *gateway {
		view := viewOfReplicas(t, traffic.KindStream, addresses, slices.Clone(peers))
		view.Document = resumableDocument(t, view.Version, 4, []traffic.Part{{Service: "service", Weight: 1}})
		for index := range view.Replicas {
			view.Replicas[index].Software = software(index)
		}
		return startGatewayAt(t, peers[number], logr.Discard(), startCoordinator(t, view))
	}
	versions := []string{"v1", "v2", "v3", "v4", "v5", "v6"}
	var sound []string
	for _, version := range versions {
		sound = append(sound, replicaOf(version))
	}
	isolated := start(0, addresses(t, refusingAddress), func(index int) string { return versions[index] })
	start(1, sound, func(index int) string { return versions[index] }).awaitReadiness(http.StatusOK)
	isolated.awaitReadiness(http.StatusOK)
	answer, err := isolated.post("/v3/x")
	require.NoError(t, err)
	// It is broken off, or goes on at the replica that has begun it.
	_, _ = io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	wentOn.Range(func(software, _ any) bool {
		_, same := begun.Load(software)
		assert.True(t, same, "went on at %s", software)
		return true
	})
	assert.Empty(t, answer.Header.Get("Peer-Software"), "it is not passed on to callers")
}
