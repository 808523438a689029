package datagram_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/testnet"
)

// conditionTimeout bounds each wait for a condition that has to come about.
const conditionTimeout = 10 * time.Second

// run runs a socket until the end of the test.
func run(t *testing.T, socket *datagram.Socket) netip.AddrPort {
	t.Helper()
	address := testnet.Address(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- socket.Run(ctx, address) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return netip.MustParseAddrPort(address)
}

func TestMessagesGoToTheHandlerOfTheirKind(t *testing.T) {
	received := make(chan string, 16)
	to, from := &datagram.Socket{}, &datagram.Socket{}
	to.Handle(datagram.KindOutstanding, func(_ netip.AddrPort, payload []byte) error {
		var message region.Outstanding
		_, err := message.UnmarshalMsg(payload)
		assert.NoError(t, err)
		received <- message.Gateway
		return nil
	})
	address := run(t, to)
	assert.Zero(t, from.Send(datagram.KindOutstanding, &region.Outstanding{Gateway: "early"}, address), "the socket does not listen yet")
	run(t, from)
	require.Eventually(t, func() bool {
		from.Send(datagram.KindPlacement, &region.PlacementMessage{Gateway: "unhandled"}, address)
		taken := from.Send(datagram.KindOutstanding, &region.Outstanding{Gateway: "gateway"}, address)
		select {
		case gateway := <-received:
			return assert.Greater(t, taken, datagram.Overhead) && assert.Equal(t, "gateway", gateway)
		case <-time.After(10 * time.Millisecond):
			return false
		}
	}, conditionTimeout, time.Millisecond)
	tooLarge := &region.Outstanding{Gateway: strings.Repeat("x", datagram.MaximumBytes)}
	assert.Zero(t, from.Send(datagram.KindOutstanding, tooLarge, address))
}

func TestMalformedDatagramsAreIgnored(t *testing.T) {
	received := make(chan struct{}, 1)
	socket := &datagram.Socket{}
	socket.Handle(datagram.KindPlacementReply, func(netip.AddrPort, []byte) error {
		received <- struct{}{}
		return nil
	})
	address := run(t, socket)
	client, err := net.Dial("udp4", address.String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	require.Eventually(t, func() bool {
		for _, bytes := range [][]byte{{}, {0}, {255, 1, 2}, {byte(datagram.KindPlacementReply)}} {
			_, _ = client.Write(bytes)
		}
		select {
		case <-received:
			return true
		case <-time.After(10 * time.Millisecond):
			return false
		}
	}, conditionTimeout, time.Millisecond)
}

// Unreadable messages, from any sender and at any rate, cost at most one log line a second for each
// kind.
func TestUnreadableMessagesAreCountedAndLoggedAtALimitedRate(t *testing.T) {
	var lines atomic.Int64
	socket := &datagram.Socket{Logger: funcr.New(func(_, line string) {
		assert.Contains(t, line, "message unreadable")
		lines.Add(1)
	}, funcr.Options{})}
	socket.Handle(datagram.KindOutstanding, func(_ netip.AddrPort, payload []byte) error {
		var message region.Outstanding
		_, err := message.UnmarshalMsg(payload)
		return err
	})
	address := run(t, socket)
	client, err := net.Dial("udp4", address.String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	begun := time.Now()
	require.Eventually(t, func() bool {
		for range 100 {
			_, _ = client.Write([]byte{byte(datagram.KindOutstanding), 0x91})
			_, _ = client.Write([]byte{200, 1, 2})
		}
		return socket.Unreadable() > 1000
	}, conditionTimeout, time.Millisecond)
	assert.GreaterOrEqual(t, lines.Load(), int64(2))
	assert.LessOrEqual(t, lines.Load(), 2*(1+int64(time.Since(begun)/time.Second)))
}
