package region

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// IsNewSoftware reports whether a version of a service's software is among new software.
func IsNewSoftware(software []NewSoftware, service, version string) bool {
	return slices.ContainsFunc(software, func(each NewSoftware) bool { return each.Service == service && each.Version == version })
}

// HashNewOrigins returns a hash of new software and new services of routes in their orders, 0 if there are none.
func HashNewOrigins(software []NewSoftware, routes []NewRoute) uint64 {
	if len(software) == 0 && len(routes) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, each := range software {
		_, _ = digest.WriteString(each.Service + "\x00" + each.Version + "\x00" + strconv.FormatUint(each.Revision, 10) + "\x00")
	}
	for _, each := range routes {
		at := each.RouteService
		_, _ = digest.WriteString(at.Host + "\x00" + at.PathPrefix + "\x00" + at.Service + "\x00" + strconv.FormatUint(each.Version, 10) + "\x00")
	}
	return digest.Sum64()
}

// LacksNewOrigins reports whether a state has other new software or new services of routes than the gateway that makes the
// request, and nothing older. A gateway of an earlier build, which tells no life, knows none.
func (r *ViewRequest) LacksNewOrigins(state *State) bool {
	return r.Life != 0 && state.ListRevision >= r.ListRevision && state.Version >= r.Version &&
		HashNewOrigins(state.NewSoftware, state.NewRoutes) != r.NewSoftware
}
