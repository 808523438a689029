package coordinator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/build"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/replicalist"
	"github.com/pierhaven/pierhaven/internal/telemetry"
)

// listSync reads the platform's list of replicas while this coordinator is the leader, and commits each change of it to
// the group's log.
type listSync struct {
	coordinator *Coordinator
	reader      *replicalist.Reader
	presence    replicalist.Presence
	// pending are entries that were read and are not committed yet, by ID; the first of them was read at pendingSince.
	pending      map[string]region.Replica
	pendingSince time.Duration
}

func newListSync(c *Coordinator) *listSync {
	l := &listSync{coordinator: c, pending: map[string]region.Replica{}}
	l.reader = replicalist.NewReader(replicalist.Options{
		Read:   c.settings.ReadListPage,
		Pace:   l.pace,
		Take:   l.take,
		GiveUp: c.settings.DisabledMechanisms[mechanism.ListPages],
		End:    l.end,
		Clock:  c.now,
		Logger: c.logger,
	})
	return l
}

// registerMetrics registers the metrics of the reading of the list.
func (l *listSync) registerMetrics(registry *telemetry.Metrics) {
	registry.GaugeFunc("list_age_seconds", "Time since the beginning of the last reading of the whole list here, -1 before there is one.", func() float64 {
		whole, _ := l.reader.Age()
		return secondsOrNone(whole)
	})
	registry.GaugeFunc("list_page_age_seconds", "Time since a page of the list was last read here, -1 before there is one.", func() float64 {
		_, page := l.reader.Age()
		return secondsOrNone(page)
	})
	registry.GaugeFunc("list_pages_read", "Pages of the list that were read here, since the start.", func() float64 {
		read, _, _ := l.reader.Counts()
		return float64(read)
	})
	registry.GaugeFunc("list_calls_refused", "Calls for pages that the platform refused, or did not want yet, since the start.", func() float64 {
		_, refused, _ := l.reader.Counts()
		return float64(refused)
	})
	registry.GaugeFunc("list_calls_failed", "Calls for pages that brought none, since the start.", func() float64 {
		_, _, failed := l.reader.Counts()
		return float64(failed)
	})
}

// ages returns the ages of the last reading of the whole list and of the last page here, in milliseconds, 0 if there was none.
func (l *listSync) ages() (list, page int64) {
	listAge, pageAge := l.reader.Age()
	return max(listAge.Milliseconds(), 0), max(pageAge.Milliseconds(), 0)
}

// listAges are the ages of the list that the leader has last reported.
type listAges struct {
	mutex      sync.Mutex
	reportedAt time.Duration
	// list and page are those of View.
	list, page int64
}

func (a *listAges) set(now time.Duration, list, page int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.reportedAt, a.list, a.page = now, list, page
}

// at returns the ages at a time, 0 for those that are not known.
func (a *listAges) at(now time.Duration) (list, page int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	since := (now - a.reportedAt).Milliseconds()
	if a.list > 0 {
		list = a.list + since
	}
	if a.page > 0 {
		page = a.page + since
	}
	return list, page
}

// leadershipCheckInterval is the longest time until a coordinator reads the list whose election it was not told of.
const leadershipCheckInterval = time.Second

// run reads the list whenever this coordinator leads, until the context ends.
func (l *listSync) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.coordinator.group.Leads() {
			clear(l.pending)
			l.presence = replicalist.Presence{}
			l.presence.Begin()
			l.reader.Run(ctx, l.coordinator.group.Leads)
		}
		select {
		case <-ctx.Done():
		case <-l.coordinator.elected:
		case <-time.After(leadershipCheckInterval):
		}
	}
}

// pace returns how fast to read the list.
func (l *listSync) pace() replicalist.Pace {
	state, _ := l.coordinator.machine.read()
	settings := &l.coordinator.settings
	return replicalist.Pace{
		CallsPerSecond: settings.ListCallsPerSecond,
		Interval:       listInterval(settings.ListInterval, state.Replicas),
		Bound:          settings.ListBound,
	}
}

// listInterval returns the time from one reading of the list to the next. If there are preemptible replicas, which leave
// with shorter notice than others, it is defaultListInterval at most, which is two readings a second: when the list was read
// only once a second, a tenth of the on-time answers was lost in the seconds in which 38 of 96 replicas were preempted.
func listInterval(interval time.Duration, replicas []region.ListedReplica) time.Duration {
	if slices.ContainsFunc(replicas, func(each region.ListedReplica) bool { return each.Replica.Preemptible }) {
		return min(interval, defaultListInterval)
	}
	return interval
}

// pendingShare of the interval is the longest time for which additions wait to be committed together.
const pendingShare = 1.0 / 4

