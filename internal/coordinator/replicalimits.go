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
	// limitShowPause is the least time between two times that gateways are shown which replicas name
	// limits before their poll would end.
	limitShowPause = 250 * time.Millisecond
	// limitCompareInterval is the time between two comparisons of what coordinators know: a word that
	// was lost is made up for by the next one.
	limitCompareInterval = time.Second
	// unlistedShares of the contact time is for how long words count of a replica that is not listed:
	// gateways may know a newer list, and a limit is to be kept for longer than lists differ.
	unlistedShares = 4
)

// limitService keeps what replicas name as their limits, and counts what they get, together with the
// other coordinators.
type limitService struct {
	*poolService
	// The mutex of poolService guards what follows.
	table *ratelimit.Table
	// listed are the replicas that gateways know, by Life.Name, as of listRevision.
	listed       map[string]bool
	listRevision uint64
	// forgetAt is when replicas that are not listed are next forgotten.
	forgetAt time.Duration
	// shown is closed when gateways should be shown which replicas name limits, and shownNames what
	// they were shown last.
	shown      chan struct{}
	shownNames uint64
	// toldAll is when each coordinator was last told all.
	toldAll map[netip.AddrPort]time.Duration
}

func newLimitService(c *Coordinator, socket *datagram.Socket) *limitService {
	kinds := poolKinds{ask: datagram.KindLimit, reply: datagram.KindLimitReply, peer: datagram.KindLimitPeer}
	created := &limitService{
		poolService: newPoolService(c, socket, "replicas", kinds, ratelimit.Terms()),
		table:       ratelimit.NewTable(),
		shown:       make(chan struct{}),
		toldAll:     map[netip.AddrPort]time.Duration{},
	}
	created.refresh = created.takeList
	created.decided = created.noteDecision
	socket.Handle(datagram.KindLimitWord, created.receiveWords)
	return created
}

// takeList forgets the limits of replicas that have gone or take no work.
func (l *limitService) takeList() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	state, _ := l.machine.read()
	if l.listed == nil || state.ListRevision != l.listRevision {
		l.listRevision = state.ListRevision
		l.listed = make(map[string]bool, len(state.Replicas))
		for index := range state.Replicas {
			if each := &state.Replicas[index]; !each.Standby {
				l.listed[each.Replica.Life().Name()] = true
			}
		}
	}
	if now < l.forgetAt {
		return
	}
	l.forgetAt = now + l.settings.Contact
	isListed := func(replica string) bool { return l.listed[replica] }
	for _, replica := range l.table.Keep(isListed, now-unlistedShares*l.settings.Contact) {
		l.pool.RemoveLimit(replica)
	}
}

// tellChoices has the choice of replicas know all limits. It is called when that has taken a list: of a
// replica that has come with it, limits may have been told before.
func (l *limitService) tellChoices() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.placement.directory.TakeLimits(l.table.Words(l.now()))
}

// apply has the pool count under what words have said. It is called with the mutex held.
func (l *limitService) apply(now time.Duration, words []ratelimit.Word) {
	for _, word := range words {
		if word.Named {
			l.pool.SetLimit(now, word.Replica, ratelimit.PoolLimit(word.Rate, l.settings.Contact))
		} else {
			l.pool.SetLimit(now, word.Replica, ratelimit.Unlimited())
		}
	}
	l.placement.directory.TakeLimits(words)
}

// noteDecision has this coordinator place no request at a replica that has no room, until it should have
// some again. It is called with the mutex held.
func (l *limitService) noteDecision(decided quota.Decision) {
	if !decided.Answer.Admitted && !decided.Again {
		l.placement.directory.Denied(decided.Question.Account, decided.Question.Rank, time.Duration(decided.Answer.WaitMicros)*time.Microsecond)
	}
}

// receiveWords takes the words of a gateway or of another coordinator.
func (l *limitService) receiveWords(from netip.AddrPort, payload []byte) error {
	var message ratelimit.Message
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	var news []ratelimit.Word
	for _, word := range message.Words {
		if l.table.Take(now, word) {
			news = append(news, word)
		}
	}
	if len(news) > 0 {
		l.apply(now, news)
		l.wake()
	}
	if !slices.Contains(l.group.MemberAddresses(), message.From) {
		l.tellCoordinators(news)
		return nil
	}
	if message.Hash != l.table.Hash() && now >= l.toldAll[from]+limitCompareInterval {
		l.toldAll[from] = now
		l.tell(from, l.table.Words(now))
	}
	return nil
}

// tellCoordinators tells the others what a gateway has told. It is called with the mutex held.
func (l *limitService) tellCoordinators(words []ratelimit.Word) {
	if len(words) == 0 {
		return
	}
	for _, to := range l.otherCoordinators() {
		l.tell(to, words)
	}
}

