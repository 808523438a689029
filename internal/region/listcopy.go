package region

import (
	"maps"
	"slices"
)

// ListCopy is a gateway's copy of the list of replicas that are not on standby. A long list arrives in parts, in the order
// of the ids, while it changes. The zero value is an empty copy. It is not safe for concurrent use.
type ListCopy struct {
	// revision is that of the last complete copy, 0 if there has been none.
	revision uint64
	// partEnd is the id up to which the copy is newer than revision, and partRevision the revision of that part; partEnd is
	// empty while no parts are expected.
	partEnd      string
	partRevision uint64
	replicas     map[string]Replica
}

// Request adds to a request what the copy has. bound is the number of replicas from which on the list is to come in parts.
func (l *ListCopy) Request(request *ViewRequest, bound int) {
	request.ListBound = bound
	request.ListRevision, request.PartEnd, request.PartRevision = l.revision, l.partEnd, l.partRevision
	if l.partEnd != "" {
		// A coordinator that doesn't know parts is to send the whole list.
		request.ListRevision = 0
	}
}

// Take applies a view, and reports whether it had anything newer. Of a view that is older than the copy nothing is taken.
func (l *ListCopy) Take(view *View) bool {
	if !view.HasList || view.ListRevision <= l.revision || view.ListRevision < l.partRevision {
		return false
	}
	if l.replicas == nil {
		l.replicas = make(map[string]Replica, len(view.Replicas))
	}
	if view.WholeList {
		l.partEnd = ""
	}
	if view.WholeList || l.partEnd != "" {
		l.dropUnlisted(view)
	}
	for _, replica := range view.Replicas {
		l.replicas[replica.ID] = replica
	}
	for _, id := range view.Removed {
		delete(l.replicas, id)
	}
	l.partEnd, l.partRevision = view.PartEnd, view.ListRevision
	if l.partEnd == "" {
		l.revision = view.ListRevision
	}
	return true
}

// dropUnlisted drops the replicas after the parts received before, up to the end of a view's part, that the view doesn't list.
func (l *ListCopy) dropUnlisted(view *View) {
	listed := make(map[string]struct{}, len(view.Replicas))
	for _, replica := range view.Replicas {
		listed[replica.ID] = struct{}{}
	}
	maps.DeleteFunc(l.replicas, func(id string, _ Replica) bool {
		_, found := listed[id]
		return !found && id > l.partEnd && (view.PartEnd == "" || id <= view.PartEnd)
	})
}

// Replicas returns the replicas of the copy, in no order.
func (l *ListCopy) Replicas() []Replica { return slices.Collect(maps.Values(l.replicas)) }

// IsNewerThan reports whether the copy is newer than a view's list.
func (l *ListCopy) IsNewerThan(view *View) bool {
	return view.ListRevision < max(l.revision, l.partRevision)
}

// IsPartial reports whether parts of the list are missing or outdated.
func (l *ListCopy) IsPartial() bool { return l.partEnd != "" }

// LacksList reports whether a list at a revision has anything for the gateway that makes the request.
func (r *ViewRequest) LacksList(revision uint64) bool {
	if r.PartEnd != "" {
		return revision >= r.PartRevision
	}
	return revision > r.ListRevision
}
