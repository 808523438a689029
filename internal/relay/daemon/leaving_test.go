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

// leave has a replica say from now on that it leaves, while the list goes on showing it as ready.
func (s *replicaSet) leave(replica string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving[replica] = true
}

// learnLeaving sends requests to a gateway until a replica has answered one.
func (r *endingRegion) learnLeaving(gateway int, replica string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		r.askAll(gateway)
		return len(r.replicas.takenSince(replica, time.Time{})) > 0
	}, 30*time.Second, time.Millisecond)
}

// A replica says to one gateway that it leaves: nobody sends it anything new, though the list shows it as ready
// until its end.
func TestAReplicaThatLeavesByItsOwnWordGetsNothingNewFromAnyGateway(t *testing.T) {
	r := newEndingRegion(t, 5, 4)
	r.replicas.leave("i-1")
	r.learnLeaving(0, "i-1")
	time.Sleep(contactTime / 2)
	from := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), contactTime)
	defer cancel()
	sent, served := r.load(ctx, 12, 20*time.Millisecond)
	assert.Empty(t, r.replicas.takenSince("i-1", from))
	assert.Equal(t, sent, served, "others take it")
}

// All replicas leave by their own word, and none comes: they are used for as long as they bear it, and no
// longer; then callers are told the truth at once.
func TestReplicasThatAllLeaveAreUsedForAsLongAsTheyBearIt(t *testing.T) {
	r := newEndingRegion(t, 2, 2)
	r.replicas.leave("i-1")
	r.replicas.leave("i-2")
	begun, refused := time.Now(), 0
	var firstRefused time.Time
	for number := 0; time.Since(begun) < 2*leaveTime; number++ {
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
	assert.GreaterOrEqual(t, firstRefused.Sub(begun), leaveTime*9/10)
	assert.Empty(t, r.replicas.takenSince("i-1", begun.Add(leaveTime+contactTime/2)))
	assert.Empty(t, r.replicas.takenSince("i-2", begun.Add(leaveTime+contactTime/2)))
}

// A gateway that no coordinator answers keeps to what it has heard itself.
func TestAGatewayThatReachesNoCoordinatorKeepsToAReplicasOwnWord(t *testing.T) {
	r := newEndingRegion(t, 3, 1)
	r.stop()
	r.stop = func() {}
	r.replicas.leave("i-1")
	r.learnLeaving(0, "i-1")
	from := time.Now()
	for number := range 60 {
		status, answer := r.ask(0, fmt.Sprint("cut-off-", number), "body")
		require.Equal(t, http.StatusOK, status, answer)
	}
	assert.Empty(t, r.replicas.takenSince("i-1", from))
}
