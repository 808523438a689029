// Package framing rejects requests whose end is ambiguous.
package framing

import (
	"bytes"

	"github.com/pierhaven/pierhaven/internal/failure"
)

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
	host             = []byte("Host")
)

// Check returns an error if a request's header fields leave it ambiguous where its body ends or
// which host it is for. What follows such a request may be a part of it for one server and a
// separate request for another, which allows request smuggling (RFC 9112, sections 3.2, 5.2, 6.1
// and 6.3). hertz (v0.10.4) accepts such requests.
func Check(raw []byte) error {
	lengths, codings, hosts := 0, 0, 0
	for line := range bytes.Lines(raw) {
		if line[0] == ' ' || line[0] == '\t' {
			return failure.New(failure.MalformedRequest, "a header field goes on in the next line")
		}
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch {
		case bytes.EqualFold(name, contentLength):
			lengths++
		case bytes.EqualFold(name, transferEncoding):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), chunked) {
				return failure.New(failure.MalformedRequest, "the transfer coding is not known")
			}
		case bytes.EqualFold(name, host):
			hosts++
		}
	}
	if lengths+codings > 1 {
		return failure.New(failure.MalformedRequest, "the length of the body is given more than once")
	}
	if hosts > 1 {
		return failure.New(failure.MalformedRequest, "there is more than one host")
	}
	return nil
}
