package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// testDialect is a minimal Dialect with one header field per value.
type testDialect struct{}

func (testDialect) ReadRequestMetadata(func(string) string) relay.RequestMetadata {
	return relay.RequestMetadata{}
}
func (testDialect) SetsField(string) bool { return false }

func (testDialect) Fields(send relay.Send) []upstream.Field {
	return []upstream.Field{
		{Name: "Left", Value: strconv.FormatInt(send.TimeLeft.Milliseconds(), 10)},
		{Name: "Instance", Value: send.Instance},
		{Name: "Read-Only", Value: strconv.FormatBool(send.PrefillOnly)},
		{Name: "Source", Value: send.PrefillSource},
		{Name: "Fetch", Value: send.Fetch},
		{Name: "Last-Event", Value: send.LastEvent},
	}
}

func (testDialect) ReadResponseMetadata(header http.Header) relay.ResponseMetadata {
	metadata := relay.ResponseMetadata{
		RequestID: header.Get("Request"),
		NotRun:    header.Get("Not-Run") != "",
		Sealed:    header.Get("Sealed") != "",
	}
	if limit := header.Get("Limit"); limit != "" {
		rate, err := strconv.ParseFloat(limit, 64)
		metadata.Limit = relay.RateLimit{Declared: err == nil, Unreadable: err != nil, Rate: rate}
	}
	return metadata
}

func (testDialect) Leaving(header http.Header) bool { return header.Get("Leaving") != "" }

func (testDialect) ReadHandle(body []byte) (string, error) { return string(body), nil }
func (testDialect) Move(id, address string, last bool) (string, string, []byte) {
	return http.MethodPost, fmt.Sprintf("/move/%s?last=%t", id, last), []byte(address)
}
func (testDialect) MoveFields(string) []upstream.Field    { return nil }
func (testDialect) FreeHandle(id string) (string, string) { return http.MethodDelete, "/free/" + id }

// recordingResponder is a Responder that records what it is given.
type recordingResponder struct {
	status  int
	body    bytes.Buffer
	err     error
	ended   bool
	aborted bool
}

func (r *recordingResponder) Answer(status int, _ http.Header, body []byte) {
	r.status = status
	r.body.Write(body)
	r.ended = true
}

func (r *recordingResponder) Refuse(err error) { r.err = err }

func (r *recordingResponder) OnWriteError(func(error)) {}

func (r *recordingResponder) Stream(status int, _ http.Header) relay.StreamWriter {
	r.status = status
	return r
}

func (r *recordingResponder) Send(events []byte) error {
	r.body.Write(events)
	return nil
}

func (r *recordingResponder) End()   { r.ended = true }
func (r *recordingResponder) Abort() { r.aborted = true }

// testEnvironment is a Runner with replicas whose handlers the tests provide.
type testEnvironment struct {
	t             testing.TB
	directory     *relay.Directory
	runner        *relay.Runner
	replicaList   []region.Replica
	mutex         sync.Mutex
	requestCounts map[string]int
	// clockOffset is how far the clock is ahead of the monotonic clock, in nanoseconds.
	clockOffset atomic.Int64
}

func newTestEnvironment(t *testing.T) *testEnvironment {
	t.Helper()
	return newTestEnvironmentWithBudget(t, relay.RetryBudgetOptions{Ratio: 5, Window: time.Second, Slack: 100})
}

func newTestEnvironmentWithBudget(t *testing.T, options relay.RetryBudgetOptions) *testEnvironment {
	t.Helper()
	return makeTestEnvironment(t, options, logr.Discard())
}

func newLoggedTestEnvironment(t testing.TB, logger logr.Logger) *testEnvironment {
	t.Helper()
	return makeTestEnvironment(t, relay.RetryBudgetOptions{Ratio: 5, Window: time.Second, Slack: 100}, logger)
}

func makeTestEnvironment(t testing.TB, options relay.RetryBudgetOptions, logger logr.Logger) *testEnvironment {
	t.Helper()
	began := time.Now()
	w := &testEnvironment{t: t, requestCounts: map[string]int{}}
	clock := func() time.Duration { return time.Since(began) + time.Duration(w.clockOffset.Load()) }
	gate := backpressure.NewGate(backpressure.Options{
		Clock: clock, Leaving: testDialect{}.Leaving, LeavingGrace: leavingGrace, ListedGrace: listedGrace, Logger: logger,
	})
	client := upstream.NewClient(upstream.Options{DialTimeout: time.Second, MaximumBodyBytes: 1 << 20, Gate: gate})
	w.directory = relay.NewDirectory(clock, "zone", func(address, incarnation string) {
		client.Forget(address, incarnation)
		gate.MarkUnlisted(backpressure.Peer{Address: address, Instance: incarnation})
	}, logger)
	w.directory.UseGate(gate)
	budgets := relay.NewRetryBudgets(clock, options, 1)
	w.runner = relay.NewRunner(w.directory, client, testDialect{}, budgets, relay.NewMetrics(telemetry.NewMetrics("test")), logger)
	return w
}

