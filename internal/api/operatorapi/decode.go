package operatorapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return v
}

// DecodeBody reads one JSON value into a pointer to a struct and checks it by
// its tags. Unknown fields, trailing data and bodies over the bound are refused.
func DecodeBody(data []byte, target any) error {
	if len(data) > maximumDocumentBytes {
		return failure.New(failure.BodyTooLarge, fmt.Sprintf("the body has %d bytes, at most %d are taken", len(data), maximumDocumentBytes))
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return failure.Wrap(fmt.Errorf("body: %w", err), failure.MalformedRequest)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return failure.New(failure.MalformedRequest, "body: data after the JSON value")
	}
	return check(target)
}

// check lists all violated tags at once.
func check(target any) error {
	err := validate.Struct(target)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return err
	}
	lines := make([]string, 0, len(violations))
	for _, violation := range violations {
		_, field, _ := strings.Cut(violation.Namespace(), ".")
		rule := strings.TrimSuffix(violation.Tag()+"="+violation.Param(), "=")
		lines = append(lines, field+": violates "+rule)
	}
	return failure.New(failure.InvalidDocument, strings.Join(lines, "; "))
}

// DecodeDocument reads the body of a document of a kind, checks it and returns
// it as a *dynamic.Policy, *dynamic.Tenant, *dynamic.Model or
// *dynamic.Application. Its name must be the given one.
func DecodeDocument(kind dynamic.Kind, name string, data []byte) (any, error) {
	switch kind {
	case dynamic.KindPolicy:
		return decodeNamed(name, data, func(policy dynamic.Policy) string { return policy.Name })
	case dynamic.KindTenant:
		return decodeNamed(name, data, func(tenant dynamic.Tenant) string { return tenant.Name })
	case dynamic.KindModel:
		return decodeNamed(name, data, func(model dynamic.Model) string { return model.Name })
	case dynamic.KindApplication:
		return decodeNamed(name, data, func(application dynamic.Application) string { return application.Name })
	}
	return nil, failure.New(failure.NotFound, "there is no kind of document "+string(kind))
}

func decodeNamed[T any](name string, data []byte, nameOf func(T) string) (*T, error) {
	document := new(T)
	if err := DecodeBody(data, document); err != nil {
		return nil, err
	}
	if actual := nameOf(*document); actual != name {
		return nil, failure.New(failure.InvalidDocument, fmt.Sprintf("name: is %q in the document and %q in the path", actual, name))
	}
	return document, nil
}

func checkMemberCommand(command MemberCommand) error {
	needsAddress := command.Action == MemberAdd || command.Action == MemberReplace
	needsReplica := command.Action != MemberAdd
	if needsAddress && command.Address == "" {
		return failure.New(failure.InvalidDocument, "address: is needed by "+string(command.Action))
	}
	if needsReplica && command.ReplicaID == 0 {
		return failure.New(failure.InvalidDocument, "replica_id: is needed by "+string(command.Action))
	}
	return nil
}
