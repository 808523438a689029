package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
)

const (
	// admissionInterval is the time between two looks at whether streams may begin at what is new.
	admissionInterval = 50 * time.Millisecond
	// minimumSoftwareAge is how long new software begins no streams while other software of its service takes work: gateways
	// have told by then where their streams have begun, also if they all end right after it was listed.
	minimumSoftwareAge = time.Second
)

// softwareAges are the times since when the leader has known new software, by revision of the list.
type softwareAges map[uint64]time.Duration

// update forgets software that is no longer new, and notes what is.
func (a softwareAges) update(now time.Duration, software []region.NewSoftware) {
	for revision := range a {
		if !slices.ContainsFunc(software, func(each region.NewSoftware) bool { return each.Revision == revision }) {
			delete(a, revision)
		}
	}
	for _, each := range software {
		if _, known := a[each.Revision]; !known {
			a[each.Revision] = now
		}
	}
}

// admissible returns the revision of the list up to which new software may begin streams, 0 if there is none: nobody may act
// on an older list than oldest, and it is old enough or alone.
func (a softwareAges) admissible(now time.Duration, state *region.State, oldest uint64) (revision uint64) {
	for _, each := range state.NewSoftware {
		if each.Revision > oldest {
			continue
		}
		if now-a[each.Revision] >= minimumSoftwareAge || isAlone(state, each) {
			revision = max(revision, each.Revision)
		}
	}
	return revision
}

// isAlone reports whether no replica of a service takes work that runs software at which streams may begin.
func isAlone(state *region.State, software region.NewSoftware) bool {
	return !slices.ContainsFunc(state.Replicas, func(each region.ListedReplica) bool {
		replica := &each.Replica
		if replica.Service != software.Service || each.Standby || replica.IsLeaving() {
			return false
		}
		return !region.IsNewSoftware(state.NewSoftware, replica.Service, replica.Software)
	})
}

// admissibleRoutes returns the version of the configuration up to which streams may begin at new services of routes, 0 if there
// is none: nobody may act on an older one than oldest.
func admissibleRoutes(state *region.State, oldest uint64) (version uint64) {
	for _, each := range state.NewRoutes {
		if each.Version <= oldest {
			version = max(version, each.Version)
		}
	}
	return version
}

// admitOrigins lets streams begin at new software and at new services of routes, while this coordinator leads, once nobody may
// act on a list or a configuration without them.
func (c *Coordinator) admitOrigins(ctx context.Context) {
	ages := softwareAges{}
	for lifecycle.Sleep(ctx, admissionInterval) {
		state, _ := c.machine.read()
		now := c.now()
		ages.update(now, state.NewSoftware)
		if len(state.NewSoftware)+len(state.NewRoutes) == 0 || !c.group.Leads() {
			continue
		}
		c.restartMemberViews(now)
		held := c.memberViews.oldest(now, newestView(&state))
		admitted := region.SoftwareCommand{Revision: ages.admissible(now, &state, held.list), Version: admissibleRoutes(&state, held.version)}
		if admitted == (region.SoftwareCommand{}) {
			continue
		}
		_, err := c.commit(ctx, &region.Command{Software: &admitted})
		c.logger.Info(event.OriginsAdmitted, "revision", admitted.Revision, "version", admitted.Version,
			"waiting", len(state.NewSoftware), "waiting_routes", len(state.NewRoutes), "error", failure.Text(err))
	}
}
