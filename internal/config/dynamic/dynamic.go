// Package dynamic holds the configuration that operators change while the
// system runs: policies, tenants, models and applications. The config group
// owns it; every other process holds a copy whose revision only moves forward.
package dynamic

//go:generate go tool msgp -file dynamic.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// Kind names a kind of document.
type Kind string

// Kinds of documents.
const (
	KindPolicy      Kind = "policy"
	KindTenant      Kind = "tenant"
	KindModel       Kind = "model"
	KindApplication Kind = "application"
)

// Snapshot is the whole configuration at one revision. Lists are sorted by name.
type Snapshot struct {
	// Revision is the config group's log position; it only grows.
	Revision     uint64        `msg:"revision" json:"revision" yaml:"-"`
	Policies     []Policy      `msg:"policies" json:"policies" yaml:"policies" validate:"dive"`
	Tenants      []Tenant      `msg:"tenants" json:"tenants" yaml:"tenants" validate:"dive"`
	Models       []Model       `msg:"models" json:"models" yaml:"models" validate:"dive"`
	Applications []Application `msg:"applications" json:"applications" yaml:"applications" validate:"dive"`
}

// Policy is an operators' program. Its expressions are in the language of
// github.com/expr-lang/expr; docs/policy-reference.md lists the variables.
type Policy struct {
	Name string `msg:"name" json:"name" yaml:"name" validate:"required,max=128"`
	// Models that the policy governs; empty means all.
	Models []string `msg:"models" json:"models,omitempty" yaml:"models,omitempty"`
	// Ranking is a number for each request; higher goes first.
	Ranking string `msg:"ranking" json:"ranking,omitempty" yaml:"ranking,omitempty"`
	// Placement says which models, versions and adapters run where.
	Placement []PlacementRule `msg:"placement" json:"placement,omitempty" yaml:"placement,omitempty" validate:"dive"`
	// RoleChange says when an engine should change its role.
	RoleChange RoleChangeRule `msg:"role_change" json:"role_change" yaml:"role_change"`
}

// PlacementRule assigns a model to a share of a zone's engines.
type PlacementRule struct {
	Model    string   `msg:"model" json:"model" yaml:"model" validate:"required"`
	Version  string   `msg:"version" json:"version" yaml:"version" validate:"required"`
	Adapters []string `msg:"adapters" json:"adapters,omitempty" yaml:"adapters,omitempty"`
	// Condition is a boolean over an engine; empty means every engine.
	Condition string `msg:"condition" json:"condition,omitempty" yaml:"condition,omitempty"`
	// Minimum is the least number of engines for the model in a zone.
	Minimum int `msg:"minimum" json:"minimum,omitempty" yaml:"minimum,omitempty" validate:"gte=0"`
}

// RoleChangeRule bounds the planner.
type RoleChangeRule struct {
	// Condition is a boolean over the planner's forecast; empty means that
	// the planner's own gain estimate decides.
	Condition string `msg:"condition" json:"condition,omitempty" yaml:"condition,omitempty"`
	// Price of one change, in requests of goodput that it must gain.
	Price float64 `msg:"price" json:"price" yaml:"price" validate:"gte=0"`
	// PriceProgram is a number over the zone and the clock that stands for
	// Price; empty takes Price, as does a run-time failure.
	PriceProgram string `msg:"price_program" json:"price_program,omitempty" yaml:"price_program,omitempty"`
	// MinimumDwellSeconds keeps an engine in a role at least this long.
	MinimumDwellSeconds float64 `msg:"minimum_dwell_seconds" json:"minimum_dwell_seconds" yaml:"minimum_dwell_seconds" validate:"gte=0"`
	// MaximumAway bounds the engines that change at the same time in a zone.
	MaximumAway int `msg:"maximum_away" json:"maximum_away" yaml:"maximum_away" validate:"gte=0"`
}

// Tenant is a customer with a key, limits and a home zone.
type Tenant struct {
	Name string `msg:"name" json:"name" yaml:"name" validate:"required,max=128"`
	// KeyHashes are SHA-256 hashes (hex) of the tenant's API keys.
	KeyHashes []string `msg:"key_hashes" json:"key_hashes" yaml:"key_hashes" validate:"required,dive,len=64,hexadecimal"`
	// HomeZone keeps the once-only records of keys that name no zone. It
	// can't be changed after the tenant's creation.
	HomeZone string `msg:"home_zone" json:"home_zone" yaml:"home_zone" validate:"required"`
	// TokensPerSecond and BurstTokens bound prompt and output tokens together
	// over all gateways; 0 means no limit.
	TokensPerSecond float64 `msg:"tokens_per_second" json:"tokens_per_second" yaml:"tokens_per_second" validate:"gte=0"`
	BurstTokens     float64 `msg:"burst_tokens" json:"burst_tokens" yaml:"burst_tokens" validate:"gte=0"`
	// Weight is the tenant's share in fair queueing; 0 counts as 1.
	Weight float64 `msg:"weight" json:"weight" yaml:"weight" validate:"gte=0"`
	// MaximumPriority bounds the priority that the tenant's callers may ask.
	MaximumPriority int `msg:"maximum_priority" json:"maximum_priority" yaml:"maximum_priority"`
	// OpaqueKeys allows idempotency keys that carry no time. The tenant then
	// promises not to repeat one after the retention window.
	OpaqueKeys bool `msg:"opaque_keys" json:"opaque_keys" yaml:"opaque_keys"`
}

// Model is a language model with the version in service and its objectives.
type Model struct {
	Name    string `msg:"name" json:"name" yaml:"name" validate:"required,max=128"`
	Version string `msg:"version" json:"version" yaml:"version" validate:"required"`
	// FirstTokenMillis and BetweenTokensMillis are the service objectives
	// that goodput counts against.
	FirstTokenMillis    float64 `msg:"first_token_ms" json:"first_token_ms" yaml:"first_token_ms" validate:"gt=0"`
	BetweenTokensMillis float64 `msg:"between_tokens_ms" json:"between_tokens_ms" yaml:"between_tokens_ms" validate:"gt=0"`
	// MaximumPromptTokens and MaximumOutputTokens bound one request.
	MaximumPromptTokens int `msg:"maximum_prompt_tokens" json:"maximum_prompt_tokens" yaml:"maximum_prompt_tokens" validate:"gt=0"`
	MaximumOutputTokens int `msg:"maximum_output_tokens" json:"maximum_output_tokens" yaml:"maximum_output_tokens" validate:"gt=0"`
	// Adapters that may be loaded with the model; policies are checked
	// against them.
	Adapters []string `msg:"adapters" json:"adapters,omitempty" yaml:"adapters,omitempty" validate:"max=64,unique,dive,required,max=128"`
}

// Application is a set of operations on application back ends.
type Application struct {
	Name       string      `msg:"name" json:"name" yaml:"name" validate:"required,max=128"`
	Operations []Operation `msg:"operations" json:"operations" yaml:"operations" validate:"required,dive"`
}

// Operation is one call that an application back end offers.
type Operation struct {
	Name string `msg:"name" json:"name" yaml:"name" validate:"required,max=128"`
	// Repeatable operations may be retried; others need an idempotency key
	// and run at most once.
	Repeatable bool `msg:"repeatable" json:"repeatable" yaml:"repeatable"`
}
