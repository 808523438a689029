package static

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// EnvironmentPrefix starts the name of each environment variable.
const EnvironmentPrefix = "PIERHAVEN_"

// Key is one setting.
type Key struct {
	// Path is the key's name in the file, such as gateway.listen_address.
	Path    string
	Section Section
	Help    string
	Default any
	index   []int
}

// Flag returns the name of the key's flag, without dashes in front.
func (k Key) Flag() string { return strings.ReplaceAll(k.Path, "_", "-") }

// Environment returns the name of the key's environment variable.
func (k Key) Environment() string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(k.Path, ".", "_"))
}

// get returns the key's field in the settings.
func (k Key) get(settings *Settings) reflect.Value {
	return reflect.ValueOf(settings).Elem().FieldByIndex(k.index)
}

// Keys returns all keys of some sections, or of all sections if none is named,
// in the order of the struct.
func Keys(sections ...Section) []Key {
	defaults := Defaults()
	var keys []Key
	root := reflect.TypeOf(defaults)
	for position := range root.NumField() {
		field := root.Field(position)
		section := Section(field.Tag.Get(tagName))
		if !wanted(section, sections) {
			continue
		}
		keys = append(keys, sectionKeys(field, section, &defaults)...)
	}
	return keys
}

const tagName = "koanf"

func wanted(section Section, sections []Section) bool {
	if len(sections) == 0 {
		return true
	}
	for _, each := range sections {
		if each == section {
			return true
		}
	}
	return false
}

func sectionKeys(parent reflect.StructField, section Section, defaults *Settings) []Key {
	var keys []Key
	for position := range parent.Type.NumField() {
		field := parent.Type.Field(position)
		key := Key{
			Path:    string(section) + "." + field.Tag.Get(tagName),
			Section: section,
			Help:    field.Tag.Get("help"),
			index:   []int{parent.Index[0], position},
		}
		key.Default = key.get(defaults).Interface()
		keys = append(keys, key)
	}
	return keys
}

// Format renders a setting's value the way that the file states it.
func Format(value any) string {
	switch typed := value.(type) {
	case time.Duration:
		return typed.String()
	case []string:
		return "[" + strings.Join(typed, ", ") + "]"
	default:
		return fmt.Sprint(typed)
	}
}
