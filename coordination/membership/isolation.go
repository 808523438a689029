package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// reservedMember is hashed in place of a member id to select the targets
	// that are in no isolation set.
	reservedMember = "\x00reserved"
	// reservedDivisor: of a group of n > 1 targets, n/reservedDivisor, but at
	// least one, are reserved: in no isolation set.
	reservedDivisor = 4
	// setSizeDivisor: of a group of n targets, a member's set has up to
	// n/setSizeDivisor, but at least one.
	setSizeDivisor = 2
)

// ChooseIsolationSet selects the targets that a member may use while it is cut
// off from the leader. Each group contains targets that can replace each other.
// About a quarter of each group is in no member's set, so that these targets can
// always be changed quickly. From the others the member gets up to half of the
// group's size by rendezvous hashing (Thaler and Ravishankar, 1998), which spreads
// the load of many isolated members. The target of a group of one is in every
// member's set.
func ChooseIsolationSet(memberID string, groups [][]string) []string {
	var chosen []string
	for _, group := range groups {
		chosen = append(chosen, chooseFromGroup(memberID, group)...)
	}
	sort.Strings(chosen)
	return chosen
}

func chooseFromGroup(memberID string, group []string) []string {
	if len(group) <= 1 {
		return group
	}
	reserved := max(1, len(group)/reservedDivisor)
	setSize := max(1, len(group)/setSizeDivisor)
	usable := rankByHash(reservedMember, group)[reserved:]
	return rankByHash(memberID, usable)[:min(setSize, len(usable))]
}

// rankByHash returns the targets in descending order of the hash of member and
// target.
func rankByHash(memberID string, targets []string) []string {
	hashes := make(map[string]uint64, len(targets))
	for _, target := range targets {
		hashes[target] = xxhash.Sum64String(memberID + "\x00" + target)
	}
	ranked := append([]string(nil), targets...)
	sort.Slice(ranked, func(i, j int) bool {
		if hashes[ranked[i]] != hashes[ranked[j]] {
			return hashes[ranked[i]] > hashes[ranked[j]]
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}
