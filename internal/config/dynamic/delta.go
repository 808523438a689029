package dynamic

import (
	"errors"
	"reflect"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool msgp -file delta.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// Delta turns the configuration at revision Base into the one at Revision.
type Delta struct {
	Base     uint64 `msg:"base"`
	Revision uint64 `msg:"revision"`
	// Digest is that of the resulting configuration; see Digest.
	Digest uint64 `msg:"digest"`
	// The lists hold the documents that are new or changed, sorted by name.
	Policies     []Policy      `msg:"policies,omitempty"`
	Tenants      []Tenant      `msg:"tenants,omitempty"`
	Models       []Model       `msg:"models,omitempty"`
	Applications []Application `msg:"applications,omitempty"`
	Removed      []Reference   `msg:"removed,omitempty"`
}

// Reference names a document.
type Reference struct {
	Kind Kind   `msg:"kind"`
	Name string `msg:"name"`
}

// The errors of Delta.Apply. The receiver asks for the whole configuration.
var (
	// ErrOtherBase says that the delta starts from another revision.
	ErrOtherBase = errors.New("the delta starts from another revision")
	// ErrDigest says that the result is not what the sender has.
	ErrDigest = errors.New("the delta does not lead to the sender's configuration")
)

// Digest identifies the content of a configuration: the XXH64 of its encoding.
func Digest(snapshot *Snapshot) (uint64, error) {
	encoded, err := snapshot.MarshalMsg(nil)
	return xxhash.Sum64(encoded), err
}

// Difference returns the delta from one configuration to a later one.
func Difference(base, next *Snapshot) (*Delta, error) {
	digest, err := Digest(next)
	if err != nil {
		return nil, err
	}
	delta := &Delta{Base: base.Revision, Revision: next.Revision, Digest: digest}
	delta.Policies = changed(delta, KindPolicy, base.Policies, next.Policies, policyName)
	delta.Tenants = changed(delta, KindTenant, base.Tenants, next.Tenants, tenantName)
	delta.Models = changed(delta, KindModel, base.Models, next.Models, modelName)
	delta.Applications = changed(delta, KindApplication, base.Applications, next.Applications, applicationName)
	return delta, nil
}

func policyName(p *Policy) string           { return p.Name }
func tenantName(t *Tenant) string           { return t.Name }
func modelName(m *Model) string             { return m.Name }
func applicationName(a *Application) string { return a.Name }

// changed lists the documents of next that are not the same in base, and adds
// those that are missing to the delta's removals.
func changed[T any](delta *Delta, kind Kind, base, next []T, name func(*T) string) []T {
	before := make(map[string]*T, len(base))
	for index := range base {
		before[name(&base[index])] = &base[index]
	}
	var list []T
	for index := range next {
		document := &next[index]
		known, found := before[name(document)]
		if !found || !reflect.DeepEqual(known, document) {
			list = append(list, *document)
		}
		delete(before, name(document))
	}
	removed := make([]Reference, 0, len(before))
	for gone := range before {
		removed = append(removed, Reference{Kind: kind, Name: gone})
	}
	slices.SortFunc(removed, func(a, b Reference) int { return strings.Compare(a.Name, b.Name) })
	delta.Removed = append(delta.Removed, removed...)
	return list
}

// Apply returns the configuration that the delta makes of a base, which is not
// changed. The result is exactly the sender's, or there is an error.
func (d *Delta) Apply(base *Snapshot) (*Snapshot, error) {
	if base == nil || base.Revision != d.Base {
		return nil, ErrOtherBase
	}
	next := &Snapshot{
		Revision:     d.Revision,
		Policies:     merged(d, KindPolicy, base.Policies, d.Policies, policyName),
		Tenants:      merged(d, KindTenant, base.Tenants, d.Tenants, tenantName),
		Models:       merged(d, KindModel, base.Models, d.Models, modelName),
		Applications: merged(d, KindApplication, base.Applications, d.Applications, applicationName),
	}
	digest, err := Digest(next)
	if err != nil {
		return nil, err
	}
	if digest != d.Digest {
		return nil, ErrDigest
	}
	return next, nil
}

// merged replaces, adds and removes documents of one kind.
func merged[T any](delta *Delta, kind Kind, base, changes []T, name func(*T) string) []T {
	gone := make(map[string]bool, len(changes))
	for _, reference := range delta.Removed {
		if reference.Kind == kind {
			gone[reference.Name] = true
		}
	}
	for index := range changes {
		gone[name(&changes[index])] = true
	}
	list := make([]T, 0, len(base)+len(changes))
	for index := range base {
		if !gone[name(&base[index])] {
			list = append(list, base[index])
		}
	}
	list = append(list, changes...)
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(name(&a), name(&b)) })
	return list
}
