package static

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	yamlnode "go.yaml.in/yaml/v3"
)

// maxFileBytes bounds the settings file.
const maxFileBytes = 1 << 20

const pathDelimiter = "."

// document is the parsed settings file.
type document struct {
	name   string
	values *koanf.Koanf
	// lines holds the line of each path in the file, sections included.
	lines map[string]int
}

// parseDocument reads a settings file and reports what can't be read as YAML,
// unknown keys and keys that stand twice.
func parseDocument(name string, content []byte) (document, Problems) {
	parsed := document{name: name, values: koanf.New(pathDelimiter), lines: map[string]int{}}
	if len(content) > maxFileBytes {
		message := fmt.Sprintf("is %d bytes long, more than %d", len(content), maxFileBytes)
		return parsed, Problems{parsed.problem(0, "", message)}
	}
	var root yamlnode.Node
	if err := yamlnode.Unmarshal(content, &root); err != nil {
		return parsed, Problems{parsed.yamlProblem(err)}
	}
	if root.Kind == 0 || isNull(root.Content[0]) {
		return parsed, nil
	}
	problems := parsed.walkRoot(root.Content[0])
	if len(problems) > 0 && parsed.unusable(root.Content[0]) {
		return parsed, problems
	}
	if err := parsed.values.Load(rawbytes.Provider(content), yaml.Parser()); err != nil {
		problems = append(problems, parsed.yamlProblem(err))
	}
	return parsed, problems
}

func (d document) problem(line int, field, message string) Problem {
	return Problem{Origin: Origin{Kind: OriginFile, Name: d.name, Line: line}, Field: field, Message: message}
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

func (d document) yamlProblem(err error) Problem {
	match := yamlLine.FindStringSubmatch(err.Error())
	if match == nil {
		return d.problem(0, "", "is not readable as YAML: "+err.Error())
	}
	line, _ := strconv.Atoi(match[1])
	return d.problem(line, "", "is not readable as YAML: "+match[2])
}

// unusable says that koanf can't load the file although YAML can be parsed.
func (d document) unusable(root *yamlnode.Node) bool {
	return root.Kind != yamlnode.MappingNode
}

func (d document) walkRoot(root *yamlnode.Node) Problems {
	if root.Kind != yamlnode.MappingNode {
		return Problems{d.problem(root.Line, "", "must hold the sections common, gateway and controller")}
	}
	var problems Problems
	sections := map[string]bool{}
	known := map[string]bool{}
	for _, key := range Keys() {
		sections[string(key.Section)] = true
		known[key.Path] = true
	}
	for position := 0; position+1 < len(root.Content); position += 2 {
		name, value := root.Content[position], root.Content[position+1]
		if !sections[name.Value] {
			problems = append(problems, d.problem(name.Line, name.Value, "unknown section"))
			continue
		}
		problems = append(problems, d.record(name.Value, name.Line)...)
		problems = append(problems, d.walkSection(name.Value, value, known)...)
	}
	return problems
}

func (d document) walkSection(section string, node *yamlnode.Node, known map[string]bool) Problems {
	if isNull(node) {
		return nil
	}
	if node.Kind != yamlnode.MappingNode {
		return Problems{d.problem(node.Line, section, "must be a section with keys")}
	}
	var problems Problems
	for position := 0; position+1 < len(node.Content); position += 2 {
		name := node.Content[position]
		path := section + pathDelimiter + name.Value
		if !known[path] {
			problems = append(problems, d.problem(name.Line, path, "unknown key"+suggestion(path, known)))
			continue
		}
		problems = append(problems, d.record(path, name.Line)...)
	}
	return problems
}

func (d document) record(path string, line int) Problems {
	if first, stands := d.lines[path]; stands {
		return Problems{d.problem(line, path, fmt.Sprintf("stands twice, first in line %d", first))}
	}
	d.lines[path] = line
	return nil
}

func isNull(node *yamlnode.Node) bool {
	return node.Kind == yamlnode.ScalarNode && node.Tag == "!!null"
}

// suggestion names the nearest known key if there is one that is near.
func suggestion(path string, known map[string]bool) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for candidate := range known {
		distance := editDistance(path, candidate)
		if distance < bestDistance || distance == bestDistance && candidate < best {
			best, bestDistance = candidate, distance
		}
	}
	if bestDistance > maxSuggestionDistance {
		return ""
	}
	return fmt.Sprintf(" (did you mean %s?)", best)
}

const maxSuggestionDistance = 3

// editDistance is the Levenshtein distance of two short texts.
func editDistance(left, right string) int {
	previous := make([]int, len(right)+1)
	for column := range previous {
		previous[column] = column
	}
	for row := range len(left) {
		current := make([]int, len(right)+1)
		current[0] = row + 1
		for column := range len(right) {
			substitution := previous[column]
			if left[row] != right[column] {
				substitution++
			}
			current[column+1] = min(substitution, previous[column+1]+1, current[column]+1)
		}
		previous = current
	}
	return previous[len(right)]
}
