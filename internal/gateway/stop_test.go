package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// A planned stop finishes streams, requests that still wait for an engine, and
// batches, and ends without an error.
func TestAPlannedStopFinishesStreamsQueueAndBatches(t *testing.T) {
	const callers = 12
	zone := startZone(t)
	engine := startEngine(t, "e1")
	engine.tokenDelay = 5 * time.Millisecond
	zone.addEngine(engine)
	gateway := startGateway(t, zone, func(s *Settings) { s.Limits.BatchConcurrency = 2 })
	items := make([]callerapi.BatchItem, 50)
	for index := range items {
		items[index] = item(fmt.Sprint(index), callerapi.PathChatCompletions, chat(false, 4), "")
	}
	taken := gateway.submit(items)
	gateway.waitRevision(zone, zone.change(func(view *wire.View) { view.Engines[0].Dispatchable = false }))
	request := chat(true, 40)
	results := make([]streamed, callers)
	var waiting sync.WaitGroup
	for index := range callers {
		waiting.Go(func() {
			response, err := gateway.try(t.Context(), callerapi.PathChatCompletions, request)
			if err != nil {
				return
			}
			defer response.Body.Close()
			results[index] = readStream(t, response.Body)
		})
	}
	require.Eventually(t, func() bool { return gateway.doors.count() == callers && gateway.scheduler.Waiting() >= callers }, eventually, poll)
	gateway.stop()
	require.Eventually(t, gateway.doors.leaving, eventually, poll)
	zone.change(func(view *wire.View) { view.Engines[0].Dispatchable = true })
	waiting.Wait()
	for index := range results {
		require.True(t, results[index].done, "caller %d: %+v", index, results[index].failure)
		require.Equal(t, expectedChat(request), results[index].text)
	}
	progress := gateway.waitFinished(taken.ID)
	require.Equal(t, len(items), progress.Counts.Answered)
	require.Len(t, gateway.results(taken.ID), len(items))
	require.NoError(t, <-gateway.result)
}

// A second signal cuts what is in flight: Run's error names it, the caller is told
// that its answer is not whole, and the engine's slot is freed.
func TestASecondSignalSaysWhatWasCut(t *testing.T) {
	zone := startZone(t)
	engine := startEngine(t, "e1")
	engine.tokenDelay = 20 * time.Millisecond
	zone.addEngine(engine)
	gateway := startGateway(t, zone, nil)
	response := gateway.post(callerapi.PathChatCompletions, chat(true, 1000), callerapi.HeaderRequestID, "r-cut")
	defer response.Body.Close()
	_, err := io.ReadFull(response.Body, make([]byte, 10))
	require.NoError(t, err)
	gateway.stop()
	require.Eventually(t, gateway.doors.leaving, eventually, poll)
	gateway.Cut()
	result := readStream(t, response.Body)
	require.False(t, result.done)
	require.Equal(t, failure.AnswerBroken, result.failure.Type)
	require.Equal(t, failure.RanYes, result.failure.Ran)
	err = <-gateway.result
	require.ErrorIs(t, err, errCut)
	require.ErrorContains(t, err, "r-cut")
	require.Zero(t, engine.runningCount(), "the engine was told before the end")
}

// A refused request tells when to come back, in the header and in the body.
func TestAFullGatewaySaysWhenToComeBack(t *testing.T) {
	zone := startZone(t)
	engine := startEngine(t, "e1")
	engine.tokenDelay = 20 * time.Millisecond
	zone.addEngine(engine)
	gateway := startGateway(t, zone, func(s *Settings) { s.Limits.MaximumRequests = 1 })
	response := gateway.post(callerapi.PathChatCompletions, chat(true, 1000))
	defer response.Body.Close()
	refused := gateway.post(callerapi.PathChatCompletions, chat(false, 1))
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get(callerapi.HeaderRetryAfter))
	detail := readFailure(t, refused)
	require.Equal(t, failure.QueueFull, detail.Type)
	require.Equal(t, failure.RanNo, detail.Ran)
	require.True(t, detail.Repeatable)
	require.Positive(t, detail.RetryAfterMillis)
}