// leavingGrace is how long replicas that report that they are leaving may still get requests.
const leavingGrace = 3 * time.Second

// listedGrace is how long replicas that a list shows as leaving may still get requests that were meant for them.
const listedGrace = time.Second

// advanceClock advances the clock.
func (w *testEnvironment) advanceClock(ahead time.Duration) { w.clockOffset.Add(int64(ahead)) }

func (w *testEnvironment) addReplica(id, stage string, handler http.HandlerFunc) {
	w.t.Helper()
	w.listReplica(id, stage, w.startReplica(id, handler))
}

// startReplica starts a replica that is not listed, and returns its address.
func (w *testEnvironment) startReplica(id string, handler http.HandlerFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		w.mutex.Lock()
		w.requestCounts[id]++
		w.mutex.Unlock()
		_, _ = io.Copy(io.Discard, request.Body)
		handler(writer, request)
	}))
	w.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (w *testEnvironment) listReplica(id, stage, address string) {
	w.list(region.Replica{ID: id, Service: "service", Address: address, Zone: "zone", Slots: 4, Stage: stage, Software: "v1"})
}

// list adds a replica to the list.
func (w *testEnvironment) list(replica region.Replica) {
	w.replicaList = append(w.replicaList, replica)
	w.directory.Replace(w.replicaList)
}

func (w *testEnvironment) requestCount(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.requestCounts[id]
}

func (w *testEnvironment) runCall(call *relay.Call) *recordingResponder {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), 30*time.Second)
	defer cancel()
	answer := &recordingResponder{}
	w.runner.Run(ctx, call, answer)
	return answer
}

func newCall(kind traffic.Kind, attempts int) *relay.Call {
	return &relay.Call{
		RequestMetadata: relay.RequestMetadata{ID: "r-1", Wait: 20 * time.Second},
		Method:          http.MethodPost,
		Target:          "/a/b?c",
		Host:            "h",
		Body:            []byte("body"),
		Arrived:         time.Now(),
		Route:           &traffic.Route{Name: "route", Kind: kind, MaximumAttempts: attempts},
		Service:         &traffic.Service{Name: "service"},
	}
}

