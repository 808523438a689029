package relay

// Software is what a replica runs: streams go on only at replicas that run the same. It is the version of the replica's
// software or, if the list does not tell that, the incarnation, whose software is like no other's.
type Software struct {
	Version     string
	Incarnation string
}

// IsKnown reports whether there is any.
func (s Software) IsKnown() bool { return s != Software{} }

// String returns the version, or the incarnation in parentheses.
func (s Software) String() string {
	if s.Incarnation != "" {
		return "(" + s.Incarnation + ")"
	}
	return s.Version
}

// software returns what the replica runs. The caller must hold Directory.mutex.
func (r *Replica) software() Software {
	if r.Version == "" {
		return Software{Incarnation: r.name}
	}
	return Software{Version: r.Version}
}

// otherVersion reports whether a listing is of a process with another version of the software.
func (r *Replica) otherVersion(listed string) bool {
	return r.Version != "" && listed != "" && r.Version != listed
}
