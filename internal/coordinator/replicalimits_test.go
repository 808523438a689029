package coordinator_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/testnet"
)

// limitClient requests permits from coordinators as a gateway does.
type limitClient struct {
	t       *testing.T
	socket  *datagram.Socket
	address string
	answers chan quota.Answer
	lastID  uint64
}

func newLimitClient(t *testing.T) *limitClient {
	t.Helper()
	client := &limitClient{t: t, socket: &datagram.Socket{}, address: testnet.Address(t), answers: make(chan quota.Answer, 64)}
	client.socket.Handle(datagram.KindLimitReply, func(_ netip.AddrPort, payload []byte) error {
		var reply quota.GatewayReply
		if _, err := reply.UnmarshalMsg(payload); err == nil {
			for _, each := range reply.Answers {
				client.answers <- each
			}
		}
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- client.socket.Run(ctx, client.address) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return client
}

// report sends a limit report of a replica to a coordinator.
func (c *limitClient) report(coordinator string, report ratelimit.Report) {
	c.socket.Send(datagram.KindLimitReport, &ratelimit.Message{From: c.address, Reports: []ratelimit.Report{report}}, netip.MustParseAddrPort(coordinator))
}

// requestPermit requests a permit from a coordinator, repeatedly until it answers.
func (c *limitClient) requestPermit(coordinator, replica string) quota.Answer {
	c.t.Helper()
	c.lastID++
	query := &quota.GatewayMessage{Queries: []quota.Query{{ID: c.lastID, Account: replica, Units: 1}}}
	deadline := time.After(30 * time.Second)
	for {
		c.socket.Send(datagram.KindLimit, query, netip.MustParseAddrPort(coordinator))
		select {
		case answer := <-c.answers:
			if answer.ID == c.lastID {
				return answer
			}
		case <-time.After(200 * time.Millisecond):
		case <-deadline:
			require.Fail(c.t, "no answer")
		}
	}
}

// A replica with a declared limit of 1 request a second received 22 within 2 s from one gateway that knew the limit and
// requested a permit each time. While no coordinator had a fresh state, the gateway had read the platform's list
// itself, and knew an incarnation of the replica that the coordinators did not know yet: they ignored its limit reports
// and permitted requests for which they had no limit. In the logs: the gateway writes "replica's limit" with
// named=true, then 22 times "prompt read apart" with limit=1; the coordinator writes "replica started again" with that
// incarnation 2.1 s later.
func TestLimitAppliesToUnlistedReplica(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 1)
	client := newLimitClient(t)
	for _, address := range g.addresses {
		client.report(address, ratelimit.Report{Replica: "i-new@5", Declared: true, Rate: 0.5})
	}
	// After this time each pool counts its share of the limit.
	time.Sleep(time.Second)
	begun, admitted := time.Now(), 0
	for number := range 60 {
		if client.requestPermit(g.addresses[number%3], "i-new@5").Admitted {
			admitted++
		}
	}
	assert.LessOrEqual(t, float64(admitted), 0.5*1.5*time.Since(begun).Seconds()+5)
}

// A permit for a replica without a known limit is denied: the gateway that requests it knows a limit.
func TestPermitIsDeniedForAnUnknownLimit(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 1)
	answer := newLimitClient(t).requestPermit(g.addresses[0], "i-unheard")
	assert.False(t, answer.Admitted)
	assert.Less(t, answer.WaitMicros, time.Second.Microseconds(), "the limit is expected to be reported soon")
}
