package callerapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Bounds on what a decoder takes, whatever the body limit is.
const (
	maximumMessages   = 4096
	maximumNameLength = 128
)

// ErrInvalid is wrapped by every error of the decoders in this package.
var ErrInvalid = errors.New("invalid request")

func invalid(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, arguments...))
}

// DecodeChat reads and checks the body of PathChatCompletions. Its errors wrap
// ErrInvalid and name the field.
func DecodeChat(body []byte) (ChatRequest, error) {
	var request ChatRequest
	if err := decodeJSON(body, &request); err != nil {
		return ChatRequest{}, err
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = request.MaxCompletionTokens
	}
	request.MaxCompletionTokens = 0
	if err := checkModel(request.Model, request.Adapter, request.MaxTokens, request.N); err != nil {
		return ChatRequest{}, err
	}
	if len(request.Messages) == 0 {
		return ChatRequest{}, invalid("messages: at least one is needed")
	}
	if len(request.Messages) > maximumMessages {
		return ChatRequest{}, invalid("messages: at most %d are allowed", maximumMessages)
	}
	for index, message := range request.Messages {
		switch message.Role {
		case RoleSystem, RoleUser, RoleAssistant:
		default:
			return ChatRequest{}, invalid("messages[%d].role: must be system, user or assistant", index)
		}
	}
	return request, nil
}

// DecodeCompletion reads and checks the body of PathCompletions.
func DecodeCompletion(body []byte) (CompletionRequest, error) {
	var request CompletionRequest
	if err := decodeJSON(body, &request); err != nil {
		return CompletionRequest{}, err
	}
	if err := checkModel(request.Model, request.Adapter, request.MaxTokens, request.N); err != nil {
		return CompletionRequest{}, err
	}
	if request.Prompt == "" {
		return CompletionRequest{}, invalid("prompt: must not be empty")
	}
	return request, nil
}

func decodeJSON(body []byte, target any) error {
	if !utf8.Valid(body) {
		return invalid("body: not valid UTF-8")
	}
	if err := json.Unmarshal(body, target); err != nil {
		return describeJSON(err)
	}
	return nil
}

func describeJSON(err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return invalid("body: not JSON at byte %d: %v", syntax.Offset, syntax)
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return invalid("%s: wants %s, got %s", mismatch.Field, mismatch.Type, mismatch.Value)
	}
	return invalid("body: %v", err)
}

func checkModel(model, adapter string, maxTokens, answers int) error {
	if err := CheckName("model", model); err != nil {
		return err
	}
	if len(adapter) > maximumNameLength {
		return invalid("adapter: longer than %d bytes", maximumNameLength)
	}
	if maxTokens < 0 {
		return invalid("max_tokens: must not be negative")
	}
	if answers != 0 && answers != 1 {
		return invalid("n: only one answer is given")
	}
	return nil
}

// CheckName checks the name of a model, an application or an operation.
func CheckName(field, name string) error {
	if name == "" {
		return invalid("%s: must not be empty", field)
	}
	if len(name) > maximumNameLength {
		return invalid("%s: longer than %d bytes", field, maximumNameLength)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return invalid("%s: contains control characters", field)
	}
	return nil
}
