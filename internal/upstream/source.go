package upstream

import "net"

// source is what the buffered reader of a connection reads from. It counts what one exchange has brought.
type source struct {
	net.Conn
	// received is the number of bytes since the exchange began.
	received int64
	// onHead is called with received while a head is being read; nil at other times.
	onHead func(received int64)
}

// Read implements io.Reader.
func (s *source) Read(buffer []byte) (int, error) {
	count, err := s.Conn.Read(buffer)
	s.received += int64(count)
	if s.onHead != nil {
		s.onHead(s.received)
	}
	return count, err
}
