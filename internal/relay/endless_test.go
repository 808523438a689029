package relay_test

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/testnet/endless"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// sendEndlessly sends an answer until the connection is closed.
func sendEndlessly(answer endless.Answer) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		connection, _, err := writer.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		answer.Write(connection, math.MaxInt)
	}
}

// Callers of a replica whose answer has no end got nothing in time, though another replica could have served them.
func TestAnotherReplicaServesTheCallerOfAnAnswerWithoutEnd(t *testing.T) {
	sealed := "HTTP/1.1 200 OK\r\nSealed: yes\r\n"
	long := strings.Repeat("a", 64<<10)
	for name, answer := range map[string]endless.Answer{
		"bytes":        {Piece: long},
		"fields":       {Beginning: sealed, Piece: strings.Repeat("A: b\r\n", 1000)},
		"a body":       {Beginning: sealed + "\r\n", Piece: long},
		"one byte":     {Beginning: "H", Pause: time.Millisecond},
		"slow fields":  {Beginning: sealed, Piece: "A: b\r\n", Pause: 10 * time.Millisecond},
		"an early 103": {Beginning: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP", Piece: " ", Pause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			logs := &logLines{}
			w := newLoggedTestEnvironment(t, funcr.NewJSON(logs.add, funcr.Options{}))
			w.addReplica("endless", "", sendEndlessly(answer))
			w.addReplica("sound", "", respondSealed(http.StatusOK, "answer"))
			for w.requestCount("endless") == 0 {
				call := newCall(traffic.KindRepeatable, 2)
				call.Wait = 3 * time.Second
				got := w.runCall(call)
				require.NoError(t, got.err)
				require.Equal(t, "answer", got.body.String())
				assert.Less(t, time.Since(call.Arrived), 2*time.Second)
			}
			assert.Len(t, logs.of(event.AnswerLost), 1)
			lost := func() bool { return len(logs.of(event.ReplicaLost)) > 0 }
			assert.Never(t, lost, 300*time.Millisecond, 50*time.Millisecond, "the replica has not broken the connection")
		})
	}
}

func TestAnAnswerWithoutEndToACallThatMayNotBeRepeatedIsUnknown(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("endless", "", sendEndlessly(endless.Answer{Piece: strings.Repeat("a", 64<<10)}))
	answer := w.runCall(newCall(traffic.KindOnce, 3))
	assert.Equal(t, failure.OutcomeUnknown, failure.KindOf(answer.err))
	assert.Equal(t, 1, w.requestCount("endless"))
}
