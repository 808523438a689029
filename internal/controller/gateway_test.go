package controller_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// testGateway implements the gateway's side of the internal protocol.
type testGateway struct {
	t       *testing.T
	cluster *cluster
	client  *rpc.Client
	id      string
	zone    string
	session wire.OpenSessionReply
	applied uint64
	config  uint64
	views   []wire.View
}

func openGateway(c *cluster, zone, id string) *testGateway {
	c.t.Helper()
	g := &testGateway{t: c.t, cluster: c, client: newPeerClient(c.t), id: id, zone: zone}
	c.eventually("session of "+id, g.open)
	return g
}

func (g *testGateway) open() error {
	request := &wire.OpenSessionRequest{GatewayID: g.id, Incarnation: rand.Uint64(), Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}
	var ticket wire.OpenSessionReply
	if err := g.call(wire.PathOpenSession, request, &ticket); err != nil {
		return err
	}
	request.Ticket = ticket.Ticket
	g.session = wire.OpenSessionReply{}
	if err := g.call(wire.PathOpenSession, request, &g.session); err != nil {
		return err
	}
	g.apply(&g.session.View)
	return nil
}

// call tries the zone's controllers in turn and follows their leader hints.
func (g *testGateway) call(path string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	var last error
	for _, address := range g.cluster.addresses(g.zone) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		last = g.client.Call(ctx, address, path, request, reply)
		if leader := rpc.LeaderAddress(last); leader != "" {
			last = g.client.Call(ctx, leader, path, request, reply)
		}
		cancel()
		if last == nil || failure.AnswerFor(last).Ran != failure.RanNo {
			return last
		}
	}
	return last
}

func (g *testGateway) apply(view *wire.View) {
	g.views = append(g.views, *view)
	g.applied = max(g.applied, view.Revision)
	g.config = max(g.config, view.ConfigRevision)
}

func (g *testGateway) sendHeartbeat() error {
	request := &wire.HeartbeatRequest{GatewayID: g.id, SessionID: g.session.SessionID, AppliedRevision: g.applied, ConfigRevision: g.config}
	var reply wire.HeartbeatReply
	if err := g.call(wire.PathHeartbeat, request, &reply); err != nil {
		return err
	}
	if !reply.Known {
		return fmt.Errorf("session %d of %s is not known", g.session.SessionID, g.id)
	}
	if reply.View != nil {
		g.apply(reply.View)
	}
	return nil
}

// updateToRevision sends one heartbeat if the gateway's configuration is older than
// the revision. It returns an error if the configuration is still older afterwards.
func (g *testGateway) updateToRevision(revision uint64) error {
	if g.config >= revision {
		return nil
	}
	if err := g.sendHeartbeat(); err != nil {
		return err
	}
	if g.config < revision {
		return fmt.Errorf("configuration is at revision %d, want %d", g.config, revision)
	}
	return nil
}

// startHeartbeats sends heartbeats until the returned function is called.
func (g *testGateway) startHeartbeats() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			_ = g.sendHeartbeat()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (g *testGateway) claim(key, attempt, body string) (wire.ClaimReply, error) {
	hash := sha256.Sum256([]byte(body))
	request := &wire.ClaimRequest{
		Zone: g.zone, SessionID: g.session.SessionID, GatewayID: g.id,
		Tenant: "depot", Key: key, BodyHash: hash[:], AttemptID: attempt,
	}
	var reply wire.ClaimReply
	err := g.call(wire.PathClaim, request, &reply)
	return reply, err
}

func (g *testGateway) complete(key, attempt, answer string) error {
	request := &wire.CompleteRequest{Tenant: "depot", Key: key, AttemptID: attempt, AnswerStatus: 200, AnswerBody: []byte(answer)}
	var reply wire.CompleteReply
	if err := g.call(wire.PathComplete, request, &reply); err != nil {
		return err
	}
	if !reply.Stored {
		return fmt.Errorf("answer of %s was not stored", key)
	}
	return nil
}
