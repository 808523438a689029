package relay_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// startedAt sets the time at which the replica's process started.
func startedAt(born int64, replica region.Replica) region.Replica {
	replica.Born = born
	return replica
}

func incarnationName(id string, born int64) string {
	return region.Incarnation{ID: id, Born: born}.Name()
}

// A replica restarts under its id. When state was kept by id, the new process counted as busy, avoided and
// full, and as having the prompts of its predecessor cached.
func TestStateOfFormerIncarnationIsNotCarriedOver(t *testing.T) {
	shared := relay.PromptPart{ID: "shared", Tokens: 8000}
	prompted := prompt(shared, relay.PromptPart{ID: "own", Tokens: 100})
	for name, observe := range map[string]func(*directory){
		"cached prefixes":    func(d *directory) { d.AddCached(region.Incarnation{ID: "a", Born: 5}, []relay.PromptPart{shared}) },
		"placed by peers":    func(d *directory) { d.TakePlaced(placedAt(incarnationName("a", 5), shared)) },
		"failures":           func(d *directory) { d.PickAny("s", relay.Wanted{}).Unreachable(false) },
		"refusals":           func(d *directory) { d.PickAny("s", relay.Wanted{}).Refused(0) },
		"reported load":      func(d *directory) { d.PickAny("s", relay.Wanted{}).Answered(true, &relay.Load{Running: 4, Slots: 4}) },
		"requests in flight": func(d *directory) { d.PickAny("s", relay.Wanted{}) },
		"misdirections":      func(d *directory) { d.PickAny("s", relay.Wanted{}).Misdirected() },
		"peers' work":        func(d *directory) { d.TakeOutstanding("peer", workAt(incarnationName("a", 5)), true) },
		"peers' avoidance":   func(d *directory) { d.TakeUnreachable([]string{incarnationName("a", 5)}) },
		"draining": func(d *directory) {
			draining := startedAt(5, replica("a", ""))
			draining.Draining = true
			d.Replace([]region.Replica{draining, replica("busy", "")})
		},
		"an ended process":  func(d *directory) { d.ProcessEnded(incarnationName("a", 5)) },
		"streams and moves": func(d *directory) { d.PickAny("s", relay.Wanted{}).StreamBegun("route", false) },
	} {
		for _, born := range []int64{9, 4} {
			t.Run(name, func(t *testing.T) {
				d := newDirectoryWithBusy(startedAt(5, replica("a", "")))
				observe(d)
				d.Replace([]region.Replica{startedAt(born, replica("a", "")), replica("busy", "")})
				assert.Contains(t, d.dropped, incarnationName("a", 5))
				fresh := newDirectoryWithBusy(startedAt(born, replica("a", "")))
				lease, expected := d.PickAny("s", relay.Wanted{}), fresh.PickAny("s", relay.Wanted{})
				assert.Equal(t, "a", lease.Replica.ID)
				assert.Equal(t, expected.Choice, lease.Choice)
				assert.Equal(t, fresh.Outstanding(), d.Outstanding())
				assert.Empty(t, d.Unreachable())
				assert.Equal(t, fresh.Missing("a", prompted), d.Missing("a", prompted))
			})
		}
	}
}

// newDirectoryWithBusy adds a second, busy replica, which is chosen only if the first one should not be.
func newDirectoryWithBusy(first region.Replica) *directory {
	d := newDirectory(first, replica("busy", ""))
	d.TakeOutstanding("other", []region.OutstandingWork{{Replica: "busy", Requests: 2}}, true)
	return d
}

func placedAt(incarnation string, part relay.PromptPart) []region.PlacedPrompt {
	return []region.PlacedPrompt{{Sequence: 1, Replica: incarnation, Parts: []region.PlacedPart{{ID: part.ID, Tokens: part.Tokens}}}}
}

func workAt(incarnation string) []region.OutstandingWork {
	return []region.OutstandingWork{{Replica: incarnation, Requests: 3, InTimeMicros: 400_000}}
}

// Reports on a former incarnation may arrive after the new list, because peers learn of a restart later.
func TestReportsOnFormerIncarnationAreIgnored(t *testing.T) {
	shared := relay.PromptPart{ID: "shared", Tokens: 8000}
	d := newDirectory(startedAt(9, replica("a", "")))
	before := incarnationName("a", 5)
	d.TakeOutstanding("peer", workAt(before), true)
	d.TakeUnreachable([]string{before})
	d.TakePlaced(placedAt(before, shared))
	d.AddCached(region.Incarnation{ID: "a", Born: 5}, []relay.PromptPart{shared})
	d.ProcessEnded(before)
	fresh := newDirectory(startedAt(9, replica("a", "")))
	assert.Equal(t, fresh.PickAny("s", relay.Wanted{}).Choice, d.PickAny("s", relay.Wanted{}).Choice)
	assert.Equal(t, fresh.Missing("a", prompt(shared)), d.Missing("a", prompt(shared)))
	assert.Empty(t, d.Find([]string{before}))
}

