package coordinator

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
)

const (
	// limitViewInterval is the interval at which gateways' waiting polls are answered early if the
	// replicas that declare limits have changed.
	limitViewInterval = 250 * time.Millisecond
	// limitCompareInterval is the interval at which coordinators compare their limits: a report that was
	// lost is made up for by the next comparison.
	limitCompareInterval = time.Second
	// unlistedRetention is the time, as a multiple of the contact time, for which reports of a replica count
	// that is not listed: gateways may know a newer list, and a limit has to be kept for longer than lists
	// differ.
	unlistedRetention = 4
)

// limitService stores the rate limits that replicas declare, and counts the requests sent to them,
// together with the other coordinators.
type limitService struct {
	*poolService
	// The mutex of poolService guards the fields that follow.
	table *ratelimit.Table
	// listed are the active replicas, which gateways know, by Incarnation.Name, as of listRevision.
	listed       map[string]bool
	listRevision uint64
	// expireAt is when expired limits are next deleted.
	expireAt time.Duration
	// viewChanged is closed when gateways should be sent a new list of the replicas that declare limits, and
	// viewHash is the hash of the list that was sent last.
	viewChanged chan struct{}
	viewHash    uint64
	// sentAllAt is when each coordinator was last sent all reports.
	sentAllAt map[netip.AddrPort]time.Duration
}

func newLimitService(c *Coordinator, socket *datagram.Socket) *limitService {
	kinds := messageKinds{request: datagram.KindLimit, reply: datagram.KindLimitReply, peer: datagram.KindLimitPeer}
	service := &limitService{
		poolService: newPoolService(c, socket, "replicas", kinds, ratelimit.PoolEnforcement()),
		table:       ratelimit.NewTable(),
		viewChanged: make(chan struct{}),
		sentAllAt:   map[netip.AddrPort]time.Duration{},
	}
	service.refresh = service.updateListed
	service.onDecision = service.noteDecision
	socket.Handle(datagram.KindLimitReport, service.receiveReports)
	return service
}

// updateListed updates listed, the set of replicas on the list that are not on standby. Once per contact time, it
// also deletes the limits of replicas that have been removed, are on standby or no longer declare a limit, if
// their newest reported response is older than unlistedRetention contact times.
func (l *limitService) updateListed() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	state, _ := l.machine.read()
	if l.listed == nil || state.ListRevision != l.listRevision {
		l.listRevision = state.ListRevision
		l.listed = make(map[string]bool, len(state.Replicas))
		for index := range state.Replicas {
			if each := &state.Replicas[index]; !each.Standby {
				l.listed[each.Replica.Incarnation().Name()] = true
			}
		}
	}
	if now < l.expireAt {
		return
	}
	l.expireAt = now + l.settings.ContactTime
	isListed := func(replica string) bool { return l.listed[replica] }
	for _, replica := range l.table.Expire(isListed, now-unlistedRetention*l.settings.ContactTime) {
		l.pool.RemoveLimit(replica)
	}
}

// updateDirectoryLimits merges all limit reports into the directory. It is called after the directory's list was
// replaced: the limit of a replica that is new there may have been reported before.
func (l *limitService) updateDirectoryLimits() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.placement.directory.MergeLimits(l.table.Reports(l.now()))
}

// applyReports sets the pool's limits from limit reports and merges them into the directory. The caller must
// hold l.mutex.
func (l *limitService) applyReports(now time.Duration, reports []ratelimit.Report) {
	for _, report := range reports {
		if report.Declared {
			l.pool.SetLimit(now, report.Replica, ratelimit.PoolLimit(report.Rate, l.settings.ContactTime))
		} else {
			l.pool.SetLimit(now, report.Replica, ratelimit.Unlimited())
		}
	}
	l.placement.directory.MergeLimits(reports)
}

// noteDecision keeps this coordinator from placing requests at a replica whose limit has denied one, until it is
// expected to have capacity again. The caller must hold l.mutex.
func (l *limitService) noteDecision(decision quota.Decision) {
	if !decision.Answer.Admitted && !decision.Repeated {
		l.placement.directory.NoteDenial(decision.Query.Account, decision.Query.Rank, time.Duration(decision.Answer.WaitMicros)*time.Microsecond)
	}
}

// receiveReports handles the limit reports of a gateway or of another coordinator. Those of a gateway are forwarded
// to the other coordinators. A coordinator whose limits differ is sent all limits known here, at most once per
// limitCompareInterval.
func (l *limitService) receiveReports(from netip.AddrPort, payload []byte) error {
	var message ratelimit.Message
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	var changed []ratelimit.Report
	for _, report := range message.Reports {
		if l.table.Merge(now, report) {
			changed = append(changed, report)
		}
	}
	if len(changed) > 0 {
		l.applyReports(now, changed)
		l.wakeUp()
	}
	if !slices.Contains(l.group.MemberAddresses(), message.From) {
		l.forwardReports(changed)
		return nil
	}
	if message.Hash != l.table.LimitsHash() && now >= l.sentAllAt[from]+limitCompareInterval {
		l.sentAllAt[from] = now
		l.sendReports(from, l.table.Reports(now))
	}
	return nil
}

