package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/topology"
)

// canServeFetches reports whether other replicas may fetch prefixes from this one: they may if its answers were
// lost, but not if it accepts no connections or was removed.
func (r *Replica) canServeFetches(now time.Duration) bool {
	return !r.removed && !(r.unconnected && now < r.avoidUntil)
}

// likelyPrefixSource returns a preferred replica of the prompt's shared prefix in the target's region, nil
// if there is none. All gateways that find that replica idle choose it for the prefill, so it may have the
// prefix cached although this gateway has not heard of it. A fetch that finds nothing costs next to
// nothing. The caller must hold d.mutex.
func (d *Directory) likelyPrefixSource(target *Replica, prompt *Prompt, now time.Duration) *Replica {
	for _, preferred := range d.preferredReplicas(target.Service, target.Stage, prompt, now) {
		if preferred != target && preferred.canServeFetches(now) && d.regions.Between(preferred.Zone, target.Zone) != topology.OtherRegion {
			return preferred
		}
	}
	return nil
}

// FetchFrom returns the address from which the leased replica should fetch the prefix of its prompt, empty
// if it should prefill the whole prompt.
func (l *Lease) FetchFrom() string {
	if l.fetchFrom == nil {
		return ""
	}
	return l.fetchFrom.Address
}
