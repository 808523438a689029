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

// HashNewSoftware returns a hash of new software in its order, 0 if there is none.
func HashNewSoftware(software []NewSoftware) uint64 {
	if len(software) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, each := range software {
		_, _ = digest.WriteString(each.Service + "\x00" + each.Version + "\x00" + strconv.FormatUint(each.Revision, 10) + "\x00")
	}
	return digest.Sum64()
}

// LacksNewSoftware reports whether a state has other new software than the gateway that makes the request, and no older list. A
// gateway of an earlier build, which tells no life, knows none.
func (r *ViewRequest) LacksNewSoftware(state *State) bool {
	return r.Life != 0 && state.ListRevision >= r.ListRevision && HashNewSoftware(state.NewSoftware) != r.NewSoftware
}
