package daemon_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// longAnswer exceeds the buffers of two connections.
const longAnswer = 64 << 20

// smallBuffer makes the kernel buffer little of what a caller does not read.
func smallBuffer(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
}

// startRequest sends a request on its own connection and returns the connection without reading the
// answer.
func (g *gateway) startRequest(path string) net.Conn {
	g.t.Helper()
	connection, err := (&net.Dialer{Control: smallBuffer}).Dial("tcp", g.address)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest: r-slow\r\nContent-Length: 4\r\n\r\nbody", path)
	require.NoError(g.t, err)
	return connection
}

// inFlight returns the number of requests that the gateway is serving.
func (g *gateway) inFlight() float64 {
	g.t.Helper()
	return g.metric("requests_in_flight")
}

func (g *gateway) metric(name string) float64 {
	g.t.Helper()
	families, err := g.metrics.Gatherer().Gather()
	require.NoError(g.t, err)
	for _, family := range families {
		if strings.HasSuffix(family.GetName(), name) {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	require.Fail(g.t, "no such metric", name)
	return 0
}

// newViewWithTimeout returns a view whose route has a timeout of one second.
func newViewWithTimeout(t *testing.T, kind traffic.Kind, replica string) region.View {
	t.Helper()
	view := newView(t, 3, replica)
	document, err := json.Marshal(&traffic.Configuration{
		Version: 3,
		Routes: []traffic.Route{{
			Name: "route", Host: "h.example", PathPrefix: "/v3/", Kind: kind, MaximumAttempts: 1, Timeout: time.Second,
			Split: []traffic.Part{{Service: "service", Weight: 1}},
		}},
		Services: []traffic.Service{{Name: "service"}},
	})
	require.NoError(t, err)
	view.Document = region.Deflate(document)
	return view
}

// streamLongAnswer answers with events, up to longAnswer bytes, until a write fails.
func streamLongAnswer(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	writer.Header().Set("Sealed", "yes")
	event := "data: " + strings.Repeat("x", 1<<16) + "\n\n"
	for sent := 0; sent < longAnswer; sent += len(event) {
		if _, err := io.WriteString(writer, event); err != nil {
			return
		}
	}
}

// Guards against writes without a deadline: a caller sent a request and read nothing of its answer.
// The route allowed 1 s, but after 10 s the request still counted as in flight and held its buffers
// and its connection.
func TestConnectionOfACallerThatDoesNotReadIsClosed(t *testing.T) {
	g := startGateway(t, startCoordinator(t, newViewWithTimeout(t, traffic.KindStream, startReplica(t, streamLongAnswer))))
	g.awaitReadiness(http.StatusOK)
	g.startRequest("/v3/x")
	require.Eventually(t, func() bool { return g.inFlight() == 1 }, 10*time.Second, time.Millisecond)
	assert.Eventually(t, func() bool { return g.inFlight() == 0 }, 30*time.Second, 10*time.Millisecond)
}

// bodyOfSize answers with a body of the given size.
func bodyOfSize(size int) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Sealed", "yes")
		writer.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = writer.Write(make([]byte, size))
	}
}

// An answer that is not a stream is written after the request was handled. That its caller had not got it whole was in no
// line of the log.
func TestLogNamesRequestWhoseAnswerCannotBeWritten(t *testing.T) {
	lines := make(chan string, 1000)
	logger := funcr.NewJSON(func(line string) { lines <- line }, funcr.Options{})
	g := startLoggingGateway(t, logger, startCoordinator(t, newViewWithTimeout(t, traffic.KindRepeatable, startReplica(t, bodyOfSize(longAnswer/4)))))
	g.awaitReadiness(http.StatusOK)
	connection := g.startRequest("/v3/x").(*net.TCPConn)
	_, err := io.ReadFull(connection, make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, connection.SetLinger(0))
	require.NoError(t, connection.Close())
	timeout := time.After(30 * time.Second)
	for {
		select {
		case line := <-lines:
			if strings.Contains(line, string(event.CallerGone)) {
				assert.Contains(t, line, `"request":"r-slow"`)
				assert.Contains(t, line, `"ended_by":"caller"`)
				return
			}
		case <-timeout:
			require.Fail(t, "no line")
		}
	}
}

// Guards against cutting off an answer at a planned stop: the request counted as finished as soon
// as its answer had been produced, and all connections were closed 20 ms later. The caller, which
// was still reading, received only a part of the answer.
func TestAPlannedStopWaitsForACallerThatStillReads(t *testing.T) {
	const size = 24 << 20
	g := startGateway(t, startCoordinator(t, newViewWithTimeout(t, traffic.KindRepeatable, startReplica(t, bodyOfSize(size)))))
	g.awaitReadiness(http.StatusOK)
	connection := g.startRequest("/v3/x")
	answer, err := http.ReadResponse(bufio.NewReaderSize(connection, 1<<10), nil)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	g.stop()
	read, buffer := 0, make([]byte, 1<<20)
	began := time.Now()
	for err == nil {
		var count int
		count, err = answer.Body.Read(buffer)
		read += count
		// Reads the whole answer in 5 s, which is within the stop time, however long each pause takes.
		time.Sleep(time.Until(began.Add(time.Duration(read) * 5 * time.Second / size)))
	}
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, size, read)
}

// The memory held for callers that do not read is bounded however many there are, and a caller that
// reads is served.
func TestMemoryForSlowCallersIsBounded(t *testing.T) {
	const size, readers = 1 << 20, 4
	replica := startReplica(t, bodyOfSize(size))
	for _, slow := range []int{10, 100, 1000} {
		g := startGateway(t, startCoordinator(t, newViewWithTimeout(t, traffic.KindRepeatable, replica)))
		g.awaitReadiness(http.StatusOK)
		maximumUnread, served := 0.0, 0
		for number := range slow {
			g.startRequest("/v3/x")
			maximumUnread = max(maximumUnread, g.metric("unread_answer_bytes"))
			if number%(slow/readers) == 1 && served < readers && g.servedWhole(size) {
				served++
			}
		}
		require.Eventually(t, func() bool { return g.metric("unread_answer_bytes") == 0 }, time.Minute, 10*time.Millisecond)
		t.Logf("%d slow callers: at most %.1f MB kept, %d of %d others served", slow, maximumUnread/1e6, served, readers)
		assert.LessOrEqual(t, maximumUnread, 0.5*gatewayMemory+2*size)
		assert.Equal(t, readers, served)
	}
}

// servedWhole reports whether a caller that reads at once receives an answer of the given size.
func (g *gateway) servedWhole(size int) bool {
	answer, err := g.post("/v3/x")
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return err == nil && len(body) == size
}
