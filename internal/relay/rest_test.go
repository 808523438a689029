package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// rejecting rejects every request and asks for a backoff.
func rejecting(backoff time.Duration) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		rejectRequest(writer, request)
	}
}

// longBackoff is longer than all calls of a test take.
const longBackoff = 10 * time.Minute

// A gateway kept sending to a replica that had requested a backoff: the replica was empty, and so looked idle.
func TestReplicaInBackoffReceivesNothing(t *testing.T) {
	for _, test := range []struct {
		name  string
		stage string
		call  func(number int) *relay.Call
	}{
		{"plain", "", func(int) *relay.Call { return newCall(traffic.KindOnce, 1) }},
		{"reader", region.StagePrefill, modelCallOf},
		{"generator", region.StageDecode, modelCallOf},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newTestEnvironment(t)
			w.addReplica("resting", test.stage, rejecting(longBackoff))
			w.addReplica("reader", region.StagePrefill, respondSealed(http.StatusOK, "handle"))
			w.addReplica("generator", region.StageDecode, streamEvents(1, 3, false))
			if test.stage == "" {
				w.addReplica("free", "", respondSealed(http.StatusOK, "ok"))
			}
			serve := func(first, count int) {
				for number := range count {
					answer := w.runCall(test.call(first + number))
					require.True(t, answer.ended, "%v", answer.err)
					w.advanceClock(100 * time.Millisecond)
				}
			}
			for w.requestCount("resting") == 0 {
				serve(1, 1)
			}
			serve(1000, 100)
			assert.Equal(t, 1, w.requestCount("resting"), "the request that it rejected")
			w.advanceClock(longBackoff)
			serve(2000, 20)
			assert.Equal(t, 2, w.requestCount("resting"), "one request finds that it still rejects")
		})
	}
}

// A backoff is honored even if no other replica is left for the request.
func TestRequestIsRejectedAtOnceWhileAllReplicasAreInBackoff(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", rejecting(longBackoff))
	w.addReplica("b", "", rejecting(longBackoff))
	for range 10 {
		answer := w.runCall(newCall(traffic.KindRepeatable, 4))
		require.Error(t, answer.err)
		assert.Equal(t, failure.RanNo, failure.AnswerFor(answer.err).Ran)
		w.advanceClock(100 * time.Millisecond)
	}
	assert.LessOrEqual(t, w.requestCount("a"), 1)
	assert.LessOrEqual(t, w.requestCount("b"), 1)
}

// leavingAnswer makes a replica say with each response that it is leaving.
func leavingAnswer(inner http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Leaving", "1")
		inner(writer, request)
	}
}

// slowly delays an answer, so that another replica would be preferred.
func slowly(inner http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(5 * time.Millisecond)
		inner(writer, request)
	}
}

// Gateways ignored the leaving header of responses: new requests arrived until the list showed the replica as leaving.
func TestLeavingReplicaReceivesNoNewRequests(t *testing.T) {
	for _, test := range []struct {
		name, stage string
		answer      http.HandlerFunc
		call        func(number int) *relay.Call
	}{
		{"plain", "", respondSealed(http.StatusOK, "ok"), func(int) *relay.Call { return newCall(traffic.KindOnce, 1) }},
		{"reader", region.StagePrefill, respondSealed(http.StatusOK, "handle"), modelCallOf},
		{"generator", region.StageDecode, streamEvents(1, 3, false), modelCallOf},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newTestEnvironment(t)
			w.addReplica("leaving", test.stage, leavingAnswer(test.answer))
			if test.stage == region.StagePrefill {
				w.addReplica("generator", region.StageDecode, streamEvents(1, 3, false))
			}
			// It is the only one of its stage, so that the first request goes there.
			require.True(t, w.runCall(test.call(0)).ended)
			require.Equal(t, 1, w.requestCount("leaving"))
			if test.stage == "" {
				w.addReplica("slower", "", slowly(respondSealed(http.StatusOK, "ok")))
			} else {
				w.addReplica("other reader", region.StagePrefill, respondSealed(http.StatusOK, "handle"))
				w.addReplica("other generator", region.StageDecode, streamEvents(1, 3, false))
			}
			for number := range 100 {
				require.True(t, w.runCall(test.call(1000+number)).ended)
				w.advanceClock(100 * time.Millisecond)
				// The platform's list still shows it as ready.
				w.directory.Replace(w.replicaList)
			}
			assert.Equal(t, 1, w.requestCount("leaving"))
		})
	}
}

func modelCallOf(number int) *relay.Call { return newModelCall(20_000, fmt.Sprint("own-", number)) }

