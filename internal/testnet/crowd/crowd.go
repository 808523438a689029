// Package crowd has clients that don't behave, for tests of those who read requests.
package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/lifecycle"
)

// Target is where a client's requests are for, and what the limits there allow.
type Target struct {
	Host, Path string
	// MaxHeaderBytes and MaxBodyBytes are the limits in force.
	MaxHeaderBytes, MaxBodyBytes int
}

// Client is what one client sends on a connection: a beginning, pieces up to a number of bytes, and then bytes one by one.
type Client struct {
	Beginning, Piece string
	// Most is the number of bytes of pieces that are sent, 0 for no bound.
	Most int
	// Pause is the time before each piece.
	Pause time.Duration
	// Drip is the time before each byte that follows the pieces, 0 for silence.
	Drip time.Duration
}

// Group is a number of kinds of clients that have one fault in common.
type Group struct {
	Name    string
	Clients []Client
	// Announced says that all of them announce how much they send.
	Announced bool
}

const (
	longPieceBytes = 64 << 10
	// slowPause is between the pieces of slow clients.
	slowPause = 10 * time.Millisecond
	// shortOfEnd is what bodies lack of the end.
	shortOfEnd = 16 << 10
	// fieldBytes is the size of the pieces of a field that comes slowly.
	fieldBytes = 1 << 10
	// headRest is what a head that stops lacks of the limit.
	headRest = 4 << 10
	// endlessLength is a length that no process may hold.
	endlessLength = 1_000_000_000_000
)

// Groups returns the groups of clients that send more than a process may hold, or stop before their end.
func Groups(target Target) []Group {
	line := "POST " + target.Path + " HTTP/1.1\r\n"
	head := line + "Host: " + target.Host + "\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	most := target.MaxBodyBytes - shortOfEnd
	long := strings.Repeat("a", longPieceBytes)
	oneByte := "1\r\na\r\n"
	return []Group{
		{Name: "chunked bodies that stop short of their end", Clients: []Client{
			{Beginning: chunked, Piece: chunk(long), Most: most},
			{Beginning: chunked + fmt.Sprintf("%x\r\n", most), Piece: long, Most: most - shortOfEnd},
			{Beginning: chunked, Piece: strings.Repeat(oneByte, 4<<10), Most: most * len(oneByte)},
		}},
		{Name: "bodies without end", Clients: []Client{
			{Beginning: chunked, Piece: chunk(long)},
			{Beginning: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", endlessLength), Piece: long},
			{Beginning: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 8*target.MaxBodyBytes), Piece: long},
			{Beginning: chunked + fmt.Sprintf("%x\r\n", endlessLength), Piece: long},
		}},
		{Name: "trailers and extensions without end", Clients: []Client{
			{Beginning: chunked + "0\r\n", Piece: strings.Repeat("A: b\r\n", 1000)},
			{Beginning: chunked + "0\r\nA: ", Piece: long},
			{Beginning: chunked + "1;a=", Piece: long},
			{Beginning: chunked, Piece: long},
		}},
		{Name: "heads that come slowly", Clients: []Client{
			{Beginning: head + "A: ", Piece: strings.Repeat("a", fieldBytes), Pause: slowPause},
			{Beginning: head + "A: ", Piece: strings.Repeat("a", target.MaxHeaderBytes-headRest), Most: target.MaxHeaderBytes - headRest, Drip: slowPause},
			{Beginning: head, Piece: "A: b\r\n", Pause: slowPause},
			{Piece: "\r\n", Pause: slowPause},
		}},
		{Name: "heads without end", Clients: []Client{
			{Beginning: head + "A: ", Piece: long},
			{Beginning: head, Piece: strings.Repeat("A: b\r\n", 1000)},
			{Piece: strings.Repeat("\r\n", 1000)},
			{Beginning: "POST /", Piece: long},
			{Beginning: head + "A: b\r\n", Piece: strings.Repeat(" c\r\n", 1000)},
		}},
		{Name: "announced bodies that stop short of their end", Announced: true, Clients: []Client{
			{Beginning: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", target.MaxBodyBytes), Piece: long, Most: most},
			{Beginning: head + fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", target.MaxBodyBytes), Piece: long, Most: most},
			{Beginning: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", target.MaxBodyBytes), Piece: strings.Repeat("a", fieldBytes), Pause: slowPause},
		}},
	}
}

// Idle returns clients that hardly send anything, by what they send.
func Idle(target Target) []Group {
	head := "POST " + target.Path + " HTTP/1.1\r\nHost: " + target.Host + "\r\n"
	return []Group{
		{Name: "nothing", Clients: []Client{{}}},
		{Name: "half of a request line", Clients: []Client{{Beginning: "POST /"}}},
		{Name: "a byte of a body now and then", Clients: []Client{{Beginning: head + "Content-Length: 60000\r\n\r\n", Drip: 50 * slowPause}}},
	}
}

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// Send opens a connection, sends until the context ends or the other side closes it, and reads nothing. It returns the number of
// bytes that were sent.
func (c *Client) Send(ctx context.Context, address string) int {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	sent, err := conn.Write([]byte(c.Beginning))
	pieces := 0
	for err == nil && c.Piece != "" && (c.Most == 0 || pieces < c.Most) && (c.Pause == 0 || lifecycle.Sleep(ctx, c.Pause)) {
		piece := c.Piece
		if c.Most > 0 {
			piece = piece[:min(len(piece), c.Most-pieces)]
		}
		var count int
		count, err = conn.Write([]byte(piece))
		pieces += count
	}
	for err == nil && c.Drip > 0 && lifecycle.Sleep(ctx, c.Drip) {
		_, err = conn.Write([]byte("a"))
		pieces++
	}
	awaitClose(conn, err)
	return sent + pieces
}

// awaitClose returns once the other side has closed a connection on which nothing has failed, or its deadline has passed.
func awaitClose(conn net.Conn, err error) {
	buffer := make([]byte, 512)
	for err == nil {
		_, err = conn.Read(buffer)
	}
}
