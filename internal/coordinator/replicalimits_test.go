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

// asker asks coordinators about limits as a gateway does.
type asker struct {
	t       *testing.T
	socket  *datagram.Socket
	address string
	answers chan quota.Answer
	lastID  uint64
}

func newAsker(t *testing.T) *asker {
	t.Helper()
	a := &asker{t: t, socket: &datagram.Socket{}, address: testnet.Address(t), answers: make(chan quota.Answer, 64)}
	a.socket.Handle(datagram.KindLimitReply, func(_ netip.AddrPort, payload []byte) error {
		var reply quota.GatewayReply
		if _, err := reply.UnmarshalMsg(payload); err == nil {
			for _, each := range reply.Answers {
				a.answers <- each
			}
		}
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.socket.Run(ctx, a.address) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return a
}

// tell tells a coordinator what a replica's answer has said.
func (a *asker) tell(coordinator string, word ratelimit.Word) {
	a.socket.Send(datagram.KindLimitWord, &ratelimit.Message{From: a.address, Words: []ratelimit.Word{word}}, netip.MustParseAddrPort(coordinator))
}

// ask asks a coordinator until it answers.
func (a *asker) ask(coordinator, replica string) quota.Answer {
	a.t.Helper()
	a.lastID++
	question := &quota.GatewayMessage{Questions: []quota.Question{{ID: a.lastID, Account: replica, Units: 1}}}
	deadline := time.After(30 * time.Second)
	for {
		a.socket.Send(datagram.KindLimit, question, netip.MustParseAddrPort(coordinator))
		select {
		case answer := <-a.answers:
			if answer.ID == a.lastID {
				return answer
			}
		case <-time.After(200 * time.Millisecond):
		case <-deadline:
			require.Fail(a.t, "no answer")
		}
	}
}

// A replica that named 1 request a second got 22 within 2 s from one gateway that knew of the limit and
// asked each time. The gateway had read the platform's list itself while no coordinator was fresh, and
// knew a life of the replica that the coordinators did not know yet: they passed over what it told them
// of that life's limit, and let through what they had no limit for. In the gateway's lines: "replica's limit" with
// named=true, then 22 times "prompt read apart" with limit=1; in the coordinator's, "replica started again" with
// that life 2.1 s later.
func TestALimitCountsForAReplicaThatTheCoordinatorsDoNotKnowYet(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 1)
	a := newAsker(t)
	for _, address := range g.addresses {
		a.tell(address, ratelimit.Word{Replica: "i-new@5", Named: true, Rate: 0.5})
	}
	// The pools count their parts by now.
	time.Sleep(time.Second)
	begun, admitted := time.Now(), 0
	for number := range 60 {
		if a.ask(g.addresses[number%3], "i-new@5").Admitted {
			admitted++
		}
	}
	assert.LessOrEqual(t, float64(admitted), 0.5*1.5*time.Since(begun).Seconds()+5)
}

// What a gateway asks about and no coordinator has heard of is not let through: the gateway knows a limit.
func TestAnUnknownLimitLetsNothingThrough(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 1)
	answer := newAsker(t).ask(g.addresses[0], "i-unheard")
	assert.False(t, answer.Admitted)
	assert.Less(t, answer.WaitMicros, time.Second.Microseconds(), "it is soon heard of")
}
