package policycheck

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// traceFormat is the format that the first line of a trace must declare.
const traceFormat = "pierhaven-trace/1"

// Bounds of a trace: the length of a line in bytes and the number of model calls.
const (
	maximumTraceLine  = 64 << 10
	maximumTraceItems = 5_000_000
)

// Kinds of items that are model calls.
const (
	kindModel = "model"
	kindBatch = "batch"
)

// Trace holds the model calls of a recorded trace.
type Trace struct {
	Name     string
	Duration time.Duration
	Calls    []Call
	// Others counts the items that aren't model calls; policies don't apply to
	// them.
	Others int
}

// Call is one item of a trace.
type Call struct {
	Arrival      time.Duration
	Class        string
	Tenant       string
	Zone         string
	Priority     int
	Deadline     time.Duration
	Model        string
	Adapter      string
	PromptTokens int
	PrefixTokens int
	OutputTokens int
	Batch        bool
	// Requests is the number of requests in the item: the items of a batch, else 1.
	Requests int
}

// traceHeader and traceItem hold the fields that policies need of the JSON lines of
// a trace.
type traceHeader struct {
	Format         string `json:"format"`
	Name           string `json:"name"`
	DurationMillis int64  `json:"duration_ms"`
}

type traceItem struct {
	ArrivalMicros  int64  `json:"arrival_us"`
	Kind           string `json:"kind"`
	Class          string `json:"class"`
	Tenant         string `json:"tenant"`
	Zone           string `json:"zone"`
	Priority       int    `json:"priority"`
	DeadlineMillis int64  `json:"deadline_ms"`
	Model          string `json:"model"`
	Adapter        string `json:"adapter"`
	PromptTokens   int    `json:"prompt_tokens"`
	PrefixTokens   int    `json:"prefix_tokens"`
	OutputTokens   int    `json:"output_tokens"`
	BatchItems     int    `json:"batch_items"`
}

// ReadTrace reads a trace in JSON Lines format. Problems report the line.
func ReadTrace(file string, content io.Reader) (Trace, error) {
	lines := bufio.NewScanner(content)
	lines.Buffer(make([]byte, maximumTraceLine), maximumTraceLine)
	var trace Trace
	number := 0
	for lines.Scan() {
		number++
		if err := trace.addLine(number, lines.Bytes()); err != nil {
			return trace, Problem{File: file, Line: number, Column: 1, Message: err.Error()}
		}
	}
	if err := lines.Err(); err != nil {
		return trace, Problem{File: file, Line: number + 1, Column: 1, Message: err.Error()}
	}
	if number == 0 {
		return trace, Problem{File: file, Message: "is empty"}
	}
	return trace, nil
}

func (t *Trace) addLine(number int, line []byte) error {
	if number == 1 {
		return t.readHeader(line)
	}
	var item traceItem
	if err := json.Unmarshal(line, &item); err != nil {
		return err
	}
	if item.Kind != kindModel && item.Kind != kindBatch {
		t.Others++
		return nil
	}
	switch {
	case item.Model == "" || item.Zone == "" || item.Tenant == "":
		return fmt.Errorf("a %s item needs model, zone and tenant", item.Kind)
	case item.ArrivalMicros < 0 || item.PromptTokens < 0 || item.OutputTokens < 0 || item.BatchItems < 0:
		return fmt.Errorf("an arrival and a number of tokens can't be negative")
	case len(t.Calls) >= maximumTraceItems:
		return fmt.Errorf("more than %d items", maximumTraceItems)
	}
	call := item.call()
	t.Calls = append(t.Calls, call)
	t.Duration = max(t.Duration, call.Arrival)
	return nil
}

func (t *Trace) readHeader(line []byte) error {
	var header traceHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return err
	}
	if header.Format != traceFormat {
		return fmt.Errorf("format is %q, not %q", header.Format, traceFormat)
	}
	t.Name = header.Name
	t.Duration = time.Duration(header.DurationMillis) * time.Millisecond
	return nil
}

func (i *traceItem) call() Call {
	return Call{
		Arrival:      time.Duration(i.ArrivalMicros) * time.Microsecond,
		Class:        i.Class,
		Tenant:       i.Tenant,
		Zone:         i.Zone,
		Priority:     i.Priority,
		Deadline:     time.Duration(i.DeadlineMillis) * time.Millisecond,
		Model:        i.Model,
		Adapter:      i.Adapter,
		PromptTokens: i.PromptTokens,
		PrefixTokens: i.PrefixTokens,
		OutputTokens: i.OutputTokens,
		Batch:        i.Kind == kindBatch,
		Requests:     max(1, i.BatchItems),
	}
}