func respondSealed(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Sealed", "yes")
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

func rejectRequest(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Not-Run", "yes")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// dropConnection closes the connection after the request has been read.
func dropConnection(writer http.ResponseWriter, _ *http.Request) {
	connection, _, err := writer.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// streamEvents streams events and, with breakOff set, aborts in the middle of one more.
func streamEvents(from, to int, breakOff bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Sealed", "yes")
		writer.Header().Set("Content-Type", "text/event-stream")
		for number := from; number <= to; number++ {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %d\n\n", number, number)
			writer.(http.Flusher).Flush()
		}
		if !breakOff {
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\nda", to+1)
		writer.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func eventText(from, to int) string {
	var all bytes.Buffer
	for number := from; number <= to; number++ {
		_, _ = fmt.Fprintf(&all, "id: %d\ndata: %d\n\n", number, number)
	}
	return all.String()
}

func TestReplicaResponseIsForwarded(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", func(writer http.ResponseWriter, request *http.Request) {
		assert.Equal(t, "a", request.Header.Get("Instance"))
		assert.Equal(t, "/a/b?c", request.RequestURI)
		left, err := strconv.Atoi(request.Header.Get("Left"))
		require.NoError(t, err)
		assert.LessOrEqual(t, left, 20_000)
		respondSealed(http.StatusCreated, "answer")(writer, request)
	})
	answer := w.runCall(newCall(traffic.KindOnce, 1))
	assert.Equal(t, http.StatusCreated, answer.status)
	assert.Equal(t, "answer", answer.body.String())
}

func TestRequestThatMayHaveRunIsRetriedOnlyIfRepeatable(t *testing.T) {
	for _, test := range []struct {
		kind     traffic.Kind
		attempts int
		sends    int
		failure  failure.Kind
	}{
		{traffic.KindOnce, 3, 1, failure.OutcomeUnknown},
		{traffic.KindStream, 3, 1, failure.OutcomeUnknown},
		{traffic.KindRepeatable, 1, 1, failure.OutcomeUnknown},
		{traffic.KindRepeatable, 2, 2, failure.OutcomeUnknown},
	} {
		t.Run(fmt.Sprint(test.kind, test.attempts), func(t *testing.T) {
			w := newTestEnvironment(t)
			for _, id := range []string{"a", "b", "c"} {
				w.addReplica(id, "", dropConnection)
			}
			answer := w.runCall(newCall(test.kind, test.attempts))
			require.Error(t, answer.err)
			assert.Equal(t, test.failure, failure.KindOf(answer.err))
			assert.NotEqual(t, http.StatusServiceUnavailable, failure.AnswerFor(answer.err).Status, "the request may have run, so it must not be reported as not run")
			assert.Equal(t, test.sends, w.requestCount("a")+w.requestCount("b")+w.requestCount("c"))
		})
	}
}

func TestRejectedRequestIsSentToAnotherReplica(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("full", "", rejectRequest)
	w.addReplica("free", "", respondSealed(http.StatusOK, "answer"))
	for range 10 {
		answer := w.runCall(newCall(traffic.KindOnce, 1))
		require.NoError(t, answer.err)
		assert.Equal(t, "answer", answer.body.String())
	}
}

func TestRequestRejectedByAllReplicasIsReportedAsNotRun(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", rejectRequest)
	w.addReplica("b", "", rejectRequest)
	answer := w.runCall(newCall(traffic.KindOnce, 1))
	response := failure.AnswerFor(answer.err)
	assert.Equal(t, http.StatusServiceUnavailable, response.Status)
	assert.Equal(t, failure.RanNo, response.Ran)
	assert.Positive(t, response.RetryAfter)
}

func TestMisdirectedResponseEndsUseOfListedIncarnation(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("old", "", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
	})
	assert.Error(t, w.runCall(newCall(traffic.KindOnce, 1)).err)
	assert.Error(t, w.runCall(newCall(traffic.KindOnce, 1)).err)
	assert.Equal(t, 1, w.requestCount("old"))
}

func TestErrorResponseIsRetriedOrElseForwarded(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("failing", "", respondSealed(http.StatusInternalServerError, "failed"))
	answer := w.runCall(newCall(traffic.KindRepeatable, 2))
	assert.Equal(t, http.StatusInternalServerError, answer.status)
	assert.Equal(t, "failed", answer.body.String())

	w.addReplica("sound", "", respondSealed(http.StatusOK, "answer"))
	for range 10 {
		assert.Equal(t, "answer", w.runCall(newCall(traffic.KindRepeatable, 2)).body.String())
	}
}

func TestUnsealedSuccessIsNotForwarded(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "forged") })
	answer := w.runCall(newCall(traffic.KindOnce, 1))
	assert.Equal(t, failure.OutcomeUnknown, failure.KindOf(answer.err))
	assert.Empty(t, answer.body.String())
}

func TestWholeStreamIsForwarded(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", streamEvents(1, 5, false))
	answer := w.runCall(newCall(traffic.KindStream, 1))
	assert.True(t, answer.ended)
	assert.Equal(t, eventText(1, 5), answer.body.String())
}

func TestBrokenStreamEndsAfterLastCompleteEvent(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", streamEvents(1, 3, true))
	w.addReplica("b", "", streamEvents(1, 3, true))
	answer := w.runCall(newCall(traffic.KindStream, 2))
	assert.True(t, answer.aborted)
	assert.False(t, answer.ended)
	assert.Equal(t, eventText(1, 3), answer.body.String())
	assert.Equal(t, 1, w.requestCount("a")+w.requestCount("b"))
}

func TestResumableStreamContinuesAfterLastCompleteEvent(t *testing.T) {
	w := newTestEnvironment(t)
	continued := func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Last-Event") == "3" {
			streamEvents(4, 6, false)(writer, request)
			return
		}
		streamEvents(1, 3, true)(writer, request)
	}
	w.addReplica("a", "", continued)
	w.addReplica("b", "", continued)
	call := newCall(traffic.KindStream, 2)
	call.Route.Resumable = true
	answer := w.runCall(call)
	assert.True(t, answer.ended)
	assert.Equal(t, eventText(1, 6), answer.body.String())
}

func TestRouteTimeoutEndsCallAndReplicaWork(t *testing.T) {
	w := newTestEnvironment(t)
	stopped := make(chan struct{})
	w.addReplica("a", "", func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		close(stopped)
	})
	call := newCall(traffic.KindOnce, 1)
	call.Route.Timeout = 50 * time.Millisecond
	answer := w.runCall(call)
	assert.Equal(t, failure.DeadlineExceeded, failure.KindOf(answer.err))
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("the replica still works on the request")
	}
}

