// Package headlimit bounds the heads of HTTP answers. Those that parse a head collect it until it ends, and a peer may
// send bytes without end.
package headlimit

import (
	"bytes"
	"errors"
)

const (
	// MaximumBytes bounds the heads of one exchange together: its answer's, those of interim answers (1xx) and of answers
	// to other requests.
	MaximumBytes = 64 << 10
	// MaximumLines bounds the lines of these heads, each of which costs more memory than its bytes.
	MaximumLines = 1000
)

// Errors of a head that goes beyond a bound.
var (
	ErrBytes = errors.New("the head of the answer has too many bytes")
	ErrLines = errors.New("the head of the answer has too many lines")
)

// Scanner follows the bytes of the heads of one exchange.
type Scanner struct {
	bytes int
	lines int
	// line holds the first bytes of the line under way, as far as they tell whether it is empty.
	line  [1]byte
	width int
	ended bool
}

// Bytes is the number of bytes of heads so far.
func (s *Scanner) Bytes() int { return s.bytes }

// Ended reports whether the head has come to its end, an empty line.
func (s *Scanner) Ended() bool { return s.ended }

// Next begins another head of the same exchange.
func (s *Scanner) Next() {
	s.ended = false
	s.width = 0
}

// Add takes in the next bytes. Those behind the end of the head don't count.
func (s *Scanner) Add(data []byte) error {
	for len(data) > 0 && !s.ended {
		line, rest, complete := bytes.Cut(data, newline)
		s.extend(line)
		if complete {
			s.endLine()
		}
		data = rest
		if s.bytes > MaximumBytes {
			return ErrBytes
		}
		if s.lines > MaximumLines {
			return ErrLines
		}
	}
	return nil
}

var newline = []byte{'\n'}

// extend adds bytes to the line under way.
func (s *Scanner) extend(data []byte) {
	if s.width == 0 && len(data) > 0 {
		s.line[0] = data[0]
	}
	s.width += len(data)
	s.bytes += len(data)
}

// endLine ends the line under way, and the head with an empty one.
func (s *Scanner) endLine() {
	s.bytes++
	s.lines++
	s.ended = s.width == 0 || s.width == 1 && s.line[0] == '\r'
	s.width = 0
}
