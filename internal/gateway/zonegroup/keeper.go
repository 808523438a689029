package zonegroup

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/session"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// Fleet uses the merged views of the zone.
type Fleet interface {
	// Exclusively runs update while no dispatch is being written, and installs the
	// merged view that it returns; nil leaves the current one installed.
	Exclusively(update func() *session.MergedView)
}

// Reporter fills in what a heartbeat reports, and takes the shares granted.
type Reporter interface {
	Report(request *wire.HeartbeatRequest)
	Grant(shares []wire.TenantShare)
}

// Keeper keeps a session open: it makes the calls that the session's core asks
// for. It is safe for concurrent use.
type Keeper struct {
	caller   *Caller
	fleet    Fleet
	reporter Reporter
	guard    *poison.Guard
	clock    func() time.Duration
	logger   logr.Logger
	wake     chan struct{}
	calls    sync.WaitGroup

	mutex sync.Mutex
	core  *session.Session
}

const (
	// callSlack is added to a call's timeout for finding the leader.
	callSlack = 500 * time.Millisecond
	// closeTimeout bounds the call that closes a session.
	closeTimeout = 2 * time.Second
	// maximumSleep bounds the wait for the next tick.
	maximumSleep = time.Second
)

// NewKeeper returns a keeper for a core without a session. SetFleet must be
// called before Run.
func NewKeeper(core *session.Session, caller *Caller, clock func() time.Duration, logger logr.Logger) *Keeper {
	return &Keeper{core: core, caller: caller, clock: clock, logger: logger, wake: make(chan struct{}, 1)}
}

// Attach names who uses the merged views, who makes the reports and who takes the news on requests
// that end engines.
func (k *Keeper) Attach(fleet Fleet, reporter Reporter, guard *poison.Guard) {
	k.fleet = fleet
	k.reporter = reporter
	k.guard = guard
}

// Run keeps the session until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	defer k.calls.Wait()
	for ctx.Err() == nil {
		timer := time.NewTimer(k.tick(ctx))
		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tick starts the calls that are due and returns the time to the next tick.
func (k *Keeper) tick(ctx context.Context) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, call := range k.core.Tick(k.clock()) {
		k.calls.Add(1)
		go k.call(ctx, call)
	}
	return min(maximumSleep, max(0, k.core.NextTick()-k.clock()))
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// call makes one call and feeds its reply to the core.
func (k *Keeper) call(ctx context.Context, call session.Call) {
	defer k.calls.Done()
	defer k.wakeUp()
	var err error
	switch {
	case call.Open != nil:
		err = k.open(ctx, call)
	case call.Heartbeat != nil:
		err = k.heartbeat(ctx, call)
	case call.Watch != nil:
		err = k.watch(ctx, call)
	}
	if err == nil {
		return
	}
	k.logger.V(1).Info("call to the zone group failed", "call", call.Number, "error", err.Error())
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.core.Failed(k.clock(), call.Number)
}

func (k *Keeper) open(ctx context.Context, call session.Call) error {
	var reply wire.OpenSessionReply
	if err := k.caller.Call(ctx, wire.PathOpenSession, call.Timeout, call.Open, &reply); err != nil {
		return err
	}
	k.feed(reply.SessionID != 0, func() { k.core.Opened(k.clock(), call.Number, &reply) })
	if reply.SessionID != 0 {
		k.logger.Info("session opened", "session", reply.SessionID, "revision", reply.View.Revision)
	}
	return nil
}

func (k *Keeper) heartbeat(ctx context.Context, call session.Call) error {
	k.reporter.Report(call.Heartbeat)
	call.Heartbeat.PoisonRevision = k.guard.Revision()
	var reply wire.HeartbeatReply
	if err := k.caller.Call(ctx, wire.PathHeartbeat, call.Timeout, call.Heartbeat, &reply); err != nil {
		return err
	}
	k.feed(reply.View != nil, func() { k.core.HeartbeatAnswered(k.clock(), call.Number, &reply) })
	if !reply.Known {
		k.logger.Info("session ended by the zone group", "session", call.Heartbeat.SessionID)
	}
	k.reporter.Grant(reply.Shares)
	k.guard.ApplyNews(reply.Poison)
	return nil
}

func (k *Keeper) watch(ctx context.Context, call session.Call) error {
	var reply wire.WatchReply
	if err := k.caller.Ask(ctx, wire.PathWatch, call.Timeout+callSlack, call.Watch, &reply); err != nil {
		return err
	}
	k.feed(true, func() { k.core.WatchAnswered(k.clock(), call.Number, &reply) })
	return nil
}

// feed gives a reply to the core. A reply with a view is fed while nothing is
// being dispatched, so that its acknowledgement is true.
func (k *Keeper) feed(hasView bool, input func()) {
	if !hasView {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		input()
		return
	}
	k.fleet.Exclusively(func() *session.MergedView {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		before := position(k.core.MergedView())
		input()
		if position(k.core.MergedView()) == before {
			return nil
		}
		return k.core.MergedView()
	})
}

// viewPosition identifies a merged view.
type viewPosition struct {
	generation     uint64
	revision       uint64
	configRevision uint64
}

func position(merged *session.MergedView) viewPosition {
	return viewPosition{merged.Generation, merged.Revision, merged.ConfigRevision()}
}

// MayDispatch reports whether an engine may be given new work at a time.
func (k *Keeper) MayDispatch(now time.Duration, engineID string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	allowed, _ := k.core.MayDispatch(now, engineID)
	return allowed
}

// MayDispatchBackEnd is MayDispatch for an application back end.
func (k *Keeper) MayDispatchBackEnd(now time.Duration, backEndID string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	allowed, _ := k.core.MayDispatchBackEnd(now, backEndID)
	return allowed
}

// Asks lists the targets that are to be asked now for their state, because the
// gateway has no lease or is about to lose it.
func (k *Keeper) Asks(now time.Duration) []session.Target {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.core.TargetsToQuery(now)
}

// Told takes in a target's answer to a question that was sent at sentAt.
func (k *Keeper) Told(sentAt time.Duration, target session.Target, serves bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.core.RecordConfirmation(sentAt, target, serves)
}

// LeaseState says how far the session reaches.
func (k *Keeper) LeaseState(now time.Duration) membership.LeaseState {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.core.LeaseState(now)
}

// SessionID is the open session's id, 0 for none.
func (k *Keeper) SessionID() uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.core.ID()
}

// IsolationSet lists the engines that a gateway which is cut off may use. It is
// nil while the lease holds, because then the view alone decides.
func (k *Keeper) IsolationSet(now time.Duration) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.core.LeaseState(now) == membership.LeaseHeld {
		return nil
	}
	usable := []string{}
	for engineID := range k.core.MergedView().Engines {
		if allowed, _ := k.core.MayDispatch(now, engineID); allowed {
			usable = append(usable, engineID)
		}
	}
	return usable
}

// SetLeaving announces the planned stop with a heartbeat soon.
func (k *Keeper) SetLeaving() {
	k.mutex.Lock()
	k.core.SetLeaving()
	k.mutex.Unlock()
	k.wakeUp()
}

// Close ends the session of a gateway that has nothing in flight. Run must have
// returned.
func (k *Keeper) Close(ctx context.Context) error {
	k.mutex.Lock()
	request := k.core.Close(k.clock())
	k.mutex.Unlock()
	if request == nil {
		return nil
	}
	return k.caller.Call(ctx, wire.PathCloseSession, closeTimeout, request, &wire.CloseSessionReply{})
}
