package engineapi

import "slices"

//go:generate go tool msgp -file configuration.go -o configuration_gen.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// Role says which phases of a request an engine runs.
type Role string

// Roles of an engine.
const (
	// RolePrefill reads prompts and exports their KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode imports KV cache and generates tokens.
	RoleDecode Role = "decode"
	// RoleMixed does both, with prefill steps delaying decode steps.
	RoleMixed Role = "mixed"
)

// Configuration is what an engine has loaded, or is told to load.
type Configuration struct {
	Role     Role     `json:"role" msg:"role"`
	Model    string   `json:"model" msg:"model"`
	Version  string   `json:"version" msg:"version"`
	Adapters []string `json:"adapters,omitempty" msg:"adapters,omitempty"`
}

// Fence orders the orders of a zone: first by generation, then by log index.
// It grows strictly over all leaders of the zone group.
type Fence struct {
	Generation uint64 `json:"generation" msg:"generation"`
	Index      uint64 `json:"index" msg:"index"`
}

// Less reports whether f is older than other.
func (f Fence) Less(other Fence) bool {
	if f.Generation != other.Generation {
		return f.Generation < other.Generation
	}
	return f.Index < other.Index
}

// Equal reports whether both configurations are the same; the order of adapters
// does not matter.
func (c Configuration) Equal(other Configuration) bool {
	if c.Role != other.Role || c.Model != other.Model || c.Version != other.Version {
		return false
	}
	return slices.Equal(slices.Sorted(slices.Values(c.Adapters)), slices.Sorted(slices.Values(other.Adapters)))
}
