package listener_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/listener"
)

const memoryBytes = 1 << 20

// serving serves answers with the bodies of requests.
func serving(t *testing.T, maximum int, limits listener.Limits, served *atomic.Int64) (*listener.Listener, *listener.Memory) {
	t.Helper()
	l, err := listener.Listen("127.0.0.1:0", maximum, func(failure.Kind) {})
	require.NoError(t, err)
	l.Limits = func() listener.Limits { return limits }
	memory := listener.NewMemory(memoryBytes)
	l.Use(memory)
	engine := listener.NewServer(l, server.WithSenseClientDisconnection(true), server.WithExitWaitTime(0))
	engine.NoRoute(func(_ context.Context, request *app.RequestContext) {
		served.Add(1)
		request.SetStatusCode(http.StatusOK)
		request.Response.SetBody(bytes.Clone(request.Request.Body()))
	})
	go func() { _ = engine.Run() }()
	t.Cleanup(func() {
		_ = engine.Close()
		l.CloseConnections()
	})
	return l, memory
}

var calmLimits = listener.Limits{HeaderBytes: 8 << 10, BodyBytes: 64 << 10, HeaderTime: 20 * time.Second, IdleTime: 20 * time.Second}

// bodies are requests by their names, with the bodies that a handler has to get.
var bodies = map[string]struct{ request, body string }{
	"none":                 {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
	"empty lines before":   {"\r\n\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
	"bare line ends":       {"POST / HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc", "abc"},
	"announced":            {"POST / HTTP/1.1\r\nHost: h\r\ncontent-length:  003 \r\n\r\nabc", "abc"},
	"chunked":              {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=\"y\"\r\nc\r\n0\r\n\r\n", "abc"},
	"chunks with trailers": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n003\r\nabc\r\n0;z\r\nA: b\r\nC: d\r\n\r\n", "abc"},
	"no chunks":            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
	"large":                {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000), strings.Repeat("x", 60000)},
	"large chunks":         {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nea60\r\n" + strings.Repeat("x", 60000) + "\r\n0\r\n\r\n", strings.Repeat("x", 60000)},
	"large head":           {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nA: " + strings.Repeat("a", 7000) + "\r\n\r\nb", "b"},
}

// Each request arrives with its body alone, however its bytes are cut, and those behind it aren't taken for a part of it.
func TestRequestsArriveWholeHoweverTheyAreCut(t *testing.T) {
	var served atomic.Int64
	l, memory := serving(t, 10, calmLimits, &served)
	for name, test := range bodies {
		for _, size := range []int{1, 3, 1000, 1 << 20} {
			if size < 1000 && len(test.request) > 10_000 {
				continue
			}
			t.Run(fmt.Sprintf("%s by %d", name, size), func(t *testing.T) {
				connection := dial(t, l)
				require.NoError(t, connection.SetDeadline(time.Now().Add(20*time.Second)))
				sent := test.request + test.request
				go func() {
					for len(sent) > 0 {
						count, err := connection.Write([]byte(sent[:min(size, len(sent))]))
						if err != nil {
							return
						}
						sent = sent[count:]
					}
				}()
				reader := bufio.NewReader(connection)
				for range 2 {
					assert.Equal(t, test.body, readAnswer(t, reader))
				}
				_ = connection.Close()
			})
		}
	}
	require.Eventually(t, func() bool { return memory.Held() == 0 }, 10*time.Second, time.Millisecond)
}

func readAnswer(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	answer, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.StatusCode)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return string(body)
}

// What is over a limit, or ambiguous, is refused before it is kept, and runs nowhere.
func TestRequestsBeyondTheLimitsAreRefusedBeforeTheyAreKept(t *testing.T) {
	start := "POST / HTTP/1.1\r\nHost: h\r\n"
	chunked := start + "Transfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		request string
		kind    failure.Kind
	}{
		"announced":             {start + "Content-Length: 65537\r\n\r\n", failure.BodyTooLarge},
		"announced, expected":   {start + "Expect: 100-continue\r\nContent-Length: 65537\r\n\r\n", failure.BodyTooLarge},
		"length beyond numbers": {start + "Content-Length: 99999999999999999999\r\n\r\n", failure.MalformedRequest},
		"one chunk":             {chunked + "10001\r\n", failure.BodyTooLarge},
		"chunks in sum":         {chunked + strings.Repeat("1000\r\n"+strings.Repeat("a", 4096)+"\r\n", 17), failure.BodyTooLarge},
		"a field":               {start + "A: " + strings.Repeat("a", 9000), failure.HeadersTooLarge},
		"a request line":        {"POST /" + strings.Repeat("a", 9000), failure.HeadersTooLarge},
		"empty lines":           {strings.Repeat("\r\n", 5000), failure.HeadersTooLarge},
		"trailers":              {chunked + "0\r\n" + strings.Repeat("A: b\r\n", 2000), failure.HeadersTooLarge},
		"an extension":          {chunked + "1;" + strings.Repeat("a", 17<<10), failure.MalformedRequest},
		"sizes":                 {chunked + strings.Repeat("0", 17<<10), failure.MalformedRequest},
		"no size":               {chunked + "x\r\n", failure.MalformedRequest},
		"data too long":         {chunked + "1\r\nab\r\n", failure.MalformedRequest},
		"two lengths":           {start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", failure.MalformedRequest},
		"length and chunks":     {start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", failure.MalformedRequest},
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			l, memory := serving(t, 10, calmLimits, &served)
			connection := dial(t, l)
			require.NoError(t, connection.SetDeadline(time.Now().Add(20*time.Second)))
			go func() { _, _ = io.WriteString(connection, test.request) }()
			answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			assert.Contains(t, string(body), string(test.kind))
			assert.True(t, answer.Close)
			assert.Zero(t, served.Load())
			assert.Less(t, memory.Most(), int64(200<<10))
		})
	}
}

// A body is asked for before it is sent, once.
func TestAnExpectedBodyIsAskedForOnce(t *testing.T) {
	var served atomic.Int64
	l, _ := serving(t, 10, calmLimits, &served)
	connection := dial(t, l)
	require.NoError(t, connection.SetDeadline(time.Now().Add(20*time.Second)))
	_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(connection)
	interim, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusContinue, interim.StatusCode)
	_, err = io.WriteString(connection, "abc")
	require.NoError(t, err)
	assert.Equal(t, "abc", readAnswer(t, reader))
}

