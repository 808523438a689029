package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// fakeReplica answers each request of each connection with the next raw answer,
// then closes the connection once the answers are used up.
type fakeReplica struct {
	address     string
	connections atomic.Int32
	requests    atomic.Int32
}

// answer is what a fakeReplica does with a request.
type answer struct {
	text string
	// end says what happens to the connection afterwards.
	end ending
	// early answers are sent before the request's body is read.
	early bool
}

type ending int

const (
	keepOpen ending = iota
	closeInOrder
	reset
)

func startReplica(t *testing.T, answers ...answer) *fakeReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	replica := &fakeReplica{address: listener.Addr().String()}
	next := make(chan answer, len(answers))
	for _, each := range answers {
		next <- each
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			replica.connections.Add(1)
			go replica.serve(conn, next)
		}
	}()
	return replica
}

func (f *fakeReplica) serve(conn net.Conn, next <-chan answer) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f.requests.Add(1)
		each := <-next
		if !each.early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(conn, each.text)
		switch each.end {
		case closeInOrder:
			return
		case reset:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func newClient() *upstream.Client {
	return upstream.NewClient(upstream.Options{DialTimeout: time.Second, MaximumBodyBytes: 1 << 20})
}

func do(t *testing.T, client *upstream.Client, replica *fakeReplica, id string) (*upstream.Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return client.Do(ctx, &upstream.Request{
		Address:  replica.address,
		Instance: "i-1",
		Method:   http.MethodPost,
		Target:   "/a/b?c=d",
		Host:     "h.example",
		Body:     []byte("body"),
		Belongs: func(header http.Header) bool {
			return header.Get("Id") == "" || header.Get("Id") == id
		},
	})
}

func exchangeWhole(t *testing.T, client *upstream.Client, replica *fakeReplica, id string) (string, error) {
	t.Helper()
	exchange, err := do(t, client, replica, id)
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	body, err := exchange.ReadAll()
	return string(body), err
}

func framed(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(number int) string {
	digits := "0123456789"
	if number < 10 {
		return digits[number : number+1]
	}
	return itoa(number/10) + digits[number%10:number%10+1]
}

func TestAConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	replica := startReplica(t, answer{text: framed("1", "one")}, answer{text: framed("2", "two")})
	client := newClient()
	for _, test := range []struct{ id, body string }{{"1", "one"}, {"2", "two"}} {
		body, err := exchangeWhole(t, client, replica, test.id)
		require.NoError(t, err)
		assert.Equal(t, test.body, body)
	}
	assert.EqualValues(t, 1, replica.connections.Load())
}

func TestAnAnswerToAnotherRequestIsDropped(t *testing.T) {
	late := framed("0", "somebody else's")
	replica := startReplica(t, answer{text: late + framed("1", "mine")})
	body, err := exchangeWhole(t, newClient(), replica, "1")
	require.NoError(t, err)
	assert.Equal(t, "mine", body)
}

func TestAConnectionWithBytesBehindTheAnswerIsNotUsedAgain(t *testing.T) {
	replica := startReplica(t,
		answer{text: framed("1", "one") + framed("1", "one again")},
		answer{text: framed("2", "two")})
	client := newClient()
	body, err := exchangeWhole(t, client, replica, "1")
	require.NoError(t, err)
	assert.Equal(t, "one", body)
	body, err = exchangeWhole(t, client, replica, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", body)
	assert.EqualValues(t, 2, replica.connections.Load())
}

func TestAConnectionThatItsReplicaHasClosedIsNotUsedAgain(t *testing.T) {
	replica := startReplica(t,
		answer{text: framed("1", "one"), end: closeInOrder},
		answer{text: framed("2", "two")})
	client := newClient()
	_, err := exchangeWhole(t, client, replica, "1")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		body, err := exchangeWhole(t, client, replica, "2")
		return err == nil && body == "two"
	}, 10*time.Second, 10*time.Millisecond)
}

func TestAnUnframedAnswerEndsWithItsConnection(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it"
	t.Run("closed in order", func(t *testing.T) {
		replica := startReplica(t, answer{text: unframed, end: closeInOrder})
		exchange, err := do(t, newClient(), replica, "1")
		require.NoError(t, err)
		defer exchange.Close()
		assert.False(t, exchange.Framed)
		body, err := exchange.ReadAll()
		require.NoError(t, err)
		assert.Equal(t, "all of it", string(body))
	})
	t.Run("reset", func(t *testing.T) {
		replica := startReplica(t, answer{text: unframed, end: reset})
		_, err := exchangeWhole(t, newClient(), replica, "1")
		require.Error(t, err)
		assert.True(t, upstream.HandedOver(err))
	})
}

func TestACutAnswerIsNoAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"by length":      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"in chunks":      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"in the head":    "HTTP/1.1 200 OK\r\nId: 1\r\n",
		"no answer":      "",
		"not an answer":  "garbage garbage\r\n\r\n",
		"only another's": framed("0", "another's"),
	} {
		t.Run(name, func(t *testing.T) {
			replica := startReplica(t, answer{text: text, end: closeInOrder})
			_, err := exchangeWhole(t, newClient(), replica, "1")
			require.Error(t, err)
			assert.True(t, upstream.HandedOver(err), "the replica may have run it")
		})
	}
}

func TestARefusedConnectionHandsNothingOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = exchangeWhole(t, newClient(), &fakeReplica{address: address}, "1")
	require.Error(t, err)
	assert.False(t, upstream.HandedOver(err))
}

func TestAnEarlyAnswerToALongBodyClosesTheConnection(t *testing.T) {
	replica := startReplica(t,
		answer{text: framed("1", "too long"), early: true},
		answer{text: framed("2", "two")})
	client := newClient()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	exchange, err := client.Do(ctx, &upstream.Request{
		Address: replica.address, Instance: "i-1", Method: http.MethodPost, Target: "/", Host: "h",
		Body: []byte(strings.Repeat("x", 64<<20)),
	})
	require.NoError(t, err)
	body, err := exchange.ReadAll()
	require.NoError(t, err)
	assert.Equal(t, "too long", string(body))
	exchange.Close()
	second, err := exchangeWhole(t, client, replica, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", second)
	assert.EqualValues(t, 2, replica.connections.Load())
}

func TestTheEndOfTheContextEndsAnExchange(t *testing.T) {
	replica := startReplica(t)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := newClient().Do(ctx, &upstream.Request{
			Address: replica.address, Method: http.MethodGet, Target: "/", Host: "h",
		})
		failed <- err
	}()
	require.Eventually(t, func() bool { return replica.requests.Load() == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	err := <-failed
	require.ErrorIs(t, err, context.Canceled)
	assert.True(t, upstream.HandedOver(err))
}

// A peer that has requested a backoff gets no call of any kind until it is over, and its connection is kept.
func TestNothingIsSentToAPeerThatRests(t *testing.T) {
	var now atomic.Int64
	gate := backpressure.NewGate(backpressure.Options{
		Clock:  func() time.Duration { return time.Hour + time.Duration(now.Load()) },
		Logger: logr.Discard(),
	})
	seen := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		seen++
		if seen == 1 {
			writer.Header().Set("Retry-After", "3")
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	client := upstream.NewClient(upstream.Options{DialTimeout: time.Second, MaximumBodyBytes: 1 << 10, Gate: gate})
	call := func(method, instance string) error {
		answer, err := client.Do(t.Context(), &upstream.Request{Address: server.Listener.Addr().String(), Instance: instance, Method: method, Target: "/", Host: "h"})
		if err != nil {
			return err
		}
		defer answer.Close()
		_, err = answer.ReadAll()
		return err
	}
	require.NoError(t, call(http.MethodPost, "a"))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		err := call(method, "a")
		require.True(t, upstream.HeldBack(err))
		require.False(t, upstream.HandedOver(err))
	}
	require.NoError(t, call(http.MethodPost, "a-again"), "another incarnation at its address")
	require.Equal(t, 2, seen)
	now.Add(int64(3 * time.Second))
	require.NoError(t, call(http.MethodPost, "a"))
	require.Equal(t, 3, seen)
}

func TestNoMoreUnusedConnectionsAreKeptThanAllowed(t *testing.T) {
	var open atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	defer server.Close()
	client := upstream.NewClient(upstream.Options{DialTimeout: time.Second, MaximumBodyBytes: 1 << 10})
	for _, test := range []struct{ allowed, kept int64 }{{2, 2}, {1, 1}, {0, 6}} {
		var calls sync.WaitGroup
		for range 6 {
			calls.Go(func() {
				answer, err := client.Do(t.Context(), &upstream.Request{
					Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", MaximumIdle: int(test.allowed),
				})
				if assert.NoError(t, err) {
					_, err = answer.ReadAll()
					assert.NoError(t, err)
					answer.Close()
				}
			})
		}
		calls.Wait()
		require.Eventually(t, func() bool { return open.Load() == test.kept }, 10*time.Second, time.Millisecond, "%d are open", open.Load())
		client.Forget(server.Listener.Addr().String(), "")
	}
}
