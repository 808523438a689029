package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

const (
	// limitReportInterval is the minimum interval between two reports on one replica, whose limit
	// may change with each response. limitResendInterval is the interval at which an unchanged limit
	// is reported again, as datagrams can be lost.
	limitReportInterval = 100 * time.Millisecond
	limitResendInterval = time.Second
)

// limitClient enforces the rate limits that replicas declare: it reports limits from replicas'
// responses to coordinators, and asks them whether requests may be sent. It is safe for concurrent
// use.
type limitClient struct {
	*poolClient
	directory *relay.Directory

	// stateMutex guards the fields below.
	stateMutex sync.Mutex
	// reported holds the last report on each replica.
	reported map[string]reportedLimit
	// allReportedAt is when all known limits were last reported.
	allReportedAt time.Duration
	fallback      *ratelimit.LocalLimiter
}

// reportedLimit is the content and time of a limit report.
type reportedLimit struct {
	declared bool
	rate     float64
	at       time.Duration
}

func newLimitClient(settings Settings, socket *datagram.Socket, views *viewClient, directory *relay.Directory) *limitClient {
	created := &limitClient{
		poolClient: newPoolClient(settings, socket, views, datagram.KindLimit, datagram.KindLimitReply),
		directory:  directory,
		reported:   map[string]reportedLimit{},
		fallback:   ratelimit.NewLocalLimiter(rand.Float64),
	}
	directory.OnLimit(created.report)
	return created
}

// replicaLimits returns the callbacks with which the relay enforces the limits.
func (l *limitClient) replicaLimits() *relay.ReplicaLimits {
	return &relay.ReplicaLimits{Ask: l.requestPermit, Count: l.recordSend}
}

// report sends a coordinator the limit that a response has declared, unless it was reported too
// recently.
func (l *limitClient) report(limit ratelimit.Report) {
	now := l.clock()
	l.stateMutex.Lock()
	last, known := l.reported[limit.Replica]
	interval := limitResendInterval
	if last.declared != limit.Declared || last.rate != limit.Rate {
		interval = limitReportInterval
	}
	if known && now < last.at+interval {
		l.stateMutex.Unlock()
		return
	}
	if !known && len(l.reported) > l.directory.Count() {
		// Entries of removed replicas are not deleted one by one: all are cleared when there are more
		// entries than replicas. Limits that are reported once more as a result do no harm.
		clear(l.reported)
	}
	l.reported[limit.Replica] = reportedLimit{declared: limit.Declared, rate: limit.Rate, at: now}
	l.stateMutex.Unlock()
	l.sendReports([]ratelimit.Report{limit})
}

// sendReports sends limit reports to the first candidate coordinator.
func (l *limitClient) sendReports(limits []ratelimit.Report) {
	candidates := l.candidates()
	if len(candidates) == 0 {
		return
	}
	for _, batch := range ratelimit.Batches(limits) {
		l.socket.Send(datagram.KindLimitReport, &ratelimit.Message{From: l.settings.PeerListen, Reports: batch}, candidates[0])
	}
}

// applyView applies the limits of a coordinator's view. If the coordinator's set of limits differs,
// it may have restarted or missed a report, so all known limits are sent to it, at most once per
// limitResendInterval.
func (l *limitClient) applyView(view *region.View) {
	l.directory.MergeLimits(view.Limits)
	if l.directory.LimitedReplicasHash() == view.LimitNames {
		return
	}
	now := l.clock()
	l.stateMutex.Lock()
	due := l.allReportedAt == 0 || now >= l.allReportedAt+limitResendInterval
	if due {
		l.allReportedAt = now
	}
	l.stateMutex.Unlock()
	if due {
		l.sendReports(l.directory.LimitReports())
	}
}

// requestPermit asks whether a request may be sent to a replica that declares a limit.
func (l *limitClient) requestPermit(ctx context.Context, request relay.PermitRequest) relay.Permit {
	query := quota.Query{Account: request.Life, Units: 1, Rank: request.Rank}
	decision, decided, err := l.decide(ctx, request.Request, query)
	if err != nil {
		return relay.Permit{}
	}
	if !decided {
		return l.decideLocally(request)
	}
	l.stateMutex.Lock()
	l.fallback.Reset()
	l.stateMutex.Unlock()
	return relay.Permit{
		Granted: decision.Admitted,
		Wait:    time.Duration(decision.WaitMicros) * time.Microsecond,
		By:      decision.coordinator.String(),
		Return:  func() { l.newCharge(query, decision.coordinator).settle(0) },
	}
}

// decideLocally decides on a request while no coordinator answers.
func (l *limitClient) decideLocally(request relay.PermitRequest) relay.Permit {
	l.stateMutex.Lock()
	granted, wait := l.fallback.Allow(l.clock(), request.Life, request.Rate, l.views.gatewayCount())
	l.stateMutex.Unlock()
	l.countDecision(granted, true)
	return relay.Permit{Granted: granted, Wait: wait, By: "self", Return: func() {}}
}

// recordSend charges a request that was sent to a replica without asking.
func (l *limitClient) recordSend(incarnation string) {
	coordinator := netip.AddrPort{}
	if candidates := l.candidates(); len(candidates) > 0 {
		coordinator = candidates[0]
	}
	l.sendAmount(quota.Amount{Account: incarnation, Units: -1}, coordinator)
}
