package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
)

const (
	// maximumNewSoftwareWait bounds how long a call waits until streams may begin at new software, if there is no other.
	maximumNewSoftwareWait = 500 * time.Millisecond
	newSoftwarePause       = 20 * time.Millisecond
)

// newSoftware is software at which streams may not begin yet, until a time.
type newSoftware struct {
	software []region.NewSoftware
	until    time.Duration
}

// SetNewSoftware sets the software at which streams may not begin yet. It counts for origin.Window: after that nobody can
// act on a list that lacks it, even if no coordinator can be asked.
func (d *Directory) SetNewSoftware(software []region.NewSoftware) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.newSoftware = newSoftware{software: software, until: d.clock() + origin.Window}
}

// runsNewSoftware reports whether streams may not begin at a replica yet. The caller must hold d.mutex.
func (d *Directory) runsNewSoftware(replica *Replica, now time.Duration) bool {
	if len(d.newSoftware.software) == 0 || now >= d.newSoftware.until {
		return false
	}
	return region.IsNewSoftware(d.newSoftware.software, replica.Service, replica.Version)
}

// hasNewSoftware reports whether a service has replicas at which streams may not begin yet.
func (d *Directory) hasNewSoftware(service string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	return slices.ContainsFunc(d.services[service], func(r *Replica) bool { return d.runsNewSoftware(r, now) })
}

// awaitNewSoftware waits a moment if a stream finds no replica but those at which none may begin yet, and reports whether to
// look again.
func (r *callState) awaitNewSoftware(ctx context.Context, err error) bool {
	if !errors.Is(err, errNoReplica) || !r.call.beginsStream() || time.Since(r.call.Arrived) >= min(maximumNewSoftwareWait, r.call.objective()) {
		return false
	}
	return r.directory.hasNewSoftware(r.call.Service.Name) && sleepUnlessDone(ctx, newSoftwarePause)
}
