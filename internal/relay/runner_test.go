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

func (testDialect) ReadTerms(func(string) string) relay.Terms { return relay.Terms{} }
func (testDialect) Sets(string) bool                          { return false }

func (testDialect) Fields(send relay.Send) []upstream.Field {
	return []upstream.Field{
		{Name: "Left", Value: strconv.FormatInt(send.Left.Milliseconds(), 10)},
		{Name: "Instance", Value: send.Instance},
		{Name: "Read-Only", Value: strconv.FormatBool(send.ReadOnly)},
		{Name: "Source", Value: send.Source},
		{Name: "Fetch", Value: send.Fetch},
		{Name: "Last-Event", Value: send.LastEvent},
	}
}

func (testDialect) ReadMarks(header http.Header) relay.Marks {
	marks := relay.Marks{
		RequestID: header.Get("Request"),
		NotRun:    header.Get("Not-Run") != "",
		Sealed:    header.Get("Sealed") != "",
	}
	if limit := header.Get("Limit"); limit != "" {
		rate, err := strconv.ParseFloat(limit, 64)
		marks.Limit = relay.RateLimit{Named: err == nil, Unreadable: err != nil, Rate: rate}
	}
	return marks
}

func (testDialect) Leaving(header http.Header) bool { return header.Get("Leaving") != "" }

func (testDialect) ReadHandle(body []byte) (string, error) { return string(body), nil }
func (testDialect) Move(id, address string, last bool) (string, string, []byte) {
	return http.MethodPost, fmt.Sprintf("/move/%s?last=%t", id, last), []byte(address)
}
func (testDialect) MoveFields(string) []upstream.Field    { return nil }
func (testDialect) FreeHandle(id string) (string, string) { return http.MethodDelete, "/free/" + id }

// recorder is a Responder that records what it is given.
type recorder struct {
	status  int
	body    bytes.Buffer
	err     error
	ended   bool
	aborted bool
}

func (r *recorder) Answer(status int, _ http.Header, body []byte) {
	r.status = status
	r.body.Write(body)
	r.ended = true
}

func (r *recorder) Refuse(err error) { r.err = err }

func (r *recorder) Stream(status int, _ http.Header) relay.StreamWriter {
	r.status = status
	return r
}

func (r *recorder) Send(events []byte) error {
	r.body.Write(events)
	return nil
}

func (r *recorder) End()   { r.ended = true }
func (r *recorder) Abort() { r.aborted = true }

// world is a Runner with replicas whose handlers the tests provide.
type world struct {
	t             testing.TB
	directory     *relay.Directory
	runner        *relay.Runner
	replicas      []region.Replica
	mutex         sync.Mutex
	requestCounts map[string]int
	// clockOffset is how far the clock is ahead of the monotonic clock, in nanoseconds.
	clockOffset atomic.Int64
}

func newWorld(t *testing.T) *world {
	t.Helper()
	return newTestEnvironmentWithBudget(t, relay.BudgetTerms{Ratio: 5, Window: time.Second, Slack: 100})
}

func newTestEnvironmentWithBudget(t *testing.T, terms relay.BudgetTerms) *world {
	t.Helper()
	return makeTestEnvironment(t, terms, logr.Discard())
}

func newLoggedTestEnvironment(t testing.TB, logger logr.Logger) *world {
	t.Helper()
	return makeTestEnvironment(t, relay.BudgetTerms{Ratio: 5, Window: time.Second, Slack: 100}, logger)
}

func makeTestEnvironment(t testing.TB, terms relay.BudgetTerms, logger logr.Logger) *world {
	t.Helper()
	began := time.Now()
	w := &world{t: t, requestCounts: map[string]int{}}
	clock := func() time.Duration { return time.Since(began) + time.Duration(w.clockOffset.Load()) }
	gate := backpressure.NewGate(backpressure.Options{Clock: clock, Leaving: testDialect{}.Leaving, LeavingGrace: leaveTime, Logger: logger})
	client := upstream.NewClient(upstream.Options{DialTimeout: time.Second, MaximumBodyBytes: 1 << 20, Gate: gate})
	w.directory = relay.NewDirectory(clock, "zone", client.Forget, logger)
	w.directory.Heed(gate)
	budgets := relay.NewBudgets(clock, terms, 1)
	w.runner = relay.NewRunner(w.directory, client, testDialect{}, budgets, relay.NewMetrics(telemetry.NewMetrics("test")), logger)
	return w
}

// leaveTime is how long replicas that report that they are leaving may still get requests.
const leaveTime = 3 * time.Second

// skip advances the clock.
func (w *world) skip(ahead time.Duration) { w.clockOffset.Add(int64(ahead)) }

