package policycheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// References holds the models, versions and adapters that policies may refer to.
type References struct {
	models map[string]*modelReference
}

type modelReference struct {
	versions []string
	adapters []string
}

// NewReferences returns the references to the models of a configuration.
func NewReferences(configuration dynamic.Snapshot) *References {
	references := &References{models: map[string]*modelReference{}}
	for _, model := range configuration.Models {
		references.models[model.Name] = &modelReference{
			versions: []string{model.Version},
			adapters: slices.Clone(model.Adapters),
		}
	}
	return references
}

// AddLoaded adds a version and adapters that an engine has loaded: a policy may keep
// them on the engine after the configuration has changed. Models that aren't in the
// configuration stay unknown.
func (r *References) AddLoaded(model, version string, adapters []string) {
	known, found := r.models[model]
	if !found {
		return
	}
	known.versions = append(known.versions, version)
	known.adapters = append(known.adapters, adapters...)
}

func (r *References) modelNames() []string {
	var names []string
	for name := range r.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (d Document) checkReferences(references *References) Problems {
	var problems Problems
	unknown := func(field, kind, name string, known []string) {
		known = slices.Compact(slices.Sorted(slices.Values(known)))
		problems = append(problems, d.problem(field, "there is no %s %q; known: %s", kind, name, joinNames(known)))
	}
	for index, model := range d.Policy.Models {
		if references.models[model] == nil {
			unknown(fmt.Sprintf("models[%d]", index), "model", model, references.modelNames())
		}
	}
	for index, rule := range d.Policy.Placement {
		field := fmt.Sprintf("placement[%d]", index)
		known := references.models[rule.Model]
		if known == nil {
			// If the policy lists the model, the problem is reported for the list.
			if rule.Model != "" && !slices.Contains(d.Policy.Models, rule.Model) {
				unknown(field+".model", "model", rule.Model, references.modelNames())
			}
			continue
		}
		if rule.Version != "" && !slices.Contains(known.versions, rule.Version) {
			unknown(field+".version", "version", rule.Version, known.versions)
		}
		for position, adapter := range rule.Adapters {
			if !slices.Contains(known.adapters, adapter) {
				unknown(fmt.Sprintf("%s.adapters[%d]", field, position), "adapter", adapter, known.adapters)
			}
		}
	}
	return problems
}

func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
