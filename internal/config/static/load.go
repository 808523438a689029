package static

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/knadh/koanf/providers/env/v2"
	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/v2"
	"github.com/spf13/pflag"
)

// Sources are what settings are read from. Each may be left out.
type Sources struct {
	// File is the path of the settings file.
	File string
	// Environment lists NAME=VALUE pairs, as os.Environ does.
	Environment []string
	// Flags holds the flags that AddFlags has added.
	Flags *pflag.FlagSet
	// Sections limits what is checked beside common. If it is empty, the
	// sections are checked that some source mentions.
	Sections []Section
}

// Loaded is checked settings with the origin of each value.
type Loaded struct {
	Settings Settings
	Origins  map[string]Origin
	// Sections lists what was checked.
	Sections []Section
}

// layer is one source of values.
type layer struct {
	values *koanf.Koanf
	origin func(key Key) Origin
}

// Load reads and checks the settings. On problems the error is of the type
// Problems and lists all of them.
func Load(sources Sources) (Loaded, error) {
	loaded := Loaded{Settings: Defaults(), Origins: map[string]Origin{}}
	file, problems := readFile(sources.File)
	layers := []layer{
		{file.values, func(key Key) Origin {
			return Origin{Kind: OriginFile, Name: file.name, Line: file.lines[key.Path]}
		}},
	}
	environment, environmentProblems := environmentLayer(sources.Environment)
	problems = append(problems, environmentProblems...)
	layers = append(layers, environment)
	if sources.Flags != nil {
		layers = append(layers, flagLayer(sources.Flags))
	}
	loaded.Sections = checkedSections(sources.Sections, layers, file)
	failed := map[string]bool{}
	for _, key := range Keys() {
		problem := loaded.assign(key, layers)
		if problem != nil {
			problems = append(problems, *problem)
			failed[key.Path] = true
		}
	}
	problems = append(problems, check(loaded, file, failed)...)
	if len(problems) > 0 {
		return loaded, problems.sorted()
	}
	return loaded, nil
}

func readFile(path string) (document, Problems) {
	empty := document{name: path, values: koanf.New(pathDelimiter), lines: map[string]int{}}
	if path == "" {
		return empty, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return empty, Problems{empty.problem(0, "", "can't be read: "+err.Error())}
	}
	return parseDocument(path, content)
}

// assign puts the value of the strongest layer into the settings.
func (l *Loaded) assign(key Key, layers []layer) *Problem {
	l.Origins[key.Path] = Origin{Kind: OriginDefault}
	for position := len(layers) - 1; position >= 0; position-- {
		source := layers[position]
		if !source.values.Exists(key.Path) {
			continue
		}
		origin := source.origin(key)
		l.Origins[key.Path] = origin
		value, err := convert(key, source.values.Get(key.Path))
		if err != nil {
			return &Problem{Origin: origin, Field: key.Path, Message: err.Error()}
		}
		key.get(&l.Settings).Set(reflect.ValueOf(value))
		return nil
	}
	return nil
}

// reservedVariables start with the prefix but are no settings.
var reservedVariables = map[string]bool{
	EnvironmentPrefix + "SETTINGS":    true,
	EnvironmentPrefix + "CONTROLLERS": true,
	EnvironmentPrefix + "TOKEN":       true,
}

func environmentLayer(pairs []string) (layer, Problems) {
	paths := map[string]string{}
	for _, key := range Keys() {
		paths[key.Environment()] = key.Path
	}
	values := koanf.New(pathDelimiter)
	provider := env.Provider(pathDelimiter, env.Opt{
		Prefix:        EnvironmentPrefix,
		EnvironFunc:   func() []string { return pairs },
		TransformFunc: func(name, value string) (string, any) { return paths[name], value },
	})
	var problems Problems
	if err := values.Load(provider, nil); err != nil {
		origin := Origin{Kind: OriginEnvironment, Name: EnvironmentPrefix + "*"}
		problems = append(problems, Problem{Origin: origin, Message: err.Error()})
	}
	problems = append(problems, unknownVariables(pairs, paths)...)
	origin := func(key Key) Origin {
		return Origin{Kind: OriginEnvironment, Name: key.Environment()}
	}
	return layer{values, origin}, problems
}

func unknownVariables(pairs []string, paths map[string]string) Problems {
	var problems Problems
	for _, pair := range pairs {
		name, _, _ := strings.Cut(pair, "=")
		known := paths[name] != "" || reservedVariables[name]
		if known || !strings.HasPrefix(name, EnvironmentPrefix) {
			continue
		}
		origin := Origin{Kind: OriginEnvironment, Name: name}
		problems = append(problems, Problem{Origin: origin, Message: "unknown key"})
	}
	return problems
}

// AddFlags adds a flag for each key of some sections, or of all sections if
// none is named.
func AddFlags(flags *pflag.FlagSet, sections ...Section) {
	for _, key := range Keys(sections...) {
		flags.String(key.Flag(), "", fmt.Sprintf("%s (default %s)", key.Help, Format(key.Default)))
		flags.Lookup(key.Flag()).DefValue = ""
	}
}

// flagLayer takes in the flags that were given on the command line.
func flagLayer(flags *pflag.FlagSet) layer {
	paths := map[string]string{}
	for _, key := range Keys() {
		paths[key.Flag()] = key.Path
	}
	given := func(flag *pflag.Flag) (string, any) {
		if !flag.Changed {
			return "", nil
		}
		return paths[flag.Name], flag.Value.String()
	}
	values := koanf.New(pathDelimiter)
	// The provider can't fail: it reads strings that pflag has parsed.
	_ = values.Load(posflag.ProviderWithFlag(flags, pathDelimiter, nil, given), nil)
	origin := func(key Key) Origin { return Origin{Kind: OriginFlag, Name: key.Flag()} }
	return layer{values, origin}
}

// checkedSections returns common and the sections that were asked for or else
// are mentioned by some source.
func checkedSections(asked []Section, layers []layer, file document) []Section {
	sections := []Section{SectionCommon}
	if len(asked) > 0 {
		for _, section := range asked {
			if section != SectionCommon {
				sections = append(sections, section)
			}
		}
		return sections
	}
	for _, section := range []Section{SectionGateway, SectionController} {
		_, inFile := file.lines[string(section)]
		if inFile || mentioned(section, layers) {
			sections = append(sections, section)
		}
	}
	return sections
}

func mentioned(section Section, layers []layer) bool {
	for _, source := range layers {
		if source.values.Exists(string(section)) {
			return true
		}
	}
	return false
}
