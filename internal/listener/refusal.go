package listener

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// libraryRefusals are the plain texts with which hertz refuses a request before
// any handler sees it.
var libraryRefusals = []struct {
	text string
	kind failure.Kind
}{
	{"Request timeout", failure.RequestTooSlow},
	{"Request Entity Too Large", failure.BodyTooLarge},
	{"Request Header Fields Too Large", failure.HeadersTooLarge},
	{"Error when parsing request", failure.MalformedRequest},
}

var (
	refusalStart = []byte("HTTP/1.1 4")
	headerEnd    = []byte("\r\n\r\n")
)

// refusalKind returns the kind that a refusal of the library stands for.
func refusalKind(answer []byte) (failure.Kind, bool) {
	if !bytes.HasPrefix(answer, refusalStart) {
		return "", false
	}
	_, body, found := bytes.Cut(answer, headerEnd)
	if !found {
		return "", false
	}
	for _, refusal := range libraryRefusals {
		if string(body) == refusal.text {
			return refusal.kind, true
		}
	}
	return "", false
}

// renderRefusal is the whole answer with which a kind is refused.
func renderRefusal(kind failure.Kind) []byte {
	answer := failure.AnswerFor(failure.New(kind, failure.Lookup(kind).Summary))
	requestID := uuid.NewString()
	body, err := json.Marshal(failure.BodyFor(answer, requestID))
	if err != nil {
		panic("failure: " + err.Error())
	}
	var rendered bytes.Buffer
	fmt.Fprintf(&rendered, "HTTP/1.1 %d %s\r\n", answer.Status, http.StatusText(answer.Status))
	fmt.Fprintf(&rendered, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	fmt.Fprintf(&rendered, "%s: %s\r\nConnection: close\r\n", callerapi.HeaderRequestID, requestID)
	if answer.RetryAfter > 0 {
		fmt.Fprintf(&rendered, "%s: %d\r\n", callerapi.HeaderRetryAfter, int(answer.RetryAfter/time.Second))
	}
	rendered.Write(headerEnd[:2])
	rendered.Write(body)
	return rendered.Bytes()
}
