package poison

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/lifecycle"
)

const (
	// tellPause gathers what happens at the same moment into one report, and is the pause before
	// a report is told again.
	tellPause   = 50 * time.Millisecond
	tellTimeout = 900 * time.Millisecond
	// lookInterval is the pause between two looks at a gateway's own evidence.
	lookInterval = 100 * time.Millisecond
)

// Teller tells what a Guard has learned, and has it look at its own evidence.
type Teller struct {
	Guard   *Guard
	Gateway string
	// Tell makes one call with a report, to whoever replicates the evidence.
	Tell func(ctx context.Context, report *Report) error
	// Told is called when reports begin to fail, and when one is taken again (err is nil).
	Told func(report *Report, err error)
	// HeldHere is told of each request that the gateway holds by its own evidence.
	HeldHere func(digest Digest)
}

// Run works until the context ends.
func (t *Teller) Run(ctx context.Context) {
	go t.look(ctx)
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Guard.Wake():
		}
		if !lifecycle.Sleep(ctx, tellPause) {
			return
		}
		report := t.Guard.Report(t.Gateway)
		if report == nil {
			continue
		}
		err := t.tellOnce(ctx, report)
		if err != nil {
			t.Guard.Return(report)
		}
		if (err != nil) != failed {
			failed = err != nil
			t.Told(report, err)
		}
	}
}

func (t *Teller) tellOnce(ctx context.Context, report *Report) error {
	bounded, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return t.Tell(bounded, report)
}

func (t *Teller) look(ctx context.Context) {
	for lifecycle.Sleep(ctx, lookInterval) {
		for _, digest := range t.Guard.Look() {
			t.HeldHere(digest)
		}
	}
}
