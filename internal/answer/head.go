package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// MaximumInterim bounds the interim answers (1xx) before an answer.
const MaximumInterim = 5

// Head is the head of an answer.
type Head struct {
	Status int
	Header http.Header
	// length is that of the body, lengthUnknown if it is not announced.
	length    int64
	isChunked bool
	// Close says that the connection is not used again.
	Close bool
}

// IsFinalStatus reports whether a number is the status of an answer that is not an interim one.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= highestStatus }

// IsInterim reports whether another answer to the same request follows.
func (h *Head) IsInterim() bool { return h.Status < http.StatusOK }

// ReadHead reads a head, also an interim one. count is called with all bytes of it as they come, at most those of the reader's buffer at a time;
// its error ends the reading.
func ReadHead(reader *bufio.Reader, count func(data []byte) error) (*Head, error) {
	line, err := readLine(reader, count)
	if err != nil {
		return nil, err
	}
	head := &Head{Header: http.Header{}}
	var version byte
	if head.Status, version, err = parseStatusLine(line); err != nil {
		return nil, err
	}
	for {
		line, err := readLine(reader, count)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			break
		}
		if err := head.addField(line); err != nil {
			return nil, err
		}
	}
	return head, head.readFraming(version)
}

// readLine returns a line without its end. It is valid until the next read.
func readLine(reader *bufio.Reader, count func(data []byte) error) ([]byte, error) {
	var long []byte
	for {
		piece, err := reader.ReadSlice('\n')
		if excess := count(piece); excess != nil {
			return nil, excess
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, piece...)
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if long != nil {
			piece = append(long, piece...)
		}
		return bytes.TrimSuffix(piece[:len(piece)-1], carriageReturn), nil
	}
}

var carriageReturn = []byte{'\r'}

const (
	versionStart = "HTTP/1."
	// statusAt is where the status begins, and reasonAt where the blank before the reason is.
	statusAt = len(versionStart) + 2
	reasonAt = statusAt + 3
	// lowestStatus and highestStatus are of RFC 9110, section 15.
	lowestStatus, highestStatus = 100, 599
)

// parseStatusLine returns the status and the digit of the minor version (RFC 9112, section 4). A reason may be missing, with or without the
// blank before it.
func parseStatusLine(line []byte) (status int, version byte, err error) {
	if len(line) < statusAt || string(line[:len(versionStart)]) != versionStart || !isDigit(line[statusAt-2]) || line[statusAt-1] != ' ' {
		return 0, 0, &Error{FaultStatusLine}
	}
	version = line[statusAt-2]
	if len(line) < reasonAt || len(line) > reasonAt && line[reasonAt] != ' ' {
		return 0, 0, &Error{FaultStatus}
	}
	for _, digit := range line[statusAt:reasonAt] {
		if !isDigit(digit) {
			return 0, 0, &Error{FaultStatus}
		}
		status = 10*status + int(digit-'0')
	}
	if status < lowestStatus || status > highestStatus {
		return 0, 0, &Error{FaultStatus}
	}
	if !isText(string(line[reasonAt:])) {
		return 0, 0, &Error{FaultStatusLine}
	}
	return status, version, nil
}

// addField adds the field of a line.
func (h *Head) addField(line []byte) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	name = http.CanonicalHeaderKey(name)
	h.Header[name] = append(h.Header[name], value)
	return nil
}

// blanks are those around a value (RFC 9110, section 5.6.3).
const blanks = " \t"

// parseField parses the line of a field (RFC 9112, section 5; RFC 9110, section 5.5). One that goes on in the next line is none: a gateway may
// refuse the whole answer.
func parseField(line []byte) (name, value string, err error) {
	name, value, found := strings.Cut(string(line), ":")
	if !found || !isToken(name) {
		return "", "", &Error{FaultName}
	}
	if !isText(value) {
		return "", "", &Error{FaultValue}
	}
	return name, strings.Trim(value, blanks), nil
}

// checkTrailer returns an error if the line behind the chunks is no field.
func checkTrailer(line []byte) error {
	if _, _, err := parseField(line); err != nil {
		return &Error{FaultTrailer}
	}
	return nil
}
