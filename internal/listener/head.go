package listener

import (
	"bytes"
	"strconv"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/framing"
)

// headScanner follows the bytes of a request's head: empty lines before it, the request line, the fields.
type headScanner struct {
	// scanned bytes were looked at, and lineStart is where the line under way begins.
	scanned, lineStart int
	// start is where the request line begins and fieldsStart where the fields do, 0 before it is known.
	start, fieldsStart int
	lines              int
}

// scan looks at the bytes that have come since, and returns the end of the head, 0 if it is not whole.
func (s *headScanner) scan(head []byte) (end int) {
	for {
		index := bytes.IndexByte(head[s.scanned:], '\n')
		if index < 0 {
			s.scanned = len(head)
			return 0
		}
		next := s.scanned + index + 1
		line := head[s.lineStart:next]
		s.scanned, s.lineStart = next, next
		isEmpty := len(line) == 1 || len(line) == 2 && line[0] == '\r'
		switch {
		case isEmpty && s.fieldsStart == 0:
			s.start = next
		case isEmpty:
			return next
		case s.fieldsStart == 0:
			s.fieldsStart = next
		default:
			s.lines++
		}
	}
}

// exceeds reports whether the request line, with what is before it, or the fields have more bytes than a limit.
func (s *headScanner) exceeds(size, limit int) bool {
	if s.fieldsStart == 0 {
		return size > limit
	}
	return s.fieldsStart > limit || size-s.fieldsStart > limit
}

// bodyFraming says how a request's body is sent.
type bodyFraming struct {
	// length is that of a body that is announced.
	length     int64
	isChunked  bool
	isExpected bool
}

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	expect           = []byte("Expect")
	continued        = []byte("100-continue")
)

// readFraming returns the framing that the fields of a head name, and hides an announced length: the digits become zeros, so that the
// HTTP library expects no body.
func readFraming(fields []byte) (bodyFraming, error) {
	var read bodyFraming
	if err := framing.Check(fields); err != nil {
		return read, err
	}
	for rest := fields; len(rest) > 0; {
		line := rest
		if index := bytes.IndexByte(rest, '\n'); index >= 0 {
			line = rest[:index]
		}
		rest = rest[min(len(line)+1, len(rest)):]
		colon := bytes.IndexByte(line, ':')
		if colon < 0 {
			continue
		}
		value := bytes.TrimSpace(line[colon+1:])
		switch name := line[:colon]; {
		case bytes.EqualFold(name, contentLength):
			length, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil {
				return read, failure.Wrap(err, failure.MalformedRequest)
			}
			read.length = int64(length)
			for index := range value {
				value[index] = '0'
			}
		case bytes.EqualFold(name, transferEncoding):
			read.isChunked = true
		case bytes.EqualFold(name, expect):
			read.isExpected = bytes.EqualFold(value, continued)
		}
	}
	return read, nil
}