// forwardReports sends a gateway's limit reports to the other coordinators. The caller must hold l.mutex.
func (l *limitService) forwardReports(reports []ratelimit.Report) {
	if len(reports) == 0 {
		return
	}
	for _, to := range l.otherCoordinators() {
		l.sendReports(to, reports)
	}
}

// otherCoordinators returns the addresses of the other members of the group.
func (l *limitService) otherCoordinators() []netip.AddrPort {
	var others []netip.AddrPort
	for _, address := range l.group.MemberAddresses() {
		if other, err := netip.ParseAddrPort(address); err == nil && address != l.settings.Address {
			others = append(others, other)
		}
	}
	return others
}

// sendReports sends limit reports in batches. The caller must hold l.mutex.
func (l *limitService) sendReports(to netip.AddrPort, reports []ratelimit.Report) {
	for _, batch := range ratelimit.Batches(reports) {
		l.socket.Send(datagram.KindLimitReport, &ratelimit.Message{From: l.settings.Address, Hash: l.table.LimitsHash(), Reports: batch}, to)
	}
}

// notifyLimitChanges notifies waiting gateways soon after the replicas that declare limits have changed, and compares the
// limits with those of other coordinators, until the context ends.
func (l *limitService) notifyLimitChanges(ctx context.Context) {
	var compareAt time.Duration
	for lifecycle.Sleep(ctx, limitViewInterval) {
		l.mutex.Lock()
		if hash := l.table.ReplicasHash(); hash != l.viewHash {
			l.viewHash = hash
			close(l.viewChanged)
			l.viewChanged = make(chan struct{})
		}
		if now := l.now(); now >= compareAt {
			compareAt = now + limitCompareInterval
			l.sendHash()
		}
		l.mutex.Unlock()
	}
}

// sendHash sends the hash of the limits known here to the other coordinators, if there are any limits. The
// caller must hold l.mutex.
func (l *limitService) sendHash() {
	if l.table.LimitsHash() == 0 {
		return
	}
	message := &ratelimit.Message{From: l.settings.Address, Hash: l.table.LimitsHash()}
	l.socket.Send(datagram.KindLimitReport, message, l.otherCoordinators()...)
}

// view returns the hash of the replicas that declare limits and, unless it equals the gateway's known hash,
// the limit reports.
func (l *limitService) view(knownHash uint64) (hash uint64, reports []ratelimit.Report) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	hash = l.table.ReplicasHash()
	if hash != knownHash {
		reports = l.table.Reports(l.now())
	}
	return hash, reports
}

// changed returns a channel that is closed when the replicas that declare limits have changed.
func (l *limitService) changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.viewChanged
}

// ReplicaLimits are the rate limits that replicas declare, with the requests counted against them.
type ReplicaLimits struct {
	// Address is the address of the coordinator whose pool counts, and Mode how it does.
	Address  string              `json:"address"`
	Mode     quota.Mode          `json:"mode"`
	Replicas []ReplicaLimitState `json:"replicas"`
}

// ReplicaLimitState is the rate limit of a replica.
type ReplicaLimitState struct {
	// Replica is a region.Incarnation.Name.
	Replica string `json:"replica"`
	// Rate is the limit in requests a second, and DeclaredForS the time in seconds for which the replica has
	// declared a limit.
	Rate         float64 `json:"rate"`
	DeclaredForS float64 `json:"named_for_s"`
	// Sent and Refused are the requests that were allowed and denied in the last WindowS seconds, and Room
	// the number that would be allowed at once; it is negative in debt.
	Sent    float64 `json:"sent"`
	Refused float64 `json:"refused"`
	Room    float64 `json:"room"`
	WindowS float64 `json:"window_s"`
}

// ReplicaLimits returns the limits that this coordinator knows, with the requests that the leader counts
// against them. While the leader can't be reached, the count is this coordinator's.
func (c *Coordinator) ReplicaLimits(ctx context.Context) ReplicaLimits {
	status := c.limits.statusAtLeader(ctx, region.PathReplicaLimits)
	counted := make(map[string]quota.TenantStatus, len(status.Tenants))
	for _, each := range status.Tenants {
		counted[each.Tenant] = each
	}
	limits := ReplicaLimits{Address: status.Address, Mode: status.Mode, Replicas: []ReplicaLimitState{}}
	for _, each := range c.limits.declared() {
		usage := counted[each.Replica]
		limits.Replicas = append(limits.Replicas, ReplicaLimitState{
			Replica:      each.Replica,
			Rate:         each.Rate,
			DeclaredForS: (c.now() - each.Since).Seconds(),
			Sent:         usage.Admitted,
			Refused:      usage.Refused,
			Room:         usage.Level,
			WindowS:      usage.WindowS,
		})
	}
	return limits
}

// declared returns the limits that are known here.
func (l *limitService) declared() []ratelimit.Limit {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.table.Limits()
}

// droppedReports returns the number of limit reports dropped because the table was full.
func (l *limitService) droppedReports() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.table.Dropped
}

// limitedReplicas returns the incarnations, by Incarnation.Name, that declare limits; nil if there are none.
func (l *limitService) limitedReplicas() map[string]bool {
	limits := l.declared()
	if len(limits) == 0 {
		return nil
	}
	replicas := make(map[string]bool, len(limits))
	for _, each := range limits {
		replicas[each.Replica] = true
	}
	return replicas
}
