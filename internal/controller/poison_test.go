package controller_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/wire"
)

func requestDigest(name string) poison.Digest {
	return poison.Content{Caller: "depot", Host: "reader", Body: []byte(name)}.Digest()
}

// reportCrash reports that an engine has crashed while it had requests.
func (g *testGateway) reportCrash(engine string, requests ...string) error {
	crash := poison.Crash{Replica: engine}
	for _, name := range requests {
		crash.Requests = append(crash.Requests, requestDigest(name))
	}
	return g.call(wire.PathPoison, &poison.Report{Gateway: g.id, Crashes: []poison.Crash{crash}}, &poison.News{})
}

// heldDigests sends a heartbeat and returns the digests that the reply names as held.
func (g *testGateway) heldDigests() ([]poison.Digest, error) {
	var reply wire.HeartbeatReply
	request := &wire.HeartbeatRequest{GatewayID: g.id, SessionID: g.session.SessionID, AppliedRevision: g.applied, ConfigRevision: g.config}
	if err := g.call(wire.PathHeartbeat, request, &reply); err != nil {
		return nil, err
	}
	var held []poison.Digest
	if reply.Poison != nil {
		for _, entry := range reply.Poison.Entries {
			if entry.Held {
				held = append(held, entry.Digest)
			}
		}
	}
	return held, nil
}

func TestZoneHoldsRequestThatCrashesEngines(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"north", "south"}, controllers: 3, inMemory: true})
	gateways := []*testGateway{openGateway(c, "north", "g1"), openGateway(c, "north", "g2"), openGateway(c, "south", "g3")}
	for number, engine := range []string{"e1", "e2", "e3"} {
		// Both gateways had requests at the engine, one of them the request that crashed it.
		c.eventually("report", func() error { return gateways[number%2].reportCrash(engine, "poison", fmt.Sprint("beside ", number)) })
		c.eventually("report", func() error { return gateways[(number+1)%2].reportCrash(engine, "other") })
	}
	// The request "other" was at the same engines each time; its completion clears it.
	c.eventually("report", func() error {
		return gateways[0].call(wire.PathPoison, &poison.Report{Completions: []poison.Digest{requestDigest("other")}}, &poison.News{})
	})
	expectHeld := func() error {
		for _, gateway := range gateways {
			held, err := gateway.heldDigests()
			if err != nil {
				return err
			}
			if len(held) != 1 || held[0] != requestDigest("poison") {
				return fmt.Errorf("%s knows these held requests: %v", gateway.id, held)
			}
		}
		return nil
	}
	c.eventually("hold at all gateways, including those of the other zone", expectHeld)
	c.leader("north").crash(t)
	for _, gateway := range gateways {
		c.eventually("session", gateway.open)
	}
	c.eventually("hold after a change of leader", expectHeld)

	operators := c.operators("north")
	leader := c.operatorsAt(c.leader("north").settings.OperatorListenAddress)
	list, err := leader.HeldRequests(context.Background())
	require.NoError(t, err)
	require.Len(t, list.Requests, 1)
	require.Equal(t, requestDigest("poison").String(), list.Requests[0].Digest)
	c.eventually("release", func() error { return operators.ReleaseRequest(context.Background(), requestDigest("poison")) })
	c.eventually("nothing held in any zone", func() error {
		for _, gateway := range gateways {
			if held, err := gateway.heldDigests(); err != nil || len(held) > 0 {
				return errors.Join(err, errors.New("still held"))
			}
		}
		return nil
	})
	requireKind(t, failure.NotFound, leader.ReleaseRequest(context.Background(), requestDigest("poison")))
}

// A hold that another zone has sent before it knew of the release must not take effect after it.
func TestHoldThatCrossesAReleaseHasNoEffect(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"north", "south"}, controllers: 1, inMemory: true})
	gateway := openGateway(c, "south", "g1")
	digest := requestDigest("poison")
	hold := func() error {
		return gateway.call(peer.PathZoneHolds, &poison.Command{HeldElsewhere: []poison.Digest{digest}}, &peer.Empty{})
	}
	c.eventually("hold", hold)
	c.eventually("release", func() error { return c.operators("south").ReleaseRequest(context.Background(), digest) })
	require.Error(t, hold())
	held, err := gateway.heldDigests()
	require.NoError(t, err)
	require.Empty(t, held)
}
