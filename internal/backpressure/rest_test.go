package backpressure

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestParseRetryAfter(t *testing.T) {
	for _, each := range []struct {
		status     int
		fields     []string
		backoff    time.Duration
		unreadable bool
	}{
		{503, nil, 0, false},
		{503, []string{"3"}, 3 * time.Second, false},
		{429, []string{"3"}, 3 * time.Second, false},
		{200, []string{"3"}, 0, false},
		{500, []string{"3"}, 0, false},
		{503, []string{" 0.5 "}, 500 * time.Millisecond, false},
		{503, []string{"0"}, 0, false},
		{503, []string{"1e9"}, maximumBackoff, false},
		{503, []string{"1e999"}, maximumBackoff, false},
		{503, []string{"1", "4", "2"}, 4 * time.Second, false},
		{503, []string{"rubbish", "2"}, 2 * time.Second, false},
		{503, []string{"-1"}, 0, true},
		{503, []string{"NaN"}, 0, true},
		{503, []string{""}, 0, true},
		{503, []string{"3, 4"}, 0, true},
		{503, []string{"Thu, 03 Dec 2026 10:00:00 GMT"}, 0, true},
		{503, []string{strings.Repeat("9", 64<<10)}, 0, true},
	} {
		backoff, unreadable := parseRetryAfter(each.status, http.Header{"Retry-After": each.fields})
		assert.Equal(t, each.backoff, backoff, "%d %.40q", each.status, each.fields)
		assert.Equal(t, each.unreadable, unreadable, "%d %.40q", each.status, each.fields)
	}
}
