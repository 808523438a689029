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

// mute listens at an address and answers nothing; it counts what comes.
func mute(t *testing.T, asked *atomic.Int64) string {
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

// A gateway that was cut off from all coordinators had each request of a tenant with a limit wait for the
// answers of two of them, a fifth of a second in all, before it went by its own part of the limit as it had
// for the requests before: it asked those again that had just been silent.
func TestRequestsDoNotWaitForCoordinatorsThatAreAllSilent(t *testing.T) {
	var now time.Duration
	var asked atomic.Int64
	keeper := placedKeeper(&now)
	keeper.members = nil
	for range 6 {
		keeper.members = append(keeper.members, mute(t, &asked))
	}
	socket := &datagram.Socket{}
	go func() { _ = socket.Run(t.Context(), testnet.Address(t)) }()
	client := newPoolClient(Settings{Contact: 4 * time.Second, Logger: logr.Discard()}, socket, keeper, datagram.KindQuota, datagram.KindQuotaReply)
	require.Eventually(t, func() bool {
		return socket.Send(datagram.KindQuota, &quota.GatewayMessage{}, client.candidates()[0]) > 0
	}, 10*time.Second, time.Millisecond)
	decideAll := func(requests int) {
		for number := range requests {
			_, decided, err := client.decide(t.Context(), fmt.Sprint("r-", number), quota.Question{Account: "tenant", Units: 1})
			require.NoError(t, err)
			require.False(t, decided)
		}
	}
	// By then all are known to be silent.
	decideAll(8)
	before := asked.Load()
	decideAll(30)
	assert.LessOrEqual(t, asked.Load()-before, int64(2*poolAsked*poolSends), "one finds out, the others don't wait")

	now += time.Second / 2
	before = asked.Load()
	decideAll(30)
	assert.Positive(t, asked.Load()-before, "they are asked again")
	assert.LessOrEqual(t, asked.Load()-before, int64(2*poolAsked*poolSends))
}
