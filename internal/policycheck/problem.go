package policycheck

import (
	"fmt"
	"strings"
)

// Problem is one mistake in a policy, deployment or trace file, with its position.
type Problem struct {
	File string `json:"file"`
	// Line and Column are counted from 1; 0 if the problem concerns the whole file.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path in the policy document, empty if the problem concerns no
	// field, such as a YAML error.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error formats the problem on one line: file, line, column, field and message.
func (p Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
	message := strings.ReplaceAll(p.Message, "\n", " ")
	if p.Field == "" {
		return location + ": " + message
	}
	return location + ": " + p.Field + ": " + message
}

// Problems are the mistakes in one or more files. Document.Check sorts those of a
// file by position.
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
