package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/testnet/crowd"
	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	// clients is the size of a crowd, and crowdTime how long it stays.
	clients   = 40
	crowdTime = 2500 * time.Millisecond
	// announcedClients send what they have announced, once and no copy of it.
	announcedClients = 120
	// idleClients are more than the places of callers: 0.9 x 400 / 2 descriptors, less the fifth of peers.
	idleClients = 170
	// crowdDescriptors are open once an idle crowd holds the 144 places.
	crowdDescriptors = 150
	// redialPause is after which a client that was turned away comes again.
	redialPause = 100 * time.Millisecond
	// returnedMargin is what a process may hold after a crowd beyond what it held before.
	returnedMargin = 16 << 20
)

// crowdClients returns the size of a crowd: PIERHAVEN_CROWD_CLIENTS has larger ones played by hand.
func crowdClients(t *testing.T, usual int) int {
	t.Helper()
	text := os.Getenv("PIERHAVEN_CROWD_CLIENTS")
	if text == "" {
		return usual
	}
	count, err := strconv.Atoi(text)
	require.NoError(t, err)
	return count
}

// meet has a crowd meet a listener, and notes what a process holds meanwhile.
func meet(t *testing.T, watched *watched, address string, kinds []crowd.Client, count int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	watched.mostMemory.Store(0)
	watched.mostDescriptors.Store(0)
	var running sync.WaitGroup
	for number := range crowdClients(t, count) {
		running.Go(func() { kinds[number%len(kinds)].Send(ctx, address) })
	}
	running.Go(func() { watched.watch(ctx) })
	running.Wait()
	t.Logf("%s held at most %.1f MB and %d descriptors", watched.name, float64(watched.mostMemory.Load())/(1<<20), watched.mostDescriptors.Load())
}

// requireBounds has a crowd meet a listener, and requires that a process keeps to its bounds.
func requireBounds(t *testing.T, judged *watched, address string, kinds []crowd.Client, count, memory int) {
	t.Helper()
	meet(t, judged, address, kinds, count)
	require.True(t, judged.isRunning(), "%s has ended", judged.name)
	assert.LessOrEqual(t, judged.mostMemory.Load(), int64(memory)<<20, "%s holds more than it may", judged.name)
	assert.LessOrEqual(t, judged.mostDescriptors.Load(), int64(fileDescriptors))
}

// fill has idle clients take all places of callers, and come again when they are turned away, until the returned function is called.
func (r *region) fill(t *testing.T, client crowd.Client) (end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for range idleClients {
		running.Go(func() {
			for ctx.Err() == nil {
				client.Send(ctx, r.callers)
				time.Sleep(redialPause)
			}
		})
	}
	running.Go(func() { r.gateway.watch(ctx) })
	require.Eventually(t, func() bool { return r.gateway.mostDescriptors.Load() > crowdDescriptors }, patience, 10*time.Millisecond)
	return func() {
		cancel()
		running.Wait()
	}
}

func target(path string) crowd.Target {
	return crowd.Target{Host: callerHost, Path: path, MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes}
}

// crowdOf returns the number of clients of a group.
func crowdOf(group crowd.Group) int {
	if group.Announced {
		return announcedClients
	}
	return clients
}

// allOf returns the clients of all groups.
func allOf(groups []crowd.Group) (all []crowd.Client) {
	for _, group := range groups {
		all = append(all, group.Clients...)
	}
	return all
}

func TestCrowdsTakeNoGatewayOverItsMemory(t *testing.T) {
	for _, group := range crowd.Groups(target(callerPath)) {
		t.Run(group.Name, func(t *testing.T) {
			r := startRegion(t, memoryMegabytes)
			requireBounds(t, r.gateway, r.callers, group.Clients, crowdOf(group), memoryMegabytes)
			require.NoError(t, r.call(t, "afterwards"))
		})
	}
}

func TestCrowdsTakeNoCoordinatorOverItsMemory(t *testing.T) {
	for _, group := range crowd.Groups(target("/pierhaven/Config.Replace")) {
		t.Run(group.Name, func(t *testing.T) {
			r := startRegion(t, memoryMegabytes)
			requireBounds(t, r.coordinator, r.operators, group.Clients, crowdOf(group), memoryMegabytes)
			require.NoError(t, r.readBack(t))
			require.NoError(t, r.call(t, "afterwards"))
		})
	}
}

