package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// pausedStream is a decode replica whose stream pauses after some events until it is moved away or
// resumed.
type pausedStream struct {
	firstEventsSent, resume, stopped chan struct{}
	// moveStatus is the error status of the response to move requests; 0 accepts them.
	moveStatus int
	// losesAnswer drops the connection instead of answering the request that stops the stream.
	losesAnswer bool
}

func newPausedStream() *pausedStream {
	return &pausedStream{firstEventsSent: make(chan struct{}), resume: make(chan struct{}), stopped: make(chan struct{})}
}

func (s *pausedStream) serveHTTP(writer http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/move/") {
		s.serveMove(writer, request)
		return
	}
	if request.Method == http.MethodDelete {
		return
	}
	writer.Header().Set("Sealed", "yes")
	writeEvents(writer, 1, 3)
	close(s.firstEventsSent)
	select {
	case <-s.resume:
		writeEvents(writer, 4, 6)
	case <-s.stopped:
		panic(http.ErrAbortHandler)
	case <-request.Context().Done():
	}
}

// serveMove answers a move request of the test dialect.
func (s *pausedStream) serveMove(writer http.ResponseWriter, request *http.Request) {
	if s.moveStatus != 0 {
		writer.WriteHeader(s.moveStatus)
		return
	}
	if request.URL.Query().Get("last") == "true" {
		close(s.stopped)
		if s.losesAnswer {
			dropConnection(writer, request)
			return
		}
	}
	_, _ = io.WriteString(writer, "moved")
}

func writeEvents(writer http.ResponseWriter, from, to int) {
	for number := from; number <= to; number++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %d\n\n", number, number)
	}
	writer.(http.Flusher).Flush()
}

// changeFirstReplica changes the list entry of the first replica, so that it leaves or changes its stage.
func (w *testEnvironment) changeFirstReplica(change func(*region.Replica)) {
	change(&w.replicaList[0])
	w.directory.Replace(w.replicaList)
}

var leaveReasons = map[string]func(*region.Replica){
	"changes": func(replica *region.Replica) { replica.Stage = region.StageChanging },
	"drains":  func(replica *region.Replica) { replica.Draining = true },
}

// newUnsplitCall returns a model call whose prompt a decode replica prefills itself, as there is no
// prefill replica.
func newUnsplitCall() *relay.Call { return newModelCall(100, "own") }

func TestStreamIsMovedAwayFromLeavingReplica(t *testing.T) {
	for name, change := range leaveReasons {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvironment(t)
			leaving := newPausedStream()
			w.addReplica("leaving", region.StageDecode, leaving.serveHTTP)
			go func() {
				<-leaving.firstEventsSent
				w.addReplica("other", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
					assert.Equal(t, w.replicaList[0].Address+"/moved", request.Header.Get("Source"))
					assert.Equal(t, "3", request.Header.Get("Last-Event"))
					streamEvents(4, 6, false)(writer, request)
				})
				w.changeFirstReplica(change)
			}()
			answer := w.runCall(newUnsplitCall())
			assert.Equal(t, eventText(1, 6), answer.body.String())
			assert.True(t, answer.ended)
			assert.Equal(t, 1, w.requestCount("other"), "a moved stream is the same run, so that a route with one attempt may continue it")
		})
	}
}

func TestStreamThatCannotBeMovedContinuesInPlace(t *testing.T) {
	for name, test := range map[string]struct {
		moveStatus  int
		hasCapacity bool
	}{
		"stream not found": {http.StatusNotFound, true},
		"move rejected":    {http.StatusServiceUnavailable, true},
		"no capacity":      {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvironment(t)
			leaving := newPausedStream()
			leaving.moveStatus = test.moveStatus
			w.addReplica("leaving", region.StageDecode, leaving.serveHTTP)
			go func() {
				<-leaving.firstEventsSent
				if test.hasCapacity {
					w.addReplica("other", region.StageDecode, rejectRequest)
				}
				w.changeFirstReplica(leaveReasons["drains"])
				time.Sleep(300 * time.Millisecond)
				close(leaving.resume)
			}()
			answer := w.runCall(newUnsplitCall())
			assert.Equal(t, eventText(1, 6), answer.body.String())
			assert.True(t, answer.ended)
			assert.Zero(t, w.requestCount("other"))
		})
	}
}

