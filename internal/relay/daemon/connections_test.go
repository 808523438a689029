package daemon_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/relay/daemon"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// The connections of callers could take nearly all file descriptors, so that requests which had been read found none for the
// connection to a replica.
func TestCallersLeaveFileDescriptorsForReplicas(t *testing.T) {
	const descriptors, crowd = 100, 80
	replica := startReplica(t, streaming(3, false))
	coordinator := startCoordinator(t, viewOfReplicas(t, traffic.KindStream, []string{replica}, nil))
	gateway := startGatewayWith(t, func(settings *daemon.Settings) { settings.FileDescriptors = descriptors }, coordinator)
	gateway.awaitReadiness(http.StatusOK)
	var dialed, open []net.Conn
	for range crowd {
		connection, err := net.Dial("tcp", gateway.address)
		require.NoError(t, err)
		defer func() { _ = connection.Close() }()
		dialed = append(dialed, connection)
	}
	// Connections are accepted in order: once the last one is answered, all have been.
	requireAnswered(t, dialed[crowd-1])
	for _, connection := range dialed {
		_ = connection.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := connection.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open = append(open, connection)
		}
	}
	assert.Less(t, 2*len(open), descriptors)
	assert.Greater(t, 3*len(open), descriptors)
	for _, connection := range open {
		requireAnswered(t, connection)
	}
}

// requireAnswered sends a request on a connection, and requires its answer.
func requireAnswered(t *testing.T, connection net.Conn) {
	t.Helper()
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	_, err := fmt.Fprint(connection, "POST /v3/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.StatusCode)
	_ = answer.Body.Close()
}
