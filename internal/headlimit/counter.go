// Package headlimit bounds the heads of HTTP answers. Those that parse a head collect it until it ends, and a peer may send bytes without
// end.
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

// Counter counts the heads of one exchange.
type Counter struct{ bytes, lines int }

// Bytes is the number of bytes of heads so far.
func (c *Counter) Bytes() int { return c.bytes }

// Add takes in the next bytes of a head.
func (c *Counter) Add(data []byte) error {
	c.bytes += len(data)
	c.lines += bytes.Count(data, newline)
	if c.bytes > MaximumBytes {
		return ErrBytes
	}
	if c.lines > MaximumLines {
		return ErrLines
	}
	return nil
}

var newline = []byte{'\n'}
