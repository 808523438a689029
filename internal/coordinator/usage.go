package coordinator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/regionclock"
	"github.com/pierhaven/pierhaven/internal/usage"
)

// UsageTerms say how the usage of tenants is reported; without a Window none is.
type UsageTerms struct {
	// Window is the length of the windows, and Late how long after its end a window's report
	// is due.
	Window time.Duration
	Late   time.Duration
}

// DutyCall names the holder of a duty, and the fence of one of its calls.
type DutyCall struct {
	Holder string
	Fence  uint64
}

// Platform takes the calls that one coordinator makes at a time.
type Platform interface {
	// ReportUsage reports a window's counts. An error leaves it open whether the report is or
	// will be taken.
	ReportUsage(ctx context.Context, call DutyCall, window region.UsageWindow) error
	// OrderFleet orders a number of replicas. ErrNoneToBeHad says that there are no further
	// ones; another error leaves it open whether the order is or will be carried out.
	OrderFleet(ctx context.Context, call DutyCall, order region.FleetOrder) error
}

const (
	usageInterval = 100 * time.Millisecond
	// platformTimeout bounds one call to the platform.
	platformTimeout = time.Second
	// reportPause is the time between two reports of a window that was not taken: a tenth of
	// the second in which the platform bounds the calls.
	reportPause = 300 * time.Millisecond
	// settleShare of the time in which a report is due passes before a window's counts are
	// fixed, however much has been told: answers that are under way are counted when they come.
	settleShare = 0.1
	// closeShare of it passes at most, whoever has not told all: what is left is for a leader
	// to be elected, and for the lease of the one before.
	closeShare = 0.45
	// gatherShare of it passes at least after a leader has begun: it then has heard of the
	// gateways from the other coordinators, and has been told again what the leader before knew.
	// Without it, windows that ended during a change of the leader lacked up to three quarters
	// of their requests.
	gatherShare = 0.15
)

// usageState is what a coordinator knows of the tenants' usage and of the region's time.
type usageState struct {
	clock *regionclock.Clock
	// own are the clocks of the gateways that poll this coordinator; all are those of the
	// region, at the leader.
	own, all *regionclock.Samples
	book     *usage.Book

	mutex sync.Mutex
	// toldTo is the leader that knows the book up to toldRevision.
	toldTo       string
	toldRevision uint64
}

func newUsageState(suspended func() time.Duration) *usageState {
	return &usageState{
		clock: regionclock.New(suspended),
		own:   regionclock.NewSamples(suspended),
		all:   regionclock.NewSamples(suspended),
		book:  usage.NewBook(),
	}
}

// takeUsage notes what a gateway has counted.
func (c *Coordinator) takeUsage(told *region.GatewayUsage) {
	if told == nil {
		return
	}
	if ignored := c.usage.book.Take(told); ignored > 0 {
		c.logger.Info(event.UsageIgnored, "gateway", told.Gateway, "counts", ignored)
	}
}

// news is what the leader may not know yet, and the revision of the book up to which it goes.
func (u *usageState) news(leader string) ([]region.GatewayUsage, uint64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if leader != u.toldTo {
		u.toldTo, u.toldRevision = leader, 0
	}
	return u.book.Since(u.toldRevision)
}

// told notes that the leader knows the book up to a revision.
func (u *usageState) told(leader string, revision uint64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if leader == u.toldTo {
		u.toldRevision = max(u.toldRevision, revision)
	}
}

// forgetTold has the leader told everything anew: it may have restarted.
func (u *usageState) forgetTold() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.toldTo = ""
}

// takeClocks notes the clocks of another coordinator's gateways at the leader, and sets the
// region's time by all of them.
func (u *usageState) takeClocks(from string, clocks []int64) {
	for index, each := range clocks {
		u.all.Take(fmt.Sprint(from, " ", index), each)
	}
	if median := regionclock.Median(u.all.Read()); median > 0 {
		u.clock.Set(time.Now(), time.Unix(0, median))
	}
}

// usageKeeper is the leader's work on the usage of tenants.
type usageKeeper struct {
	dutyHolder
	// first is the window with which counting begins if none was ever fixed.
	first uint64
	// closeFrom is from when on this leader may fix counts.
	closeFrom time.Duration
	// reportFrom is from when on the next report may be made.
	reportFrom time.Duration
}

