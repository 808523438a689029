package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
)

func tenant(homeZone string) dynamic.Tenant {
	return dynamic.Tenant{Name: "depot", KeyHashes: []string{operatorapi.HashToken("key")}, HomeZone: homeZone, TokensPerSecond: 1000}
}

func submit(t *testing.T, client *operatorapi.Client, kind dynamic.Kind, name string, document any) operatorapi.ChangeResult {
	t.Helper()
	result, err := client.ChangeDocument(context.Background(), kind, name, change(t, operatorapi.OperationSubmit, uuid.NewString(), 0, document))
	require.NoError(t, err)
	return result
}

func change(t *testing.T, operation operatorapi.Operation, requestID string, expected uint64, document any) operatorapi.DocumentChange {
	t.Helper()
	body, err := json.Marshal(document)
	require.NoError(t, err)
	return operatorapi.DocumentChange{RequestID: requestID, Operation: operation, ExpectedRevision: expected, Document: body}
}

func key(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

// claimNew retries until a claim of a new key is granted: the zone may not have
// received the tenant's document yet.
func claimNew(c *cluster, g *testGateway, body string) (claimKey, attempt string) {
	c.t.Helper()
	claimKey, attempt = key(c.t), uuid.NewString()
	c.eventually("claim", func() error {
		reply, err := g.claim(claimKey, attempt, body)
		if err == nil && reply.Status != wire.ClaimGranted {
			err = fmt.Errorf("claim is %s", reply.Status)
		}
		return err
	})
	return claimKey, attempt
}

func TestSessionsAndClaimsSurviveLeaderStop(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"hal-noord"}, controllers: 3})
	accepted := submit(t, c.operators(), dynamic.KindTenant, "depot", tenant("hal-noord"))
	g := openGateway(c, "hal-noord", "gateway-1")
	stopHeartbeats := g.startHeartbeats()
	first, firstAttempt := claimNew(c, g, "print 1")
	second, secondAttempt := claimNew(c, g, "print 2")
	require.NoError(t, g.complete(first, firstAttempt, "label 1"))

	leader := c.leader("hal-noord")
	require.NoError(t, leader.stop(t), "a planned stop must not return an error")
	c.leader("hal-noord")

	other := openGateway(c, "hal-noord", "gateway-2")
	reply, err := other.claim(first, uuid.NewString(), "print 1")
	require.NoError(t, err)
	require.Equal(t, wire.ClaimAnswered, reply.Status)
	require.Equal(t, "label 1", string(reply.AnswerBody))
	reply, err = other.claim(second, uuid.NewString(), "print 2")
	require.NoError(t, err)
	require.Equal(t, wire.ClaimInProgress, reply.Status)
	reply, err = other.claim(first, uuid.NewString(), "another label")
	require.NoError(t, err)
	require.Equal(t, wire.ClaimReused, reply.Status)
	// The first call over a connection to the stopped leader fails with an unknown
	// outcome. The completion is then repeated, as a gateway does.
	c.eventually("completion", func() error { return g.complete(second, secondAttempt, "label 2") })

	leader.start(t)
	c.eventually("configuration at the gateway", func() error {
		if other.config >= accepted.Revision {
			return nil
		}
		return other.sendHeartbeat()
	})
	stopHeartbeats()
	require.NoError(t, g.sendHeartbeat(), "the session must survive the stop of the leader")
	for index := 1; index < len(g.views); index++ {
		require.GreaterOrEqual(t, g.views[index].Revision, g.views[index-1].Revision)
		require.GreaterOrEqual(t, g.views[index].ConfigRevision, g.views[index-1].ConfigRevision)
	}
}

func TestSingleControllerServesItsZone(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"hal-zuid"}, controllers: 1})
	submit(t, c.operators(), dynamic.KindTenant, "depot", tenant("hal-zuid"))
	g := openGateway(c, "hal-zuid", "gateway-1")
	require.NotZero(t, g.session.SessionID)
	require.True(t, g.session.View.Full)
	claimNew(c, g, "print")
	require.NoError(t, c.members["hal-zuid"][0].stop(t))
}
