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
	}
	_, _ = io.WriteString(writer, "moved")
}

func writeEvents(writer http.ResponseWriter, from, to int) {
	for number := from; number <= to; number++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %d\n\n", number, number)
	}
	writer.(http.Flusher).Flush()
}

// changeFirstReplica changes the list entry of the first replica, so that it is leaving.
func (w *world) changeFirstReplica(change func(*region.Replica)) {
	change(&w.replicas[0])
	w.directory.Replace(w.replicas)
}

var leaveReasons = map[string]func(*region.Replica){
	"changes": func(replica *region.Replica) { replica.Stage = region.StageChanging },
	"drains":  func(replica *region.Replica) { replica.Draining = true },
}

// newUnsplitCall returns a model call whose prompt a decode replica prefills itself, as there is no
// prefill replica.
func newUnsplitCall() *relay.Call { return modelCall(100, "own") }

func TestStreamIsMovedAwayFromLeavingReplica(t *testing.T) {
	for name, change := range leaveReasons {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			leaving := newPausedStream()
			w.add("leaving", region.StageDecode, leaving.serveHTTP)
			go func() {
				<-leaving.firstEventsSent
				w.add("other", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
					assert.Equal(t, w.replicas[0].Address+"/moved", request.Header.Get("Source"))
					assert.Equal(t, "3", request.Header.Get("Last-Event"))
					events(4, 6, false)(writer, request)
				})
				w.changeFirstReplica(change)
			}()
			answer := w.run(newUnsplitCall())
			assert.Equal(t, text(1, 6), answer.body.String())
			assert.True(t, answer.ended)
			assert.Equal(t, 1, w.visits("other"), "a moved stream is the same run, so that a route with one attempt may continue it")
		})
	}
}

func TestStreamThatCannotBeMovedContinuesInPlace(t *testing.T) {
	for name, test := range map[string]struct {
		refuse int
		room   bool
	}{
		"stream not found": {http.StatusNotFound, true},
		"move rejected":    {http.StatusServiceUnavailable, true},
		"no capacity":      {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			leaving := newPausedStream()
			leaving.moveStatus = test.refuse
			w.add("leaving", region.StageDecode, leaving.serveHTTP)
			go func() {
				<-leaving.firstEventsSent
				if test.room {
					w.add("other", region.StageDecode, refusing)
				}
				w.changeFirstReplica(leaveReasons["drains"])
				time.Sleep(300 * time.Millisecond)
				close(leaving.resume)
			}()
			answer := w.run(newUnsplitCall())
			assert.Equal(t, text(1, 6), answer.body.String())
			assert.True(t, answer.ended)
			assert.Zero(t, w.visits("other"))
		})
	}
}

func TestStreamIsMovedOnlyWithinRetryBudget(t *testing.T) {
	w := newTestEnvironmentWithBudget(t, relay.BudgetTerms{Window: time.Second})
	leaving := newPausedStream()
	w.add("leaving", region.StageDecode, leaving.serveHTTP)
	go func() {
		<-leaving.firstEventsSent
		w.add("other", region.StageDecode, refusing)
		w.changeFirstReplica(leaveReasons["drains"])
		time.Sleep(300 * time.Millisecond)
		close(leaving.resume)
	}()
	answer := w.run(newUnsplitCall())
	assert.Equal(t, text(1, 6), answer.body.String())
	assert.Equal(t, 1, w.visits("leaving"), "no move was requested")
}

func TestAMovedStreamThatIsNotTakenInIsBrokenOff(t *testing.T) {
	w := newWorld(t)
	leaving := newPausedStream()
	w.add("leaving", region.StageDecode, leaving.serveHTTP)
	go func() {
		<-leaving.firstEventsSent
		w.add("other", region.StageDecode, refusing)
		w.changeFirstReplica(leaveReasons["drains"])
	}()
	call := newUnsplitCall()
	call.Route = &traffic.Route{Name: "route", Kind: traffic.KindStream, MaximumAttempts: 1}
	answer := w.run(call)
	assert.True(t, answer.aborted)
	assert.False(t, answer.ended)
	assert.Equal(t, text(1, 3), answer.body.String())
}

// Guards against a crash of the gateway: the stream of a service without engines has no memory to move,
// and asking where to move it crashed the gateway.
func TestStreamWithoutPromptIsNotMoved(t *testing.T) {
	w := newWorld(t)
	first := newPausedStream()
	w.add("draining", "", first.serveHTTP)
	w.list("other", "", "127.0.0.1:1")
	w.runner.AskPlacements(&relay.RemotePlacement{
		Ask: func(context.Context, *region.PlacementQuestion, time.Duration) (*region.PlacementAnswer, string, error) {
			t.Error("a placement is requested")
			return nil, "", errGone
		},
		Tell: func(region.LeaseEvent) {},
	})
	w.replicas[1].Draining = true
	w.directory.Replace(w.replicas)
	call := callOf(traffic.KindStream, 1)
	answered := make(chan *recorder)
	go func() { answered <- w.run(call) }()
	<-first.firstEventsSent
	w.replicas[0].Draining = true
	w.directory.Replace(w.replicas)
	time.Sleep(20 * time.Millisecond)
	close(first.resume)
	answer := <-answered
	assert.True(t, answer.ended)
	assert.Equal(t, text(1, 6), answer.body.String())
}
