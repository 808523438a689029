package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// turningAway refuses all and asks for a rest.
func turningAway(rest time.Duration) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
		refusing(writer, request)
	}
}

// rest is longer than all calls of a test take.
const rest = 10 * time.Minute

// A gateway went on sending to a replica that had asked it for rest: it is empty, and looked idle.
func TestAReplicaThatAsksForRestGetsNothingUntilItIsOver(t *testing.T) {
	for _, test := range []struct {
		name  string
		stage string
		call  func(number int) *relay.Call
	}{
		{"plain", "", func(int) *relay.Call { return callOf(traffic.KindOnce, 1) }},
		{"reader", region.StagePrefill, func(number int) *relay.Call { return modelCall(20_000, fmt.Sprint("own-", number)) }},
		{"generator", region.StageDecode, func(number int) *relay.Call { return modelCall(20_000, fmt.Sprint("own-", number)) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			w.add("resting", test.stage, turningAway(rest))
			w.add("reader", region.StagePrefill, sealed(http.StatusOK, "handle"))
			w.add("generator", region.StageDecode, events(1, 3, false))
			if test.stage == "" {
				w.add("free", "", sealed(http.StatusOK, "ok"))
			}
			serve := func(first, count int) {
				for number := range count {
					answer := w.run(test.call(first + number))
					require.True(t, answer.ended, "%v", answer.err)
					w.skip(100 * time.Millisecond)
				}
			}
			for w.visits("resting") == 0 {
				serve(1, 1)
			}
			serve(1000, 100)
			assert.Equal(t, 1, w.visits("resting"), "the one that it has turned away")
			w.skip(rest)
			serve(2000, 20)
			assert.Equal(t, 2, w.visits("resting"), "one finds out that it still turns away")
		})
	}
}

// A rest is a bound: also where nobody else is left to take the request.
func TestARequestThatAllReplicasRestForIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.add("a", "", turningAway(rest))
	w.add("b", "", turningAway(rest))
	for range 10 {
		answer := w.run(callOf(traffic.KindRepeatable, 4))
		require.Error(t, answer.err)
		assert.Equal(t, failure.RanNo, failure.AnswerFor(answer.err).Ran)
		w.skip(100 * time.Millisecond)
	}
	assert.LessOrEqual(t, w.visits("a"), 1)
	assert.LessOrEqual(t, w.visits("b"), 1)
}
