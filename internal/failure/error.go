package failure

import (
	"time"

	"github.com/ansel1/merry/v2"
)

type contextKey int

const (
	keyKind contextKey = iota
	keyRan
	keyRetryAfter
)

// New returns an error of a kind, with its message and a stack trace.
func New(kind Kind, message string, wrappers ...merry.Wrapper) error {
	all := append([]merry.Wrapper{
		merry.WithValue(keyKind, kind),
		merry.WithHTTPCode(Lookup(kind).Status),
	}, wrappers...)
	return merry.New(message, all...)
}

// Wrap gives an existing error a kind; the kind named last holds.
func Wrap(err error, kind Kind, wrappers ...merry.Wrapper) error {
	all := append([]merry.Wrapper{
		merry.WithValue(keyKind, kind),
		merry.WithHTTPCode(Lookup(kind).Status),
	}, wrappers...)
	return merry.Wrap(err, all...)
}

// WithRan overrides the table's word on whether the request ran. Use it only
// where the raiser has proof.
func WithRan(ran Ran) merry.Wrapper {
	return merry.WithValue(keyRan, ran)
}

// WithRetryAfter overrides the table's retry advice.
func WithRetryAfter(after time.Duration) merry.Wrapper {
	return merry.WithValue(keyRetryAfter, after)
}

// KindOf returns the kind of an error, Internal if it has none.
func KindOf(err error) Kind {
	if kind, ok := merry.Value(err, keyKind).(Kind); ok {
		return kind
	}
	return Internal
}

// Answer is what a caller is told about a failure.
type Answer struct {
	Kind       Kind
	Status     int
	Ran        Ran
	Repeatable bool
	RetryAfter time.Duration
	Message    string
}

// AnswerFor works out the answer to an error from the table and from what its
// raiser added.
func AnswerFor(err error) Answer {
	row := Lookup(KindOf(err))
	answer := Answer{
		Kind:       row.Kind,
		Status:     row.Status,
		Ran:        row.Ran,
		Repeatable: row.Repeatable,
		RetryAfter: row.RetryAfter,
		Message:    err.Error(),
	}
	if ran, ok := merry.Value(err, keyRan).(Ran); ok {
		answer.Ran = ran
	}
	if after, ok := merry.Value(err, keyRetryAfter).(time.Duration); ok {
		answer.RetryAfter = after
	}
	return answer
}

// Body is the JSON body of a refusal, in the shape that OpenAI-style clients
// expect.
type Body struct {
	Error Detail `json:"error"`
}

// Detail carries the failure inside Body.
type Detail struct {
	Type             Kind   `json:"type"`
	Message          string `json:"message"`
	Ran              Ran    `json:"ran"`
	Repeatable       bool   `json:"repeatable"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id,omitempty"`
}

// BodyFor renders an answer for the wire.
func BodyFor(answer Answer, requestID string) Body {
	return Body{Error: Detail{
		Type:             answer.Kind,
		Message:          answer.Message,
		Ran:              answer.Ran,
		Repeatable:       answer.Repeatable,
		RetryAfterMillis: answer.RetryAfter.Milliseconds(),
		RequestID:        requestID,
	}}
}

// Text returns an error's message for a log line, empty if there is none.
func Text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
