package application

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Call is one application call, checked and authenticated.
type Call struct {
	RequestID   string
	Tenant      string
	Application string
	Operation   string
	Body        []byte
	// Key is the idempotency key as its home zone's group knows it, empty for
	// repeatable operations.
	Key string
	// Deadline is a time on the monotonic clock.
	Deadline time.Duration
}

// Answer is what the caller gets: the back end's answer, or a failure.
type Answer struct {
	Status int
	Body   []byte
	// Stored is set if the answer is of an earlier run under the same key.
	Stored  bool
	Failure *failure.Answer
}

// hash tells another request under the same key apart: SHA-256 of application,
// operation and body, each with its length in front.
func (c *Call) hash() []byte {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(c.Application), []byte(c.Operation), c.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = digest.Write(size[:])
		_, _ = digest.Write(part)
	}
	return digest.Sum(nil)
}

func refused(kind failure.Kind, ran failure.Ran, detail string) Answer {
	row := failure.Lookup(kind)
	message := row.Summary
	if detail != "" {
		message += ": " + detail
	}
	return Answer{Failure: &failure.Answer{
		Kind:       kind,
		Status:     row.Status,
		Ran:        ran,
		Repeatable: row.Repeatable,
		RetryAfter: row.RetryAfter,
		Message:    message,
	}}
}
