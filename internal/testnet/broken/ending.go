package broken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Ending is how a peer ends its connection behind what it has sent.
type Ending int

const (
	// Reset discards the connection.
	Reset Ending = iota
	// CloseUnread closes the connection, which the system resets if bytes of the request are unread.
	CloseUnread
	// FinishThenReset ends what was sent in order, and resets the connection some time later.
	FinishThenReset
	// FinishThenClose ends what was sent in order, and closes the connection some time later with the rest of the request unread.
	FinishThenClose
)

// IsInOrder reports whether what was sent is whole if it has no length.
func (e Ending) IsInOrder() bool { return e == FinishThenReset || e == FinishThenClose }

// String implements fmt.Stringer.
func (e Ending) String() string {
	return [...]string{"reset", "closed with the rest unread", "finished, then reset", "finished, then closed with the rest unread"}[e]
}

// finishPause is the time between the end of an answer and that of its connection.
const finishPause = 5 * time.Millisecond

// End ends a connection.
func (e Ending) End(conn *net.TCPConn) {
	if e.IsInOrder() {
		_ = conn.CloseWrite()
		time.Sleep(finishPause)
	}
	if e == Reset || e == FinishThenReset {
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
}

// ReadWhole stands for all bytes of a request.
const ReadWhole = -1

// Exchange is what a peer does with a request.
type Exchange struct {
	// Read is the number of bytes of the request that are read before the answer is sent, or ReadWhole.
	Read int
	// Answer is sent at once, and Pause is the time between it and the end.
	Answer string
	Pause  time.Duration
	Ending Ending
}

// Serve reads a request, answers it and ends the connection.
func (e Exchange) Serve(conn *net.TCPConn) {
	if e.Read == ReadWhole {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
	} else {
		_, _ = io.CopyN(io.Discard, conn, int64(e.Read))
	}
	_, _ = io.WriteString(conn, e.Answer)
	time.Sleep(e.Pause)
	e.Ending.End(conn)
}
