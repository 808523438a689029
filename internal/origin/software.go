package origin

//go:generate go tool msgp -file software.go -tests=false -io=false
//msgp:tuple Software Origin

// Software is what a replica runs: streams go on only at replicas that run the same. It is the version of the replica's
// software or, if the list does not tell that, the name of the incarnation, whose software is like no other's.
type Software struct {
	Version     string `msg:"version"`
	Incarnation string `msg:"incarnation"`
}

// Unknown is the software of a replica of which nothing is known. No replica runs it.
var Unknown = Software{Incarnation: "not known"}

// SoftwareOf returns what an incarnation with a version runs; the version is empty if it is not known.
func SoftwareOf(version, incarnation string) Software {
	if version == "" {
		return Software{Incarnation: incarnation}
	}
	return Software{Version: version}
}

// IsSet reports whether there is any.
func (s Software) IsSet() bool { return s != Software{} }

// String returns the version, or the incarnation in parentheses.
func (s Software) String() string {
	if s.Incarnation != "" {
		return "(" + s.Incarnation + ")"
	}
	return s.Version
}

// Origin is where a stream has begun.
type Origin struct {
	Service  string   `msg:"service"`
	Software Software `msg:"software"`
}
