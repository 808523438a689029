package testnet

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/testnet/endless"
)

// EndlessBytes is more than the memory and the sockets of a caller may take of an answer that has no end.
const EndlessBytes = 32 << 20

// EndlessPeer answers each request without end.
type EndlessPeer struct {
	Address string
	// Sent gets the number of bytes of each answer, once its caller has closed the connection or EndlessBytes were sent.
	Sent chan int
}

// StartEndless starts a peer.
func StartEndless(t *testing.T, answer endless.Answer) *EndlessPeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	peer := &EndlessPeer{Address: listener.Addr().String(), Sent: make(chan int, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go peer.serve(conn, answer)
		}
	}()
	return peer
}

func (p *EndlessPeer) serve(conn net.Conn, answer endless.Answer) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		p.Sent <- answer.Write(conn, EndlessBytes)
	}
}