func (w *world) add(id, stage string, handler http.HandlerFunc) {
	w.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		w.mutex.Lock()
		w.requestCounts[id]++
		w.mutex.Unlock()
		_, _ = io.Copy(io.Discard, request.Body)
		handler(writer, request)
	}))
	w.t.Cleanup(server.Close)
	w.list(id, stage, server.Listener.Addr().String())
}

func (w *world) list(id, stage, address string) {
	w.replicas = append(w.replicas, region.Replica{
		ID: id, Service: "service", Address: address, Zone: "zone", Slots: 4, Stage: stage,
	})
	w.directory.Replace(w.replicas)
}

func (w *world) visits(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.requestCounts[id]
}

func (w *world) run(call *relay.Call) *recorder {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), 30*time.Second)
	defer cancel()
	answer := &recorder{}
	w.runner.Run(ctx, call, answer)
	return answer
}

func callOf(kind traffic.Kind, attempts int) *relay.Call {
	return &relay.Call{
		Terms:   relay.Terms{ID: "r-1", Wait: 20 * time.Second},
		Method:  http.MethodPost,
		Target:  "/a/b?c",
		Host:    "h",
		Body:    []byte("body"),
		Arrived: time.Now(),
		Route:   &traffic.Route{Name: "route", Kind: kind, MaximumAttempts: attempts},
		Service: &traffic.Service{Name: "service"},
	}
}

func sealed(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Sealed", "yes")
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

func refusing(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Not-Run", "yes")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// dropping closes the connection after the request has been read.
func dropping(writer http.ResponseWriter, _ *http.Request) {
	connection, _, err := writer.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// events streams events and, with breakOff set, aborts in the middle of one more.
func events(from, to int, breakOff bool) http.HandlerFunc {
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

func text(from, to int) string {
	var all bytes.Buffer
	for number := from; number <= to; number++ {
		_, _ = fmt.Fprintf(&all, "id: %d\ndata: %d\n\n", number, number)
	}
	return all.String()
}

func TestReplicaResponseIsForwarded(t *testing.T) {
	w := newWorld(t)
	w.add("a", "", func(writer http.ResponseWriter, request *http.Request) {
		assert.Equal(t, "a", request.Header.Get("Instance"))
		assert.Equal(t, "/a/b?c", request.RequestURI)
		left, err := strconv.Atoi(request.Header.Get("Left"))
		require.NoError(t, err)
		assert.LessOrEqual(t, left, 20_000)
		sealed(http.StatusCreated, "answer")(writer, request)
	})
	answer := w.run(callOf(traffic.KindOnce, 1))
	assert.Equal(t, http.StatusCreated, answer.status)
	assert.Equal(t, "answer", answer.body.String())
}

func TestARequestThatMayHaveRunIsRepeatedOnlyIfItMayBe(t *testing.T) {
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
			w := newWorld(t)
			for _, id := range []string{"a", "b", "c"} {
				w.add(id, "", dropping)
			}
			answer := w.run(callOf(test.kind, test.attempts))
			require.Error(t, answer.err)
			assert.Equal(t, test.failure, failure.KindOf(answer.err))
			assert.NotEqual(t, http.StatusServiceUnavailable, failure.AnswerFor(answer.err).Status, "the request may have run, so it must not be reported as not run")
			assert.Equal(t, test.sends, w.visits("a")+w.visits("b")+w.visits("c"))
		})
	}
}

func TestRejectedRequestIsSentToAnotherReplica(t *testing.T) {
	w := newWorld(t)
	w.add("full", "", refusing)
	w.add("free", "", sealed(http.StatusOK, "answer"))
	for range 10 {
		answer := w.run(callOf(traffic.KindOnce, 1))
		require.NoError(t, answer.err)
		assert.Equal(t, "answer", answer.body.String())
	}
}

func TestRequestRejectedByAllReplicasIsReportedAsNotRun(t *testing.T) {
	w := newWorld(t)
	w.add("a", "", refusing)
	w.add("b", "", refusing)
	answer := w.run(callOf(traffic.KindOnce, 1))
	response := failure.AnswerFor(answer.err)
	assert.Equal(t, http.StatusServiceUnavailable, response.Status)
	assert.Equal(t, failure.RanNo, response.Ran)
	assert.Positive(t, response.RetryAfter)
}

func TestMisdirectedResponseEndsUseOfListedIncarnation(t *testing.T) {
	w := newWorld(t)
	w.add("old", "", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
	})
	assert.Error(t, w.run(callOf(traffic.KindOnce, 1)).err)
	assert.Error(t, w.run(callOf(traffic.KindOnce, 1)).err)
	assert.Equal(t, 1, w.visits("old"))
}

