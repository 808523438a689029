package listener_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/listener"
)

const answerBytes = 8 << 20

// answering writes an answer to each connection that is made to it.
func answering(t *testing.T, adapt func(*listener.Listener)) *listener.Listener {
	t.Helper()
	l, err := listener.Listen("127.0.0.1:0", 1000, func(failure.Kind) {})
	require.NoError(t, err)
	adapt(l)
	answer := make([]byte, answerBytes)
	var writers sync.WaitGroup
	writers.Go(func() {
		for {
			accepted, err := l.Accept()
			if err != nil {
				return
			}
			writers.Go(func() {
				_, _ = accepted.Write(answer)
				_ = accepted.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		l.CloseConnections()
		writers.Wait()
	})
	return l
}

func dial(t *testing.T, l *listener.Listener) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// What waits for readers is bounded, whatever the number of those that don't read; who reads gets all.
func TestConnectionsThatStallGiveWay(t *testing.T) {
	const most = 4 * answerBytes
	for _, slow := range []int{10, 100, 400} {
		l := answering(t, func(l *listener.Listener) { l.StallTime, l.MaximumUnread = time.Minute, most })
		var highest int64
		for range slow {
			dial(t, l)
			highest = max(highest, l.Unread())
		}
		read, err := io.Copy(io.Discard, dial(t, l))
		assert.NoError(t, err)
		assert.EqualValues(t, answerBytes, read)
		t.Logf("%d that don't read: at most %.1f MB of %.1f MB unread", slow, float64(highest)/1e6, float64(slow*answerBytes)/1e6)
		assert.LessOrEqual(t, highest, int64(2*most))
	}
}

// A slow reader that takes a little in each stall time gets the whole answer.
func TestASlowReaderIsNotGivenUp(t *testing.T) {
	l := answering(t, func(l *listener.Listener) { l.StallTime = 300 * time.Millisecond })
	connection, read, buffer := dial(t, l), 0, make([]byte, answerBytes/16)
	for {
		count, err := io.ReadFull(connection, buffer)
		read += count
		if err != nil {
			assert.ErrorIs(t, err, io.EOF)
			break
		}
		time.Sleep(60 * time.Millisecond)
	}
	assert.Equal(t, answerBytes, read)
}

// A refusal on a connection that had been quiet for longer than the stall time was not written: the
// deadline of the answer before it still held for its connection.
func TestARefusalAfterAQuietTimeIsWritten(t *testing.T) {
	const stall = 50 * time.Millisecond
	l, err := listener.Listen("127.0.0.1:0", 10, func(failure.Kind) {})
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	l.StallTime = stall
	connection := dial(t, l)
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	_, err = accepted.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	time.Sleep(2 * stall)
	_, err = accepted.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\nError when parsing request"))
	require.NoError(t, err)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)))
	read := make([]byte, 1<<10)
	count, err := io.ReadAtLeast(connection, read, 80)
	require.NoError(t, err)
	assert.Contains(t, string(read[:count]), "HTTP/1.1 400")
}