// keepUsage fixes and reports the usage of tenants, at the leader.
func (c *Coordinator) keepUsage(ctx context.Context) {
	if c.settings.Platform == nil || c.settings.Usage.Window <= 0 {
		return
	}
	keeper := &usageKeeper{dutyHolder: dutyHolder{Coordinator: c, duty: dutyUsage}}
	for lifecycle.Sleep(ctx, usageInterval) {
		state, _ := c.machine.read()
		c.usage.book.Fixed(state.NextWindow, c.usage.clock.Now().Add(-gatewayMemory))
		begun, leads := keeper.leads(ctx)
		if !leads {
			continue
		}
		if begun {
			keeper.first = usage.WindowOf(c.usage.clock.Now(), c.settings.Usage.Window)
			keeper.closeFrom = c.now() + time.Duration(gatherShare*float64(c.settings.Usage.Late))
		}
		keeper.closeWindow(ctx, state)
		if len(state.Usage) > 0 && keeper.mayCall() && c.now() >= keeper.reportFrom {
			keeper.report(ctx, state.Usage[0])
		}
	}
}

// closeWindow fixes the counts of the next window once all gateways have told theirs, or when
// it can't wait for them any longer.
func (k *usageKeeper) closeWindow(ctx context.Context, state region.State) {
	terms := k.settings.Usage
	now := k.usage.clock.Now()
	window := state.NextWindow
	if window == 0 {
		// Requests may have begun before this leader has.
		window = k.usage.book.Oldest(k.first)
	}
	if oldest := usage.WindowOf(now, terms.Window); window+maximumPendingWindows < oldest {
		k.logger.Info(event.UsageSkipped, "from", window, "to", oldest-maximumPendingWindows)
		window = oldest - maximumPendingWindows
	}
	end := usage.EndOf(window, terms.Window)
	passed := now.Sub(end)
	if passed < time.Duration(settleShare*float64(terms.Late)) || k.now() < k.closeFrom {
		return
	}
	missing := k.usage.book.Missing(k.gateways.everyone(k.now()), end)
	if len(missing) > 0 && passed < time.Duration(closeShare*float64(terms.Late)) {
		return
	}
	fixed := &region.UsageWindow{Window: window, Counts: k.usage.book.Sum(window)}
	_, err := k.commit(ctx, &region.Command{Usage: fixed})
	k.logger.Info(event.UsageFixed, "window", window, "tenants", len(fixed.Counts), "requests", requestsOf(fixed),
		"missing", missing[:min(len(missing), maximumNamed)], "missing_count", len(missing), "after_ms", passed.Milliseconds(),
		"error", failure.Text(err))
}

// maximumNamed bounds the gateways that a log line names.
const maximumNamed = 8

func requestsOf(window *region.UsageWindow) int {
	sum := 0
	for _, each := range window.Counts {
		sum += int(each.Count)
	}
	return sum
}

// report reports a window whose counts are fixed.
func (k *usageKeeper) report(ctx context.Context, window region.UsageWindow) {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	fence, err := k.commitCall(bounded, &region.Command{UsageCall: &region.UsageCallCommand{Window: window.Window}})
	if err == nil {
		err = k.settings.Platform.ReportUsage(bounded, DutyCall{Holder: k.settings.Name, Fence: fence}, window)
	}
	k.logger.Info(event.UsageReported, "window", window.Window, "requests", requestsOf(&window), "tenants", len(window.Counts),
		"fence", fence, "term", k.term, "after_ms", k.usage.clock.Now().Sub(usage.EndOf(window.Window, k.settings.Usage.Window)).Milliseconds(),
		"error", failure.Text(err))
	if err != nil {
		k.reportFrom = k.now() + reportPause
		return
	}
	if _, err := k.commit(ctx, &region.Command{UsageEnd: &region.UsageEndCommand{Window: window.Window}}); err != nil {
		// The same counts are reported again, which changes nothing.
		k.logger.Info(event.UsageEndLost, "window", window.Window, "error", err.Error())
	}
}
