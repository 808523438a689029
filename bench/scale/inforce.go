package scale

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/bench/truth"
)

// Change is a configuration change that was accepted. Times are truth.Now's.
type Change struct {
	Revision  uint64
	Submitted time.Duration
	Accepted  time.Duration
}

// ChangeSummary summarizes how fast changes came into force.
type ChangeSummary struct {
	Accepted int `json:"accepted"`
	// InForce counts the changes that came into force at all processes, and Missing the others.
	InForce int `json:"in_force"`
	Missing int `json:"missing"`
	// Slowest and Median are times from the acceptance of a change until it is in force at the last process.
	Slowest time.Duration `json:"slowest_ns"`
	Median  time.Duration `json:"median_ns"`
}

// timeline holds when each process applied each configuration.
type timeline map[string][]truthConfig

type truthConfig struct {
	at       time.Duration
	revision uint64
}

// newTimeline collects from the ground truth when configurations were applied.
func newTimeline(entries []truth.Entry) timeline {
	collected := make(timeline)
	for _, entry := range entries {
		if record, ok := entry.Record.(truth.ConfigInForce); ok {
			collected[record.Process] = append(collected[record.Process], truthConfig{entry.At, record.Revision})
		}
	}
	for _, taken := range collected {
		slices.SortStableFunc(taken, func(a, b truthConfig) int { return int(a.at - b.at) })
	}
	return collected
}

// reached returns the first time, not before from, at which a process is known to have a revision or a later one.
func (t timeline) reached(process string, revision uint64, from time.Duration) (time.Duration, bool) {
	for _, taken := range t[process] {
		if taken.revision >= revision {
			return max(taken.at, from), true
		}
	}
	return 0, false
}

// inForceAt returns the time at which the last of the processes reached a revision.
func (t timeline) inForceAt(processes []string, revision uint64, from time.Duration) (time.Duration, bool) {
	latest := from
	for _, process := range processes {
		at, found := t.reached(process, revision, from)
		if !found {
			return 0, false
		}
		latest = max(latest, at)
	}
	return latest, true
}

// summarize summarizes changes over processes that ran all the time.
func (t timeline) summarize(changes []Change, processes []string) ChangeSummary {
	summary := ChangeSummary{Accepted: len(changes)}
	var times []time.Duration
	for _, change := range changes {
		at, found := t.inForceAt(processes, change.Revision, change.Accepted)
		if !found {
			summary.Missing++
			continue
		}
		times = append(times, at-change.Accepted)
	}
	slices.Sort(times)
	summary.InForce = len(times)
	if len(times) > 0 {
		summary.Slowest = times[len(times)-1]
		summary.Median = times[len(times)/2]
	}
	return summary
}

// recovery returns the time from an event until a change that was submitted after it was in force at all processes. Its
// resolution is the interval between changes, which are submitted one after another.
func (t timeline) recovery(event time.Duration, changes []Change, processes []string) (time.Duration, bool) {
	best := time.Duration(-1)
	for _, change := range changes {
		if change.Submitted < event {
			continue
		}
		at, found := t.inForceAt(processes, change.Revision, change.Accepted)
		if found && (best < 0 || at-event < best) {
			best = at - event
		}
	}
	return max(best, 0), best >= 0
}
