// Package peers shares the work that a process has placed at replicas with others that
// place some: gateways with each other, or the coordinators that place for gateways.
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

// Options are what Peers are made from.
type Options struct {
	// Name and Address are the process's own; Life is its start.
	Name    string
	Address string
	Life    int64
	// Zone is the process's own, and Topology says which zones are of its region.
	Zone     string
	Topology topology.Map
	// LinkBitsPerSecond is the speed of the machine's network link, 0 if it is not known.
	LinkBitsPerSecond float64
	// OtherRegionsRate bounds what is sent to all peers in other regions, in bytes a second; 0
	// for DefaultOtherRegionsRate.
	OtherRegionsRate float64
	Directory        *relay.Directory
	Socket           *datagram.Socket
}

// Peers tells other processes how much work this one has placed at each replica, and
// learns the same of them, so that they don't all choose the same replica. It is soft
// state: a lost datagram is made up for by the next. It may be used concurrently.
type Peers struct {
	name      string
	address   string
	directory *relay.Directory
	socket    *datagram.Socket
	life      int64
	zone      string
	topology  topology.Map
	// spans says that the topology has more than one region.
	spans bool
	// bytesPerSecond bounds what is sent to all peers of the region, and otherRegionsRate what
	// is sent to those of others.
	bytesPerSecond   float64
	otherRegionsRate float64

	mutex     sync.Mutex
	hash      uint64
	addresses []netip.AddrPort
	// zones are those of the peers that have told theirs.
	zones  map[netip.AddrPort]string
	heard  map[string]heardPeer
	counts Counts
}

// Counts are the bytes told since the start, with the headers of datagrams.
type Counts struct{ OwnRegion, OtherRegions uint64 }

// heardPeer is the newest message of a peer.
type heardPeer struct {
	life     int64
	sequence uint64
	// prompt is the sequence of the last prompt that it placed.
	prompt uint64
	// transit is how long its messages take at least, with what the clocks differ by.
	transit leastTransit
}

const (
	// tellPoll is the pause between two looks for something to tell.
	tellPoll = 10 * time.Millisecond
	// wholeInterval is the time after which all work is told again, since datagrams
	// are lost.
	wholeInterval = time.Second
	// requestsInterval is the least time between messages that tell only of
	// small changes.
	requestsInterval = 200 * time.Millisecond
	// urgentWork is the change of what a replica has yet to read that is told at once:
	// less is done before others hear of it.
	urgentWork = tellPoll
	// linkShare of the machine's link is what is sent to all peers at most; unknownRate
	// is for links of unknown speed, and maximumRate bounds the processor's time for it.
	// All are in bytes a second. What burstTime allows may be saved up.
	linkShare   = 0.05
	unknownRate = 64 << 10
	maximumRate = 512 << 10
	burstTime   = 250 * time.Millisecond
	// Maximum bounds the peers that are told of work, and maximumPromptPeers those that are
	// told of placed prompts, which are fewer and stay true for longer: each process tells
	// those that follow it in the sorted list.
	Maximum            = 12
	maximumPromptPeers = 96
)

// New returns Peers that know of no others yet, and has their messages taken from the
// socket.
func New(options Options) *Peers {
	created := &Peers{
		name:      options.Name,
		address:   options.Address,
		directory: options.Directory,
		socket:    options.Socket,
		life:      options.Life,
		zone:      options.Zone,
		topology:  options.Topology,
		spans:     options.Topology.Spans(),
		zones:     map[netip.AddrPort]string{},
		heard:     map[string]heardPeer{},

		bytesPerSecond:   tellingRate(options.LinkBitsPerSecond),
		otherRegionsRate: options.OtherRegionsRate,
	}
	if created.otherRegionsRate == 0 {
		created.otherRegionsRate = DefaultOtherRegionsRate
	}
	options.Socket.Handle(datagram.KindOutstanding, created.receive)
	options.Socket.Handle(datagram.KindResting, created.receiveResting)
	return created
}

// tellingRate is how many bytes a second may be told over a link.
func tellingRate(linkBitsPerSecond float64) float64 {
	if linkBitsPerSecond <= 0 {
		return unknownRate
	}
	return min(linkShare*linkBitsPerSecond/8, maximumRate)
}

