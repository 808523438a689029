package daemon_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
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
		view.Replicas = append(view.Replicas, region.Replica{ID: "i-" + string(rune('a'+number)), Service: "service", Address: address, Zone: "zone", Slots: 4})
	}
	slices.Sort(gateways)
	view.Peers, view.PeersHash, view.Gateways = gateways, 7, len(gateways)
	return view
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
				peers := []string{testnet.Address(t), testnet.Address(t)}
				isolated := startGatewayAt(t, peers[0], logr.Discard(), startCoordinator(t, viewOfReplicas(t, kind, cut, slices.Clone(peers))))
				healthy := startGatewayAt(t, peers[1], logr.Discard(), startCoordinator(t, viewOfReplicas(t, kind, sound, slices.Clone(peers))))
				isolated.awaitReadiness(http.StatusOK)
				healthy.awaitReadiness(http.StatusOK)

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
