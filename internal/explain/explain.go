// Package explain puts the log lines of one request, from the logs of several
// processes, in order and says in one sentence what became of it.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string
	Event   event.Event
	Fields  map[string]any
	Text    string
}

// Explanation is what the logs say of a request.
type Explanation struct {
	Lines []Line
	// Cause is one sentence.
	Cause string
}

// maximumLine bounds a log line, in bytes.
const maximumLine = 1 << 20

// Read adds the lines of a log that are about a request, or about one that takes up
// its stream. Whatever stands before the object in a line is passed over, and lines
// without one are too.
func Read(log io.Reader, request string, lines []Line) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maximumLine)
	wanted := fmt.Appendf(nil, "%q", request)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), wanted) {
			continue
		}
		if line, ok := parse(scanner.Text()); ok && (line.Fields["request"] == request || line.Fields["resumes"] == request) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	line := Line{Text: text[at:]}
	if json.Unmarshal([]byte(line.Text), &line.Fields) != nil {
		return Line{}, false
	}
	line.Event, _ = line.Fields["msg"].(string)
	line.Process, _ = line.Fields["process"].(string)
	stamp, _ := line.Fields["ts"].(string)
	line.Time, _ = time.Parse(time.RFC3339Nano, stamp)
	return line, true
}

// Explain orders the lines and states the cause.
func Explain(request string, lines []Line) Explanation {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return Explanation{Lines: lines, Cause: causeOf(request, lines)}
}

// endings say what an event that ends a request means.
var endings = map[event.Event]func(Line) string{
	event.RequestAnswered: func(line Line) string {
		return fmt.Sprintf("was answered after %v ms, in %v sends", line.Fields["after_ms"], line.Fields["sends"])
	},
	event.CallerGone: func(line Line) string {
		return fmt.Sprintf("was left by its caller after %v ms, before its answer%s", line.Fields["after_ms"], incomplete(line))
	},
	event.FailureHandedOn: func(line Line) string {
		return fmt.Sprintf("got the replica's own status %v, and was not repeated because %v", line.Fields["status"], line.Fields["cause"])
	},
	event.StreamBrokenOff: func(line Line) string {
		return fmt.Sprintf("had its stream broken off after %v parts because %v%s", line.Fields["events"], line.Fields["cause"], incomplete(line))
	},
	event.RequestRefused: func(line Line) string {
		if reason, found := line.Fields["reason"]; found {
			return fmt.Sprintf("was refused because %v", reason)
		}
		return fmt.Sprintf("was refused with status %v (%v) because %v", line.Fields["status"], line.Fields["kind"], line.Fields["cause"])
	},
}

// incomplete says who ended an answer that is not complete, where, and under which configuration.
func incomplete(line Line) string {
	by, found := line.Fields["ended_by"]
	if !found {
		return ""
	}
	return fmt.Sprintf(" (ended by the %v, behind event %q and %v bytes, at replica %v, with configuration %v at its begin and %v at its end, by a list of %v ms)",
		by, line.Fields["last_event"], line.Fields["bytes"], line.Fields["replica"], line.Fields["version"], line.Fields["version_now"], line.Fields["list_age_ms"])
}

func causeOf(request string, lines []Line) string {
	if len(lines) == 0 {
		return fmt.Sprintf("Request %s is in none of the logs.", request)
	}
	takenUp := takeUpsOf(request, lines)
	lines = slices.DeleteFunc(slices.Clone(lines), func(line Line) bool { return line.Fields["request"] != request })
	for _, line := range slices.Backward(lines) {
		if ending, found := endings[line.Event]; found {
			return fmt.Sprintf("Request %s %s%s%s.", request, ending(line), attemptsOf(lines), takenUp)
		}
	}
	return fmt.Sprintf("Request %s has no end in the logs%s: its process stopped, or lines were dropped%s.", request, attemptsOf(lines), takenUp)
}

// takeUpsOf tells which requests have taken up a request's stream, which one it takes up itself, and at which software.
func takeUpsOf(request string, lines []Line) string {
	var told strings.Builder
	for _, line := range lines {
		if line.Event != event.StreamTakenUp {
			continue
		}
		where := fmt.Sprintf("at software %q of service %q, as told by %q", line.Fields["software"], line.Fields["service"], line.Fields["found"])
		if cause, _ := line.Fields["error"].(string); cause != "" {
			where = "in vain: " + cause
		}
		if line.Fields["request"] == request {
			_, _ = fmt.Fprintf(&told, "; it takes up the stream of %v %s", line.Fields["resumes"], where)
			continue
		}
		_, _ = fmt.Fprintf(&told, "; its stream was taken up by %v %s", line.Fields["request"], where)
	}
	return told.String()
}

// attemptsOf tells what each attempt led to.
func attemptsOf(lines []Line) string {
	var told []string
	for _, line := range lines {
		if line.Event == event.AttemptEnded {
			told = append(told, fmt.Sprintf("at %v %v (%v)", line.Fields["replica"], line.Fields["verdict"], line.Fields["cause"]))
		}
	}
	if len(told) == 0 {
		return ""
	}
	return "; its attempts ended " + strings.Join(told, ", ")
}
