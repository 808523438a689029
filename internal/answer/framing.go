package answer

import (
	"net/http"
	"strconv"
	"strings"
)

// lengthUnknown is the length of a body that is not announced.
const lengthUnknown = int64(-1)

const (
	headerLength     = "Content-Length"
	headerCoding     = "Transfer-Encoding"
	headerConnection = "Connection"
	headerTrailer    = "Trailer"
	codingChunked    = "chunked"
)

// readFraming reads how the body is sent, and whether the connection may be used again, from the fields of the head (RFC 9112, sections 6.3
// and 9.3). version is the digit of the minor version.
func (h *Head) readFraming(version byte) error {
	isOld := version == '0'
	h.Close = hasToken(h.Header[headerConnection], "close") || isOld && !hasToken(h.Header[headerConnection], "keep-alive")
	h.length = lengthUnknown
	codings, lengths := h.Header[headerCoding], h.Header[headerLength]
	switch {
	case h.IsInterim() && (h.Status == http.StatusSwitchingProtocols || len(codings)+len(lengths) > 0):
		return &Error{FaultInterim}
	case len(codings) > 0 && len(lengths) > 0:
		return &Error{FaultLength}
	case len(codings) > 0:
		h.isChunked = len(codings) == 1 && strings.EqualFold(codings[0], codingChunked)
		if !h.isChunked || isOld || h.Status == http.StatusNoContent {
			return &Error{FaultCoding}
		}
	case len(lengths) > 0:
		return h.readLength(lengths)
	}
	return nil
}

// readLength reads the length, which may be given several times if it is the same.
func (h *Head) readLength(fields []string) error {
	for _, field := range fields {
		for value := range strings.SplitSeq(field, ",") {
			length, err := strconv.ParseUint(strings.Trim(value, blanks), 10, 63)
			if err != nil || h.length != lengthUnknown && h.length != int64(length) {
				return &Error{FaultLength}
			}
			h.length = int64(length)
		}
	}
	return nil
}

// hasToken reports whether one of the comma-separated lists of fields has a token.
func hasToken(fields []string, token string) bool {
	for _, field := range fields {
		for value := range strings.SplitSeq(field, ",") {
			if strings.EqualFold(strings.Trim(value, blanks), token) {
				return true
			}
		}
	}
	return false
}

// Length returns the length of the body of an answer to a request of a method, and whether it is announced.
func (h *Head) Length(method string) (length int64, isAnnounced bool) {
	if method == http.MethodHead || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified {
		return 0, true
	}
	return h.length, h.length != lengthUnknown
}

// IsFramed reports whether the answer's body has a length or is in chunks. Others end with their connection.
func (h *Head) IsFramed(method string) bool {
	_, isAnnounced := h.Length(method)
	return isAnnounced || h.isChunked
}
