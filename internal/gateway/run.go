package gateway

import (
	"context"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pierhaven/pierhaven/internal/eventlog"
)

const (
	// queueTick is the interval at which the queues are checked while a request waits.
	queueTick = 5 * time.Millisecond
	// watchTick is the interval at which the session and withheld engines are checked.
	watchTick = 200 * time.Millisecond
	// collectTick is the interval at which results that wait to be fetched are checked.
	collectTick = 50 * time.Millisecond
	// releaseTimeout bounds the wait for busy workers at the end.
	releaseTimeout = time.Second
	// shutdownTimeout bounds the wait for idle connections at the end.
	shutdownTimeout = 250 * time.Millisecond
)

// Run serves until the context ends, then stops gracefully: it announces that it
// leaves, refuses new work, finishes what is in flight, closes its session and
// returns nil. If Cut was called before that was done, the error says what was
// in flight.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.log.Close()
	defer g.releaseWorkers()
	background, endBackground := context.WithCancel(context.Background())
	defer endBackground()
	group, background := errgroup.WithContext(background)
	stopKeeper := g.startKeeper()
	group.Go(g.guarded(func() { repeat(background, queueTick, g.scheduler.Tick) }))
	group.Go(g.guarded(func() { repeat(background, watchTick, g.watch) }))
	for _, each := range g.openedDoors() {
		group.Go(each.server.Run)
	}

	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	err := g.leave()
	g.waitForClaims()
	stopKeeper()
	g.closeSession()
	endBackground()
	g.closeServers()
	if failed := group.Wait(); failed != nil {
		return failed
	}
	return err
}

// releaseWorkers waits a short time until engines are told to cancel the attempts of callers that have gone, and of
// aborted requests.
func (g *Gateway) releaseWorkers() {
	_ = g.batchWorkers.ReleaseTimeout(releaseTimeout)
	_ = g.workers.ReleaseTimeout(releaseTimeout)
}

// guarded writes the log ring before a panic of a long-lived goroutine ends the process.
func (g *Gateway) guarded(work func()) func() error {
	guarded := eventlog.Guard(g.log.Dump, work)
	return func() error {
		guarded()
		return nil
	}
}

// leave finishes what is in flight.
func (g *Gateway) leave() error {
	g.logger.Info("leaving", "in_hand", g.doors.count())
	// The health pages must not report ready while new work is refused.
	g.health.SetLeaving()
	emptied := g.doors.close()
	g.keeper.SetLeaving()
	batches := g.batches.Close()
	grace := time.NewTimer(g.settings.Times.LeavingGrace)
	defer grace.Stop()
	for _, finished := range []<-chan struct{}{emptied, batches} {
		select {
		case <-finished:
		case <-g.cut.Done():
			err := fmt.Errorf("%w: %s", errCut, strings.Join(*g.cutList.Load(), ", "))
			waitBriefly(emptied)
			return err
		}
	}
	select {
	case <-grace.C:
	case <-g.cut.Done():
	}
	g.waitForCollection()
	select {
	case <-g.collecting.close():
	case <-g.cut.Done():
	}
	return nil
}

// waitForCollection lets callers fetch the results of batches that have just
// been finished.
func (g *Gateway) waitForCollection() {
	patience := time.NewTimer(g.settings.Times.BatchCollectTime)
	defer patience.Stop()
	ticker := time.NewTicker(collectTick)
	defer ticker.Stop()
	for g.batches.Unfetched() {
		select {
		case <-ticker.C:
		case <-patience.C:
			return
		case <-g.cut.Done():
			return
		}
	}
}

// startKeeper maintains the session until the returned function is called.
func (g *Gateway) startKeeper() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer g.log.DumpOnPanic()
		go g.evidence.Run(ctx)
		g.keeper.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// waitForClaims lets runs whose callers have gone store their answers.
func (g *Gateway) waitForClaims() {
	g.applications.Wait(g.cut)
}

// waitBriefly gives aborted requests time to write their responses.
func waitBriefly(emptied <-chan struct{}) {
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	select {
	case <-emptied:
	case <-timer.C:
	}
}

func (g *Gateway) closeSession() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := g.keeper.Close(ctx); err != nil {
		g.logger.Info("session not closed", "error", err.Error())
	}
}

func (g *Gateway) openedDoors() []*door {
	if g.peers == nil {
		return []*door{g.callers}
	}
	return []*door{g.callers, g.peers}
}

func (g *Gateway) closeServers() {
	for _, each := range g.openedDoors() {
		each.close()
	}
	g.engines.Close()
	g.rpc.Close()
}

// close stops the server and closes the connections that are left, all idle.
func (d *door) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = d.listener.Close()
	_ = d.server.Shutdown(ctx)
	d.listener.CloseConnections()
}

// watch updates the health page, moves streams off withheld engines, and queries the targets while the gateway has no
// lease.
func (g *Gateway) watch() {
	now := g.clock()
	g.health.Set(conditionSession, g.checkReady() == nil)
	g.askTargets()
	for _, engineID := range g.withheld.Due(now) {
		g.runner.MoveFrom(engineID)
	}
}

// repeat calls run at an interval until the context ends.
func repeat(ctx context.Context, interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run()
		}
	}
}
