package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// markLeaving makes a replica announce that it leaves, while the list still shows it as ready.
func (s *replicaSet) markLeaving(replica string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving[replica] = true
}

// learnLeaving sends requests to a gateway until a replica has answered one.
func (r *testRegion) learnLeaving(gateway int, replica string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		r.askEachReplica(gateway)
		return len(r.replicas.receivedSince(replica, time.Time{})) > 0
	}, 30*time.Second, time.Millisecond)
}

// A replica announces to one gateway that it leaves. No gateway may send it new requests, though
// the list shows it as ready until its end.
func TestLeavingReplicaGetsNoNewRequestsFromAnyGateway(t *testing.T) {
	r := newTestRegion(t, 5, 4)
	r.replicas.markLeaving("i-1")
	r.learnLeaving(0, "i-1")
	time.Sleep(contactTime / 2)
	from := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), contactTime)
	defer cancel()
	sent, served := r.load(ctx, 12, 20*time.Millisecond)
	assert.Empty(t, r.replicas.receivedSince("i-1", from))
	assert.Equal(t, sent, served, "other replicas serve all requests")
}

// All replicas announce that they leave, and none is added. They are used for leavingGrace and no
// longer; after that, callers are refused at once.
func TestLeavingReplicasAreUsedWithinTheLeavingGraceIfNoOtherIsLeft(t *testing.T) {
	r := newTestRegion(t, 2, 2)
	r.replicas.markLeaving("i-1")
	r.replicas.markLeaving("i-2")
	begun, refused := time.Now(), 0
	var firstRefused time.Time
	for number := 0; time.Since(begun) < 2*leavingGrace; number++ {
		status, answer := r.ask(number%2, fmt.Sprint("leaving-", number), "body")
		if status != http.StatusOK {
			refused++
			assert.Contains(t, answer, `"ran":"no"`)
			if firstRefused.IsZero() {
				firstRefused = time.Now()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Positive(t, refused)
	assert.GreaterOrEqual(t, firstRefused.Sub(begun), leavingGrace*9/10)
	assert.Empty(t, r.replicas.receivedSince("i-1", begun.Add(leavingGrace+contactTime/2)))
	assert.Empty(t, r.replicas.receivedSince("i-2", begun.Add(leavingGrace+contactTime/2)))
}

// A gateway that no coordinator answers still acts on what replicas have announced to it.
func TestIsolatedGatewayAvoidsLeavingReplicas(t *testing.T) {
	r := newTestRegion(t, 3, 1)
	r.stop()
	r.stop = func() {}
	r.replicas.markLeaving("i-1")
	r.learnLeaving(0, "i-1")
	from := time.Now()
	for number := range 60 {
		status, answer := r.ask(0, fmt.Sprint("cut-off-", number), "body")
		require.Equal(t, http.StatusOK, status, answer)
	}
	assert.Empty(t, r.replicas.receivedSince("i-1", from))
}
