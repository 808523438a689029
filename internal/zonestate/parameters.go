package zonestate

import (
	"slices"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/coordination/onceonly"
)

//go:generate go tool msgp -file parameters.go -o parameters_gen.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// Parameters are the group's replicated settings. The leader proposes those of
// its own settings file when they differ.
type Parameters struct {
	// Zones lists all zones of the deployment, sorted. A once-only key may
	// contain the name of one of them.
	Zones []string `msg:"zones"`
	// Terms apply to new sessions; open sessions keep theirs.
	Terms    membership.Terms    `msg:"terms"`
	OnceOnly onceonly.Parameters `msg:"once_only"`
}

// DefaultParameters returns the parameters for a deployment of the given zones.
func DefaultParameters(zones []string) Parameters {
	const (
		second = 1000
		hour   = 3600 * second
	)
	sorted := slices.Clone(zones)
	slices.Sort(sorted)
	return Parameters{
		Zones:    sorted,
		Terms:    membership.Terms{HeartbeatMillis: second, LeaseMillis: 4 * second, IsolationMillis: 8 * hour},
		OnceOnly: onceonly.DefaultParameters(),
	}
}

func (p *Parameters) valid() bool {
	return len(p.Zones) > 0 && slices.IsSorted(p.Zones) && p.Terms.Valid()
}

// IsZone reports whether name is a zone of the deployment.
func (p *Parameters) IsZone(name string) bool {
	_, found := slices.BinarySearch(p.Zones, name)
	return found
}
