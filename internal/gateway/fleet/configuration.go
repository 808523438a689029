package fleet

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policy"
	"github.com/pierhaven/pierhaven/internal/tenant"
)

// Configuration is one revision of the dynamic configuration, indexed. It is
// immutable.
type Configuration struct {
	Revision     uint64
	snapshot     *dynamic.Snapshot
	keys         tenant.Keys[*dynamic.Tenant]
	byName       map[string]*dynamic.Tenant
	models       map[string]*dynamic.Model
	applications map[string]*dynamic.Application
	policies     *policy.Set
}

// next indexes the snapshot of a later revision, which must not change afterwards;
// a nil configuration has no earlier one. Unchanged policies keep their compiled
// programs and counts. Key hashes that are not SHA-256 in hexadecimal match nothing.
func (c *Configuration) next(snapshot *dynamic.Snapshot) *Configuration {
	var policies *policy.Set
	if c != nil {
		policies = c.policies
	}
	configuration := &Configuration{
		Revision:     snapshot.Revision,
		snapshot:     snapshot,
		byName:       map[string]*dynamic.Tenant{},
		models:       map[string]*dynamic.Model{},
		applications: map[string]*dynamic.Application{},
		policies:     policies.Recompile(snapshot.Policies),
	}
	for index := range snapshot.Tenants {
		configuration.addTenant(&snapshot.Tenants[index])
	}
	for index := range snapshot.Models {
		model := &snapshot.Models[index]
		configuration.models[model.Name] = model
	}
	for index := range snapshot.Applications {
		application := &snapshot.Applications[index]
		configuration.applications[application.Name] = application
	}
	return configuration
}

func (c *Configuration) addTenant(added *dynamic.Tenant) {
	c.byName[added.Name] = added
	for _, text := range added.KeyHashes {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		c.keys.Add(tenant.Digest(raw), added)
	}
}

// Snapshot returns the configuration as it was given.
func (c *Configuration) Snapshot() *dynamic.Snapshot { return c.snapshot }

// Policies returns the compiled policies.
func (c *Configuration) Policies() *policy.Set { return c.policies }

// Authenticate returns the tenant whose API key this is, or nil.
func (c *Configuration) Authenticate(key []byte) *dynamic.Tenant {
	found, _ := c.keys.Find(key)
	return found
}

// Tenant returns a tenant by name, or nil.
func (c *Configuration) Tenant(name string) *dynamic.Tenant { return c.byName[name] }

// Model returns a model by name, or nil.
func (c *Configuration) Model(name string) *dynamic.Model { return c.models[name] }

// Operation returns an operation of an application, or nil.
func (c *Configuration) Operation(application, operation string) *dynamic.Operation {
	known := c.applications[application]
	if known == nil {
		return nil
	}
	for index := range known.Operations {
		if known.Operations[index].Name == operation {
			return &known.Operations[index]
		}
	}
	return nil
}
