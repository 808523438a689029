package policycheck

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// MaximumFileBytes is the maximum size of a policy file in bytes.
const MaximumFileBytes = 1 << 20

// Document is a policy and the file that it was read from.
type Document struct {
	File   string
	Policy dynamic.Policy
	source source
}

// Read parses a file that holds one policy. Unknown and repeated keys are reported
// as problems.
func Read(file string, content []byte) (document Document, problems Problems) {
	document.File = file
	// The YAML library (v1.19.2) panics on some malformed input.
	defer func() {
		if reason := recover(); reason != nil {
			problems = document.fileProblem(fmt.Sprintf("is not readable as YAML: %v", reason))
		}
	}()
	if len(content) > MaximumFileBytes {
		return document, document.fileProblem(fmt.Sprintf("is %d bytes long, more than %d", len(content), MaximumFileBytes))
	}
	tree, err := parser.ParseBytes(content, 0)
	if err != nil {
		return document, document.yamlProblem(err)
	}
	document.source = source{tree: tree, lines: strings.Split(string(content), "\n")}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(&document.Policy); errors.Is(err, io.EOF) {
		return document, document.fileProblem("holds no document")
	} else if err != nil {
		return document, document.yamlProblem(err)
	}
	if err := decoder.Decode(&dynamic.Policy{}); !errors.Is(err, io.EOF) {
		return document, document.fileProblem(fmt.Sprintf("holds %d documents, one is expected", len(tree.Docs)))
	}
	return document, nil
}

func (d Document) fileProblem(message string) Problems {
	return Problems{{File: d.File, Message: message}}
}

// yamlProblem converts an error of the YAML library.
func (d Document) yamlProblem(err error) Problems {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return d.fileProblem(yaml.FormatError(err, false, false))
	}
	position := located.GetToken().Position
	return Problems{{File: d.File, Line: position.Line, Column: position.Column, Message: located.GetMessage()}}
}

// Check compiles the policy and checks what it refers to against the references,
// unless they are nil. It returns all problems, sorted by position.
func (d Document) Check(references *References) Problems {
	var problems Problems
	_, policyProblems := policy.Compile(d.Policy)
	for _, problem := range policyProblems {
		problems = append(problems, d.locate(problem))
	}
	problems = append(problems, d.checkModels()...)
	if references != nil {
		problems = append(problems, d.checkReferences(references)...)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return problems
}

func (d Document) locate(problem policy.Problem) Problem {
	at := d.source.fieldLocation(problem.Field)
	if problem.Line > 0 {
		at = d.source.locationInField(problem.Field, problem.Line, problem.Column)
	}
	return Problem{File: d.File, Line: at.line, Column: at.column, Field: problem.Field, Message: problem.Message}
}

func (d Document) problem(field, format string, arguments ...any) Problem {
	return d.locate(policy.Problem{Field: field, Message: fmt.Sprintf(format, arguments...)})
}

// checkModels finds repeated models and placement rules without effect.
func (d Document) checkModels() Problems {
	var problems Problems
	for index, model := range d.Policy.Models {
		if slices.Index(d.Policy.Models, model) < index {
			problems = append(problems, d.problem(fmt.Sprintf("models[%d]", index), "the model %q stands twice", model))
		}
	}
	unconditional := map[string]bool{}
	for index, rule := range d.Policy.Placement {
		field := fmt.Sprintf("placement[%d].model", index)
		switch {
		case rule.Model == "":
		case unconditional[rule.Model]:
			problems = append(problems, d.problem(field, "an earlier rule without condition takes every engine for the model %q", rule.Model))
		case len(d.Policy.Models) > 0 && !slices.Contains(d.Policy.Models, rule.Model):
			problems = append(problems, d.problem(field, "the model %q is not among the policy's models", rule.Model))
		}
		unconditional[rule.Model] = unconditional[rule.Model] || rule.Condition == ""
	}
	return problems
}

// CheckDuplicateNames finds policies in different files that have the same name.
func CheckDuplicateNames(documents []Document) Problems {
	var problems Problems
	first := map[string]Document{}
	for _, document := range documents {
		name := document.Policy.Name
		if earlier, found := first[name]; found && name != "" {
			problems = append(problems, document.problem("name", "%q is the name of the policy in %s too", name, earlier.File))
			continue
		}
		first[name] = document
	}
	return problems
}
