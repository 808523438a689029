package policy

import (
	"reflect"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// Set holds the compiled policies of a configuration.
type Set struct {
	programs []*Program
	// uncompiled holds the problems of the policies that do not compile.
	uncompiled []Failure
}

// CompileSet compiles all policies. A policy that no longer compiles, for example
// after an upgrade, is omitted and reported, and the built-in policy applies
// instead.
func CompileSet(documents []dynamic.Policy) *Set {
	var none *Set
	return none.Recompile(documents)
}

// Recompile compiles the policies of a later configuration. It reuses the programs of
// unchanged documents, so their counts of run-time failures are kept.
func (s *Set) Recompile(documents []dynamic.Policy) *Set {
	set := &Set{}
	for _, document := range documents {
		if unchanged := s.programOf(document); unchanged != nil {
			set.programs = append(set.programs, unchanged)
			continue
		}
		program, problems := Compile(document)
		if len(problems) > 0 {
			set.recordUncompiled(document.Name, problems)
			continue
		}
		set.programs = append(set.programs, program)
	}
	return set
}

// programOf returns the program of a document, or nil if there is none.
func (s *Set) programOf(document dynamic.Policy) *Program {
	if s == nil {
		return nil
	}
	for _, program := range s.programs {
		if reflect.DeepEqual(program.document, document) {
			return program
		}
	}
	return nil
}

func (s *Set) recordUncompiled(name string, problems Problems) {
	for _, problem := range problems {
		s.uncompiled = append(s.uncompiled, Failure{Policy: name, Field: problem.Field, Last: problem.Error()})
	}
}

// ProgramFor returns the policy that governs a model, or nil for the built-in policy. A
// policy that names the model takes precedence over one for all models; among
// several, the first by name is used.
func (s *Set) ProgramFor(model string) *Program {
	if s == nil {
		return nil
	}
	var general *Program
	for _, program := range s.programs {
		if !program.Governs(model) {
			continue
		}
		if len(program.document.Models) > 0 {
			return program
		}
		if general == nil {
			general = program
		}
	}
	return general
}

// Programs returns the compiled policies in the order of the configuration.
func (s *Set) Programs() []*Program {
	if s == nil {
		return nil
	}
	return s.programs
}

// Failures returns the programs that have failed at run time and, with a count of
// 0, the policies that do not compile.
func (s *Set) Failures() []Failure {
	if s == nil {
		return nil
	}
	var failures []Failure
	for _, program := range s.programs {
		failures = append(failures, program.Failures()...)
	}
	return append(failures, s.uncompiled...)
}

// CountFailures returns the total number of run-time failures.
func CountFailures(failures []Failure) uint64 {
	total := uint64(0)
	for _, failure := range failures {
		total += failure.Count
	}
	return total
}
