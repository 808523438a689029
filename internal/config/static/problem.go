package static

import (
	"fmt"
	"sort"
	"strings"
)

// OriginKind says where a value came from.
type OriginKind string

// Kinds of origins.
const (
	OriginDefault     OriginKind = "default"
	OriginFile        OriginKind = "file"
	OriginEnvironment OriginKind = "environment"
	OriginFlag        OriginKind = "flag"
)

// Origin is where a value came from.
type Origin struct {
	Kind OriginKind `json:"kind"`
	// Name is the file, the environment variable or the flag.
	Name string `json:"name,omitempty"`
	// Line is the line in the file, counted from 1.
	Line int `json:"line,omitempty"`
}

// String renders the origin for people.
func (o Origin) String() string {
	switch {
	case o.Kind == OriginFile && o.Line > 0:
		return fmt.Sprintf("%s:%d", o.Name, o.Line)
	case o.Kind == OriginFile:
		return o.Name
	case o.Kind == OriginEnvironment:
		return "environment " + o.Name
	case o.Kind == OriginFlag:
		return "flag --" + o.Name
	default:
		return string(OriginDefault)
	}
}

// Problem is one thing wrong with the settings.
type Problem struct {
	Origin  Origin `json:"origin"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String renders the problem in one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s: %s", p.Origin, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Origin, p.Field, p.Message)
}

// Problems is everything wrong with the settings. It is an error if it is not
// empty.
type Problems []Problem

// Error renders one problem a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// sorted orders the problems by their place.
func (p Problems) sorted() Problems {
	sort.SliceStable(p, func(i, j int) bool {
		left, right := p[i], p[j]
		if left.Origin.Kind != right.Origin.Kind {
			return originRank[left.Origin.Kind] < originRank[right.Origin.Kind]
		}
		if left.Origin.Line != right.Origin.Line {
			return left.Origin.Line < right.Origin.Line
		}
		return left.Field < right.Field
	})
	return p
}

var originRank = map[OriginKind]int{
	OriginFile:        0,
	OriginEnvironment: 1,
	OriginFlag:        2,
	OriginDefault:     3,
}
