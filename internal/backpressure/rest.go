package backpressure

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maximumNumberLength bounds the characters of a number of seconds; no sensible one takes more.
	maximumNumberLength = 32
	// maximumBackoff bounds a backoff. It exceeds the lifetime of any process.
	maximumBackoff = 10 * 365 * 24 * time.Hour
)

var errNotSeconds = errors.New("not a number of seconds")

// parseRetryAfter returns the backoff that a rejection (503 or 429) asks for in Retry-After fields (RFC 9110,
// section 10.2.3). The longest of several counts. Dates are ignored, because the clocks of two machines may
// differ. unreadable is set if there are such fields and none can be parsed.
func parseRetryAfter(status int, header http.Header) (backoff time.Duration, unreadable bool) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0, false
	}
	fields := header["Retry-After"]
	unreadable = len(fields) > 0
	for _, field := range fields {
		each, err := parseSeconds(field)
		if err != nil {
			continue
		}
		unreadable = false
		backoff = max(backoff, each)
	}
	return backoff, unreadable
}

// parseSeconds parses a decimal number of seconds.
func parseSeconds(text string) (time.Duration, error) {
	if len(text) > maximumNumberLength {
		return 0, errNotSeconds
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(seconds) || seconds < 0 {
		return 0, errNotSeconds
	}
	if seconds > maximumBackoff.Seconds() {
		return maximumBackoff, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
