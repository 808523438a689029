package traffic

import (
	"fmt"
	"math"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/tenant"
)

// place is where a route is mounted.
type place struct{ host, prefix string }

// Validate checks a configuration as a whole. Its errors are of kind
// failure.InvalidDocument.
func (c *Configuration) Validate() error {
	services, err := c.serviceNames()
	if err != nil {
		return err
	}
	places := make(map[place]string, len(c.Routes))
	for index := range c.Routes {
		route := &c.Routes[index]
		if err := route.validate(services); err != nil {
			return err
		}
		at := place{route.Host, route.PathPrefix}
		if other, taken := places[at]; taken {
			return invalid("routes %q and %q have the same host and path prefix", other, route.Name)
		}
		places[at] = route.Name
	}
	return c.validateTenants()
}

const (
	// maximumTenants is over twenty times what the target size asks for, and maximumKeys what a
	// tenant could use while it changes all of its keys; more is a mistake of whoever sends it.
	maximumTenants = 10_000
	maximumKeys    = 1_000
	// maximumTenantName is in bytes: a name goes with each request, in a header field.
	maximumTenantName = 256
)

// validateTenants checks the tenants. Its errors name no key.
func (c *Configuration) validateTenants() error {
	if len(c.Tenants) > maximumTenants {
		return invalid("%d tenants are more than %d", len(c.Tenants), maximumTenants)
	}
	names := make(map[string]bool, len(c.Tenants))
	owners := map[tenant.Digest]string{}
	for _, each := range c.Tenants {
		if err := validateTenantName(each.Name); err != nil {
			return err
		}
		if names[each.Name] {
			return invalid("tenant %q is defined twice", each.Name)
		}
		names[each.Name] = true
		if err := each.Quota.validate(each.Name); err != nil {
			return err
		}
		if len(each.Keys) > maximumKeys {
			return invalid("tenant %q has %d keys, more than %d", each.Name, len(each.Keys), maximumKeys)
		}
		for _, key := range each.Keys {
			if owner, taken := owners[key]; taken && owner != each.Name {
				return invalid("tenants %q and %q share a key", owner, each.Name)
			}
			owners[key] = each.Name
		}
	}
	return nil
}

// validate checks a tenant's limit; nil is none.
func (q *Quota) validate(tenant string) error {
	if q == nil {
		return nil
	}
	for _, number := range []float64{q.Limit.Rate, q.Limit.Burst, q.PlainUnits} {
		if number < 0 || math.IsNaN(number) || math.IsInf(number, 0) {
			return invalid("the limit of tenant %q has the number %v", tenant, number)
		}
	}
	return nil
}

// validateTenantName accepts what can stand in a header field.
func validateTenantName(name string) error {
	if name == "" || len(name) > maximumTenantName {
		return invalid("a tenant's name has %d bytes; it must have 1 to %d", len(name), maximumTenantName)
	}
	for _, each := range []byte(name) {
		if each <= ' ' || each > '~' {
			return invalid("the tenant's name %q has characters that can't stand in a header field", name)
		}
	}
	return nil
}

func (c *Configuration) serviceNames() (map[string]bool, error) {
	names := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		if service.Name == "" {
			return nil, invalid("a service has no name")
		}
		if names[service.Name] {
			return nil, invalid("service %q is defined twice", service.Name)
		}
		names[service.Name] = true
	}
	return names, nil
}

func (r *Route) validate(services map[string]bool) error {
	if r.Host == "" || r.PathPrefix == "" {
		return invalid("route %q lacks a host or a path prefix", r.Name)
	}
	switch r.Kind {
	case KindRepeatable, KindOnce, KindStream:
	default:
		return invalid("route %q is of the unknown kind %q", r.Name, r.Kind)
	}
	weighted := false
	for _, part := range r.Split {
		if !services[part.Service] {
			return invalid("route %q names the unknown service %q", r.Name, part.Service)
		}
		if part.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		weighted = weighted || part.Weight > 0
	}
	if !weighted {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return failure.New(failure.InvalidDocument, fmt.Sprintf(format, arguments...))
}