func TestErrorResponseIsRetriedOrElseForwarded(t *testing.T) {
	w := newWorld(t)
	w.add("failing", "", sealed(http.StatusInternalServerError, "failed"))
	answer := w.run(callOf(traffic.KindRepeatable, 2))
	assert.Equal(t, http.StatusInternalServerError, answer.status)
	assert.Equal(t, "failed", answer.body.String())

	w.add("sound", "", sealed(http.StatusOK, "answer"))
	for range 10 {
		assert.Equal(t, "answer", w.run(callOf(traffic.KindRepeatable, 2)).body.String())
	}
}

func TestUnsealedSuccessIsNotForwarded(t *testing.T) {
	w := newWorld(t)
	w.add("a", "", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "forged") })
	answer := w.run(callOf(traffic.KindOnce, 1))
	assert.Equal(t, failure.OutcomeUnknown, failure.KindOf(answer.err))
	assert.Empty(t, answer.body.String())
}

func TestWholeStreamIsForwarded(t *testing.T) {
	w := newWorld(t)
	w.add("a", "", events(1, 5, false))
	answer := w.run(callOf(traffic.KindStream, 1))
	assert.True(t, answer.ended)
	assert.Equal(t, text(1, 5), answer.body.String())
}

func TestBrokenStreamEndsAfterLastCompleteEvent(t *testing.T) {
	w := newWorld(t)
	w.add("a", "", events(1, 3, true))
	w.add("b", "", events(1, 3, true))
	answer := w.run(callOf(traffic.KindStream, 2))
	assert.True(t, answer.aborted)
	assert.False(t, answer.ended)
	assert.Equal(t, text(1, 3), answer.body.String())
	assert.Equal(t, 1, w.visits("a")+w.visits("b"))
}

func TestResumableStreamContinuesAfterLastCompleteEvent(t *testing.T) {
	w := newWorld(t)
	continued := func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Last-Event") == "3" {
			events(4, 6, false)(writer, request)
			return
		}
		events(1, 3, true)(writer, request)
	}
	w.add("a", "", continued)
	w.add("b", "", continued)
	call := callOf(traffic.KindStream, 2)
	call.Route.Resumable = true
	answer := w.run(call)
	assert.True(t, answer.ended)
	assert.Equal(t, text(1, 6), answer.body.String())
}

func TestRouteTimeoutEndsCallAndReplicaWork(t *testing.T) {
	w := newWorld(t)
	stopped := make(chan struct{})
	w.add("a", "", func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		close(stopped)
	})
	call := callOf(traffic.KindOnce, 1)
	call.Route.Timeout = 50 * time.Millisecond
	answer := w.run(call)
	assert.Equal(t, failure.DeadlineExceeded, failure.KindOf(answer.err))
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("the replica still works on the request")
	}
}

func TestCallerDisconnectStopsReplicaWork(t *testing.T) {
	w := newWorld(t)
	begun, stopped := make(chan struct{}), make(chan struct{})
	w.add("a", "", func(_ http.ResponseWriter, request *http.Request) {
		close(begun)
		<-request.Context().Done()
		close(stopped)
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-begun
		leave()
	}()
	answer := &recorder{}
	w.runner.Run(ctx, callOf(traffic.KindRepeatable, 2), answer)
	assert.NoError(t, answer.err)
	<-stopped
}

func TestUnreachableReplicaIsAvoided(t *testing.T) {
	w := newWorld(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	w.list("dead", "", listener.Addr().String())
	w.add("sound", "", sealed(http.StatusOK, "answer"))
	for range 20 {
		require.NoError(t, w.run(callOf(traffic.KindOnce, 1)).err)
	}
	assert.Equal(t, 20, w.visits("sound"))
}

// modelCall returns a call with a prompt of the given number of tokens.
func modelCall(tokens int, part string) *relay.Call {
	call := callOf(traffic.KindStream, 1)
	call.Service = &traffic.Service{Name: "service", Engine: &traffic.Engine{Slots: 4, CacheTokens: 100_000, EventTokens: 1}}
	call.Prompt = &relay.Prompt{Tokens: tokens, Parts: []relay.PromptPart{
		{ID: "shared", Tokens: tokens / 2}, {ID: part, Tokens: tokens - tokens/2},
	}}
	return call
}

func TestLongPromptIsPrefilledSeparatelyAndHandedOver(t *testing.T) {
	w := newWorld(t)
	w.add("reader", region.StagePrefill, func(writer http.ResponseWriter, request *http.Request) {
		if assert.Equal(t, "true", request.Header.Get("Read-Only")) {
			_, _ = io.WriteString(writer, "handle-1")
		}
	})
	w.add("generator", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
		assert.Equal(t, w.replicas[0].Address+"/handle-1", request.Header.Get("Source"))
		events(1, 2, false)(writer, request)
	})
	answer := w.run(modelCall(8000, "own"))
	assert.Equal(t, text(1, 2), answer.body.String())
}

func TestRejectedPrefillIsDoneByDecodeReplica(t *testing.T) {
	w := newWorld(t)
	w.add("reader", region.StagePrefill, refusing)
	w.add("generator", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
		assert.Empty(t, request.Header.Get("Source"))
		events(1, 2, false)(writer, request)
	})
	assert.Equal(t, text(1, 2), w.run(modelCall(8000, "own")).body.String())
}

