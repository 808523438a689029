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

// UsageOptions configures the reporting of tenant usage, which is disabled if Window is 0.
type UsageOptions struct {
	// Window is the length of the windows, and Late the time after the end of a window within which
	// its report is due.
	Window time.Duration
	Late   time.Duration
}

// DutyCall identifies a call by the holder of the duty and the call's fencing token.
type DutyCall struct {
	Holder string
	Fence  uint64
}

// Platform receives the calls that only one coordinator makes at a time.
type Platform interface {
	// ReportUsage reports a window's counts. After an error the report may have been or may yet be
	// accepted.
	ReportUsage(ctx context.Context, call DutyCall, window region.UsageWindow) error
	// OrderFleet orders a number of replicas. ErrNoMoreReplicas means that no further ones are
	// available; after another error the order may have been or may yet be carried out.
	OrderFleet(ctx context.Context, call DutyCall, order region.FleetOrder) error
}

const (
	usageInterval = 100 * time.Millisecond
	// platformTimeout bounds one call to the platform.
	platformTimeout = time.Second
	// reportRetryInterval is the time between two reports of a window that was not accepted: retries use
	// about a tenth of the calls a second that the platform allows.
	reportRetryInterval = 300 * time.Millisecond
	// minimumWaitShare is the share of UsageOptions.Late that passes at least before a window's counts
	// are final, even if all gateways have reported: responses in flight are counted when they arrive.
	minimumWaitShare = 0.1
	// maximumWaitShare is the share of UsageOptions.Late that passes at most, even if gateways have not
	// reported: the remaining time is for the election of a leader and the lease of its predecessor.
	maximumWaitShare = 0.45
	// newLeaderWaitShare is the share of UsageOptions.Late that passes at least after the start of a
	// leader's term: by then it has learned of the gateways from the other coordinators, and has been
	// sent again what its predecessor knew. Without this wait, windows that ended during a change of
	// the leader lacked up to three quarters of their requests.
	newLeaderWaitShare = 0.15
)

// usageState holds a coordinator's counts of tenant usage and its clock of the region's time.
type usageState struct {
	clock *regionclock.Clock
	// ownClocks holds the clocks of the gateways that poll this coordinator, and regionClocks, at the leader,
	// those of all gateways of the region.
	ownClocks, regionClocks *regionclock.Samples
	collector               *usage.Collector

	mutex sync.Mutex
	// reportedTo is the leader that knows the collector up to reportedRevision.
	reportedTo       string
	reportedRevision uint64
}

func newUsageState(suspended func() time.Duration) *usageState {
	return &usageState{
		clock:        regionclock.New(suspended),
		ownClocks:    regionclock.NewSamples(suspended),
		regionClocks: regionclock.NewSamples(suspended),
		collector:    usage.NewCollector(),
	}
}

// recordUsage records a gateway's counts.
func (c *Coordinator) recordUsage(report *region.GatewayUsage) {
	if report == nil {
		return
	}
	if ignored := c.usage.collector.Add(report); ignored > 0 {
		c.logger.Info(event.UsageIgnored, "gateway", report.Gateway, "counts", ignored)
	}
}

// unreported returns the counts that the leader may not know yet, and the revision of the collector that they include.
func (u *usageState) unreported(leader string) ([]region.GatewayUsage, uint64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if leader != u.reportedTo {
		u.reportedTo, u.reportedRevision = leader, 0
	}
	return u.collector.Since(u.reportedRevision)
}

// markReported records that the leader knows the collector up to a revision.
func (u *usageState) markReported(leader string, revision uint64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if leader == u.reportedTo {
		u.reportedRevision = max(u.reportedRevision, revision)
	}
}

// resetReported makes the next report to the leader complete, since the leader may have restarted.
func (u *usageState) resetReported() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.reportedTo = ""
}

// recordClocks records, at the leader, the clocks that a coordinator reports, and sets the region's time
// to the median of all clocks.
func (u *usageState) recordClocks(from string, clocks []int64) {
	for index, each := range clocks {
		u.regionClocks.Record(fmt.Sprint(from, " ", index), each)
	}
	if median := regionclock.Median(u.regionClocks.Read()); median > 0 {
		u.clock.Set(time.Now(), time.Unix(0, median))
	}
}

