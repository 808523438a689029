// Package peers exchanges reports of the work placed at replicas between processes that place work:
// gateways, or the coordinators that place for gateways.
package peers

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// Options configure Peers.
type Options struct {
	// Name and Address are the process's own; Incarnation is the start time of its process.
	Name        string
	Address     string
	Incarnation int64
	// Zone is the process's own; Topology says which zones belong to its region.
	Zone     string
	Topology topology.Map
	// LinkBitsPerSecond is the speed of the machine's network link, 0 if unknown.
	LinkBitsPerSecond float64
	// OtherRegionsRate bounds the traffic to all peers in other regions, in bytes a second; 0
	// selects DefaultOtherRegionsRate.
	OtherRegionsRate float64
	Directory        *relay.Directory
	Socket           *datagram.Socket
}

// Peers reports to other processes how much work this one has placed at each replica, and receives
// their reports, so that they don't all choose the same replica. The state is soft: a later
// datagram makes up for a lost one. It is safe for concurrent use.
type Peers struct {
	name        string
	address     string
	directory   *relay.Directory
	socket      *datagram.Socket
	incarnation int64
	zone        string
	topology    topology.Map
	// multipleRegions says that the topology has more than one region.
	multipleRegions bool
	// bytesPerSecond bounds the traffic to all peers of the region, otherRegionsRate that to all
	// peers in other regions.
	bytesPerSecond   float64
	otherRegionsRate float64

	mutex     sync.Mutex
	hash      uint64
	addresses []netip.AddrPort
	// zones holds the zones of the peers that have reported theirs.
	zones    map[netip.AddrPort]string
	received map[string]receivedState
	counts   Counts
}

// Counts are the bytes sent since the start, including the headers of datagrams.
type Counts struct{ OwnRegion, OtherRegions uint64 }

// receivedState is what is known of the messages received from a peer.
type receivedState struct {
	incarnation int64
	sequence    uint64
	// lastPrompt is the sequence of the last prompt that it placed.
	lastPrompt uint64
	// transit is the minimum transit time of its messages, including the offset between the clocks.
	transit minimumTransit
}

const (
	// sendPoll is the interval between two checks for something to send.
	sendPoll = 10 * time.Millisecond
	// fullInterval is the time after which all work is sent again, since datagrams are lost.
	fullInterval = time.Second
	// minorChangeInterval is the minimum time between messages that carry only small changes.
	minorChangeInterval = 200 * time.Millisecond
	// urgentChange is the change in a replica's outstanding prefill time above which a message is
	// sent at once. Less work than this is done before others hear of it.
	urgentChange = sendPoll
	// linkFraction is the part of the machine's link that messages to all peers may use;
	// defaultRate applies to links of unknown speed, and maximumRate bounds the CPU time spent on
	// messages. Both rates are in bytes a second. An unused allowance accumulates for up to
	// burstTime.
	linkFraction = 0.05
	defaultRate  = 64 << 10
	maximumRate  = 512 << 10
	burstTime    = 250 * time.Millisecond
	// MaximumWorkPeers bounds the peers that receive reports of work, and maximumPromptPeers those that
	// receive placed prompts, which are fewer and stay valid for longer. Each process sends to the
	// peers that follow it in the sorted list of addresses.
	MaximumWorkPeers   = 12
	maximumPromptPeers = 96
)

// New returns Peers without addresses, and registers its handlers at the socket.
func New(options Options) *Peers {
	created := &Peers{
		name:            options.Name,
		address:         options.Address,
		directory:       options.Directory,
		socket:          options.Socket,
		incarnation:     options.Incarnation,
		zone:            options.Zone,
		topology:        options.Topology,
		multipleRegions: options.Topology.Spans(),
		zones:           map[netip.AddrPort]string{},
		received:        map[string]receivedState{},

		bytesPerSecond:   sendRate(options.LinkBitsPerSecond),
		otherRegionsRate: options.OtherRegionsRate,
	}
	if created.otherRegionsRate == 0 {
		created.otherRegionsRate = DefaultOtherRegionsRate
	}
	options.Socket.Handle(datagram.KindOutstanding, created.receive)
	options.Socket.Handle(datagram.KindBackoffReport, created.receiveBackoffs)
	return created
}

// sendRate returns how many bytes a second may be sent over a link.
func sendRate(linkBitsPerSecond float64) float64 {
	if linkBitsPerSecond <= 0 {
		return defaultRate
	}
	return min(linkFraction*linkBitsPerSecond/8, maximumRate)
}

