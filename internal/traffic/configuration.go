package traffic

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/tenant"
)

// Configuration is everything that routing needs to know, under one version.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Tenants are the customers whose callers bring keys; without any, no key is asked for.
	Tenants []Tenant
}

// Tenant is a customer.
type Tenant struct {
	Name string
	// Keys are the digests of its API keys; a tenant may have lost all of them.
	Keys []tenant.Digest
	// Priority is the rank of its requests, in place of their routes'; nil leaves it to these.
	Priority *int
	// Quota is what its requests may use over all gateways; nil is no limit.
	Quota *Quota
}

// Quota is a tenant's limit.
type Quota struct {
	// Limit is in requests, or in tokens of prompt and answer if CountsTokens is set.
	Limit        quota.Limit
	CountsTokens bool
	// PlainUnits is what a request counts that names no tokens.
	PlainUnits float64
}

// Units is what a request counts that names a number of tokens, 0 if it names none.
func (q *Quota) Units(tokens float64) float64 {
	if !q.CountsTokens {
		return 1
	}
	if tokens <= 0 {
		// Nothing is free: a request whose tokens can't be read counts as one without.
		return max(q.PlainUnits, 1)
	}
	return tokens
}

// Kind says what may be done with a request more than once.
type Kind string

// Kinds of requests.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
	// KindStream requests are answered by a stream of events. They run at most
	// once, but for routes that are resumable.
	KindStream Kind = "stream"
)

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the whole handling of a request; 0 sets no bound.
	Timeout time.Duration
	// TargetLatency is the objective up to the answer or its first event.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that is still in time.
	TargetGap time.Duration
	// Priority is the rank of the requests, 0 is the highest.
	Priority int
	// MaximumAttempts bounds the replicas that may run one request.
	MaximumAttempts int
	// Resumable streams may be continued at another replica.
	Resumable bool
	// PrefixAffinity sends requests with equal prompt prefixes to the same
	// replicas.
	PrefixAffinity bool
	// Open routes ask for no API key.
	Open  bool
	Split []Part
}

// Part is one service's share of a route.
type Part struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run twice.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// MayBeTakenUp reports whether requests of the route are streams that callers may take up.
func (r *Route) MayBeTakenUp() bool { return r.Kind == KindStream && r.Resumable }

// Services returns the services that requests of the route go to.
func (r *Route) Services() []string {
	var services []string
	for _, part := range r.Split {
		if part.Weight > 0 {
			services = append(services, part.Service)
		}
	}
	return services
}

// SplitsTo reports whether requests of the route may go to a service.
func (r *Route) SplitsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(part Part) bool { return part.Service == service && part.Weight > 0 })
}

// Service is a set of replicas that answer alike.
type Service struct {
	Name               string
	HealthPath         string
	MaximumConnections int
	// Engine is nil for services that are not model engines.
	Engine *Engine
	// Scaling is nil for services whose number of replicas is not ours to order.
	Scaling *Scaling
}

// Scaling is within which bounds, and at which price, replicas of a service are ordered.
type Scaling struct {
	// Minimum and Maximum bound the replicas of a zone, of both kinds together.
	Minimum, Maximum int
	// BootTime is how long a new replica takes until it serves.
	BootTime time.Duration
	// PreemptiblePrice is what a replica costs that may be taken away, as a share of what one
	// costs that stays; 0 if there are none to be had.
	PreemptiblePrice float64
	// ZonePrices are the prices of a second of a replica by zone.
	ZonePrices map[string]float64
}

// Engine describes the model replicas of a service.
type Engine struct {
	Slots int
	// CacheTokens is the size of a replica's KV cache.
	CacheTokens int
	// HandleLifetime is how long a replica keeps a prompt that was read for
	// another.
	HandleLifetime time.Duration
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// SwitchTime is how long a change of stage takes.
	SwitchTime time.Duration
	// TokenBytes is the size of a token in the KV cache, and LinkBitsPerSecond the
	// speed at which replicas move it to each other; 0 if it is not told.
	TokenBytes        float64
	LinkBitsPerSecond float64
}

// Limits bound what a caller may send. Zero values set no bound.
type Limits struct {
	MaximumHeaderBytes int
	MaximumBodyBytes   int
	HeaderTimeout      time.Duration
	IdleTimeout        time.Duration
}

// Codec reads configurations in the form that operators send. Read returns an
// error of kind failure.InvalidDocument for every document that must not come
// into force.
type Codec interface {
	Read(document []byte) (*Configuration, error)
}
