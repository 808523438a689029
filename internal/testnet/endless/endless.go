// Package endless has answers that have no end, for tests of those who read them.
package endless

import (
	"net"
	"strings"
	"time"
)

// Answer is a beginning and a piece that is sent again and again.
type Answer struct {
	Beginning, Piece string
	// Pause is the time before each piece.
	Pause time.Duration
}

// longPiece has no line end.
var longPiece = strings.Repeat("a", 64<<10)

// Heads are answers whose head has no end, by what they send.
var Heads = map[string]Answer{
	"bytes in the place of an answer": {Piece: longPiece},
	"a status line":                   {Beginning: "HTTP/1.1 200 ", Piece: longPiece},
	"one field":                       {Beginning: "HTTP/1.1 200 OK\r\nA: ", Piece: longPiece},
	"a field's name":                  {Beginning: "HTTP/1.1 200 OK\r\n", Piece: longPiece},
	"fields":                          {Beginning: "HTTP/1.1 200 OK\r\n", Piece: strings.Repeat("A: b\r\n", 1000)},
	"a folded field":                  {Beginning: "HTTP/1.1 200 OK\r\nA: b\r\n", Piece: strings.Repeat(" c\r\n", 1000)},
	"a field of an interim answer":    {Beginning: "HTTP/1.1 103 Early Hints\r\nA: ", Piece: longPiece},
	"a head behind an interim answer": {Beginning: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: ", Piece: longPiece},
}

// Bodies are answers whose body has no end, by what they send.
var Bodies = map[string]Answer{
	"a body":              {Beginning: "HTTP/1.1 200 OK\r\n\r\n", Piece: longPiece},
	"a long body":         {Beginning: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", Piece: longPiece},
	"a body of an error":  {Beginning: "HTTP/1.1 500 Internal Server Error\r\n\r\n", Piece: longPiece},
	"chunks":              {Beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Piece: "10000\r\n" + longPiece + "\r\n"},
	"a chunk's size":      {Beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Piece: longPiece},
	"a chunk's extension": {Beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", Piece: longPiece},
	"a trailer":           {Beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", Piece: longPiece},
	"trailers":            {Beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", Piece: strings.Repeat("A: b\r\n", 1000)},
}

// Write sends the answer until the connection is closed or a number of bytes was sent, and returns that of those sent.
func (a Answer) Write(conn net.Conn, most int) int {
	sent, err := conn.Write([]byte(a.Beginning))
	for err == nil && sent < most {
		time.Sleep(a.Pause)
		var count int
		count, err = conn.Write([]byte(a.Piece))
		sent += count
	}
	return sent
}
