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
	// longestNumber bounds the characters of a time: no number of seconds takes more.
	longestNumber = 32
	// longestRest bounds a rest, above the life of any process.
	longestRest = 10 * 365 * 24 * time.Hour
)

var errNoTime = errors.New("no time in seconds")

// readRest reads for how long an answer asks to be left alone, in the field Retry-After (RFC 9110, section
// 10.2.3) of those that turn a request away. Of several times the longest counts. Dates are passed over: the
// clocks of two machines need not agree. unreadable says that there are times and none can be read.
func readRest(status int, header http.Header) (rest time.Duration, unreadable bool) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0, false
	}
	fields := header["Retry-After"]
	unreadable = len(fields) > 0
	for _, field := range fields {
		each, err := readSeconds(field)
		if err != nil {
			continue
		}
		unreadable = false
		rest = max(rest, each)
	}
	return rest, unreadable
}

// readSeconds reads a decimal number of seconds.
func readSeconds(text string) (time.Duration, error) {
	if len(text) > longestNumber {
		return 0, errNoTime
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(seconds) || seconds < 0 {
		return 0, errNoTime
	}
	if seconds > longestRest.Seconds() {
		return longestRest, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