func TestStreamIsMovedOnlyWithinRetryBudget(t *testing.T) {
	w := newTestEnvironmentWithBudget(t, relay.RetryBudgetOptions{Window: time.Second})
	leaving := newPausedStream()
	w.addReplica("leaving", region.StageDecode, leaving.serveHTTP)
	go func() {
		<-leaving.firstEventsSent
		w.addReplica("other", region.StageDecode, rejectRequest)
		w.changeFirstReplica(leaveReasons["drains"])
		time.Sleep(300 * time.Millisecond)
		close(leaving.resume)
	}()
	answer := w.runCall(newUnsplitCall())
	assert.Equal(t, eventText(1, 6), answer.body.String())
	assert.Equal(t, 1, w.requestCount("leaving"), "no move was requested")
}

func TestMovedStreamRejectedByTargetIsAborted(t *testing.T) {
	w := newTestEnvironment(t)
	leaving := newPausedStream()
	w.addReplica("leaving", region.StageDecode, leaving.serveHTTP)
	go func() {
		<-leaving.firstEventsSent
		w.addReplica("other", region.StageDecode, rejectRequest)
		w.changeFirstReplica(leaveReasons["drains"])
	}()
	call := newUnsplitCall()
	call.Route = &traffic.Route{Name: "route", Kind: traffic.KindStream, MaximumAttempts: 1}
	answer := w.runCall(call)
	assert.True(t, answer.aborted)
	assert.False(t, answer.ended)
	assert.Equal(t, eventText(1, 3), answer.body.String())
}

// Guards against a crash of the gateway: the stream of a service without engines has no memory to move,
// and asking where to move it crashed the gateway.
func TestStreamWithoutPromptIsNotMoved(t *testing.T) {
	w := newTestEnvironment(t)
	first := newPausedStream()
	w.addReplica("draining", "", first.serveHTTP)
	w.listReplica("other", "", "127.0.0.1:1")
	w.runner.SetRemotePlacement(&relay.RemotePlacement{
		Query: func(context.Context, *region.PlacementQuery, time.Duration) (*region.PlacementAnswer, string, error) {
			t.Error("a placement is requested")
			return nil, "", errCallerDisconnected
		},
		Report: func(region.LeaseEvent) {},
	})
	w.replicaList[1].Draining = true
	w.directory.Replace(w.replicaList)
	call := newCall(traffic.KindStream, 1)
	answered := make(chan *recordingResponder)
	go func() { answered <- w.runCall(call) }()
	<-first.firstEventsSent
	w.replicaList[0].Draining = true
	w.directory.Replace(w.replicaList)
	time.Sleep(20 * time.Millisecond)
	close(first.resume)
	answer := <-answered
	assert.True(t, answer.ended)
	assert.Equal(t, eventText(1, 6), answer.body.String())
}

// rejectedMove has a stream moved away from its replica to one that rejects it, and returns the answer. after
// adds the replicas that are listed beside the rejecting one.
func rejectedMove(t *testing.T, options relay.RetryBudgetOptions, call *relay.Call, after func(w *testEnvironment)) *recordingResponder {
	t.Helper()
	w := newTestEnvironmentWithBudget(t, options)
	leaving := newPausedStream()
	w.addReplica("leaving", region.StageDecode, leaving.serveHTTP)
	go func() {
		<-leaving.firstEventsSent
		w.addReplica("rejecting", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
			// The stream goes on elsewhere only after this one was tried.
			after(w)
			rejectRequest(writer, request)
		})
		w.changeFirstReplica(leaveReasons["drains"])
	}()
	return w.runCall(call)
}