// A coordinator chooses by what other gateways experienced. Its query excludes the replicas in backoff here, and the
// gateway chooses again if the coordinator's choice is one of them.
func TestCoordinatorsChoiceInBackoffIsReplaced(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("resting", region.StagePrefill, rejecting(longBackoff))
	w.addReplica("reader", region.StagePrefill, respondSealed(http.StatusOK, "handle"))
	w.addReplica("generator", region.StageDecode, streamEvents(1, 3, false))
	asked, excluded, released := 0, 0, 0
	w.runner.SetRemotePlacement(&relay.RemotePlacement{
		Query: func(_ context.Context, query *region.PlacementQuery, _ time.Duration) (*region.PlacementAnswer, string, error) {
			answer := &region.PlacementAnswer{Lease: query.Lease, Outcome: region.PlacementGranted, Replica: "generator"}
			if query.Kind == region.PlacePrefill {
				asked++
				answer.Replica, answer.BusyMicros = "resting", 1
				if slices.Contains(query.Excluded, "resting") {
					excluded++
				}
			}
			return answer, "coordinator", nil
		},
		Report: func(event region.LeaseEvent) {
			if event.Kind == region.LeaseReleased {
				released++
			}
		},
	})
	for number := range 10 {
		require.True(t, w.runCall(modelCallOf(number)).ended)
	}
	assert.Equal(t, 1, w.requestCount("resting"))
	assert.Equal(t, 10, asked, "no additional query")
	assert.Equal(t, 9, excluded)
	assert.GreaterOrEqual(t, released, 10, "unused leases are released")
}

// If all replicas are leaving, they are used until the leave time is over; then callers are rejected at once.
func TestLeavingReplicasAreUsedUntilTheLeaveTimeIsOver(t *testing.T) {
	w := newTestEnvironment(t)
	for _, id := range []string{"a", "b"} {
		w.addReplica(id, "", leavingAnswer(respondSealed(http.StatusOK, "ok")))
	}
	for range 10 {
		require.True(t, w.runCall(newCall(traffic.KindOnce, 1)).ended)
	}
	w.advanceClock(leavingGrace)
	visits := w.requestCount("a") + w.requestCount("b")
	for range 10 {
		answer := w.runCall(newCall(traffic.KindOnce, 1))
		require.Error(t, answer.err)
		assert.Equal(t, failure.RanNo, failure.AnswerFor(answer.err).Ran)
	}
	assert.Equal(t, visits, w.requestCount("a")+w.requestCount("b"))
	w.addReplica("new", "", respondSealed(http.StatusOK, "ok"))
	require.True(t, w.runCall(newCall(traffic.KindOnce, 1)).ended)
}

// A replica was used as the last resort for the whole leave time again each time that it was listed anew.
func TestLeaveTimeDoesNotBeginAnewWithAnotherListing(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", respondSealed(http.StatusOK, "ok"))
	w.directory.MarkLeaving([]string{"a"})
	require.True(t, w.runCall(newCall(traffic.KindOnce, 1)).ended)
	w.advanceClock(leavingGrace)
	for _, report := range []func(){
		func() { w.directory.MarkLeaving([]string{"a"}) },
		func() { w.replicaList[0].Leaving = true },
	} {
		w.directory.Replace(nil)
		w.directory.Replace(w.replicaList)
		report()
		w.directory.Replace(w.replicaList)
		require.Error(t, w.runCall(newCall(traffic.KindOnce, 1)).err)
	}
	assert.Equal(t, 1, w.requestCount("a"))
}

// A request waits for its prompt while the list begins to show its generator as leaving, or no longer. It was sent there whatever
// time had passed.
func TestRequestThatWaitsIsNotSentToAReplicaThatTheListShowsAsLeaving(t *testing.T) {
	leaves := map[string]func(w *testEnvironment){
		"drains":       func(w *testEnvironment) { w.replicaList[1].Draining = true },
		"is not shown": func(w *testEnvironment) { w.replicaList = slices.Delete(w.replicaList, 1, 2) },
	}
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvironment(t)
			w.addReplica("reader", region.StagePrefill, func(writer http.ResponseWriter, request *http.Request) {
				leave(w)
				w.addReplica("other", region.StageDecode, streamEvents(1, 3, false))
				respondSealed(http.StatusOK, "handle")(writer, request)
			})
			w.addReplica("generator", region.StageDecode, streamEvents(1, 3, false))
			w.declareLimit(10, "generator")
			counter := w.useFakeCounter(map[string]int{"generator": 10})
			require.True(t, w.runCall(modelCallOf(1)).ended)
			assert.Equal(t, 1, counter.count(counter.asked, "generator"), "it is reserved")
			assert.Zero(t, w.requestCount("generator"))
			assert.Equal(t, 1, w.requestCount("other"))
			assert.Equal(t, 1, w.requestCount("reader"), "the prompt is not read again")
		})
	}
}

