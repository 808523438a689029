package policy

import (
	"reflect"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
)

// concatenationFinder finds string concatenations. A string that is concatenated
// with itself and stored in a variable would double in size with each step. The
// finder visits the tree after type checking, when the types of nodes are known.
type concatenationFinder struct {
	additions []*ast.BinaryNode
	// variables holds the values that "let" assigns to each name.
	variables map[string][]ast.Node
	// stringVariables caches which variables may hold a string.
	stringVariables map[string]bool
}

func newConcatenationFinder() *concatenationFinder {
	return &concatenationFinder{variables: map[string][]ast.Node{}, stringVariables: map[string]bool{}}
}

// Visit implements ast.Visitor.
func (f *concatenationFinder) Visit(node *ast.Node) {
	switch typed := (*node).(type) {
	case *ast.BinaryNode:
		if typed.Operator == "+" {
			f.additions = append(f.additions, typed)
		}
	case *ast.VariableDeclaratorNode:
		f.variables[typed.Name] = append(f.variables[typed.Name], typed.Value)
	}
}

// problem returns a problem for the first addition in the text that may
// concatenate strings, or nil if there is none.
func (f *concatenationFinder) problem(field, text string) *Problem {
	var first *ast.BinaryNode
	for _, addition := range f.additions {
		if !f.mayBeString(addition.Left) && !f.mayBeString(addition.Right) {
			continue
		}
		if first == nil || addition.Location().From < first.Location().From {
			first = addition
		}
	}
	if first == nil {
		return nil
	}
	located := &file.Error{Location: first.Location(), Message: "joining texts is not allowed: its cost has no bound"}
	return problemOf(field, text, located.Bind(file.NewSource(text)))
}

// mayBeString reports whether a node's value may be a string. Where the type
// doesn't determine it, because the branches of a conditional differ in type, the
// operands of the node are examined; unknown kinds of nodes count as strings.
func (f *concatenationFinder) mayBeString(node ast.Node) bool {
	switch node.Type().Kind() {
	case reflect.String:
		return true
	case reflect.Int, reflect.Int64, reflect.Float64, reflect.Bool:
		return false
	}
	switch typed := node.(type) {
	case *ast.ConditionalNode:
		return f.mayBeString(typed.Exp1) || f.mayBeString(typed.Exp2)
	case *ast.VariableDeclaratorNode:
		return f.mayBeString(typed.Expr)
	case *ast.IdentifierNode:
		return f.variableMayBeString(typed.Value)
	case *ast.BuiltinNode:
		return typed.Name == "lower" || typed.Name == "upper"
	case *ast.UnaryNode:
		return false
	case *ast.BinaryNode:
		// A concatenation is reported on its own; of the other operators only ??
		// can give a string.
		return typed.Operator == "??" && (f.mayBeString(typed.Left) || f.mayBeString(typed.Right))
	}
	return true
}

func (f *concatenationFinder) variableMayBeString(name string) bool {
	if known, found := f.stringVariables[name]; found {
		return known
	}
	// A variable whose value refers to its own name counts as a string. This also
	// ends the recursion.
	f.stringVariables[name] = true
	isString := len(f.variables[name]) == 0
	for _, value := range f.variables[name] {
		isString = isString || f.mayBeString(value)
	}
	f.stringVariables[name] = isString
	return isString
}
