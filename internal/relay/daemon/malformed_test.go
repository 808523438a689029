package daemon_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rawTimeout limits how long a test waits on a connection.
const rawTimeout = 30 * time.Second

// sendRaw sends bytes to a gateway and returns the statuses of all answers until the gateway closes
// the connection.
func sendRaw(t *testing.T, address, sent string) []int {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.SetDeadline(time.Now().Add(rawTimeout)))
	go func() { _, _ = io.WriteString(connection, sent) }()
	reader := bufio.NewReader(connection)
	var statuses []int
	for {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			var slow net.Error
			require.False(t, errors.As(err, &slow) && slow.Timeout(), "the connection is still open after %v", statuses)
			return statuses
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		statuses = append(statuses, answer.StatusCode)
	}
}

func TestMalformedRequestsAreRefusedAndNothingIsPassedOn(t *testing.T) {
	var visits atomic.Int32
	replica := startReplica(t, func(writer http.ResponseWriter, request *http.Request) {
		visits.Add(1)
		streaming(1, false)(writer, request)
	})
	coordinator := startCoordinator(t, newView(t, 1, replica))
	g := startGateway(t, coordinator)
	g.awaitReadiness(http.StatusOK)
	head := "POST /v1/x HTTP/1.1\r\nHost: h.example\r\nRequest: r\r\n"
	hidden := "POST /v1/hidden HTTP/1.1\r\nHost: h.example\r\nRequest: hidden\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	for name, sent := range map[string]string{
		"length and chunks":      head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"chunks and length":      head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":            head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"a negative length":      head + "Content-Length: -5\r\n\r\n" + hidden,
		"a length in words":      head + "Content-Length: five\r\n\r\n" + hidden,
		"a signed length":        head + "Content-Length: +5\r\n\r\n" + hidden,
		"a space before a colon": head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden,
		"an unknown coding":      head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + hidden,
		"a coding of two lines":  head + "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"a bad chunk":            head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" + hidden,
		"no request line":        "\x16\x03\x01\x02\r\n\r\n" + hidden,
		"a header flood":         head + strings.Repeat("X-Flood: "+strings.Repeat("x", 1000)+"\r\n", 200) + "\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			statuses := sendRaw(t, g.address, sent)
			for _, status := range statuses {
				assert.GreaterOrEqual(t, status, 400, "%v", statuses)
				assert.Less(t, status, 500, "%v", statuses)
			}
			assert.LessOrEqual(t, len(statuses), 1, "the gateway must not read what follows: %v", statuses)
			assert.Zero(t, visits.Swap(0), fmt.Sprint("statuses ", statuses))
		})
	}
}
