package traffic

import (
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/pierhaven/pierhaven/internal/tenant"
)

// Table finds the route of a request. It is made from one configuration and not
// changed afterwards, but for the positions of its splitters.
type Table struct {
	Configuration *Configuration
	hosts         map[string][]*Mounted
	// splitters are those of the routes.
	splitters map[place]*Splitter
	services  map[string]*Service
	keys      tenant.Keys[*Tenant]
}

// Mounted is a route of a table with its splitter.
type Mounted struct {
	*Route
	Splitter *Splitter
}

// NewTable returns the table of a configuration. The splitters of routes that
// were in the table before, unchanged in their parts, go on where they were.
func NewTable(configuration *Configuration, before *Table) *Table {
	table := &Table{
		Configuration: configuration,
		hosts:         map[string][]*Mounted{},
		splitters:     make(map[place]*Splitter, len(configuration.Routes)),
		services:      make(map[string]*Service, len(configuration.Services)),
	}
	for index := range configuration.Services {
		service := &configuration.Services[index]
		table.services[service.Name] = service
	}
	for index := range configuration.Tenants {
		table.addTenant(&configuration.Tenants[index])
	}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		host := strings.ToLower(route.Host)
		splitter := before.splitterFor(host, route)
		table.splitters[place{host, route.PathPrefix}] = splitter
		table.hosts[host] = append(table.hosts[host], &Mounted{Route: route, Splitter: splitter})
	}
	for _, mounted := range table.hosts {
		sort.SliceStable(mounted, func(i, j int) bool {
			return len(mounted[i].PathPrefix) > len(mounted[j].PathPrefix)
		})
	}
	return table
}

func (t *Table) addTenant(added *Tenant) {
	for _, digest := range added.Keys {
		t.keys.Add(digest, added)
	}
}

// AsksForKeys reports whether requests on a route must bring an API key.
func (t *Table) AsksForKeys(route *Route) bool {
	return len(t.Configuration.Tenants) > 0 && !route.Open
}

// TenantOf returns the tenant that an API key belongs to, or nil.
func (t *Table) TenantOf(key string) *Tenant {
	found, _ := t.keys.Find([]byte(key))
	return found
}

// splitterFor keeps the splitter of an unchanged split. A new one starts at a
// random position, so that gateways that start together don't all serve the
// same part first.
func (t *Table) splitterFor(host string, route *Route) *Splitter {
	if t != nil {
		splitter := t.splitters[place{host, route.PathPrefix}]
		if splitter != nil && splitter.Splits(route.Split) {
			return splitter
		}
	}
	return NewSplitter(route.Split, rand.IntN)
}

// Find returns the route of a request, or nil. A port in the host is ignored.
func (t *Table) Find(host, path string) *Mounted {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, mounted := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, mounted.PathPrefix) {
			return mounted
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
