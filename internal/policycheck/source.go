package policycheck

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// source locates a document's fields in its text.
type source struct {
	tree  *ast.File
	lines []string
}

// location is a position in a file, counted from 1.
type location struct{ line, column int }

// fieldLocation returns the location of a field's value, or of the nearest
// enclosing field if the field is not set, or else the start of the file.
func (s source) fieldLocation(path string) location {
	for path != "" {
		if node := s.node(path); node != nil {
			position := node.GetToken().Position
			return location{position.Line, position.Column}
		}
		path = parent(path)
	}
	return location{1, 1}
}

func (s source) node(path string) ast.Node {
	found, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	node, err := found.FilterFile(s.tree)
	if err != nil || node == nil || node.GetToken() == nil {
		return nil
	}
	return node
}

// parent removes the last element of a path, an index or a name.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// locationInField returns the location in the file of a position in a field's text,
// which may be quoted, indented or folded in the YAML.
func (s source) locationInField(path string, line, column int) location {
	node := s.node(path)
	if node == nil {
		return s.fieldLocation(path)
	}
	start := node.GetToken().Position
	switch node.GetToken().Type {
	case token.LiteralType:
		return s.locationInLiteral(start.Line, line, column)
	case token.FoldedType:
		return s.locationInFolded(start.Line, line, column)
	case token.DoubleQuoteType, token.SingleQuoteType:
		return location{start.Line, start.Column + column}
	}
	return location{start.Line, start.Column + column - 1}
}

// locationInLiteral handles literal blocks (|), which keep lines unchanged.
func (s source) locationInLiteral(header, line, column int) location {
	return location{header + line, s.indentation(header) + column}
}

// locationInFolded handles folded blocks (>), which join the lines of a paragraph
// with spaces, so that the column continues across lines.
func (s source) locationInFolded(header, line, column int) location {
	indentation := s.indentation(header)
	if line > 1 {
		// Blank lines start new paragraphs; only the first paragraph is resolved
		// exactly.
		return location{header + line, indentation + column}
	}
	for number := header; number < len(s.lines); number++ {
		length := len(strings.TrimSpace(s.lines[number]))
		if length == 0 || column <= length+1 {
			return location{number + 1, indentation + column}
		}
		column -= length + 1
	}
	return location{header, 1}
}

// indentation returns the indentation of the first line with text in a block.
func (s source) indentation(header int) int {
	for number := header; number < len(s.lines); number++ {
		if trimmed := strings.TrimLeft(s.lines[number], " "); trimmed != "" {
			return len(s.lines[number]) - len(trimmed)
		}
	}
	return 0
}