// A request waits for a permit while the list begins to show its replica as leaving, or no longer. It was
// sent there whatever time had passed.
func TestRequestThatWaitsForAPermitIsNotSentToALeavingReplica(t *testing.T) {
	leaves := map[string]func(w *testEnvironment){
		"drains":       func(w *testEnvironment) { w.replicaList[0].Draining = true },
		"is not shown": func(w *testEnvironment) { w.replicaList = w.replicaList[1:] },
	}
	for name, leave := range leaves {
		for _, waited := range []time.Duration{listedGrace / 2, listedGrace} {
			t.Run(fmt.Sprint(name, " for ", waited), func(t *testing.T) {
				w := newTestEnvironment(t)
				w.addReplica("a", "", respondSealed(http.StatusOK, "ok"))
				w.declareLimit(10, "a")
				w.runner.EnforceLimits(&relay.ReplicaLimits{
					Ask: func(context.Context, relay.PermitRequest) relay.Permit {
						leave(w)
						w.addReplica("b", "", respondSealed(http.StatusOK, "ok"))
						w.advanceClock(waited)
						return relay.Permit{Granted: true, Return: func() {}}
					},
					Count: func(string) {},
				})
				require.True(t, w.runCall(newCall(traffic.KindOnce, 1)).ended)
				assert.Equal(t, waited < listedGrace, w.requestCount("a") == 1)
				assert.Equal(t, 1, w.requestCount("a")+w.requestCount("b"))
			})
		}
	}
}

// The log did not tell a send to a replica that was known to be leaving from one that was not, nor what it was known from.
func TestSendToALeavingReplicaIsLoggedWithWhatIsKnown(t *testing.T) {
	var lines []string
	logger := funcr.NewJSON(func(line string) {
		if strings.Contains(line, event.LeavingSent) {
			lines = append(lines, line)
		}
	}, funcr.Options{})
	w := newLoggedTestEnvironment(t, logger)
	w.runner.SetListKnowledge(func() relay.ListKnowledge {
		return relay.ListKnowledge{ViewAge: 7 * time.Millisecond, PageAge: -time.Millisecond}
	})
	w.addReplica("a", "", respondSealed(http.StatusOK, "ok"))
	require.True(t, w.runCall(newCall(traffic.KindOnce, 1)).ended)
	assert.Empty(t, lines)
	w.directory.MarkLeaving([]string{"a"})
	w.advanceClock(time.Second)
	require.True(t, w.runCall(newCall(traffic.KindOnce, 2)).ended)
	require.Len(t, lines, 1)
	for _, field := range []string{`"replica":"a"`, `"said_ms":-1`, `"told_ms":10`, `"listed_ms":-1`, `"view_age_ms":7`, `"page_age_ms":-1`} {
		assert.Contains(t, lines[0], field)
	}
}

// A replica that has refused everything for as long as a stage change takes is reported as unreachable, so that
// another one replaces it. A replica that accepts some requests, or accepts them again, is not reported.
func TestReplicasThatRefuseEverythingAreReportedAsUnreachable(t *testing.T) {
	d := newDirectory(replica("refusing", region.StageDecode), replica("partly", region.StageDecode), replica("sound", region.StageDecode))
	d.SetEngine("s", traffic.Engine{SwitchTime: time.Second})
	unreachable := func() []string {
		for _, each := range d.Demand(topology.Map{}) {
			if each.Service == "s" {
				return each.Unreachable
			}
		}
		return nil
	}
	send := func(id string, accepted bool) {
		var excluded []*relay.Replica
		for {
			lease := d.PickAny("s", relay.Wanted{Excluded: excluded})
			if lease.Replica.ID != id {
				lease.Release()
				excluded = append(excluded, lease.Replica)
				continue
			}
			d.now += time.Millisecond
			if accepted {
				lease.Answered(false, nil)
			} else {
				lease.Refused(0)
			}
			lease.Release()
			return
		}
	}
	for round := range 10 {
		send("refusing", false)
		send("partly", round%2 == 0)
		send("sound", true)
		if d.now < time.Second {
			assert.Empty(t, unreachable(), "a change would take longer")
		}
		d.now += 200 * time.Millisecond
	}
	send("refusing", false)
	assert.Equal(t, []string{"refusing"}, unreachable())
	d.now += time.Millisecond
	send("refusing", true)
	assert.Empty(t, unreachable())
}