func TestCrowdsAtOtherListenersTakeNoProcessOverItsMemory(t *testing.T) {
	r := startRegion(t, memoryMegabytes)
	for _, listener := range []struct {
		name, address, path string
		judged              *watched
	}{
		{"calls of gateways", r.gatewayCalls, callerPath, r.gateway},
		{"readiness", r.readiness, "/pierhaven/readyz", r.gateway},
		{"metrics of a gateway", r.gatewayMetrics, "/metrics", r.gateway},
		{"calls of coordinators", r.coordinatorCalls, "/internal/v1/consensus", r.coordinator},
		{"metrics of a coordinator", r.coordinatorMetrics, "/metrics", r.coordinator},
	} {
		t.Run(listener.name, func(t *testing.T) {
			requireBounds(t, listener.judged, listener.address, allOf(crowd.Groups(target(listener.path))), clients, memoryMegabytes)
			require.NoError(t, r.readBack(t))
			require.NoError(t, r.call(t, "afterwards"))
		})
	}
}

func TestMemoryGoesBackWhenACrowdHasGone(t *testing.T) {
	r := startRegion(t, memoryMegabytes)
	for _, door := range []struct {
		name, address, path string
		judged              *watched
	}{
		{"gateway", r.callers, callerPath, r.gateway},
		{"coordinator", r.operators, "/pierhaven/Config.Replace", r.coordinator},
	} {
		before := door.judged.memory()
		requireBounds(t, door.judged, door.address, allOf(crowd.Groups(target(door.path))), clients, memoryMegabytes)
		require.Eventually(t, func() bool { return door.judged.memory() <= before+returnedMargin }, patience, 100*time.Millisecond,
			"%s: %d bytes before, %d afterwards", door.name, before, door.judged.memory())
		require.NoError(t, r.call(t, "afterwards"))
	}
}

// An idle crowd that held all places locked everybody else out.
func TestAnIdleCrowdLocksNobodyOut(t *testing.T) {
	r := startRegion(t, memoryMegabytes)
	for _, group := range crowd.Idle(target(callerPath)) {
		t.Run(group.Name, func(t *testing.T) {
			r.gateway.mostDescriptors.Store(0)
			defer r.fill(t, group.Clients[0])()
			for number := range 24 {
				require.NoError(t, r.call(t, fmt.Sprintf("%s-%d", "beside", number)))
			}
			require.True(t, r.gateway.isRunning())
			assert.LessOrEqual(t, r.gateway.mostDescriptors.Load(), int64(fileDescriptors))
			assert.LessOrEqual(t, r.gateway.mostMemory.Load(), int64(memoryMegabytes)<<20)
		})
	}
}

// The times of the configuration were read and not in force: connections could be idle for two minutes, and heads take half of one.
func TestConfiguredTimesAreInForceOnOpenConnections(t *testing.T) {
	r := startRegion(t, memoryMegabytes)
	open := func(first string) net.Conn {
		conn, err := net.Dial("tcp", r.callers)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = conn.Write([]byte(first))
		require.NoError(t, err)
		return conn
	}
	conns := map[string]net.Conn{"idle": open(""), "half of a head": open("POST / HTTP/1.1\r\nHost: h\r\nA: "), "half of a body": open("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")}
	shorter := limits
	shorter.HeaderTimeoutMs, shorter.IdleTimeoutMs = 300, 600
	config := platformtest.ConfigurationWithLimits(2, shorter, []platformtest.Route{
		{Name: "once", Host: callerHost, Prefix: callerPath, Service: "service", Timeout: patience},
	})
	status, err := platformtest.Replace(t.Context(), newClient(), r.operators, config)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	buffer := make([]byte, 4<<10)
	// Half of the time that the process allowed on its own.
	until := time.Now().Add(15 * time.Second)
	for name, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(until))
		for err = nil; err == nil; {
			_, err = conn.Read(buffer)
		}
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%s: still open", name)
	}
}