// SetAddresses sets the addresses of all processes, including this one, in ascending order, and the hash of
// the list.
func (p *Peers) SetAddresses(hash uint64, addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hash = hash
	p.addresses = p.addresses[:0]
	self, _ := slices.BinarySearch(addresses, p.address)
	for offset := range addresses {
		address := addresses[(self+offset)%len(addresses)]
		parsed, err := netip.ParseAddrPort(address)
		if err == nil && address != p.address && len(p.addresses) < maximumPromptPeers {
			p.addresses = append(p.addresses, parsed)
		}
	}
	maps.DeleteFunc(p.zones, func(peer netip.AddrPort, _ string) bool { return !slices.Contains(p.addresses, peer) })
}

// AddressesHash returns the hash of the current list of addresses.
func (p *Peers) AddressesHash() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.hash
}

// targets returns the peers of this region and those of other regions. A peer that has not reported
// its zone yet counts as far: it receives summaries, and its own messages report its zone.
func (p *Peers) targets() (near, far []netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.multipleRegions {
		return slices.Clone(p.addresses), nil
	}
	for _, address := range p.addresses {
		zone, known := p.zones[address]
		if known && p.topology.Between(p.zone, zone) != topology.OtherRegion {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return near, far
}

// Counts returns the bytes sent so far.
func (p *Peers) Counts() Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// ClearAddresses removes all peers, so that nothing is sent any more.
func (p *Peers) ClearAddresses() { p.SetAddresses(0, nil) }

// receive handles a message of a peer.
func (p *Peers) receive(from netip.AddrPort, payload []byte) error {
	var message region.Outstanding
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	age, newer := p.recordMessage(from, &message, time.Now())
	if !newer {
		return nil
	}
	p.directory.TakePlaced(p.newPrompts(&message))
	p.directory.MergeCosts(message.Costs)
	if p.multipleRegions && p.topology.Between(p.zone, message.Zone) == topology.OtherRegion {
		p.directory.TakeRegionWork(p.topology.RegionOf(message.Zone), message.Gateway, message.Replicas, message.Whole, age)
		return nil
	}
	p.directory.TakeOutstanding(message.Gateway, message.Replicas, message.Whole)
	p.directory.TakeUnreachable(message.Unreachable)
	return nil
}

// recordMessage records the receipt of a message. It returns the message's age and whether it is
// newer than those received from the same sender before.
func (p *Peers) recordMessage(from netip.AddrPort, message *region.Outstanding, now time.Time) (age time.Duration, newer bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.received[message.Gateway]
	if message.Life < state.incarnation || message.Life == state.incarnation && message.Sequence <= state.sequence {
		return 0, false
	}
	if message.Life != state.incarnation {
		state = receivedState{incarnation: message.Life}
	}
	state.sequence = message.Sequence
	if message.WallNanos != 0 {
		age = state.transit.age(now, time.Unix(0, message.WallNanos))
	}
	p.received[message.Gateway] = state
	if slices.Contains(p.addresses, from) {
		p.zones[from] = message.Zone
	}
	return age, true
}

// newPrompts returns the prompts of a message that were not received before.
func (p *Peers) newPrompts(message *region.Outstanding) []region.PlacedPrompt {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.received[message.Gateway]
	fresh := slices.DeleteFunc(message.Prompts, func(each region.PlacedPrompt) bool { return each.Sequence <= state.lastPrompt })
	if len(fresh) > 0 {
		state.lastPrompt = fresh[len(fresh)-1].Sequence
		p.received[message.Gateway] = state
	}
	return fresh
}

// Run sends this process's work to the peers whenever it has changed, within the allowed rate,
// until the context ends.
func (p *Peers) Run(ctx context.Context) {
	state := sender{peers: p, lastStep: time.Now()}
	for lifecycle.Sleep(ctx, p.pollInterval()) {
		state.step(time.Now())
	}
}

// noPeersPoll is the interval between two checks for peers while there are none. It is short
// compared with the time in which processes learn of each other.
const noPeersPoll = 500 * time.Millisecond

// pollInterval is the time until the next check for something to send.
func (p *Peers) pollInterval() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.addresses) == 0 {
		return noPeersPoll
	}
	return sendPoll
}

// sender is the state of sending to peers.
type sender struct {
	peers     *Peers
	summaries summarySender
	backoffs  backoffSender
	sequence  uint64
	lastStep  time.Time
	sentAt    time.Time
	allowance float64
	// fullSentAt is when all work was last sent.
	fullSentAt time.Time
	// sent is the work last sent, by replica.
	sent map[string]region.OutstandingWork
	// unreachable are the replicas last reported as unreachable.
	unreachable []string
	// lastPrompt and previousPrompt are the sequences of the last placements in the last message
	// and in the one before it. Each placement is sent twice, since one datagram may be lost.
	lastPrompt     uint64
	previousPrompt uint64
}