// A request at the former process ends after the list shows the new one.
func TestLeaseOnFormerIncarnationDoesNotAffectNext(t *testing.T) {
	d := newDirectory(startedAt(5, replica("a", "")))
	before := d.PickAny("s", relay.Wanted{})
	d.Replace([]region.Replica{startedAt(9, replica("a", ""))})
	after := d.PickAny("s", relay.Wanted{})
	before.Unreachable(true)
	before.Release()
	assert.Equal(t, []region.OutstandingWork{{Replica: incarnationName("a", 9), Requests: 1}}, d.Outstanding())
	assert.Empty(t, d.Unreachable())
	after.Release()
	assert.Empty(t, d.Outstanding())
}

// A replica that has started again declares its limit while the list still shows its former process. The list that
// shows the new one came with no limit for it, and all gateways sent as much as they had.
func TestLimitDeclaredBeforeItsIncarnationIsListedIsKept(t *testing.T) {
	elsewhere := replica("a", "")
	elsewhere.Address = "127.0.0.1:9"
	declaredAt := time.Now()
	earlier, later := declaredAt.Add(-time.Second).UnixMilli(), declaredAt.Add(time.Hour).UnixMilli()
	for name, next := range map[string]struct {
		replica  region.Replica
		expected float64
	}{
		"started before":             {startedAt(earlier, replica("a", "")), 2},
		"started after":              {startedAt(later, replica("a", "")), -1},
		"started before, elsewhere":  {startedAt(earlier, elsewhere), -1},
		"another replica":            {startedAt(earlier, replica("b", "")), -1},
		"without a reported restart": {replica("a", ""), 2},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory(startedAt(5, replica("a", "")))
			d.PickAny("s", relay.Wanted{}).NoteLimit(relay.RateLimit{Declared: true, Rate: 2}, true)
			require.Equal(t, 1, d.LimitedCount())
			d.Replace([]region.Replica{next.replica})
			assert.Equal(t, next.expected, d.PickAny("s", relay.Wanted{}).Limit())
			reports := d.LimitReports()
			assert.Len(t, reports, d.LimitedCount())
			if next.expected > 0 {
				listed := startedAt(max(next.replica.Born, 5), next.replica)
				assert.Equal(t, []ratelimit.Report{{Replica: listed.Incarnation().Name(), Declared: true, Rate: 2}}, reports)
			}
		})
	}
}

func TestListWithoutStartTimesKeepsIncarnations(t *testing.T) {
	d := newDirectory(startedAt(5, replica("a", "")))
	lease := d.PickAny("s", relay.Wanted{})
	d.Replace([]region.Replica{replica("a", "")})
	assert.Empty(t, d.dropped)
	assert.Len(t, d.Outstanding(), 1)
	lease.Release()
}

// A request on a connection that the former process never closed would get no answer.
func TestConnectionsAreNotReusedAcrossIncarnations(t *testing.T) {
	w := newTestEnvironment(t)
	connections := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		connections[request.RemoteAddr] = true
		respondSealed(http.StatusOK, "answer")(writer, request)
	}))
	t.Cleanup(server.Close)
	listed := replica("a", "")
	listed.Service, listed.Address = "service", server.Listener.Addr().String()
	for _, born := range []int64{5, 5, 9} {
		w.directory.Replace([]region.Replica{startedAt(born, listed)})
		require.NoError(t, w.runCall(newCall(traffic.KindOnce, 1)).err)
	}
	assert.Len(t, connections, 2)
}

// The prefill replica restarts before the prompt's KV cache is fetched.
func TestPromptIsPrefilledAgainIfItsHandleIsLost(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("reader", region.StagePrefill, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "handle-1")
	})
	for _, id := range []string{"generator-1", "generator-2"} {
		w.addReplica(id, region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
			if request.Header.Get("Source") != "" {
				rejectRequest(writer, request)
				return
			}
			streamEvents(1, 2, false)(writer, request)
		})
	}
	assert.Equal(t, eventText(1, 2), w.runCall(newModelCall(8000, "own")).body.String())
}

// Guards against counting a replica that restarted under its id and crashed again only once: the request
// went on to crash it again and again.
func TestEachIncarnationLostUnderARequestCounts(t *testing.T) {
	w := newTestEnvironment(t)
	guard := w.addGuard()
	call := newCall(traffic.KindOnce, 1)
	ended := map[string]bool{}
	for _, born := range []int64{5, 9, 12} {
		w.replicaList = nil
		w.addCrashingReplica("a", "", noResponse)
		w.directory.Replace([]region.Replica{startedAt(born, w.replicaList[0])})
		w.runCall(call)
		ended[awaitReportedCrashes(t, guard, call.Digest(), 1)[0]] = true
	}
	assert.Len(t, ended, 3)
}

