package fleet

import (
	"slices"
	"sync"
	"time"
)

// Withheld remembers since when engines take no new work, so that their streams
// can be moved when they do not end in time. It may be used concurrently.
type Withheld struct {
	after time.Duration

	mutex sync.Mutex
	since map[string]time.Duration
}

// NewWithheld returns a record without engines. Streams are to be moved when
// their engine has taken no new work for the time after.
func NewWithheld(after time.Duration) *Withheld {
	return &Withheld{after: after, since: map[string]time.Duration{}}
}

// Update processes a new snapshot of the zone.
func (w *Withheld) Update(now time.Duration, snapshot *Snapshot) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	before := w.since
	w.since = map[string]time.Duration{}
	for _, engine := range snapshot.Engines() {
		if engine.Takes() {
			continue
		}
		since, known := before[engine.ID]
		if !known {
			since = now
		}
		w.since[engine.ID] = since
	}
}

// Due lists the engines whose streams are to be moved, sorted.
func (w *Withheld) Due(now time.Duration) []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var due []string
	for engineID, since := range w.since {
		if now-since >= w.after {
			due = append(due, engineID)
		}
	}
	slices.Sort(due)
	return due
}
