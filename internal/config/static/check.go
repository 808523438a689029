package static

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// check applies the rules of single fields and the rules between fields.
func check(loaded Loaded, file document, failed map[string]bool) Problems {
	checker := checker{loaded: loaded, file: file, failed: failed}
	for _, section := range loaded.Sections {
		checker.checkFields(section)
	}
	if len(loaded.Sections) == 1 {
		checker.add(string(SectionGateway), "there is neither a gateway nor a controller section")
	}
	checker.checkCombinations()
	return checker.problems
}

type checker struct {
	loaded   Loaded
	file     document
	failed   map[string]bool
	problems Problems
}

// add reports a problem of a key where its value came from.
func (c *checker) add(path, format string, arguments ...any) {
	origin := c.loaded.Origins[path]
	if origin.Kind == "" || origin.Kind == OriginDefault {
		origin = c.placeOfMissing(path)
	}
	c.problems = append(c.problems, Problem{Origin: origin, Field: path, Message: fmt.Sprintf(format, arguments...)})
	c.failed[path] = true
}

// placeOfMissing is the line of the section in the file where a key is not set.
func (c *checker) placeOfMissing(path string) Origin {
	if c.file.name == "" {
		return Origin{Kind: OriginDefault}
	}
	section, _, _ := strings.Cut(path, pathDelimiter)
	return Origin{Kind: OriginFile, Name: c.file.name, Line: c.file.lines[section]}
}

// sound says that a key's value is free of problems so far.
func (c *checker) sound(paths ...string) bool {
	for _, path := range paths {
		if c.failed[path] {
			return false
		}
	}
	return true
}

func (c *checker) checkFields(section Section) {
	settings := c.loaded.Settings
	var part any
	switch section {
	case SectionCommon:
		part = settings.Common
	case SectionGateway:
		part = settings.Gateway
	case SectionController:
		part = settings.Controller
	}
	err := fieldValidator.Struct(part)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return
	}
	for _, fieldError := range fieldErrors {
		name, _, _ := strings.Cut(fieldError.Field(), "[")
		path := string(section) + pathDelimiter + name
		if !c.sound(path) {
			continue
		}
		c.add(path, "%s", explain(fieldError))
	}
}

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get(tagName) })
	rules := map[string]func(string) string{
		"ip_port":          addressProblem,
		"specific_ip_port": specificAddressProblem,
		"named_address":    namedAddressProblem,
		"writable_folder":  folderProblem,
		"readable_file":    fileProblem,
	}
	for tag, problem := range rules {
		rule := func(field validator.FieldLevel) bool { return problem(field.Field().String()) == "" }
		if err := validate.RegisterValidation(tag, rule); err != nil {
			panic(err)
		}
	}
	return validate
}

// explain words a rule that a field breaks.
func explain(fieldError validator.FieldError) string {
	value := Format(fieldError.Value())
	switch fieldError.Tag() {
	case "required":
		return "is required"
	case "ip_port":
		return addressProblem(value)
	case "specific_ip_port":
		return specificAddressProblem(value)
	case "named_address":
		return namedAddressProblem(value)
	case "writable_folder":
		return folderProblem(value)
	case "readable_file":
		return fileProblem(value)
	case "oneof":
		return fmt.Sprintf("must be one of %s, not %q", strings.ReplaceAll(fieldError.Param(), " ", ", "), value)
	case "unique":
		return "holds a value twice: " + value
	case "gt":
		return fmt.Sprintf("must be more than %s, not %s", fieldError.Param(), value)
	case "gte":
		return fmt.Sprintf("must be at least %s, not %s", fieldError.Param(), value)
	case "lte":
		return fmt.Sprintf("must be at most %s, not %s", fieldError.Param(), value)
	case "max":
		return fmt.Sprintf("must have at most %s characters", fieldError.Param())
	case "printascii", "excludesall":
		return fmt.Sprintf("%q must be printable ASCII without spaces and slashes", value)
	default:
		return fmt.Sprintf("%q breaks the rule %s", value, fieldError.Tag())
	}
}