// Bodies that stopped held the memory, and a sound one was refused.
func TestBodiesThatHaveStoppedGiveTheirRoomToOthers(t *testing.T) {
	limits := calmLimits
	limits.BodyBytes, limits.HeaderTime = 200<<10, 4*time.Second
	var served atomic.Int64
	l, memory := serving(t, 100, limits, &served)
	start := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 204800\r\n\r\n"
	for range 20 {
		stopped := dial(t, l)
		go func() { _, _ = io.WriteString(stopped, start+strings.Repeat("a", 204000)) }()
	}
	require.Eventually(t, func() bool { return memory.Held() > memoryBytes/2 }, 10*time.Second, time.Millisecond)
	// The more advanced one goes first: it has waited for the others to stop.
	time.Sleep(2 * time.Second)
	sound := dial(t, l)
	require.NoError(t, sound.SetDeadline(time.Now().Add(20*time.Second)))
	go func() { _, _ = io.WriteString(sound, start+strings.Repeat("b", 204800)) }()
	assert.Equal(t, strings.Repeat("b", 204800), readAnswer(t, bufio.NewReader(sound)))
	assert.LessOrEqual(t, memory.Most(), int64(memoryBytes))
	assert.EqualValues(t, 1, served.Load())
}

// A kept connection gives its place up after those without a request, and only if places are short.
func TestPlacesAreGivenUpByThoseFurthestFromARequest(t *testing.T) {
	var served atomic.Int64
	l, _ := serving(t, 4, calmLimits, &served)
	begin := func(first string) net.Conn {
		connection := dial(t, l)
		_, err := io.WriteString(connection, first)
		require.NoError(t, err)
		return connection
	}
	kept := begin("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(kept)
	require.NoError(t, kept.SetDeadline(time.Now().Add(20*time.Second)))
	readAnswer(t, reader)
	body := begin("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
	head := begin("POST / HT")
	silent := begin("")
	require.Eventually(t, func() bool {
		phases := l.Phases()
		return phases["idle"] == 1 && phases["body"] == 1 && phases["head"] == 1 && phases["new"] == 1
	}, 10*time.Second, time.Millisecond)
	// The silent one has had the time for its request to arrive.
	time.Sleep(calmLimits.HeaderTime / 10)
	for _, closed := range []net.Conn{silent, head, body} {
		answered := begin("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, answered.SetDeadline(time.Now().Add(20*time.Second)))
		readAnswer(t, bufio.NewReader(answered))
		require.NoError(t, closed.SetDeadline(time.Now().Add(20*time.Second)))
		_, err := closed.Read(make([]byte, 1))
		require.Error(t, err)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	_, err := io.WriteString(kept, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	readAnswer(t, reader)
}

// A connection gave its place up before its request was read, since those of a crowd had sent something.
func TestAConnectionThatWasJustAcceptedKeepsItsPlace(t *testing.T) {
	var served atomic.Int64
	l, _ := serving(t, 2, calmLimits, &served)
	for range 2 {
		stopped := dial(t, l)
		_, err := io.WriteString(stopped, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return l.Phases()["body"] == 2 }, 10*time.Second, time.Millisecond)
	accepted := dial(t, l)
	require.Eventually(t, func() bool { return l.Phases()["new"] == 1 }, 10*time.Second, time.Millisecond)
	dial(t, l)
	require.Eventually(t, func() bool { return l.Endings()["no_place"] == 2 }, 10*time.Second, time.Millisecond)
	require.NoError(t, accepted.SetDeadline(time.Now().Add(20*time.Second)))
	_, err := io.WriteString(accepted, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	readAnswer(t, bufio.NewReader(accepted))
}

// A caller that keeps inside four fifths of the idle time is never cut.
func TestConnectionsThatAreUsedInTimeAreKept(t *testing.T) {
	limits := calmLimits
	limits.IdleTime = 1500 * time.Millisecond
	var served atomic.Int64
	l, _ := serving(t, 10, limits, &served)
	connection := dial(t, l)
	require.NoError(t, connection.SetDeadline(time.Now().Add(20*time.Second)))
	reader := bufio.NewReader(connection)
	for range 4 {
		time.Sleep(limits.IdleTime * 4 / 5)
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		readAnswer(t, reader)
	}
	_, err := connection.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// FuzzChunksAreReadAsTheStandardLibraryReadsThem holds two parsers of chunked bodies together: a body that one ends elsewhere hides a
// request.
func FuzzChunksAreReadAsTheStandardLibraryReadsThem(f *testing.F) {
	for _, test := range bodies {
		if _, body, found := strings.Cut(test.request, "hunked\r\n\r\n"); found {
			f.Add([]byte(body))
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		got, rest, err := listener.DecodeChunks(body, 1<<20)
		if err != nil {
			return
		}
		request, readError := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.NewReader(body))))
		require.NoError(t, readError)
		want, readError := io.ReadAll(request.Body)
		if readError == nil {
			assert.Equal(t, string(want), string(got), "rest %q", rest)
		}
	})
}

// Bodies of peers took the room of callers' small requests, which waited for it.
func TestBodiesOfPeersLeaveRoomToCallers(t *testing.T) {
	limits := calmLimits
	limits.BodyBytes = 100 << 10
	var served atomic.Int64
	callers, memory := serving(t, 100, limits, &served)
	peers, err := listener.Listen("127.0.0.1:0", 100, func(failure.Kind) {})
	require.NoError(t, err)
	peers.Limits, peers.Internal = func() listener.Limits { return limits }, true
	peers.Use(memory)
	engine := listener.NewServer(peers, server.WithExitWaitTime(0))
	go func() { _ = engine.Run() }()
	t.Cleanup(func() {
		_ = engine.Close()
		peers.CloseConnections()
	})
	for range 50 {
		stopped := dial(t, peers)
		go func() {
			_, _ = io.WriteString(stopped, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 102400\r\n\r\n"+strings.Repeat("a", 60000))
		}()
	}
	require.Eventually(t, func() bool { return peers.Phases()["body"] > 40 }, 10*time.Second, time.Millisecond)
	connection := dial(t, callers)
	// A tenth of the time for which a request waits for room.
	require.NoError(t, connection.SetDeadline(time.Now().Add(limits.HeaderTime/20)))
	_, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 600\r\n\r\n"+strings.Repeat("b", 600))
	require.NoError(t, err)
	assert.Equal(t, strings.Repeat("b", 600), readAnswer(t, bufio.NewReader(connection)))
}

// A request that had arrived when its connection was to end for being idle was dropped with it.
func TestARequestThatHasArrivedIsReadBeforeAnIdleConnectionEnds(t *testing.T) {
	var served atomic.Int64
	l, _ := serving(t, 10, calmLimits, &served)
	connection := dial(t, l)
	require.NoError(t, connection.SetDeadline(time.Now().Add(20*time.Second)))
	reader := bufio.NewReader(connection)
	for range 200 {
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		l.EndIdle()
		readAnswer(t, reader)
	}
	l.EndIdle()
	_, err := connection.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