func (s *sender) step(now time.Time) {
	rate := s.peers.bytesPerSecond
	s.allowance = min(rate*burstTime.Seconds(), s.allowance+now.Sub(s.lastStep).Seconds()*rate)
	near, far := s.peers.targets()
	s.summaries.step(s, now, far)
	s.lastStep = now
	if s.allowance <= 0 || len(near) == 0 {
		return
	}
	s.backoffs.step(s, now, near)
	work := s.peers.directory.Outstanding()
	unreachable := s.peers.directory.Unreachable()
	if slices.Equal(unreachable, s.unreachable) && !s.worthSending(now, work) {
		return
	}
	s.unreachable = unreachable
	s.send(now, work, near)
}

// worthSending reports whether work has changed enough to be sent now.
func (s *sender) worthSending(now time.Time, work []region.OutstandingWork) bool {
	since := now.Sub(s.sentAt)
	changed := len(work) != len(s.sent)
	for _, each := range work {
		before := s.sent[each.Replica]
		if prefillChange(before, each) > urgentChange {
			return true
		}
		changed = changed || before != each
	}
	for _, before := range s.sent {
		if prefillChange(before, region.OutstandingWork{}) > urgentChange && !slices.ContainsFunc(work, func(each region.OutstandingWork) bool {
			return each.Replica == before.Replica
		}) {
			return true
		}
	}
	return changed && since >= minorChangeInterval || len(work) > 0 && now.Sub(s.fullSentAt) >= fullInterval
}

// prefillChange is the change in a replica's outstanding prefill time, of on-time and late prompts,
// in either direction.
func prefillChange(before, after region.OutstandingWork) time.Duration {
	change := max(before.InTimeMicros-after.InTimeMicros, after.InTimeMicros-before.InTimeMicros) +
		max(before.LateMicros-after.LateMicros, after.LateMicros-before.LateMicros)
	return time.Duration(change) * time.Microsecond
}

func (s *sender) send(now time.Time, work []region.OutstandingWork, targets []netip.AddrPort) {
	prompts := s.peers.directory.Placed(s.previousPrompt)
	s.previousPrompt = s.lastPrompt
	if len(prompts) > 0 {
		s.lastPrompt = prompts[len(prompts)-1].Sequence
	}
	full := now.Sub(s.fullSentAt) >= fullInterval
	replicas := work
	if !full {
		replicas = changedWork(s.sent, work)
	}
	message := s.nextMessage()
	message.Whole = full
	message.Replicas = replicas
	message.Prompts = prompts
	message.Unreachable = s.unreachable
	near := min(len(targets), MaximumWorkPeers)
	if !s.sendToRegion(message, targets[:near]) {
		return
	}
	if len(prompts) > 0 {
		message.Replicas, message.Whole, message.Unreachable, message.Costs = nil, false, nil, nil
		s.sendToRegion(message, targets[near:])
	}
	s.sentAt = now
	if full {
		s.fullSentAt = now
	}
	s.sent = make(map[string]region.OutstandingWork, len(work))
	for _, each := range work {
		s.sent[each.Replica] = each
	}
}

// nextMessage returns the next message without its content.
func (s *sender) nextMessage() *region.Outstanding {
	s.sequence++
	message := &region.Outstanding{
		Gateway:  s.peers.name,
		Life:     s.peers.incarnation,
		Sequence: s.sequence,
		Costs:    s.peers.directory.Costs(),
	}
	if s.peers.multipleRegions {
		message.Zone = s.peers.zone
	}
	return message
}

// sendToRegion sends a message to peers of the region, and reports whether it could be sent.
func (s *sender) sendToRegion(message *region.Outstanding, targets []netip.AddrPort) bool {
	sent := s.peers.socket.Send(datagram.KindOutstanding, message, targets...)
	s.allowance -= float64(sent)
	s.peers.count(Counts{OwnRegion: uint64(sent)})
	return sent > 0 || len(targets) == 0
}

// changedWork lists the work that differs from what was sent, including empty entries for work that
// has ended.
func changedWork(sent map[string]region.OutstandingWork, work []region.OutstandingWork) []region.OutstandingWork {
	var changed []region.OutstandingWork
	ended := maps.Clone(sent)
	for _, each := range work {
		if sent[each.Replica] != each {
			changed = append(changed, each)
		}
		delete(ended, each.Replica)
	}
	for replica := range ended {
		changed = append(changed, region.OutstandingWork{Replica: replica})
	}
	return changed
}