// take commits what a page changes. Additions may wait for those of the pages that follow.
func (l *listSync) take(ctx context.Context, page replicalist.Page) error {
	state, _ := l.coordinator.machine.read()
	held := l.storable(l.presence.Show(page, incarnationIn(state.Replicas)), state.Replicas)
	if len(l.pending) == 0 {
		l.pendingSince = l.coordinator.now()
	}
	urgent := false
	for _, entry := range held {
		if _, differs, active := updatedEntry(state.Replicas, entry); differs {
			l.pending[entry.ID] = entry
			urgent = urgent || active
		}
	}
	if l.coordinator.settings.DisabledMechanisms[mechanism.ListPages] {
		return nil
	}
	waited := l.coordinator.now() - l.pendingSince
	if !urgent && waited < time.Duration(pendingShare*float64(l.coordinator.settings.ListInterval)) {
		return nil
	}
	return l.commit(ctx, nil)
}

// storesSoftware reports whether the versions of the replicas' software are stored. They are not while the group has
// coordinators of an earlier build, which would store the replicas without them, so that the copies differ; until all
// have reported their builds, it goes on as before.
func (l *listSync) storesSoftware(replicas []region.ListedReplica) bool {
	c := l.coordinator
	all, earlier := c.builds.support(c.sortedMembers(), build.SoftwareProtocol)
	if all || earlier {
		return all
	}
	return len(replicas) == 0 || slices.ContainsFunc(replicas, func(each region.ListedReplica) bool { return each.Replica.Software != "" })
}

// storable returns listed entries as they are stored beside the known replicas.
func (l *listSync) storable(entries []region.Replica, known []region.ListedReplica) []region.Replica {
	if l.storesSoftware(known) {
		return entries
	}
	stripped := slices.Clone(entries)
	for index := range stripped {
		stripped[index].Software = ""
	}
	return stripped
}

// end commits what a whole round says of replicas that it lacks.
func (l *listSync) end(ctx context.Context, round *replicalist.Round) {
	defer l.presence.Begin()
	var gone []string
	switch {
	case round.Whole():
		gone = l.missing(round)
	case l.coordinator.settings.DisabledMechanisms[mechanism.ListPages]:
		clear(l.pending)
	}
	if err := l.commit(ctx, gone); err != nil {
		l.coordinator.logger.Info(event.ListNotCommitted, "pending", len(l.pending), "removed", len(gone), "error", failure.Text(err))
	}
}

// missing returns the replicas that are gone according to a whole round.
func (l *listSync) missing(round *replicalist.Round) []string {
	state, _ := l.coordinator.machine.read()
	held, gone, doubted := l.presence.End(round.Pages, state.Replicas)
	for _, entry := range l.storable(held, state.Replicas) {
		l.pending[entry.ID] = entry
	}
	if doubted > 0 {
		l.coordinator.logger.Info(event.ListDoubted, "replicas_before", len(state.Replicas), "listed", l.presence.Shown(), "kept", doubted)
	}
	return gone
}

// commit commits the pending entries and the removal of replicas.
func (l *listSync) commit(ctx context.Context, gone []string) error {
	c := l.coordinator
	c.listChange.Lock()
	defer c.listChange.Unlock()
	state, _ := c.machine.read()
	entries := slices.SortedFunc(maps.Values(l.pending), func(a, b region.Replica) int { return strings.Compare(a.ID, b.ID) })
	change := diffEntries(state.Replicas, entries, gone)
	if change == nil {
		clear(l.pending)
		return nil
	}
	change.Standby = true
	change.At = c.usage.clock.Now().UnixNano()
	change.Gated = c.gatesSoftware(&state)
	c.logListChange(state.Replicas, change)
	// The activity is planned in the same command, so that gateways are never shown all replicas, and lose
	// no replica that leaves without being shown another one.
	applyListChange(&state, state.ListRevision, change)
	if _, err := c.commit(ctx, &region.Command{List: change, Activity: c.planActivity(state)}); err != nil {
		return err
	}
	clear(l.pending)
	return nil
}

// maximumLoggedReplicas bounds the log lines for the changed replicas of one list change. One line with the
// counts stands for the rest.
const maximumLoggedReplicas = 100

// logListChange logs each replica that was added, removed, changed or restarted.
func (c *Coordinator) logListChange(before []region.ListedReplica, change *region.ListCommand) {
	for index, replica := range change.Changed {
		if index == maximumLoggedReplicas {
			c.logger.Info(event.ListChanged, "changed", len(change.Changed), "removed", len(change.Removed), "replicas_before", len(before))
			return
		}
		if known, found := findListed(before, replica.ID); found && known.Born != replica.Born {
			c.logger.Info(event.ReplicaRestarted, "replica", replica.ID, "born", replica.Born, "born_before", known.Born)
		}
		c.logger.Info(event.ReplicaListed, "replica", replica.ID, "born", replica.Born, "service", replica.Service,
			"address", replica.Address, "draining", replica.Draining, "leaving", replica.Leaving, "stage", replica.Stage)
	}
	for _, id := range change.Removed {
		c.logger.Info(event.ReplicaGone, "replica", id)
	}
}
