package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/explain"
)

func explained(t *testing.T, logs ...string) explain.Explanation {
	t.Helper()
	var lines []explain.Line
	for _, log := range logs {
		var err error
		lines, err = explain.Read(strings.NewReader(log), "r-1", lines)
		require.NoError(t, err)
	}
	return explain.Explain("r-1", lines)
}

const (
	taken   = `{"ts":"2026-12-02T10:00:00.001Z","msg":"request taken","process":"relay a","request":"r-1","route":"x"}`
	other   = `{"ts":"2026-12-02T10:00:00.002Z","msg":"request taken","process":"relay a","request":"r-12","route":"x"}`
	attempt = `{"ts":"2026-12-02T10:00:00.300Z","msg":"attempt ended","process":"relay a","request":"r-1","replica":"i-1","verdict":"unknown","cause":"reset"}`
	refused = `{"ts":"2026-12-02T10:00:00.301Z","msg":"request refused","process":"relay a","request":"r-1","kind":"outcome_unknown","status":502,"cause":"it may have run"}`
)

func TestLinesOfSeveralLogsAreOrderedAndTheCauseIsStated(t *testing.T) {
	got := explained(t, refused+"\nnot a line\n"+taken, "  12.3 front-1 "+attempt+"\n"+other)
	require.Len(t, got.Lines, 3)
	assert.Equal(t, "request taken", got.Lines[0].Event)
	assert.Equal(t, "Request r-1 was refused with status 502 (outcome_unknown) because it may have run; "+
		"its attempts ended at i-1 unknown (reset).", got.Cause)
}

func TestARequestWithoutAnEndIsSaidSo(t *testing.T) {
	assert.Contains(t, explained(t, taken).Cause, "has no end in the logs")
	assert.Contains(t, explained(t, other).Cause, "is in none of the logs")
}

func TestEachEndingIsExplained(t *testing.T) {
	for line, says := range map[string]string{
		`{"msg":"request answered","request":"r-1","after_ms":12,"sends":2}`:                     "answered after 12 ms, in 2 sends",
		`{"msg":"caller gone","request":"r-1","after_ms":2400}`:                                  "left by its caller after 2400 ms",
		`{"msg":"replica's failure handed on","request":"r-1","status":500,"cause":"no budget"}`: "own status 500, and was not repeated because no budget",
		`{"msg":"stream broken off","request":"r-1","events":3,"cause":"reset"}`:                 "broken off after 3 parts because reset",
		`{"msg":"stream broken off","request":"r-1","events":3,"cause":"reset","ended_by":"replica","last_event":"7","bytes":120,"replica":"i-1@x","version":4,"version_now":5,"list_age_ms":30}`: `because reset (ended by the replica, behind event "7" and 120 bytes, at replica i-1@x, with configuration 4 at its begin and 5 at its end, by a list of 30 ms)`,
		`{"msg":"request refused","request":"r-1","reason":"no route"}`: "refused because no route",
	} {
		assert.Contains(t, explained(t, line).Cause, says)
	}
}

func TestAStreamIsFollowedOverItsCallersTries(t *testing.T) {
	log := `{"ts":"2026-01-01T00:00:00Z","msg":"stream broken off","request":"r-1","events":3,"cause":"a reset"}
{"ts":"2026-01-01T00:00:01Z","msg":"stream taken up","request":"r-2","resumes":"r-1","service":"s","software":"v1","found":"10.0.0.1:1"}
{"ts":"2026-01-01T00:00:02Z","msg":"request answered","request":"r-2","after_ms":5,"sends":1}
`
	explained := func(request string) string {
		lines, err := explain.Read(strings.NewReader(log), request, nil)
		require.NoError(t, err)
		return explain.Explain(request, lines).Cause
	}
	assert.Equal(t, `Request r-1 had its stream broken off after 3 parts because a reset; its stream was taken up by r-2 `+
		`at software "v1" of service "s", as told by "10.0.0.1:1".`, explained("r-1"))
	assert.Equal(t, `Request r-2 was answered after 5 ms, in 1 sends; it takes up the stream of r-1 at software "v1" of service "s", as told by "10.0.0.1:1".`, explained("r-2"))
}