// Guards against prompts being sent to a replica for prefixes that its former process had cached, until the
// list showed the successor.
func TestEndedProcessHasEmptyCache(t *testing.T) {
	shared := relay.PromptPart{ID: "shared", Tokens: 8000}
	d := newDirectory(startedAt(5, replica("a", "")))
	d.AddCached(region.Incarnation{ID: "a", Born: 5}, []relay.PromptPart{shared})
	assert.Zero(t, d.Missing("a", prompt(shared)))
	d.ProcessEnded(incarnationName("a", 5))
	assert.Equal(t, 8000, d.Missing("a", prompt(shared)))
}

// The LRU order of the parts is preserved, and incarnations that are not listed are skipped.
func TestCacheKnowledgeIsTransferredBetweenProcesses(t *testing.T) {
	source, other := newDirectory(replica("a", region.StageDecode)), newDirectory(replica("a", region.StageDecode))
	cached, whole := source.Cached(func(region.Replica) bool { return true })
	assert.Empty(t, cached)
	assert.False(t, whole, "the replica has not reported yet")
	listed := replica("a", region.StageDecode)
	source.AddCached(listed.Incarnation(), []relay.PromptPart{{ID: "old", Tokens: 10}, {ID: "new", Tokens: 20}})
	cached, whole = source.Cached(func(region.Replica) bool { return true })
	assert.True(t, whole)
	assert.Equal(t, []region.CachedParts{{Replica: listed.Incarnation().Name(), Parts: []region.PlacedPart{{ID: "old", Tokens: 10}, {ID: "new", Tokens: 20}}}}, cached)
	other.TakeCached(append(cached, region.CachedParts{Replica: "gone", Parts: []region.PlacedPart{{ID: "x", Tokens: 1}}}))
	taken, whole := other.Cached(func(region.Replica) bool { return true })
	assert.True(t, whole)
	assert.Equal(t, cached, taken)
	_, whole = other.Cached(func(region.Replica) bool { return false })
	assert.True(t, whole, "no replica was selected")
}

// newDirectoryWithGate returns a directory of a replica and of a busy one, with the gate that it consults.
func newDirectoryWithGate(first region.Replica) (*directory, *backpressure.Gate) {
	d := newDirectoryWithBusy(first)
	gate := backpressure.NewGate(backpressure.Options{
		Clock: func() time.Duration { return time.Hour + d.now }, Leaving: testDialect{}.Leaving, Logger: logr.Discard(),
	})
	d.UseGate(gate)
	return d, gate
}

// requestBackoffAndLeave has an incarnation ask for a backoff and announce that it is leaving.
func requestBackoffAndLeave(gate *backpressure.Gate, incarnation string) {
	peer := backpressure.Peer{Address: replica("a", "").Address, Instance: incarnation}
	gate.Observe(peer, http.StatusServiceUnavailable, http.Header{"Retry-After": {"600"}, "Leaving": {"1"}})
}

// A report on an incarnation that has ended may arrive after the next one is listed.
func TestBackoffOfFormerIncarnationDoesNotApplyToNext(t *testing.T) {
	born := time.Now().Add(time.Hour).UnixMilli()
	before, next := incarnationName("a", 5), incarnationName("a", born)
	sendReports := func(d *directory, gate *backpressure.Gate) {
		requestBackoffAndLeave(gate, before)
		d.ApplyBackoffs([]region.BackoffReplica{{Replica: before, LeftMillis: 5000}})
		d.MarkLeaving([]string{before})
	}
	d, gate := newDirectoryWithGate(startedAt(5, replica("a", "")))
	sendReports(d, gate)
	assert.Equal(t, "busy", d.PickAny("s", relay.Wanted{}).Replica.ID)
	d.Replace([]region.Replica{startedAt(born, replica("a", "")), replica("busy", "")})
	sendReports(d, gate)
	fresh, _ := newDirectoryWithGate(startedAt(born, replica("a", "")))
	lease, expected := d.PickAny("s", relay.Wanted{}), fresh.PickAny("s", relay.Wanted{})
	assert.Equal(t, "a", lease.Replica.ID)
	assert.Equal(t, expected.Choice, lease.Choice)
	assert.Empty(t, d.UnreportedLeaving())
	assert.NoError(t, gate.Permits(backpressure.Peer{Address: replica("a", "").Address, Instance: next}, true))
}