func TestUnconsumedPromptHandleIsFreed(t *testing.T) {
	w := newWorld(t)
	freedPath := make(chan string, 1)
	w.add("reader", region.StagePrefill, func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodDelete {
			freedPath <- request.URL.Path
			return
		}
		_, _ = io.WriteString(writer, "handle-1")
	})
	w.add("generator", region.StageDecode, refusing)
	assert.Error(t, w.run(modelCall(8000, "own")).err)
	select {
	case path := <-freedPath:
		assert.Equal(t, "/free/handle-1", path)
	case <-time.After(20 * time.Second):
		t.Fatal("the handle was not freed")
	}
}

func TestAPromptThatAReaderRefusedGoesOnOnlyWithinTheBudget(t *testing.T) {
	w := newTestEnvironmentWithBudget(t, relay.BudgetTerms{Window: time.Second})
	w.add("reader", region.StagePrefill, refusing)
	w.add("generator", region.StageDecode, events(1, 2, false))
	answer := w.run(modelCall(8000, "own"))
	assert.Equal(t, failure.RanNo, failure.AnswerFor(answer.err).Ran)
	assert.Zero(t, w.visits("generator"))
}

func TestASlowReaderIsWaitedForIfTheBudgetAllowsNothingElse(t *testing.T) {
	for name, test := range map[string]struct {
		terms   relay.BudgetTerms
		aborted bool
	}{
		"no budget": {relay.BudgetTerms{Window: time.Second}, false},
		"budget":    {relay.BudgetTerms{Ratio: 5, Window: time.Second, Slack: 100}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvironmentWithBudget(t, test.terms)
			w.add("reader", region.StagePrefill, func(writer http.ResponseWriter, request *http.Request) {
				if test.aborted {
					<-request.Context().Done()
					return
				}
				time.Sleep(300 * time.Millisecond)
				_, _ = io.WriteString(writer, "handle-1")
			})
			w.add("generator", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
				assert.Equal(t, test.aborted, request.Header.Get("Source") == "")
				events(1, 2, false)(writer, request)
			})
			assert.Equal(t, text(1, 2), w.run(modelCall(1200, "own")).body.String())
		})
	}
}

func TestFailedConnectionCostsNoRetryBudget(t *testing.T) {
	w := newTestEnvironmentWithBudget(t, relay.BudgetTerms{Window: time.Second})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	w.list("dead", "", listener.Addr().String())
	w.add("sound", "", sealed(http.StatusOK, "answer"))
	for range 20 {
		require.NoError(t, w.run(callOf(traffic.KindOnce, 1)).err)
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

func TestAPromptWhoseReadingWasNotAnsweredIsFetchedFromItsReader(t *testing.T) {
	// Sending a prompt that was received is no retry, so no budget is needed.
	w := newTestEnvironmentWithBudget(t, relay.BudgetTerms{Window: time.Second})
	w.add("reader", region.StagePrefill, dropping)
	w.add("generator", region.StageDecode, func(writer http.ResponseWriter, request *http.Request) {
		assert.Equal(t, w.replicas[0].Address, request.Header.Get("Fetch"))
		events(1, 2, false)(writer, request)
	})
	assert.Equal(t, text(1, 2), w.run(modelCall(8000, "own")).body.String())
}

// Guards against a replica being told of more time than the caller has left: the monotonic clock stops
// while the machine is suspended, here between two sends.
func TestTheTimeOfACallGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	w := newWorld(t)
	var suspended atomic.Int64
	w.runner.CountSuspensions(func() time.Duration { return time.Duration(suspended.Load()) })
	var lefts []int
	handler := func(writer http.ResponseWriter, request *http.Request) {
		left, err := strconv.Atoi(request.Header.Get("Left"))
		assert.NoError(t, err)
		lefts = append(lefts, left)
		suspended.Store(int64(15 * time.Second))
		dropping(writer, request)
	}
	w.add("a", "", handler)
	w.add("b", "", handler)
	w.run(callOf(traffic.KindRepeatable, 2))
	require.Len(t, lefts, 2)
	assert.Greater(t, lefts[0], 15_000)
	assert.LessOrEqual(t, lefts[1], 5_000)
}
