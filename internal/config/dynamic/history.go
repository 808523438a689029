package dynamic

// History remembers the newest deltas, so that a receiver which is only a little
// behind need not be sent the whole configuration. It is derived and may be
// lost: then the whole is sent. It is not safe for concurrent use.
type History struct {
	// deltas lead from one to the next, the newest last.
	deltas []*Delta
	bytes  int
}

const (
	// maximumDeltas and maximumDeltaBytes bound a history.
	maximumDeltas     = 256
	maximumDeltaBytes = 1 << 20
)

// Add takes in that a configuration was replaced by a later one. A base of nil,
// and a delta that is not worth keeping, begin the history anew.
func (h *History) Add(base, next *Snapshot) {
	if base == nil {
		*h = History{}
		return
	}
	delta, err := Difference(base, next)
	if err != nil || delta.Msgsize() > maximumDeltaBytes/2 {
		*h = History{}
		return
	}
	if len(h.deltas) > 0 && h.deltas[len(h.deltas)-1].Revision != base.Revision {
		*h = History{}
	}
	h.deltas = append(h.deltas, delta)
	h.bytes += delta.Msgsize()
	for len(h.deltas) > maximumDeltas || h.bytes > maximumDeltaBytes {
		h.bytes -= h.deltas[0].Msgsize()
		h.deltas = h.deltas[1:]
	}
}

// Since returns the delta from a revision to the newest one; false if the
// history does not reach back to it.
func (h *History) Since(revision uint64) (*Delta, bool) {
	for index, delta := range h.deltas {
		if delta.Base == revision {
			return join(h.deltas[index:]), true
		}
	}
	return nil, false
}

// join makes one delta of several that lead from one to the next.
func join(deltas []*Delta) *Delta {
	if len(deltas) == 1 {
		return deltas[0]
	}
	last := deltas[len(deltas)-1]
	joined := &Delta{Base: deltas[0].Base, Revision: last.Revision, Digest: last.Digest}
	removed := make(map[Reference]bool)
	for _, delta := range deltas {
		for _, reference := range delta.Removed {
			removed[reference] = true
		}
		joined.Policies = joinKind(removed, delta, KindPolicy, joined.Policies, delta.Policies, policyName)
		joined.Tenants = joinKind(removed, delta, KindTenant, joined.Tenants, delta.Tenants, tenantName)
		joined.Models = joinKind(removed, delta, KindModel, joined.Models, delta.Models, modelName)
		joined.Applications = joinKind(removed, delta, KindApplication, joined.Applications, delta.Applications, applicationName)
	}
	for reference := range removed {
		joined.Removed = append(joined.Removed, reference)
	}
	return joined
}

// joinKind merges a later delta's documents into earlier ones. What it brings
// back is not removed any more.
func joinKind[T any](removed map[Reference]bool, later *Delta, kind Kind, earlier, changes []T, name func(*T) string) []T {
	for index := range changes {
		delete(removed, Reference{Kind: kind, Name: name(&changes[index])})
	}
	return merged(later, kind, earlier, changes, name)
}
