package upstream_test

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/membudget"
	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/internal/testnet/endless"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// readWhole makes an exchange of a generous time, and reads its answer whole.
func readWhole(t *testing.T, client *upstream.Client, address string, headDeadline func() time.Time) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	exchange, err := client.Do(ctx, &upstream.Request{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", HeadDeadline: headDeadline,
		Belongs: func(header http.Header) bool { return header.Get("Id") != "other" },
	})
	if err != nil {
		return err
	}
	defer exchange.Close()
	_, err = exchange.ReadAll()
	return err
}

// A peer that sends bytes without end in the place of an answer took as much memory as the caller's time allowed.
func TestAnAnswerWithoutEndIsGivenUp(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\nId: other\r\n"
	tests := map[string]endless.Answer{
		"interim answers":              {Piece: "HTTP/1.1 102 Processing\r\n\r\n"},
		"large interim answers":        {Piece: "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("a", 60<<10) + "\r\n\r\n"},
		"answers to other requests":    {Piece: other + "Content-Length: 0\r\n\r\n"},
		"an answer to another request": {Beginning: other + "Content-Length: 1000000000000\r\n\r\n", Piece: strings.Repeat("a", 64<<10)},
		"chunks of another answer":     {Beginning: other + "Transfer-Encoding: chunked\r\n\r\n", Piece: "4\r\nbody\r\n"},
	}
	maps.Copy(tests, endless.Heads)
	maps.Copy(tests, endless.Bodies)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replica := testnet.StartEndless(t, test)
			err := readWhole(t, newClient(), replica.Address, nil)
			require.Error(t, err)
			assert.True(t, upstream.HandedOver(err), "the replica may have run it")
			assert.Less(t, <-replica.Sent, testnet.EndlessBytes, "the connection is closed at the bound")
		})
	}
}

func TestAHeadThatHasBegunIsGivenUpInTime(t *testing.T) {
	for name, test := range map[string]endless.Answer{
		"byte by byte":            {Piece: "H"},
		"fields, slowly":          {Beginning: "HTTP/1.1 200 OK\r\n", Piece: "A: b\r\n"},
		"half a head":             {Beginning: "HTTP/1.1 200 OK\r\nA: "},
		"an interim answer first": {Beginning: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200", Piece: " "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.Pause = 20 * time.Millisecond
			replica := testnet.StartEndless(t, test)
			err := readWhole(t, newClient(), replica.Address, func() time.Time { return time.Now().Add(100 * time.Millisecond) })
			assert.Equal(t, upstream.BoundTime, upstream.ExceededBound(err))
		})
	}
}

func TestASlowAnswerIsAwaitedWhoseHeadComesWhole(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		for _, piece := range []string{"HTTP/1.1 102 Proc", "essing\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "bo", "dy"} {
			time.Sleep(60 * time.Millisecond)
			_, _ = conn.Write([]byte(piece))
		}
	}()
	exchange, err := newClient().Do(t.Context(), &upstream.Request{
		Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h",
		HeadDeadline: func() time.Time { return time.Now().Add(100 * time.Millisecond) },
	})
	require.NoError(t, err)
	defer exchange.Close()
	body, err := exchange.ReadAll()
	require.NoError(t, err)
	assert.Equal(t, "body", string(body))
}

func TestAnswersWithoutEndLeaveRoomForOthers(t *testing.T) {
	const total, exchanges = 1 << 20, 40
	budget := membudget.New(total)
	client := upstream.NewClient(upstream.Options{DialTimeout: time.Second, MaximumBodyBytes: 8 << 20, Budget: budget})
	piece := strings.Repeat("a", 16<<10)
	var calls sync.WaitGroup
	for number := range exchanges {
		beginning := "HTTP/1.1 200 OK\r\n\r\n"
		if number%2 == 0 {
			beginning = "HTTP/1.1 200 OK\r\nA: "
		}
		replica := testnet.StartEndless(t, endless.Answer{Beginning: beginning, Piece: piece, Pause: 10 * time.Millisecond})
		calls.Go(func() { assert.NotEmpty(t, upstream.ExceededBound(readWhole(t, client, replica.Address, nil))) })
	}
	require.Eventually(t, func() bool { return budget.Held() > total/2 }, 10*time.Second, time.Millisecond)
	body := strings.Repeat("b", 10<<10)
	sound := startReplica(t, answer{text: framed("1", "short")}, answer{text: "HTTP/1.1 200 OK\r\nContent-Length: 10240\r\n\r\n" + body})
	for _, expected := range []string{"short", body} {
		read, err := exchangeWhole(t, client, sound, "1")
		require.NoError(t, err)
		assert.Equal(t, expected, read)
	}
	calls.Wait()
	assert.LessOrEqual(t, budget.Most(), int64(total))
	assert.LessOrEqual(t, budget.MostOfOne(), int64(total/2))
	assert.Zero(t, budget.Held())
}

func FuzzAnswersAreReadWithinBounds(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 2000)))
	f.Add([]byte(strings.Repeat("\r", 80<<10)))
	f.Fuzz(func(t *testing.T, sent []byte) {
		const total = 256 << 10
		budget := membudget.New(total)
		client := upstream.NewClient(upstream.Options{DialTimeout: time.Second, MaximumBodyBytes: total, Budget: budget})
		replica := startReplica(t, answer{text: string(sent), end: closeInOrder})
		exchange, err := do(t, client, replica, "1")
		if err == nil {
			_, _ = exchange.ReadAll()
			exchange.Close()
		}
		assert.LessOrEqual(t, budget.Most(), int64(total/2))
		assert.Zero(t, budget.Held())
	})
}

func BenchmarkExchange(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("an answer"))
	}))
	defer server.Close()
	client := newClient()
	b.ReportAllocs()
	for b.Loop() {
		exchange, err := client.Do(b.Context(), &upstream.Request{Address: server.Listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h"})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := exchange.ReadAll(); err != nil {
			b.Fatal(err)
		}
		exchange.Close()
	}
}
