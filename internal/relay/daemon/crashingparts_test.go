package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// soundCallers send sound requests, one after the other, to all gateways in turn.
	soundCallers = 9
	// calmTime is how long only sound requests come.
	calmTime = 3 * time.Second
	// crashesCounted is the number of crashes under a part from which on hardly any request with it may be sent.
	crashesCounted = 5
)

// shared returns the parts that a request shares with others; sound requests and those that crash replicas have the same.
func shared(number int) string { return fmt.Sprintf("system,history-%d", number%4) }

// callSoundly sends sound requests until the context ends and counts them, in served those that were answered.
func (r *testRegion) callSoundly(ctx context.Context, caller int, sent, served *atomic.Int64) {
	for number := caller; ctx.Err() == nil; number++ {
		id := fmt.Sprint("sound-", caller, "-", number)
		status, _ := r.askWithParts(number%len(r.gateways), id, id, shared(number)+",own-"+id)
		sent.Add(1)
		if status == http.StatusOK {
			served.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against requests of which no two are alike, and which crash one replica after the other since they share one part
// of their prompts: 83 replicas ended. Sound requests share the first part with them, and are served.
func TestRequestsWithACrashingPartReachFewReplicas(t *testing.T) {
	r := newTestRegion(t, 8, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var sent, served atomic.Int64
	for caller := range soundCallers {
		running.Go(func() { r.callSoundly(ctx, caller, &sent, &served) })
	}
	time.Sleep(calmTime)
	assert.Equal(t, sent.Load(), served.Load())
	running.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			id := fmt.Sprint("ending-", number)
			r.askWithParts(number%len(r.gateways), id, id, shared(number)+","+crashingPart+",own-"+id)
			time.Sleep(60 * time.Millisecond)
		}
	})
	time.Sleep(3 * contactTime)
	sentBefore, servedBefore := sent.Load(), served.Load()
	time.Sleep(contactTime)
	sentAfter, servedAfter := sent.Load()-sentBefore, served.Load()-servedBefore
	cancel()
	running.Wait()
	late, crashes := r.replicas.arrivalsAfter(crashesCounted, contactTime)
	assert.GreaterOrEqual(t, crashes, 3)
	assert.LessOrEqual(t, late, 3, "late arrivals of requests with a part that has crashed %d replicas", crashes)
	assert.Greater(t, 2*servedAfter, sentAfter, "sound requests beside them")
}
