package replicalist

import "github.com/pierhaven/pierhaven/internal/region"

const (
	// suspectShare is the share of the replicas that one round may lack without being suspect. Fewer than minimumSuspect
	// are never suspect.
	suspectShare   = 0.5
	minimumSuspect = 8
)

// Presence tracks which replicas the pages of a round show, and which ones are gone.
//
// An entry may move to a page that was read before while the list changes, so a replica that a round of several pages lacks
// is gone only if the next one lacks it too, unless it was leaving. So is one whose entry could not be used, and are many that
// are missing at once, which may be an error of the platform. That all replicas are gone and there is no other is not believed.
type Presence struct {
	// seen are the start times of the newest incarnations that the round has shown.
	seen map[string]int64
	// former are entries of the round for an earlier incarnation than the known one. They hold if the round shows no newer
	// one: the clock by which a replica tells its start may have been set back.
	former []region.Replica
	// unusable are the IDs of entries that can't be used, unusableCount the number of all of these.
	unusable      map[string]bool
	unusableCount int
	// missing are the replicas that the last whole round lacked.
	missing map[string]bool
}

// Begin begins a round.
func (p *Presence) Begin() {
	p.seen, p.former = map[string]int64{}, nil
	p.unusable, p.unusableCount = map[string]bool{}, 0
}

// Show records a page, and returns the entries that hold. known returns the incarnation that is known of an ID. An ended
// process stays on the list for some seconds, so that entries of earlier incarnations are left out.
func (p *Presence) Show(page Page, known func(id string) (region.Incarnation, bool)) []region.Replica {
	p.unusableCount += page.Unusable
	for _, id := range page.UnusableIDs {
		p.unusable[id] = true
	}
	held := make([]region.Replica, 0, len(page.Replicas))
	entries := append([]region.Replica(nil), page.Replicas...)
	region.KeepIncarnations(entries, known)
	for _, entry := range entries {
		born, shown := p.seen[entry.ID]
		if shown && entry.Born < born {
			continue
		}
		p.seen[entry.ID] = entry.Born
		if before, found := known(entry.ID); found && entry.Born < before.Born {
			p.former = append(p.former, entry)
			continue
		}
		held = append(held, entry)
	}
	return held
}

// Shown returns the number of replicas that the round has shown.
func (p *Presence) Shown() int { return len(p.seen) }

// End ends a whole round of a number of pages. It returns the entries that were left out at first and hold after all, and the
// IDs of the known replicas that are gone. doubted is the number of those that are kept, if suspiciously many were missing.
func (p *Presence) End(pages int, known []region.ListedReplica) (held []region.Replica, gone []string, doubted int) {
	for _, entry := range p.former {
		if p.seen[entry.ID] == entry.Born {
			held = append(held, entry)
		}
	}
	missing := map[string]bool{}
	for index := range known {
		id := known[index].Replica.ID
		if _, shown := p.seen[id]; !shown {
			missing[id] = true
		}
	}
	many := len(missing) >= minimumSuspect && float64(len(missing)) > suspectShare*float64(len(known))
	none := len(p.seen) == 0 && (many || p.unusableCount > 0)
	for index := range known {
		replica := &known[index].Replica
		if !missing[replica.ID] || none {
			continue
		}
		if p.missing[replica.ID] || !many && !p.unusable[replica.ID] && (pages == 1 || replica.IsLeaving()) {
			gone = append(gone, replica.ID)
		}
	}
	p.missing = missing
	if many {
		doubted = len(missing) - len(gone)
	}
	return held, gone, doubted
}
