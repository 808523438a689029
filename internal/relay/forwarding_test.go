package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// newCutOffEnvironment returns an environment whose replicas can't be connected to, with a peer that passes on what a handler
// answers.
func newCutOffEnvironment(t *testing.T, peer http.HandlerFunc) *testEnvironment {
	w := newTestEnvironment(t)
	for number := range deadReplicas {
		w.listReplica(fmt.Sprint("dead-", number), "", testnet.Address(t))
	}
	server := newTestEnvironment(t)
	server.addReplica("peer", "", peer)
	client := upstream.NewClient(upstream.Options{DialTimeout: time.Second, MaximumBodyBytes: 1 << 20})
	w.runner.SetForwarder(func(ctx context.Context, call *relay.Call, _ relay.Progress) (*relay.PeerAnswer, error) {
		exchange, err := client.Do(ctx, &upstream.Request{Address: server.replicaList[0].Address, Method: call.Method, Target: call.Target, Host: call.Host})
		if err != nil {
			return nil, err
		}
		return &relay.PeerAnswer{Peer: "peer", Exchange: exchange, Software: peerSoftware}, nil
	})
	return w
}

// peerSoftware is that of the peer's replicas.
var peerSoftware = origin.Software{Version: "v2"}

// Guards against an origin by a gateway's own send that has reached no replica, after a peer has begun the stream elsewhere.
func TestTheOriginOfAStreamThatAPeerHasBegunIsRecorded(t *testing.T) {
	w := newCutOffEnvironment(t, streamEvents(1, 2, false))
	type record struct {
		at   origin.Origin
		send int
	}
	var records []record
	w.runner.SetOriginRecorder(func(_ *relay.Call, at origin.Origin, send int) { records = append(records, record{at, send}) })
	call := newCall(traffic.KindStream, 1)
	call.Route.Resumable = true
	require.True(t, w.runCall(call).ended)
	require.NotEmpty(t, records)
	last := records[len(records)-1]
	assert.Equal(t, origin.Origin{Service: "service", Software: peerSoftware}, last.at)
	for _, earlier := range records[:len(records)-1] {
		assert.Less(t, earlier.send, last.send, "a record of a later send replaces earlier ones")
	}
}

// Guards against tenants that are not charged for streams which a peer gateway has served.
func TestAForwardedStreamCountsAsRun(t *testing.T) {
	w := newCutOffEnvironment(t, streamEvents(1, 2, false))
	call := newCall(traffic.KindStream, 1)
	answer := w.runCall(call)
	assert.Equal(t, eventText(1, 2), answer.body.String())
	assert.True(t, answer.ended)
	assert.Equal(t, 1, call.Runs)
}

// An answer that is lost on its way from a peer leaves unknown whether the request has run.
func TestALostAnswerOfAPeerIsNoPromise(t *testing.T) {
	w := newCutOffEnvironment(t, dropConnection)
	answer := w.runCall(newCall(traffic.KindOnce, 1))
	assert.Equal(t, failure.OutcomeUnknown, failure.KindOf(answer.err))
}