// Take takes over the addresses of all, this process among them, with their hash.
func (p *Peers) Take(hash uint64, addresses []string) {
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

// Known returns the hash of the list last taken over.
func (p *Peers) Known() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.hash
}

// targets are the peers of this region and those of others. One that has not told its zone yet
// counts as far: it is told sums, and answers with its own.
func (p *Peers) targets() (near, far []netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.spans {
		return slices.Clone(p.addresses), nil
	}
	for _, address := range p.addresses {
		zone, told := p.zones[address]
		if told && p.topology.Between(p.zone, zone) != topology.OtherRegion {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return near, far
}

// Counts returns what has been told.
func (p *Peers) Counts() Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// Forget gives up the peers: nobody is told any more.
func (p *Peers) Forget() { p.Take(0, nil) }

// receive takes a peer's message in.
func (p *Peers) receive(from netip.AddrPort, payload []byte) error {
	var message region.Outstanding
	if _, err := message.UnmarshalMsg(payload); err != nil {
		return err
	}
	age, newer := p.note(from, &message, time.Now())
	if !newer {
		return nil
	}
	p.directory.TakePlaced(p.newPrompts(&message))
	p.directory.TakeCosts(message.Costs)
	if p.spans && p.topology.Between(p.zone, message.Zone) == topology.OtherRegion {
		p.directory.TakeRegionWork(p.topology.RegionOf(message.Zone), message.Gateway, message.Replicas, message.Whole, age)
		return nil
	}
	p.directory.TakeOutstanding(message.Gateway, message.Replicas, message.Whole)
	p.directory.TakeUnreachable(message.Unreachable)
	return nil
}

// note reports whether a message is not overtaken by another of its sender, and how old it is.
func (p *Peers) note(from netip.AddrPort, message *region.Outstanding, now time.Time) (age time.Duration, newer bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	heard := p.heard[message.Gateway]
	if message.Life < heard.life || message.Life == heard.life && message.Sequence <= heard.sequence {
		return 0, false
	}
	if message.Life != heard.life {
		heard = heardPeer{life: message.Life}
	}
	heard.sequence = message.Sequence
	if message.WallNanos != 0 {
		age = heard.transit.age(now, time.Unix(0, message.WallNanos))
	}
	p.heard[message.Gateway] = heard
	if slices.Contains(p.addresses, from) {
		p.zones[from] = message.Zone
	}
	return age, true
}

// newPrompts returns the prompts of a message that were not told before.
func (p *Peers) newPrompts(message *region.Outstanding) []region.PlacedPrompt {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	heard := p.heard[message.Gateway]
	fresh := slices.DeleteFunc(message.Prompts, func(each region.PlacedPrompt) bool { return each.Sequence <= heard.prompt })
	if len(fresh) > 0 {
		heard.prompt = fresh[len(fresh)-1].Sequence
		p.heard[message.Gateway] = heard
	}
	return fresh
}

// Tell tells the peers of this process's work whenever it has changed, within the
// allowance, until the context ends.
func (p *Peers) Tell(ctx context.Context) {
	state := teller{peers: p, last: time.Now()}
	for lifecycle.Sleep(ctx, p.pause()) {
		state.step(time.Now())
	}
}

// alonePoll is the pause between two looks for peers of a process that has none: short against the time
// in which they come to know each other.
const alonePoll = 500 * time.Millisecond

// pause is the time until the next look for something to tell.
func (p *Peers) pause() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.addresses) == 0 {
		return alonePoll
	}
	return tellPoll
}

// teller is the state of the telling.
type teller struct {
	peers     *Peers
	sums      sumTeller
	rests     restTeller
	sequence  uint64
	last      time.Time
	toldAt    time.Time
	allowance float64
	// wholeAt is when all work was last told.
	wholeAt time.Time
	told    map[string]region.OutstandingWork
	// unreachable are the replicas last told of as such.
	unreachable []string
	// prompts and promptsBefore are the last placements told with the last
	// message and with the one before it: each is told twice, for one datagram
	// may be lost.
	prompts       uint64
	promptsBefore uint64
}