// otherCoordinators are the addresses of the other members of the group.
func (l *limitService) otherCoordinators() []netip.AddrPort {
	var others []netip.AddrPort
	for _, address := range l.group.MemberAddresses() {
		if other, err := netip.ParseAddrPort(address); err == nil && address != l.settings.Address {
			others = append(others, other)
		}
	}
	return others
}

// tell is called with the mutex held.
func (l *limitService) tell(to netip.AddrPort, words []ratelimit.Word) {
	for _, batch := range ratelimit.Batches(words) {
		l.socket.Send(datagram.KindLimitWord, &ratelimit.Message{From: l.settings.Address, Hash: l.table.Hash(), Words: batch}, to)
	}
}

// show has gateways shown which replicas name limits soon after that has changed, and compares what
// coordinators know, until the context ends.
func (l *limitService) show(ctx context.Context) {
	var compareAt time.Duration
	for lifecycle.Sleep(ctx, limitShowPause) {
		l.mutex.Lock()
		if names := l.table.Names(); names != l.shownNames {
			l.shownNames = names
			close(l.shown)
			l.shown = make(chan struct{})
		}
		if now := l.now(); now >= compareAt {
			compareAt = now + limitCompareInterval
			l.compare()
		}
		l.mutex.Unlock()
	}
}

// compare tells the others what identifies the limits that are known here, if there are any. It is
// called with the mutex held.
func (l *limitService) compare() {
	if l.table.Hash() == 0 {
		return
	}
	message := &ratelimit.Message{From: l.settings.Address, Hash: l.table.Hash()}
	l.socket.Send(datagram.KindLimitWord, message, l.otherCoordinators()...)
}

// view is what a gateway is shown that knows some names: what identifies the names that are known
// here and, if it has others, the limits.
func (l *limitService) view(known uint64) (names uint64, words []ratelimit.Word) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	names = l.table.Names()
	if names != known {
		words = l.table.Words(l.now())
	}
	return names, words
}

// changed is closed when gateways should be shown which replicas name limits.
func (l *limitService) changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.shown
}

// ReplicaLimits are the limits that replicas name, with what is counted against them.
type ReplicaLimits struct {
	// Address is the coordinator whose pool counts, and Mode how it does.
	Address  string              `json:"address"`
	Mode     quota.Mode          `json:"mode"`
	Replicas []ReplicaLimitState `json:"replicas"`
}

// ReplicaLimitState is the limit that a replica names.
type ReplicaLimitState struct {
	// Replica is a region.Life.Name.
	Replica string `json:"replica"`
	// Rate is the requests a second that it takes, and NamedForS for how long it has named a limit.
	Rate      float64 `json:"rate"`
	NamedForS float64 `json:"named_for_s"`
	// Sent and Refused are the requests that were allowed and not in the last WindowS seconds, and Room
	// those that would be allowed at once; negative in debt.
	Sent    float64 `json:"sent"`
	Refused float64 `json:"refused"`
	Room    float64 `json:"room"`
	WindowS float64 `json:"window_s"`
}

// ReplicaLimits tells which replicas name limits, as this coordinator knows it, and what is counted
// against them, as the leader counts it; while it can't be reached, as this coordinator does.
func (c *Coordinator) ReplicaLimits(ctx context.Context) ReplicaLimits {
	status := c.limits.statusAtLeader(ctx, region.PathReplicaLimits)
	counted := make(map[string]quota.TenantStatus, len(status.Tenants))
	for _, each := range status.Tenants {
		counted[each.Tenant] = each
	}
	shown := ReplicaLimits{Address: status.Address, Mode: status.Mode, Replicas: []ReplicaLimitState{}}
	for _, each := range c.limits.named() {
		use := counted[each.Replica]
		shown.Replicas = append(shown.Replicas, ReplicaLimitState{
			Replica:   each.Replica,
			Rate:      each.Rate,
			NamedForS: (c.now() - each.Since).Seconds(),
			Sent:      use.Admitted,
			Refused:   use.Refused,
			Room:      use.Level,
			WindowS:   use.WindowS,
		})
	}
	return shown
}

// named lists the limits that are known here.
func (l *limitService) named() []ratelimit.Limit {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.table.Limits()
}

// dropped counts the words for which there was no room.
func (l *limitService) dropped() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.table.Dropped
}

// lives are the replicas that name limits, nil if there are none.
func (l *limitService) lives() map[string]bool {
	limits := l.named()
	if len(limits) == 0 {
		return nil
	}
	lives := make(map[string]bool, len(limits))
	for _, each := range limits {
		lives[each.Replica] = true
	}
	return lives
}
