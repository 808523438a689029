package policy

import (
	"fmt"
	"strings"
)

// Problem is one error in a policy document, with its position.
type Problem struct {
	// Field is the path in the document, for example placement[1].condition.
	Field string `json:"field"`
	// Line and Column are within the field's text, counted from 1; 0 if the
	// problem concerns the whole field.
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
	// Snippet shows the line with a marker at the column.
	Snippet string `json:"snippet,omitempty"`
}

// Error formats the problem on one line.
func (p Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Field, p.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.Field, p.Line, p.Column, p.Message)
}

// Problems are all errors of a document: first those of the fields that aren't
// expressions, then those of the expressions.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the problems as an error, or nil if there are none.
func (p Problems) OrNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
