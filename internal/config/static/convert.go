package static

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// convert turns a raw value of the file, the environment or a flag into the
// type of the key's default.
func convert(key Key, raw any) (any, error) {
	switch key.Default.(type) {
	case string:
		return toString(raw)
	case bool:
		return toBool(raw)
	case int:
		return toInt(raw)
	case float64:
		return toFloat(raw)
	case time.Duration:
		return toDuration(raw)
	case []string:
		return toStrings(raw)
	default:
		return nil, fmt.Errorf("settings of type %T are not supported", key.Default)
	}
}

func toString(raw any) (any, error) {
	switch typed := raw.(type) {
	case string:
		return typed, nil
	case int, float64:
		return fmt.Sprint(typed), nil
	}
	return nil, fmt.Errorf("must be a text, not %s", describe(raw))
}

func toBool(raw any) (any, error) {
	if typed, ok := raw.(bool); ok {
		return typed, nil
	}
	if text, ok := raw.(string); ok {
		if value, err := strconv.ParseBool(text); err == nil {
			return value, nil
		}
	}
	return nil, fmt.Errorf("must be true or false, not %s", describe(raw))
}

func toInt(raw any) (any, error) {
	switch typed := raw.(type) {
	case int:
		return typed, nil
	case string:
		if value, err := strconv.Atoi(typed); err == nil {
			return value, nil
		}
	}
	return nil, fmt.Errorf("must be a whole number, not %s", describe(raw))
}

func toFloat(raw any) (any, error) {
	var value float64
	switch typed := raw.(type) {
	case int:
		value = float64(typed)
	case float64:
		value = typed
	case string:
		parsed, err := strconv.ParseFloat(typed, 64)
		if err != nil {
			return nil, fmt.Errorf("must be a number, not %s", describe(raw))
		}
		value = parsed
	default:
		return nil, fmt.Errorf("must be a number, not %s", describe(raw))
	}
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return nil, fmt.Errorf("must be a finite number, not %s", describe(raw))
	}
	return value, nil
}

func toDuration(raw any) (any, error) {
	if typed, ok := raw.(time.Duration); ok {
		return typed, nil
	}
	if text, ok := raw.(string); ok {
		if value, err := time.ParseDuration(text); err == nil {
			return value, nil
		}
	}
	return nil, fmt.Errorf("must be a duration with its unit, such as 500ms or 2m, not %s", describe(raw))
}

func toStrings(raw any) (any, error) {
	switch typed := raw.(type) {
	case []string:
		return typed, nil
	case string:
		return splitList(typed), nil
	case []any:
		values := make([]string, 0, len(typed))
		for _, element := range typed {
			value, err := toString(element)
			if err != nil {
				return nil, fmt.Errorf("must be a list of texts, but holds %s", describe(element))
			}
			values = append(values, value.(string))
		}
		return values, nil
	case nil:
		return []string(nil), nil
	}
	return nil, fmt.Errorf("must be a list, not %s", describe(raw))
}

// splitList reads a list from an environment variable or a flag.
func splitList(text string) []string {
	var values []string
	for _, part := range strings.Split(text, ",") {
		if trimmed := strings.TrimSpace(part); trimmed != "" {
			values = append(values, trimmed)
		}
	}
	return values
}

func describe(raw any) string {
	switch typed := raw.(type) {
	case nil:
		return "nothing"
	case string:
		return strconv.Quote(typed)
	case map[string]any:
		return "a section"
	case []any:
		return "a list"
	default:
		return fmt.Sprint(typed)
	}
}
