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

// stoppable is a generating replica whose stream stands still after some events until it
// is moved away or let go on.
type stoppable struct {
	begun, goOn, stopped chan struct{}
	// refuse is what calls for a move are answered instead.
	refuse int
}

func newStoppable() *stoppable {
	return &stoppable{begun: make(chan struct{}), goOn: make(chan struct{}), stopped: make(chan struct{})}
}

func (s *stoppable) serve(writer http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/move/") {
		s.move(writer, request)
		return
	}
	if request.Method == http.MethodDelete {
		return
	}
	writer.Header().Set("Sealed", "yes")
	writeEvents(writer, 1, 3)
	close(s.begun)
	select {
	case <-s.goOn:
		writeEvents(writer, 4, 6)
	case <-s.stopped:
		panic(http.ErrAbortHandler)
	case <-request.Context().Done():
	}
}

// move answers a call of the test dialect for a move.
func (s *stoppable) move(writer http.ResponseWriter, request *http.Request) {
	if s.refuse != 0 {
		writer.WriteHeader(s.refuse)
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

// leave has the first replica leave, or change its stage.
func (w *world) leave(change func(*region.Replica)) {
	change(&w.replicas[0])
	w.directory.Replace(w.replicas)
}

var leavings = map[string]func(*region.Replica){
	"changes": func(replica *region.Replica) { replica.Stage = region.StageChanging },
	"drains":  func(replica *region.Replica) { replica.Draining = true },
}

// streamOnly is a model call whose prompt a generating replica reads itself: there is
// none that only reads.
func streamOnly() *relay.Call { return modelCall(100, "own") }

func TestAStreamIsMovedAwayFromAReplicaThatLeaves(t *testing.T) {
	for name, change := range leavings {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			leaving := newStoppable()
			w.add("leaving", region.StageDecode, leaving.serve)
			go func() {
				<-leaving.begun
				w.add("other", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
					assert.Equal(t, w.replicas[0].Address+"/moved", request.Header.Get("Source"))
					assert.Equal(t, "3", request.Header.Get("Last-Event"))
					events(4, 6, false)(writer, request)
				})
				w.leave(change)
			}()
			answer := w.run(streamOnly())
			assert.Equal(t, text(1, 6), answer.body.String())
			assert.True(t, answer.ended)
			assert.Equal(t, 1, w.visits("other"), "a route of one attempt may go on, since it is the same run")
		})
	}
}

func TestAStreamThatCanNotBeMovedGoesOnWhereItIs(t *testing.T) {
	for name, test := range map[string]struct {
		refuse int
		room   bool
	}{
		"no run":  {http.StatusNotFound, true},
		"no way":  {http.StatusServiceUnavailable, true},
		"no room": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			leaving := newStoppable()
			leaving.refuse = test.refuse
			w.add("leaving", region.StageDecode, leaving.serve)
			go func() {
				<-leaving.begun
				if test.room {
					w.add("other", region.StageDecode, refusing)
				}
				w.leave(leavings["drains"])
				time.Sleep(300 * time.Millisecond)
				close(leaving.goOn)
			}()
			answer := w.run(streamOnly())
			assert.Equal(t, text(1, 6), answer.body.String())
			assert.True(t, answer.ended)
			assert.Zero(t, w.visits("other"))
		})
	}
}

func TestAStreamIsMovedOnlyWithinTheRetryBudget(t *testing.T) {
	w := newWorldWith(t, relay.BudgetTerms{Window: time.Second})
	leaving := newStoppable()
	w.add("leaving", region.StageDecode, leaving.serve)
	go func() {
		<-leaving.begun
		w.add("other", region.StageDecode, refusing)
		w.leave(leavings["drains"])
		time.Sleep(300 * time.Millisecond)
		close(leaving.goOn)
	}()
	answer := w.run(streamOnly())
	assert.Equal(t, text(1, 6), answer.body.String())
	assert.Equal(t, 1, w.visits("leaving"), "no call for a move was made")
}

func TestAMovedStreamThatIsNotTakenInIsBrokenOff(t *testing.T) {
	w := newWorld(t)
	leaving := newStoppable()
	w.add("leaving", region.StageDecode, leaving.serve)
	go func() {
		<-leaving.begun
		w.add("other", region.StageDecode, refusing)
		w.leave(leavings["drains"])
	}()
	call := streamOnly()
	call.Route = &traffic.Route{Name: "route", Kind: traffic.KindStream, MaximumAttempts: 1}
	answer := w.run(call)
	assert.True(t, answer.aborted)
	assert.False(t, answer.ended)
	assert.Equal(t, text(1, 3), answer.body.String())
}

// A stream of a service without engines has no memory that could be moved: the question where to ended the
// gateway.
func TestAStreamWithoutAPromptStaysAtAReplicaThatDrains(t *testing.T) {
	w := newWorld(t)
	first := newStoppable()
	w.add("draining", "", first.serve)
	w.list("other", "", "127.0.0.1:1")
	w.runner.AskPlacements(&relay.RemotePlacement{
		Ask: func(context.Context, *region.PlacementQuestion, time.Duration) (*region.PlacementAnswer, string, error) {
			t.Error("a place is asked for")
			return nil, "", errGone
		},
		Tell: func(region.LeaseEvent) {},
	})
	w.replicas[1].Draining = true
	w.directory.Replace(w.replicas)
	call := callOf(traffic.KindStream, 1)
	answered := make(chan *recorder)
	go func() { answered <- w.run(call) }()
	<-first.begun
	w.replicas[0].Draining = true
	w.directory.Replace(w.replicas)
	time.Sleep(20 * time.Millisecond)
	close(first.goOn)
	answer := <-answered
	assert.True(t, answer.ended)
	assert.Equal(t, text(1, 6), answer.body.String())
}
