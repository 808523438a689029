package traffic

import (
	"fmt"

	"github.com/pierhaven/pierhaven/internal/failure"
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
	sum := 0
	for _, part := range r.Split {
		if !services[part.Service] {
			return invalid("route %q names the unknown service %q", r.Name, part.Service)
		}
		if part.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		sum += part.Weight
	}
	if sum == 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return failure.New(failure.InvalidDocument, fmt.Sprintf(format, arguments...))
}
