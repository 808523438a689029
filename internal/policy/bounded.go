package policy

import (
	"fmt"
	"slices"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/parser"
)

// checkBounded rejects constructs whose cost isn't bounded by the size of the
// expression: loops over collections, ranges, maps, and lists that could grow.
// It returns nil for text with syntax errors, which the compiler reports.
func checkBounded(field, text string) *Problem {
	tree, err := parser.Parse(text)
	if err != nil {
		return nil
	}
	finder := unboundedFinder{inOperands: inOperands{}}
	ast.Walk(&tree.Node, inOperands(finder.inOperands))
	ast.Walk(&tree.Node, &finder)
	if finder.node == nil {
		return nil
	}
	located := (&file.Error{Location: finder.node.Location(), Message: finder.message}).Bind(file.NewSource(text))
	return problemOf(field, text, located)
}

// unboundedFinder finds the first node in the text that isn't allowed. Lists are
// allowed only as the right operand of "in", where nothing can refer to them:
// nested lists stored in variables could double in size with each step, and so
// could the time to compare them.
type unboundedFinder struct {
	node    ast.Node
	message string
	// inOperands holds the right operands of "in".
	inOperands map[ast.Node]bool
}

// Visit implements ast.Visitor. Children are visited before their parent.
func (f *unboundedFinder) Visit(node *ast.Node) {
	switch typed := (*node).(type) {
	case *ast.BuiltinNode:
		if !slices.Contains(allowedFunctions, typed.Name) {
			f.record(typed, fmt.Sprintf("the function %s is not allowed: its cost has no bound", typed.Name))
		}
	case *ast.BinaryNode:
		if typed.Operator == ".." {
			f.record(typed, "ranges are not allowed: their cost has no bound")
		}
	case *ast.ArrayNode:
		if !f.inOperands[typed] {
			f.record(typed, `lists are not allowed but right of "in": their cost has no bound`)
		}
	case *ast.MapNode:
		f.record(typed, "maps are not allowed: their cost has no bound")
	}
}

// inOperands collects the right operands of "in".
type inOperands map[ast.Node]bool

// Visit implements ast.Visitor.
func (f inOperands) Visit(node *ast.Node) {
	if binary, isBinary := (*node).(*ast.BinaryNode); isBinary && binary.Operator == "in" {
		f[binary.Right] = true
	}
}

// record keeps the node that comes first in the text.
func (f *unboundedFinder) record(node ast.Node, message string) {
	if f.node == nil || node.Location().From < f.node.Location().From {
		f.node, f.message = node, message
	}
}
