package middleware

import (
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pierhaven/pierhaven/internal/api/callerapi"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// failureKey holds the kind of failure that a request was answered with.
const failureKey = "pierhaven-failure"

// Refuse answers a request with a failure and ends its handling.
func Refuse(call *app.RequestContext, err error) {
	RefuseWith(call, failure.AnswerFor(err))
}

// RefuseWith answers a request with a failure and ends its handling.
func RefuseWith(call *app.RequestContext, answer failure.Answer) {
	NoteFailure(call, answer.Kind)
	if answer.RetryAfter > 0 {
		call.Header(callerapi.HeaderRetryAfter, retryAfterSeconds(answer.RetryAfter))
	}
	call.AbortWithStatusJSON(answer.Status, failure.BodyFor(answer, ScopeOf(call).RequestID))
}

// NoteFailure counts a failure whose answer is written elsewhere.
func NoteFailure(call *app.RequestContext, kind failure.Kind) {
	call.Set(failureKey, kind)
}

func failureOf(call *app.RequestContext) (failure.Kind, bool) {
	kind, found := call.Get(failureKey)
	if !found {
		return "", false
	}
	return kind.(failure.Kind), true
}

// retryAfterSeconds rounds up, because the header takes whole seconds only; the
// body carries milliseconds.
func retryAfterSeconds(after time.Duration) string {
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}
