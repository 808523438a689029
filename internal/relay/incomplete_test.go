package relay_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// logLines keeps the log lines that were written.
type logLines struct {
	mutex sync.Mutex
	lines []map[string]any
}

func (l *logLines) add(line string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var fields map[string]any
	if json.Unmarshal([]byte(line), &fields) == nil {
		l.lines = append(l.lines, fields)
	}
}

// of returns the lines of an event.
func (l *logLines) of(wanted event.Event) (found []map[string]any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, line := range l.lines {
		if line["msg"] == wanted {
			found = append(found, line)
		}
	}
	return found
}

// failingResponder takes no events.
type failingResponder struct{ recordingResponder }

func (r *failingResponder) Stream(int, http.Header) relay.StreamWriter { return r }
func (r *failingResponder) Send([]byte) error                          { return errors.New("broken pipe") }

func waitForCaller(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Sealed", "yes")
	writeEvents(writer, 1, 2)
	<-request.Context().Done()
}

func TestOneLineSaysWhoEndedAnIncompleteAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		answer    http.HandlerFunc
		responder relay.Responder
		wait      time.Duration
		logged    event.Event
		by, cause string
		events    float64
	}{
		"the caller": {answer: waitForCaller, responder: &failingResponder{}, logged: event.CallerGone, by: "caller", cause: "broken pipe", events: 1},
		"the replica": {answer: streamEvents(1, 1, true), responder: &recordingResponder{}, logged: event.StreamBrokenOff,
			by: "replica", cause: "unexpected EOF", events: 1},
		"the deadline": {answer: waitForCaller, responder: &recordingResponder{}, wait: 200 * time.Millisecond, logged: event.StreamBrokenOff,
			by: "gateway", cause: "the time of the request has ended", events: 1},
	} {
		t.Run(name, func(t *testing.T) {
			logs := &logLines{}
			w := newLoggedTestEnvironment(t, funcr.NewJSON(logs.add, funcr.Options{}))
			w.runner.SetConfigurationVersion(func() uint64 { return 5 })
			w.addReplica("a", "", test.answer)
			call := newCall(traffic.KindStream, 1)
			call.Version = 4
			if test.wait > 0 {
				call.Wait = test.wait
			}
			w.runner.Run(context.Background(), call, test.responder)
			if lines := logs.of(test.logged); assert.Len(t, lines, 1) {
				line := lines[0]
				assert.Equal(t, "r-1", line["request"])
				assert.Equal(t, test.by, line["ended_by"])
				assert.Contains(t, line["cause"], test.cause)
				assert.InDelta(t, test.events, line["events"], 0)
				assert.Positive(t, line["bytes"])
				assert.NotEmpty(t, line["last_event"])
				assert.Equal(t, "a", line["replica"])
				assert.InDelta(t, 4, line["version"], 0)
				assert.InDelta(t, 5, line["version_now"], 0)
				assert.Contains(t, line, "list_age_ms")
			}
		})
	}
}

func TestStreamThatNoReplicaContinuesIsEndedByTheGateway(t *testing.T) {
	logs := &logLines{}
	w := newLoggedTestEnvironment(t, funcr.NewJSON(logs.add, funcr.Options{}))
	leaving := newPausedStream()
	w.addReplica("leaving", region.StageDecode, leaving.serveHTTP)
	go func() {
		<-leaving.firstEventsSent
		w.addReplica("rejecting", region.StageDecode, rejectRequest)
		w.changeFirstReplica(leaveReasons["drains"])
	}()
	assert.True(t, w.runCall(newUnsplitCall()).aborted)
	if lines := logs.of(event.StreamBrokenOff); assert.Len(t, lines, 1) {
		assert.Equal(t, "gateway", lines[0]["ended_by"])
		assert.Equal(t, "rejecting", lines[0]["replica"])
		assert.Equal(t, "3", lines[0]["last_event"])
	}
}
