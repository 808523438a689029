package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"

	"github.com/goccy/go-yaml"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// maxDocumentBytes bounds the files that are read as documents.
const maxDocumentBytes = 4 << 20

// readYAML reads the YAML documents of a file. Unknown and repeated keys are
// problems.
func readYAML[T any](path string) (documents []T, err error) {
	// The YAML library (v1.19.2) panics on some malformed texts.
	defer func() {
		if reason := recover(); reason != nil {
			err = invalidError{fmt.Sprintf("%s: is not readable as YAML: %v", path, reason)}
		}
	}()
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, invalidError{err.Error()}
	}
	if len(content) > maxDocumentBytes {
		return nil, invalidError{fmt.Sprintf("%s: is %d bytes long, more than %d", path, len(content), maxDocumentBytes)}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	for {
		var document T
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, yamlProblem(path, err)
		}
		documents = append(documents, document)
	}
	if len(documents) == 0 {
		return nil, invalidError{path + ": holds no document"}
	}
	return documents, nil
}

// yamlProblem words an error of the YAML library as file, line and message.
func yamlProblem(path string, err error) error {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		position := located.GetToken().Position
		return invalidError{fmt.Sprintf("%s:%d:%d: %s", path, position.Line, position.Column, located.GetMessage())}
	}
	return invalidError{path + ": " + yaml.FormatError(err, false, false)}
}

// nameOf returns the Name of a document.
func nameOf(document any) string {
	return reflect.ValueOf(document).FieldByName("Name").String()
}

// checkPolicy compiles a policy and returns its problems, one a line, with a
// prefix in front.
func checkPolicy(prefix string, document dynamic.Policy) error {
	_, problems := policy.Compile(document)
	if len(problems) == 0 {
		return nil
	}
	var text bytes.Buffer
	for _, problem := range problems {
		fmt.Fprintf(&text, "%s: %s\n", prefix, problem.Error())
	}
	return invalidError{text.String()}
}

// toJSON encodes a document for the operators' interface.
func toJSON(document any) (json.RawMessage, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return nil, invalidError{err.Error()}
	}
	return data, nil
}

// toYAML renders a document's JSON body as YAML.
func toYAML(body json.RawMessage) (string, error) {
	text, err := yaml.JSONToYAML(body)
	return string(text), err
}
