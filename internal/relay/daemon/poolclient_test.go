package daemon

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/testnet"
)

// startSilentListener listens at an address and never answers; it counts the datagrams received.
func startSilentListener(t *testing.T, asked *atomic.Int64) string {
	t.Helper()
	listening, err := net.ListenPacket("udp4", testnet.Address(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listening.Close() })
	go func() {
		buffer := make([]byte, datagram.MaximumBytes)
		for {
			if _, _, err := listening.ReadFrom(buffer); err != nil {
				return
			}
			asked.Add(1)
		}
	}()
	return listening.LocalAddr().String()
}

// Guards against waiting again for coordinators that have just not answered: at a gateway cut off
// from all coordinators, each request of a tenant with a limit waited for two of them, 200 ms in
// total, before it was decided locally.
func TestRequestsDoNotWaitForUnresponsiveCoordinators(t *testing.T) {
	var now time.Duration
	var asked atomic.Int64
	views := newLocatedViewClient(&now)
	views.members = nil
	for range 6 {
		views.members = append(views.members, startSilentListener(t, &asked))
	}
	socket := &datagram.Socket{}
	go func() { _ = socket.Run(t.Context(), testnet.Address(t)) }()
	client := newPoolClient(Settings{ContactTime: 4 * time.Second, Logger: logr.Discard()}, socket, views, datagram.KindQuota, datagram.KindQuotaReply)
	require.Eventually(t, func() bool {
		return socket.Send(datagram.KindQuota, &quota.GatewayMessage{}, client.candidates()[0]) > 0
	}, 10*time.Second, time.Millisecond)
	decideAll := func(requests int) {
		for number := range requests {
			_, decided, err := client.decide(t.Context(), fmt.Sprint("r-", number), quota.Query{Account: "tenant", Units: 1})
			require.NoError(t, err)
			require.False(t, decided)
		}
	}
	// After these requests, all coordinators count as unresponsive.
	decideAll(8)
	before := asked.Load()
	decideAll(30)
	assert.LessOrEqual(t, asked.Load()-before, int64(2*poolCoordinators*poolAttempts), "only one request at a time asks unresponsive coordinators")

	now += time.Second / 2
	before = asked.Load()
	decideAll(30)
	assert.Positive(t, asked.Load()-before, "unresponsive coordinators are asked again")
	assert.LessOrEqual(t, asked.Load()-before, int64(2*poolCoordinators*poolAttempts))
}
