package simulation

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

const (
	configPullWait   = 2 * time.Second
	configPullMargin = time.Second
	configPullPause  = 250 * time.Millisecond
)

func (t *term) offer(snapshot *dynamic.Snapshot) {
	if t.offered == nil || snapshot.Revision > t.offered.Revision {
		t.offered = snapshot
	}
	t.core.UpdateConfig(snapshot)
	t.hurry()
}

// offerOwn offers what this controller's own replica of the config group has
// applied, which is committed.
func (t *term) offerOwn() {
	if t.owner.configReplica == nil || t.ended {
		return
	}
	if snapshot := t.owner.documents.configuration(); snapshot.Revision > 0 {
		t.offer(snapshot)
	}
}

// pullConfiguration pulls from all config voters and from the other zones'
// controllers at once.
func (t *term) pullConfiguration() {
	for _, source := range t.owner.world.controllers {
		isSource := source.configReplica != nil || source.zone != t.owner.zone
		if source != t.owner && isSource {
			t.pullFrom(source)
		}
	}
}

func (t *term) pullFrom(source *controller) {
	if t.ended {
		return
	}
	c := t.owner
	revision := c.zoneState.ConfigRevision()
	c.world.call(&c.process, &source.process, configPullWait+configPullMargin,
		func(e *exchange) { source.pullServed(e, revision) },
		func(reply any, err *callError) {
			switch {
			case t.ended:
			case err != nil:
				c.after(configPullPause, func() { t.pullFrom(source) })
			case reply.(*dynamic.Snapshot) == nil:
				t.pullFrom(source)
			default:
				t.offer(reply.(*dynamic.Snapshot))
				t.awaitAdoption(source, reply.(*dynamic.Snapshot).Revision)
			}
		})
}

// awaitAdoption keeps the next pull from bringing the same again.
func (t *term) awaitAdoption(source *controller, revision uint64) {
	c := t.owner
	next := func() { t.pullFrom(source) }
	c.wait(c.world.timing.proposalTimeout, func() bool {
		if c.zoneState.ConfigRevision() < revision {
			return false
		}
		next()
		return true
	}, next)
}

// newestConfiguration is the newest committed configuration that the controller
// has: of the config group or of its zone.
func (c *controller) newestConfiguration() *dynamic.Snapshot {
	newest := c.zoneState.Config()
	if c.configReplica == nil {
		return newest
	}
	if own := c.documents.configuration(); own.Revision > 0 && (newest == nil || own.Revision > newest.Revision) {
		newest = own
	}
	return newest
}

func (c *controller) pullServed(e *exchange, revision uint64) {
	c.wait(configPullWait, func() bool {
		newest := c.newestConfiguration()
		if newest == nil || newest.Revision <= revision {
			return false
		}
		e.reply(newest)
		return true
	}, func() { e.reply((*dynamic.Snapshot)(nil)) })
}