func TestCallerDisconnectStopsReplicaWork(t *testing.T) {
	w := newTestEnvironment(t)
	begun, stopped := make(chan struct{}), make(chan struct{})
	w.addReplica("a", "", func(_ http.ResponseWriter, request *http.Request) {
		close(begun)
		<-request.Context().Done()
		close(stopped)
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-begun
		leave()
	}()
	answer := &recordingResponder{}
	w.runner.Run(ctx, newCall(traffic.KindRepeatable, 2), answer)
	assert.NoError(t, answer.err)
	<-stopped
}

func TestUnreachableReplicaIsAvoided(t *testing.T) {
	w := newTestEnvironment(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	w.listReplica("dead", "", listener.Addr().String())
	w.addReplica("sound", "", respondSealed(http.StatusOK, "answer"))
	for range 20 {
		require.NoError(t, w.runCall(newCall(traffic.KindOnce, 1)).err)
	}
	assert.Equal(t, 20, w.requestCount("sound"))
}

// newModelCall returns a call with a prompt of the given number of tokens.
func newModelCall(tokens int, part string) *relay.Call {
	call := newCall(traffic.KindStream, 1)
	call.Service = &traffic.Service{Name: "service", Engine: &traffic.Engine{Slots: 4, CacheTokens: 100_000, EventTokens: 1}}
	call.Prompt = &relay.Prompt{Tokens: tokens, Parts: []relay.PromptPart{
		{ID: "shared", Tokens: tokens / 2}, {ID: part, Tokens: tokens - tokens/2},
	}}
	return call
}

func TestLongPromptIsPrefilledSeparatelyAndHandedOver(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("reader", region.StagePrefill, func(writer http.ResponseWriter, request *http.Request) {
		if assert.Equal(t, "true", request.Header.Get("Read-Only")) {
			_, _ = io.WriteString(writer, "handle-1")
		}
	})
	w.addReplica("generator", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
		assert.Equal(t, w.replicaList[0].Address+"/handle-1", request.Header.Get("Source"))
		streamEvents(1, 2, false)(writer, request)
	})
	answer := w.runCall(newModelCall(8000, "own"))
	assert.Equal(t, eventText(1, 2), answer.body.String())
}

func TestRejectedPrefillIsDoneByDecodeReplica(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("reader", region.StagePrefill, rejectRequest)
	w.addReplica("generator", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
		assert.Empty(t, request.Header.Get("Source"))
		streamEvents(1, 2, false)(writer, request)
	})
	assert.Equal(t, eventText(1, 2), w.runCall(newModelCall(8000, "own")).body.String())
}

func TestUnconsumedPromptHandleIsFreed(t *testing.T) {
	w := newTestEnvironment(t)
	freedPath := make(chan string, 1)
	w.addReplica("reader", region.StagePrefill, func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodDelete {
			freedPath <- request.URL.Path
			return
		}
		_, _ = io.WriteString(writer, "handle-1")
	})
	w.addReplica("generator", region.StageDecode, rejectRequest)
	assert.Error(t, w.runCall(newModelCall(8000, "own")).err)
	select {
	case path := <-freedPath:
		assert.Equal(t, "/free/handle-1", path)
	case <-time.After(20 * time.Second):
		t.Fatal("the handle was not freed")
	}
}

func TestRejectedPrefillNeedsRetryBudget(t *testing.T) {
	w := newTestEnvironmentWithBudget(t, relay.RetryBudgetOptions{Window: time.Second})
	w.addReplica("reader", region.StagePrefill, rejectRequest)
	w.addReplica("generator", region.StageDecode, streamEvents(1, 2, false))
	answer := w.runCall(newModelCall(8000, "own"))
	assert.Equal(t, failure.RanNo, failure.AnswerFor(answer.err).Ran)
	assert.Zero(t, w.requestCount("generator"))
}

func TestSlowPrefillIsAbandonedOnlyWithinRetryBudget(t *testing.T) {
	for name, test := range map[string]struct {
		terms   relay.RetryBudgetOptions
		aborted bool
	}{
		"no budget": {relay.RetryBudgetOptions{Window: time.Second}, false},
		"budget":    {relay.RetryBudgetOptions{Ratio: 5, Window: time.Second, Slack: 100}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvironmentWithBudget(t, test.terms)
			w.addReplica("reader", region.StagePrefill, func(writer http.ResponseWriter, request *http.Request) {
				if test.aborted {
					<-request.Context().Done()
					return
				}
				time.Sleep(300 * time.Millisecond)
				_, _ = io.WriteString(writer, "handle-1")
			})
			w.addReplica("generator", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
				assert.Equal(t, test.aborted, request.Header.Get("Source") == "")
				streamEvents(1, 2, false)(writer, request)
			})
			assert.Equal(t, eventText(1, 2), w.runCall(newModelCall(1200, "own")).body.String())
		})
	}
}

