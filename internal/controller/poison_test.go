package controller_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/wire"
)

func endingDigest(name string) poison.Digest {
	return poison.Content{Caller: "depot", Host: "reader", Body: []byte(name)}.Digest()
}

// report tells of an engine that has ended under requests.
func (g *testGateway) report(engine string, under ...string) error {
	end := poison.Crash{Replica: engine}
	for _, name := range under {
		end.Requests = append(end.Requests, endingDigest(name))
	}
	return g.call(wire.PathPoison, &poison.Report{Gateway: g.id, Crashes: []poison.Crash{end}}, &poison.News{})
}

// learn sends a heartbeat and returns the requests that it tells to be held.
func (g *testGateway) learn() ([]poison.Digest, error) {
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

func TestAZoneHoldsARequestThatEndsItsEngines(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"north", "south"}, controllers: 3, inMemory: true})
	gateways := []*testGateway{openGateway(c, "north", "g1"), openGateway(c, "north", "g2"), openGateway(c, "south", "g3")}
	for number, engine := range []string{"e1", "e2", "e3"} {
		// Both gateways had requests there, one of them the request that has ended it.
		c.eventually("report", func() error { return gateways[number%2].report(engine, "poison", fmt.Sprint("beside ", number)) })
		c.eventually("report", func() error { return gateways[(number+1)%2].report(engine, "other") })
	}
	// The other one was at the same engines each time, until it runs well.
	c.eventually("report", func() error {
		return gateways[0].call(wire.PathPoison, &poison.Report{Completions: []poison.Digest{endingDigest("other")}}, &poison.News{})
	})
	expectHeld := func() error {
		for _, gateway := range gateways {
			held, err := gateway.learn()
			if err != nil {
				return err
			}
			if len(held) != 1 || held[0] != endingDigest("poison") {
				return fmt.Errorf("%s knows of %v", gateway.id, held)
			}
		}
		return nil
	}
	c.eventually("the hold at all gateways, those of the other zone among them", expectHeld)
	c.leader("north").crash(t)
	for _, gateway := range gateways {
		c.eventually("session", gateway.open)
	}
	c.eventually("the hold by another leader", expectHeld)

	operators := c.operators("north")
	leader := c.operatorsAt(c.leader("north").settings.OperatorListenAddress)
	list, err := leader.HeldRequests(context.Background())
	require.NoError(t, err)
	require.Len(t, list.Requests, 1)
	require.Equal(t, endingDigest("poison").String(), list.Requests[0].Digest)
	c.eventually("release", func() error { return operators.ReleaseRequest(context.Background(), endingDigest("poison")) })
	c.eventually("nothing held in any zone", func() error {
		for _, gateway := range gateways {
			if held, err := gateway.learn(); err != nil || len(held) > 0 {
				return errors.Join(err, errors.New("still held"))
			}
		}
		return nil
	})
	requireKind(t, failure.NotFound, leader.ReleaseRequest(context.Background(), endingDigest("poison")))
}