// oneRetry is a budget that allows one retry, which the move itself takes.
var oneRetry = relay.RetryBudgetOptions{Window: time.Hour, Slack: 4.5}

// The gateway has the replica stop the stream, so that the stream must go on even if the budget is used up.
func TestStreamStoppedForAMoveGoesOnThoughTheRetryBudgetIsUsedUp(t *testing.T) {
	call := newUnsplitCall()
	call.Route = &traffic.Route{Name: "route", Kind: traffic.KindStream, MaximumAttempts: 2, Resumable: true}
	answer := rejectedMove(t, oneRetry, call, func(w *testEnvironment) {
		w.addReplica("other", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
			assert.Equal(t, "3", request.Header.Get("Last-Event"))
			streamEvents(4, 6, false)(writer, request)
		})
	})
	assert.True(t, answer.ended)
	assert.Equal(t, eventText(1, 6), answer.body.String())
}

// On a route with one attempt, the prompt may not be read again, but another replica can take over the memory.
func TestStreamStoppedForAMoveIsOfferedToAnotherReplica(t *testing.T) {
	call := newUnsplitCall()
	call.Route = &traffic.Route{Name: "route", Kind: traffic.KindStream, MaximumAttempts: 1}
	answer := rejectedMove(t, oneRetry, call, func(w *testEnvironment) {
		w.addReplica("other", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
			assert.Equal(t, w.replicaList[0].Address+"/moved", request.Header.Get("Source"))
			streamEvents(4, 6, false)(writer, request)
		})
	})
	assert.True(t, answer.ended)
	assert.Equal(t, eventText(1, 6), answer.body.String())
}

// The answer to the request that stops a stream may be lost: the stream has ended because of this gateway.
func TestStreamGoesOnIfTheAnswerToItsStopIsLost(t *testing.T) {
	w := newTestEnvironmentWithBudget(t, oneRetry)
	leaving := newPausedStream()
	leaving.losesAnswer = true
	w.addReplica("leaving", region.StageDecode, leaving.serveHTTP)
	go func() {
		<-leaving.firstEventsSent
		w.addReplica("other", region.StageDecode, streamEvents(4, 6, false))
		w.changeFirstReplica(leaveReasons["drains"])
	}()
	call := newUnsplitCall()
	call.Route = &traffic.Route{Name: "route", Kind: traffic.KindStream, MaximumAttempts: 2, Resumable: true}
	answer := w.runCall(call)
	assert.True(t, answer.ended)
	assert.Equal(t, eventText(1, 6), answer.body.String())
}

// All other replicas may reject the stream at first. Its caller has a part of it, and waits.
func TestStoppedStreamWaitsForAReplicaThatAcceptsIt(t *testing.T) {
	for name, route := range map[string]*traffic.Route{
		"one attempt": {Name: "route", Kind: traffic.KindStream, MaximumAttempts: 1},
		"resumable":   {Name: "route", Kind: traffic.KindStream, MaximumAttempts: 2, Resumable: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvironmentWithBudget(t, oneRetry)
			leaving := newPausedStream()
			w.addReplica("leaving", region.StageDecode, leaving.serveHTTP)
			go func() {
				<-leaving.firstEventsSent
				w.addReplica("other", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
					if w.requestCount("other") == 1 {
						rejectRequest(writer, request)
						return
					}
					assert.Equal(t, "3", request.Header.Get("Last-Event"))
					streamEvents(4, 6, false)(writer, request)
				})
				w.changeFirstReplica(leaveReasons["drains"])
			}()
			call := newUnsplitCall()
			call.Route = route
			answer := w.runCall(call)
			assert.True(t, answer.ended)
			assert.Equal(t, eventText(1, 6), answer.body.String())
			assert.Equal(t, 2, w.requestCount("other"))
		})
	}
}
