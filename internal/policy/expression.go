package policy

import (
	"errors"
	"strings"
	"sync/atomic"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"
)

// Bounds of one expression.
const (
	// MaximumLength is the maximum length of the text in bytes.
	MaximumLength = 4096
	// MaximumNodes is the maximum number of nodes in the syntax tree. Without
	// loops, each node runs at most once, so this also bounds the run time.
	MaximumNodes = 256
	// memoryBudget limits the allocations of one run, in the library's units
	// (elements of ranges, arrays and maps).
	memoryBudget = 1024
)

// allowedFunctions are the library's functions whose cost is bounded by the size
// of the expression. Functions that loop over a collection are excluded.
var allowedFunctions = []string{
	"abs", "ceil", "floor", "round", "int", "float", "min", "max", "len", "lower", "upper",
}

// expression is a compiled program and the count of its run-time failures.
type expression struct {
	field   string
	program *vm.Program
	// fieldNames are the names of the variables' fields that the program reads.
	fieldNames fieldNames
	failures   atomic.Uint64
	// lastFailure is the message of the most recent run-time failure.
	lastFailure atomic.Pointer[string]
}

// compile checks and compiles the text of a field. The program is run once
// on each sample environment, so that errors which type checking can't detect,
// such as a division by zero, are found at submission. The first sample also
// declares the variables and their types.
func compile(field, text string, samples []any, result expr.Option) (*expression, *Problem) {
	if len(text) > MaximumLength {
		return nil, &Problem{Field: field, Line: 1, Column: MaximumLength, Message: "the expression is longer than 4096 bytes"}
	}
	if problem := checkBounded(field, text); problem != nil {
		return nil, problem
	}
	concatenations := newConcatenationFinder()
	options := []expr.Option{
		expr.Env(samples[0]), result, expr.MaxNodes(MaximumNodes), expr.DisableAllBuiltins(), expr.Patch(concatenations),
	}
	for _, name := range allowedFunctions {
		options = append(options, expr.EnableBuiltin(name))
	}
	program, err := expr.Compile(text, options...)
	if err != nil {
		return nil, problemOf(field, text, err)
	}
	if problem := concatenations.problem(field, text); problem != nil {
		return nil, problem
	}
	compiled := &expression{field: field, program: program, fieldNames: fieldNames{}}
	node := program.Node()
	ast.Walk(&node, compiled.fieldNames)
	for _, sample := range samples {
		if _, err := compiled.run(sample); err != nil {
			return nil, problemOf(field, text, err)
		}
	}
	return compiled, nil
}

// reads reports whether the program may read a field with the given name.
func (e *expression) reads(name string) bool {
	return e.fieldNames[name] || e.fieldNames[computedFieldName]
}

// fieldNames collects the names of the fields that a program reads.
type fieldNames map[string]bool

// computedFieldName stands for a field whose name is computed.
const computedFieldName = "*"

// Visit implements ast.Visitor.
func (n fieldNames) Visit(node *ast.Node) {
	member, isMember := (*node).(*ast.MemberNode)
	if !isMember {
		return
	}
	if name, isConstant := member.Property.(*ast.StringNode); isConstant {
		n[name.Value] = true
		return
	}
	n[computedFieldName] = true
}

// run evaluates the expression in an environment.
func (e *expression) run(environment any) (any, error) {
	machine := vm.VM{MemoryBudget: memoryBudget}
	return machine.Run(e.program, environment)
}

// recordFailure counts a run-time failure.
func (e *expression) recordFailure(err error) {
	e.failures.Add(1)
	message := err.Error()
	e.lastFailure.Store(&message)
}

// problemOf converts an error of the expression library into a Problem.
func problemOf(field, text string, err error) *Problem {
	problem := &Problem{Field: field, Message: err.Error()}
	var located *file.Error
	if !errors.As(err, &located) || located.Line == 0 {
		// The library gives no position: the problem concerns the whole expression.
		problem.Line, problem.Column = 1, 1
		return problem
	}
	problem.Message = located.Message
	problem.Snippet = strings.TrimPrefix(located.Snippet, "\n")
	problem.Line, problem.Column = located.Line, located.Column+1
	return problem
}
