package answer

import (
	"bytes"
	"net"
)

// inlineBytes is the size up to which a request is written before its answer is read. A larger one is written meanwhile: a peer may answer before
// it has read a long body.
const inlineBytes = 8 << 10

// Sending is a request on its way.
type Sending struct {
	// written is set at the end, in bytes.
	written int64
	// done is closed once nothing is written any more. err is set before, if that is for an error.
	done chan struct{}
	err  error
}

// Send writes the pieces of a request, a small one before it returns.
func Send(conn net.Conn, pieces ...[]byte) *Sending {
	sending := &Sending{done: make(chan struct{})}
	size := 0
	for _, piece := range pieces {
		size += len(piece)
	}
	if size > inlineBytes {
		go sending.write(conn, pieces)
		return sending
	}
	defer close(sending.done)
	count, err := conn.Write(bytes.Join(pieces, nil))
	sending.written, sending.err = int64(count), err
	return sending
}

func (s *Sending) write(conn net.Conn, pieces net.Buffers) {
	defer close(s.done)
	s.written, s.err = pieces.WriteTo(conn)
}

// HandedOver reports whether any byte was handed to the network, once nothing is written any more.
func (s *Sending) HandedOver() bool {
	<-s.done
	return s.written > 0
}

// Wait returns once nothing is written any more, with the error of the last write.
func (s *Sending) Wait() error {
	<-s.done
	return s.err
}

// HasEnded reports whether nothing is written any more.
func (s *Sending) HasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// IsComplete reports whether all was written.
func (s *Sending) IsComplete() bool { return s.HasEnded() && s.err == nil }
