package answer

import "errors"

// Fault is the part of what was sent that makes it no answer.
type Fault string

// The faults, also the values of a metric's label.
const (
	// FaultStatusLine is a line that does not begin with a version of HTTP/1, or whose reason is none.
	FaultStatusLine Fault = "status_line"
	// FaultStatus is no number from 100 to 599 of three digits.
	FaultStatus Fault = "status"
	// FaultInterim is an interim answer that may not come: one that changes the protocol, or that has a body.
	FaultInterim Fault = "interim"
	// FaultName is a field without a name, or with one that is no token right before its colon.
	FaultName Fault = "field_name"
	// FaultValue is a field's value with control bytes.
	FaultValue Fault = "field_value"
	// FaultLength is a length that is no number, or of which there are several.
	FaultLength Fault = "length"
	// FaultCoding is a transfer coding other than chunks.
	FaultCoding Fault = "coding"
	// FaultChunk is in the framing of chunks, FaultTrailer in a field behind them.
	FaultChunk   Fault = "chunk"
	FaultTrailer Fault = "trailer"
)

// Faults lists all of them.
var Faults = []Fault{FaultStatusLine, FaultStatus, FaultInterim, FaultName, FaultValue, FaultLength, FaultCoding, FaultChunk, FaultTrailer}

// Error says that what was sent is no answer. It repeats no byte of it.
type Error struct{ Fault Fault }

// Error implements error.
func (e *Error) Error() string { return "what was sent is no answer: " + string(e.Fault) }

// FaultOf returns what makes a peer's answer none, empty if that is not why it was lost.
func FaultOf(err error) Fault {
	var malformed *Error
	if errors.As(err, &malformed) {
		return malformed.Fault
	}
	return ""
}