// usageReporter finalizes the counts of tenant usage and reports them, at the leader.
type usageReporter struct {
	dutyHolder
	// first is the window at the start of this leader's term. If no window is final yet, counting
	// begins with it, or with an older one for which a gateway has reported counts.
	first uint64
	// finalizeFrom is the time from which this leader may finalize counts.
	finalizeFrom time.Duration
	// reportFrom is the time from which the next report may be made.
	reportFrom time.Duration
}

// reportUsage finalizes and reports the usage of tenants while this coordinator leads.
func (c *Coordinator) reportUsage(ctx context.Context) {
	if c.settings.Platform == nil || c.settings.Usage.Window <= 0 {
		return
	}
	reporter := &usageReporter{dutyHolder: dutyHolder{Coordinator: c, duty: dutyUsage}}
	for lifecycle.Sleep(ctx, usageInterval) {
		state, _ := c.machine.read()
		c.usage.collector.FinalizeBefore(state.NextWindow, c.usage.clock.Now().Add(-gatewayRetention))
		begun, leads := reporter.leads(ctx)
		if !leads {
			continue
		}
		if begun {
			reporter.first = usage.WindowAt(c.usage.clock.Now(), c.settings.Usage.Window)
			reporter.finalizeFrom = c.now() + time.Duration(newLeaderWaitShare*float64(c.settings.Usage.Late))
		}
		reporter.finalizeWindow(ctx, state)
		if len(state.Usage) > 0 && reporter.mayCall() && c.now() >= reporter.reportFrom {
			reporter.report(ctx, state.Usage[0])
		}
	}
}

// finalizeWindow commits the final counts of the next window once all gateways have reported theirs, or when
// maximumWaitShare has passed.
func (r *usageReporter) finalizeWindow(ctx context.Context, state region.State) {
	options := r.settings.Usage
	now := r.usage.clock.Now()
	window := state.NextWindow
	if window == 0 {
		// Gateways may have counted requests before this leader's term.
		window = r.usage.collector.OldestWindow(r.first)
	}
	if currentWindow := usage.WindowAt(now, options.Window); window+maximumPendingWindows < currentWindow {
		r.logger.Info(event.UsageSkipped, "from", window, "to", currentWindow-maximumPendingWindows)
		window = currentWindow - maximumPendingWindows
	}
	end := usage.WindowEnd(window, options.Window)
	elapsed := now.Sub(end)
	if elapsed < time.Duration(minimumWaitShare*float64(options.Late)) || r.now() < r.finalizeFrom {
		return
	}
	missing := r.usage.collector.Unreported(r.gateways.allKnown(r.now()), end)
	if len(missing) > 0 && elapsed < time.Duration(maximumWaitShare*float64(options.Late)) {
		return
	}
	final := &region.UsageWindow{Window: window, Counts: r.usage.collector.Sum(window)}
	_, err := r.commit(ctx, &region.Command{Usage: final})
	r.logger.Info(event.UsageFixed, "window", window, "tenants", len(final.Counts), "requests", requestsOf(final),
		"missing", missing[:min(len(missing), maximumLoggedGateways)], "missing_count", len(missing), "after_ms", elapsed.Milliseconds(),
		"error", failure.Text(err))
}

// maximumLoggedGateways bounds the gateways listed in a log line.
const maximumLoggedGateways = 8

func requestsOf(window *region.UsageWindow) int {
	sum := 0
	for _, each := range window.Counts {
		sum += int(each.Count)
	}
	return sum
}

// report reports a window's final counts to the platform.
func (r *usageReporter) report(ctx context.Context, window region.UsageWindow) {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	fence, err := r.commitCall(bounded, &region.Command{UsageCall: &region.UsageCallCommand{Window: window.Window}})
	if err == nil {
		err = r.settings.Platform.ReportUsage(bounded, DutyCall{Holder: r.settings.Name, Fence: fence}, window)
	}
	r.logger.Info(event.UsageReported, "window", window.Window, "requests", requestsOf(&window), "tenants", len(window.Counts),
		"fence", fence, "term", r.term, "after_ms", r.usage.clock.Now().Sub(usage.WindowEnd(window.Window, r.settings.Usage.Window)).Milliseconds(),
		"error", failure.Text(err))
	if err != nil {
		r.reportFrom = r.now() + reportRetryInterval
		return
	}
	if _, err := r.commit(ctx, &region.Command{UsageEnd: &region.UsageEndCommand{Window: window.Window}}); err != nil {
		// The same counts are reported again, which has no effect.
		r.logger.Info(event.UsageEndLost, "window", window.Window, "error", err.Error())
	}
}
