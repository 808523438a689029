// Package framing refuses requests of which it is open where they end.
package framing

import (
	"bytes"
	"strings"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Check returns an error if a request's header fields leave it open where its
// body ends, or to whom it goes: what stands behind such a request may be a part of it
// for the one and a request of its own for the other (RFC 9112, sections 3.2, 5.2, 6.1
// and 6.3). hertz (v0.10.4) accepts these.
func Check(raw []byte) error {
	lengths, codings, hosts := 0, 0, 0
	for line := range bytes.Lines(raw) {
		if line[0] == ' ' || line[0] == '\t' {
			return failure.New(failure.MalformedRequest, "a header field goes on in the next line")
		}
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(string(bytes.TrimSpace(value)), "chunked") {
				return failure.New(failure.MalformedRequest, "the transfer coding is not known")
			}
		case "host":
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