func TestFailedConnectionCostsNoRetryBudget(t *testing.T) {
	w := newTestEnvironmentWithBudget(t, relay.RetryBudgetOptions{Window: time.Second})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	w.listReplica("dead", "", listener.Addr().String())
	w.addReplica("sound", "", respondSealed(http.StatusOK, "answer"))
	for range 20 {
		require.NoError(t, w.runCall(newCall(traffic.KindOnce, 1)).err)
	}
}

func TestRecoveredReplicaIsLoggedOnce(t *testing.T) {
	var lines []string
	logger := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	directory := relay.NewDirectory(func() time.Duration { return 0 }, "z", func(string, string) {}, logger)
	directory.Replace([]region.Replica{{ID: "a", Service: "s", Address: "a:1", Zone: "z", Slots: 1}})
	for range 2 {
		lease := directory.PickAny("s", relay.Wanted{})
		lease.Unreachable(false)
		lease.Release()
	}
	for range 2 {
		lease := directory.PickAny("s", relay.Wanted{})
		lease.Answered(false, nil)
		lease.Release()
	}
	require.Len(t, lines, 3)
	assert.Contains(t, lines[2], event.ReplicaBack)
	assert.Contains(t, lines[2], `"failures"=2`)
}

// cutAfterHead answers a prompt, and closes the connection inside the body.
func cutAfterHead(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Length", "100")
	writer.WriteHeader(http.StatusOK)
	writer.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func TestPromptWithLostPrefillResponseIsFetched(t *testing.T) {
	for name, test := range map[string]struct {
		terms  relay.RetryBudgetOptions
		reader http.HandlerFunc
	}{
		// A replica that has answered 200 has taken the prompt up, so that the next send is the first that counts.
		"taken up":     {relay.RetryBudgetOptions{Window: time.Second}, cutAfterHead},
		"may have run": {relay.RetryBudgetOptions{Ratio: 5, Window: time.Second, Slack: 100}, dropConnection},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvironmentWithBudget(t, test.terms)
			w.addReplica("reader", region.StagePrefill, test.reader)
			w.addReplica("generator", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
				assert.Equal(t, w.replicaList[0].Address, request.Header.Get("Fetch"))
				streamEvents(1, 2, false)(writer, request)
			})
			assert.Equal(t, eventText(1, 2), w.runCall(newModelCall(8000, "own")).body.String())
		})
	}
}

// Guards against sends that no retry budget knows of: a replica that resets the connection has not taken the prompt up, so
// that the next send is the request's second arrival.
func TestASendAfterALostPromptNeedsRetryBudget(t *testing.T) {
	w := newTestEnvironmentWithBudget(t, relay.RetryBudgetOptions{Window: time.Second})
	w.addReplica("reader", region.StagePrefill, dropConnection)
	w.addReplica("generator", region.StageDecode, streamEvents(1, 2, false))
	answer := w.runCall(newModelCall(8000, "own"))
	require.Error(t, answer.err)
	assert.Equal(t, failure.RanNo, failure.AnswerFor(answer.err).Ran)
	assert.Zero(t, w.requestCount("generator"))
}

// Guards against a replica being told of more time than the caller has left: the monotonic clock stops
// while the machine is suspended, here between two sends.
func TestSuspensionCountsTowardsTimeLeft(t *testing.T) {
	w := newTestEnvironment(t)
	var suspended atomic.Int64
	w.runner.SetSuspendedTime(func() time.Duration { return time.Duration(suspended.Load()) })
	var lefts []int
	handler := func(writer http.ResponseWriter, request *http.Request) {
		left, err := strconv.Atoi(request.Header.Get("Left"))
		assert.NoError(t, err)
		lefts = append(lefts, left)
		suspended.Store(int64(15 * time.Second))
		dropConnection(writer, request)
	}
	w.addReplica("a", "", handler)
	w.addReplica("b", "", handler)
	w.runCall(newCall(traffic.KindRepeatable, 2))
	require.Len(t, lefts, 2)
	assert.Greater(t, lefts[0], 15_000)
	assert.LessOrEqual(t, lefts[1], 5_000)
}
