package replicalist

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
)

// ErrNoneUsable says that no entry of a list names a replica to use. It says nothing of the replicas, and callers are
// served better by those that were known before.
var ErrNoneUsable = errors.New("no entry of the list of replicas can be used")

// errStopped says that a reading was stopped.
var errStopped = errors.New("the list of replicas is not needed any more")

// ReadWhole reads the list once, for as long as goesOn returns true. show is called with each page that was read.
func ReadWhole(ctx context.Context, pace Pace, read ReadPage, goesOn func() bool, show func(Page)) ([]region.Replica, error) {
	var replicas map[string]region.Replica
	presence := &Presence{}
	begin := func() {
		replicas = map[string]region.Replica{}
		presence.Begin()
	}
	begin()
	begun := time.Now()
	clock := func() time.Duration { return time.Since(begun) }
	rounds := NewRounds(pace, clock())
	for {
		token, at := rounds.Next()
		if !lifecycle.Sleep(ctx, at-clock()) || !goesOn() {
			return nil, errStopped
		}
		page, err := callFor(ctx, read, token, rounds.Call(clock()))
		var ended *Round
		switch {
		case errors.Is(err, ErrRefused):
			rounds.Refuse(clock())
		case err != nil:
			ended = rounds.Fail(clock())
		default:
			show(page)
			for _, each := range presence.Show(page, unknown) {
				replicas[each.ID] = each
			}
			ended = rounds.Read(clock(), page.Next)
		}
		switch {
		case ended == nil:
		case !ended.Whole():
			begin()
		case len(replicas) == 0 && presence.unusableCount > 0:
			return nil, ErrNoneUsable
		default:
			return slices.Collect(maps.Values(replicas)), nil
		}
	}
}

func unknown(string) (region.Incarnation, bool) { return region.Incarnation{}, false }

// callFor calls for a page, and awaits it for a time.
func callFor(ctx context.Context, read ReadPage, token string, timeout time.Duration) (Page, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return read(bounded, token)
}