// A replica that has started again asks for a backoff, or says that it is leaving, while the list still shows its former
// process. The list that shows the new one came without it, and the gateway sent as much as it had.
func TestBackoffRequestedBeforeItsIncarnationIsListedIsKept(t *testing.T) {
	d, gate := newDirectoryWithGate(startedAt(5, replica("a", "")))
	born := time.Now().Add(-time.Second).UnixMilli()
	requestBackoffAndLeave(gate, incarnationName("a", 5))
	d.Replace([]region.Replica{startedAt(born, replica("a", "")), replica("busy", "")})
	next := backpressure.Peer{Address: replica("a", "").Address, Instance: incarnationName("a", born)}
	assert.Error(t, gate.Permits(next, false))
	assert.Equal(t, []string{next.Instance}, d.UnreportedLeaving())
	assert.Equal(t, "busy", d.PickAny("s", relay.Wanted{}).Replica.ID)
}

// A request is sent before the list shows the new process, which rejects it after that, and declares a limit.
func TestResponseThatArrivesAfterItsIncarnationIsListedCounts(t *testing.T) {
	d, gate := newDirectoryWithGate(startedAt(5, replica("a", "")))
	lease := d.PickAny("s", relay.Wanted{})
	require.Equal(t, "a", lease.Replica.ID)
	born := time.Now().Add(-time.Second).UnixMilli()
	d.Replace([]region.Replica{startedAt(born, replica("a", "")), replica("busy", "")})
	next := backpressure.Peer{Address: replica("a", "").Address, Instance: incarnationName("a", born)}
	for range 2 {
		require.NoError(t, gate.Permits(next, false))
		gate.Observe(backpressure.Peer{Address: next.Address, Instance: incarnationName("a", 5)}, http.StatusServiceUnavailable, http.Header{"Retry-After": {"2"}})
		lease.Refused(lease.BackoffLeft())
		require.Error(t, gate.Permits(next, false))
		assert.Equal(t, "busy", d.PickAny("s", relay.Wanted{}).Replica.ID)
		d.now += 3 * time.Second
	}
	lease.NoteLimit(relay.RateLimit{Declared: true, Rate: 2}, true)
	assert.Equal(t, []ratelimit.Report{{Replica: next.Instance, Declared: true, Rate: 2}}, d.LimitReports())
	gate.Observe(backpressure.Peer{Address: next.Address, Instance: incarnationName("a", 5)}, http.StatusOK, http.Header{"Leaving": {"1"}})
	assert.Equal(t, []string{next.Instance}, d.UnreportedLeaving())
}

// A request is sent before the list shows the new process, whose answer says that it is leaving. The former process had said so
// too, so that the answer seemed to be no news, and requests were sent to the new one for longer than it takes any.
func TestLeavingOfANextIncarnationCountsAfterTheFormerOneHasLeft(t *testing.T) {
	for name, answers := range map[string][]string{"leaving": {"Leaving"}, "rest": {"Retry-After"}, "both": {"Retry-After", "Leaving"}} {
		t.Run(name, func(t *testing.T) {
			d, gate := newDirectoryWithGate(startedAt(5, replica("a", "")))
			former := backpressure.Peer{Address: replica("a", "").Address, Instance: incarnationName("a", 5)}
			gate.Observe(former, http.StatusOK, http.Header{"Leaving": {"1"}, "Retry-After": {"1"}})
			d.now += 10 * time.Second
			born := time.Now().Add(-time.Second).UnixMilli()
			d.Replace([]region.Replica{startedAt(born, replica("a", "")), replica("busy", "")})
			next := backpressure.Peer{Address: former.Address, Instance: incarnationName("a", born)}
			gate.MarkUnlisted(former)
			require.NoError(t, gate.Permits(next, true))
			for _, field := range answers {
				gate.Observe(former, http.StatusServiceUnavailable, http.Header{field: {"2"}})
			}
			assert.Equal(t, "busy", d.PickAny("s", relay.Wanted{}).Replica.ID)
			if slices.Contains(answers, "Leaving") {
				assert.Equal(t, []string{next.Instance}, d.UnreportedLeaving())
			}
		})
	}
}

// Without start times, the next incarnation has the name of the former one. What that has asked for ends
// with its process, also for processes that learned of it from others.
func TestBackoffEndsWithProcessOfUnknownStartTime(t *testing.T) {
	d, gate := newDirectoryWithGate(replica("a", ""))
	requestBackoffAndLeave(gate, "a")
	assert.Equal(t, "busy", d.PickAny("s", relay.Wanted{}).Replica.ID)
	d.ProcessEnded("a")
	listed := replica("a", "")
	listed.Leaving = true
	d.MarkLeaving([]string{"a"})
	d.Replace([]region.Replica{listed, replica("busy", "")})
	assert.Equal(t, "a", d.PickAny("s", relay.Wanted{}).Replica.ID)
}
