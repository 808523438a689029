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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// longAnswer is more than the buffers of two connections hold.
const longAnswer = 64 << 20

// smallBuffer has the kernel keep little of what a caller does not read.
func smallBuffer(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
}

// call sends a request on a connection of its own, which the test reads or not.
func (g *gateway) call(path string) net.Conn {
	g.t.Helper()
	connection, err := (&net.Dialer{Control: smallBuffer}).Dial("tcp", g.front)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest: r-slow\r\nContent-Length: 4\r\n\r\nbody", path)
	require.NoError(g.t, err)
	return connection
}

// inFlight is the number of requests that the gateway serves.
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

// shortRoute is a view whose route ends requests soon.
func shortRoute(t *testing.T, kind traffic.Kind, replica string) region.View {
	t.Helper()
	view := viewOf(t, 3, replica)
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

// endless answers with events until nobody takes them.
func endless(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	writer.Header().Set("Sealed", "yes")
	event := "data: " + strings.Repeat("x", 1<<16) + "\n\n"
	for sent := 0; sent < longAnswer; sent += len(event) {
		if _, err := io.WriteString(writer, event); err != nil {
			return
		}
	}
}

// A caller sent a request and read nothing of its answer. The gateway waited for it without end, in a write
// that nothing bounded: the request's route allowed a second, and it still counted as in flight, with its
// buffers and its connection, after ten.
func TestACallerThatDoesNotReadItsStreamIsGivenUp(t *testing.T) {
	g := startGateway(t, startCoordinator(t, shortRoute(t, traffic.KindStream, startReplica(t, endless))))
	g.awaitReadiness(http.StatusOK)
	g.call("/v3/x")
	require.Eventually(t, func() bool { return g.inFlight() == 1 }, 10*time.Second, time.Millisecond)
	assert.Eventually(t, func() bool { return g.inFlight() == 0 }, 30*time.Second, 10*time.Millisecond)
}

// whole answers with a body of a size.
func whole(size int) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Sealed", "yes")
		writer.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = writer.Write(make([]byte, size))
	}
}

// A caller was reading a large answer when the gateway was stopped by plan, and got a part of it: the
// request counted as answered as soon as its answer was made, and 20 ms later all connections were closed.
func TestAPlannedStopWaitsForACallerThatStillReads(t *testing.T) {
	const size = 24 << 20
	g := startGateway(t, startCoordinator(t, shortRoute(t, traffic.KindRepeatable, startReplica(t, whole(size)))))
	g.awaitReadiness(http.StatusOK)
	connection := g.call("/v3/x")
	answer, err := http.ReadResponse(bufio.NewReaderSize(connection, 1<<10), nil)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	g.stop()
	read, buffer := 0, make([]byte, 1<<20)
	for err == nil {
		var count int
		count, err = answer.Body.Read(buffer)
		read += count
		// Some 5 s for the whole answer, which the stop has time for.
		time.Sleep(time.Duration(count) * 5 * time.Second / size)
	}
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, size, read)
}

// However many callers read nothing, what is kept for them is bounded, and a caller that reads is served.
func TestWhatSlowCallersHoldIsBounded(t *testing.T) {
	const size, readers = 1 << 20, 4
	replica := startReplica(t, whole(size))
	for _, slow := range []int{10, 100, 1000} {
		g := startGateway(t, startCoordinator(t, shortRoute(t, traffic.KindRepeatable, replica)))
		g.awaitReadiness(http.StatusOK)
		most, served := 0.0, 0
		for number := range slow {
			g.call("/v3/x")
			most = max(most, g.metric("unread_answer_bytes"))
			if number%(slow/readers) == 1 && served < readers && g.servedWhole(size) {
				served++
			}
		}
		require.Eventually(t, func() bool { return g.metric("unread_answer_bytes") == 0 }, time.Minute, 10*time.Millisecond)
		t.Logf("%d slow callers: at most %.1f MB kept, %d of %d others served", slow, most/1e6, served, readers)
		assert.LessOrEqual(t, most, 0.5*gatewayMemory+2*size)
		assert.Equal(t, readers, served)
	}
}

// servedWhole reports whether a caller that reads at once gets an answer of a size.
func (g *gateway) servedWhole(size int) bool {
	answer, err := g.get("/v3/x")
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return err == nil && len(body) == size
}