func (t *teller) step(now time.Time) {
	rate := t.peers.bytesPerSecond
	t.allowance = min(rate*burstTime.Seconds(), t.allowance+now.Sub(t.last).Seconds()*rate)
	near, far := t.peers.targets()
	t.sums.step(t, now, far)
	t.last = now
	if t.allowance <= 0 || len(near) == 0 {
		return
	}
	t.rests.step(t, now, near)
	work := t.peers.directory.Outstanding()
	unreachable := t.peers.directory.Unreachable()
	if slices.Equal(unreachable, t.unreachable) && !t.worthTelling(now, work) {
		return
	}
	t.unreachable = unreachable
	t.send(now, work, near)
}

// worthTelling reports whether work has changed enough to be told now.
func (t *teller) worthTelling(now time.Time, work []region.OutstandingWork) bool {
	since := now.Sub(t.toldAt)
	changed := len(work) != len(t.told)
	for _, each := range work {
		before := t.told[each.Replica]
		if readingChange(before, each) > urgentWork {
			return true
		}
		changed = changed || before != each
	}
	for _, before := range t.told {
		if readingChange(before, region.OutstandingWork{}) > urgentWork && !slices.ContainsFunc(work, func(each region.OutstandingWork) bool {
			return each.Replica == before.Replica
		}) {
			return true
		}
	}
	return changed && since >= requestsInterval || len(work) > 0 && now.Sub(t.wholeAt) >= wholeInterval
}

// readingChange is by how much a replica has more, or less, to read.
func readingChange(before, after region.OutstandingWork) time.Duration {
	change := max(before.InTimeMicros-after.InTimeMicros, after.InTimeMicros-before.InTimeMicros) +
		max(before.LateMicros-after.LateMicros, after.LateMicros-before.LateMicros)
	return time.Duration(change) * time.Microsecond
}

func (t *teller) send(now time.Time, work []region.OutstandingWork, targets []netip.AddrPort) {
	prompts := t.peers.directory.Placed(t.promptsBefore)
	t.promptsBefore = t.prompts
	if len(prompts) > 0 {
		t.prompts = prompts[len(prompts)-1].Sequence
	}
	whole := now.Sub(t.wholeAt) >= wholeInterval
	told := work
	if !whole {
		told = changedWork(t.told, work)
	}
	message := t.message()
	message.Whole = whole
	message.Replicas = told
	message.Prompts = prompts
	message.Unreachable = t.unreachable
	near := min(len(targets), Maximum)
	if !t.write(message, targets[:near]) {
		return
	}
	if len(prompts) > 0 {
		message.Replicas, message.Whole, message.Unreachable, message.Costs = nil, false, nil, nil
		t.write(message, targets[near:])
	}
	t.toldAt = now
	if whole {
		t.wholeAt = now
	}
	t.told = make(map[string]region.OutstandingWork, len(work))
	for _, each := range work {
		t.told[each.Replica] = each
	}
}

// message returns the next message, without its content.
func (t *teller) message() *region.Outstanding {
	t.sequence++
	message := &region.Outstanding{
		Gateway:  t.peers.name,
		Life:     t.peers.life,
		Sequence: t.sequence,
		Costs:    t.peers.directory.Costs(),
	}
	if t.peers.spans {
		message.Zone = t.peers.zone
	}
	return message
}

// write sends a message to peers of the region, and reports whether it could be sent.
func (t *teller) write(message *region.Outstanding, targets []netip.AddrPort) bool {
	taken := t.peers.socket.Send(datagram.KindOutstanding, message, targets...)
	t.allowance -= float64(taken)
	t.peers.count(Counts{OwnRegion: uint64(taken)})
	return taken > 0 || len(targets) == 0
}

// changedWork lists the work that is not as it was told, and what has ended as none.
func changedWork(told map[string]region.OutstandingWork, work []region.OutstandingWork) []region.OutstandingWork {
	var changed []region.OutstandingWork
	ended := maps.Clone(told)
	for _, each := range work {
		if told[each.Replica] != each {
			changed = append(changed, each)
		}
		delete(ended, each.Replica)
	}
	for replica := range ended {
		changed = append(changed, region.OutstandingWork{Replica: replica})
	}
	return changed
}
