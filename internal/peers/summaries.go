package peers

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

const (
	// DefaultOtherRegionsRate bounds the traffic to all peers in other regions, in bytes a second.
	// It suffices for the work at 300 replicas five times a second to one peer and the prefixes of
	// 200 prompts a second, or for more peers less often.
	DefaultOtherRegionsRate = 64 << 10
	// MinimumOtherRegionsRate suffices to send each of a few peers a message before the previous one
	// expires.
	MinimumOtherRegionsRate = 1 << 10
	// summaryInterval is the minimum time between two summaries to other regions. They use
	// summaries to judge whether a region has spare capacity, not to schedule individual prompts.
	summaryInterval = 200 * time.Millisecond
	// maximumSummaryBytes bounds the bytes that the replicas of one message take, so that it fits
	// into a datagram with its other content; further replicas follow in the next messages. A
	// replica takes the bytes of its id and at most replicaEntryBytes.
	maximumSummaryBytes = datagram.MaximumBytes - 3<<10
	replicaEntryBytes   = 32
	// prefixInterval is the minimum time between two messages on prefixes. Prompts with the same
	// prefix that reach other regions in the meantime are prefilled there again.
	prefixInterval = 100 * time.Millisecond
	// maximumPrefixes bounds the prefixes of one message, which take about 100 bytes each, and
	// maximumPendingPrefixes those that wait for one.
	maximumPrefixes        = 20
	maximumPendingPrefixes = 128
	// prefixResendInterval is the time after which a prefix that is still in use is sent again:
	// messages are lost, processes restart, and replicas evict prefixes.
	prefixResendInterval = 10 * time.Second
	// unsharedInterval is the minimum time between two messages on the tokens that replicas have
	// prefilled outside shared prefixes, and maximumUnsharedReplicas bounds the replicas of one.
	// Such tokens evict prefixes from a replica's cache: without these messages other regions would
	// go on fetching the evicted prefixes.
	unsharedInterval        = 2 * time.Second
	maximumUnsharedReplicas = 30
	// maximumSentPrefixes bounds the prefixes whose time of sending is recorded. When it is reached,
	// all records are dropped, and prefixes in use are sent again.
	maximumSentPrefixes = 8192
)

// summarySender sends peers in other regions how much work this process has placed at each replica,
// as periodic summaries instead of each change.
type summarySender struct {
	sentAt         time.Time
	prefixesSentAt time.Time
	allowance      float64
	// sent are the replicas whose work peers know from earlier messages, nil while one message
	// holds all replicas; lastReplica is the last replica of the previous message.
	sent        map[string]bool
	lastReplica string
	// prefixes are those that replicas have begun to cache.
	prefixes prefixCollector
}

// step sends what is due, within the allowance. Summaries are sent even if there is no work: a
// region that sends none counts as one of which nothing is known.
func (s *summarySender) step(parent *sender, now time.Time, far []netip.AddrPort) {
	rate := parent.peers.otherRegionsRate
	s.allowance = min(rate*summaryInterval.Seconds(), s.allowance+now.Sub(parent.lastStep).Seconds()*rate)
	if len(far) == 0 {
		return
	}
	s.prefixes.collect(now, parent.peers.directory)
	summariesDue := now.Sub(s.sentAt) >= summaryInterval
	prefixesDue := len(s.prefixes.pending) > 0 && now.Sub(s.prefixesSentAt) >= prefixInterval
	if s.allowance <= 0 || !summariesDue && !prefixesDue {
		return
	}
	message := parent.nextMessage()
	message.WallNanos = now.UnixNano()
	message.Prompts = append(s.prefixes.take(), s.prefixes.takeUnshared(now, parent.peers.name)...)
	s.prefixesSentAt = now
	if summariesDue {
		message.Replicas, message.Whole = s.next(parent.peers.directory.Outstanding())
		s.sentAt = now
	} else {
		message.Costs = nil
	}
	sent := parent.peers.socket.Send(datagram.KindOutstanding, message, far...)
	s.allowance -= float64(sent)
	parent.peers.count(Counts{OtherRegions: uint64(sent)})
}

// next returns the work to send, and whether it is all there is. Work that has ended is sent once,
// as an empty entry; if that message is lost, the peers' entries expire like all old reports.
func (s *summarySender) next(work []region.OutstandingWork) (summaries []region.OutstandingWork, full bool) {
	if len(firstThatFit(work, maximumSummaryBytes)) == len(work) {
		s.sent, s.lastReplica = nil, ""
		return work, true
	}
	if s.sent == nil {
		s.sent = map[string]bool{}
	}
	begin, _ := slices.BinarySearchFunc(work, s.lastReplica, func(each region.OutstandingWork, last string) int {
		if each.Replica <= last {
			return -1
		}
		return 1
	})
	ended := firstThatFit(s.ended(work), maximumSummaryBytes/2)
	summaries = firstThatFit(slices.Concat(ended, work[begin:], work[:begin]), maximumSummaryBytes)
	for _, each := range summaries {
		if each.Requests == 0 {
			delete(s.sent, each.Replica)
			continue
		}
		s.sent[each.Replica] = true
		s.lastReplica = each.Replica
	}
	return summaries, false
}

// ended returns empty entries for the replicas that were sent before and have no work any more.
func (s *summarySender) ended(work []region.OutstandingWork) []region.OutstandingWork {
	gone := maps.Clone(s.sent)
	for _, each := range work {
		delete(gone, each.Replica)
	}
	var ended []region.OutstandingWork
	for replica := range gone {
		ended = append(ended, region.OutstandingWork{Replica: replica})
	}
	return ended
}

// firstThatFit returns the leading entries that fit into a number of bytes.
func firstThatFit(summaries []region.OutstandingWork, bytes int) []region.OutstandingWork {
	for index, each := range summaries {
		bytes -= replicaEntryBytes + len(each.Replica)
		if bytes < 0 {
			return summaries[:index]
		}
	}
	return summaries
}

// prefixCollector collects the prefixes that prompts of this process have caused replicas to cache,
// with one replica each. Other regions can then fetch a prefix, or send a prompt to where its
// prefix need not be prefilled.
type prefixCollector struct {
	// lastCollected is the sequence of the last prompt collected.
	lastCollected uint64
	// pending are the prefixes to send, those with the most tokens first, which take the longest to
	// prefill again.
	pending []pendingPrefix
	// sentAt is when each prefix was sent or queued, by the id of its last part.
	sentAt map[string]time.Time
	// lastSequence is the sequence of the last entry sent. Prefixes get new sequences because they
	// are not sent in the order of their placement, and receivers accept increasing sequences only.
	lastSequence uint64
	// unshared are the tokens that replicas have prefilled outside shared prefixes, and
	// unsharedSentAt is when they were last sent.
	unshared       map[string]int
	unsharedSentAt time.Time
}

type pendingPrefix struct {
	region.PlacedPrompt
	tokens int
}

// lastID is the id of the prefix's last part.
func (p *pendingPrefix) lastID() string { return p.Parts[len(p.Parts)-1].ID }

// collect adds the prompts that were placed since the last call.
func (p *prefixCollector) collect(now time.Time, directory *relay.Directory) {
	for _, placed := range directory.Placed(p.lastCollected) {
		p.lastCollected = placed.Sequence
		if len(placed.Parts) == 0 {
			continue
		}
		if p.unshared == nil {
			p.unshared = map[string]int{}
		}
		p.unshared[placed.Replica] += placed.Parts[len(placed.Parts)-1].Tokens
		if len(placed.Parts) > 1 {
			p.add(now, placed)
		}
	}
}

// add queues the prefix of a prompt, without the prompt's own part, unless it was sent or queued
// recently.
func (p *prefixCollector) add(now time.Time, placed region.PlacedPrompt) {
	prefix := pendingPrefix{PlacedPrompt: placed}
	prefix.Parts = placed.Parts[:len(placed.Parts)-1]
	for _, part := range prefix.Parts {
		prefix.tokens += part.Tokens
	}
	if sentAt, known := p.sentAt[prefix.lastID()]; known && now.Sub(sentAt) < prefixResendInterval {
		return
	}
	if p.sentAt == nil || len(p.sentAt) >= maximumSentPrefixes {
		p.sentAt = map[string]time.Time{}
	}
	p.sentAt[prefix.lastID()] = now
	index, _ := slices.BinarySearchFunc(p.pending, prefix.tokens, func(each pendingPrefix, tokens int) int {
		return tokens - each.tokens
	})
	p.pending = slices.Insert(p.pending, index, prefix)
	if len(p.pending) > maximumPendingPrefixes {
		delete(p.sentAt, p.pending[maximumPendingPrefixes].lastID())
		p.pending = p.pending[:maximumPendingPrefixes]
	}
}

// take removes and returns the prefixes for the next message.
func (p *prefixCollector) take() []region.PlacedPrompt {
	count := min(len(p.pending), maximumPrefixes)
	taken := make([]region.PlacedPrompt, 0, count)
	for _, prefix := range p.pending[:count] {
		p.lastSequence++
		prefix.Sequence = p.lastSequence
		taken = append(taken, prefix.PlacedPrompt)
	}
	p.pending = slices.Delete(p.pending, 0, count)
	return taken
}

// takeUnshared removes and returns the tokens that replicas have prefilled outside shared prefixes,
// for each replica as one part whose id no prompt asks for.
func (p *prefixCollector) takeUnshared(now time.Time, name string) []region.PlacedPrompt {
	if now.Sub(p.unsharedSentAt) < unsharedInterval {
		return nil
	}
	p.unsharedSentAt = now
	var taken []region.PlacedPrompt
	for replica, tokens := range p.unshared {
		if len(taken) == maximumUnsharedReplicas {
			break
		}
		p.lastSequence++
		part := region.PlacedPart{ID: fmt.Sprint(name, " ", p.lastSequence), Tokens: tokens}
		taken = append(taken, region.PlacedPrompt{Sequence: p.lastSequence, Replica: replica, Parts: []region.PlacedPart{part}})
		delete(p.unshared, replica)
	}
	return taken
}

// transitWindow is the minimum time for which a measured minimum transit time is used. Clocks drift
// and are set, but hardly within it.
const transitWindow = 10 * time.Second

// minimumTransit tracks the minimum time between the sending of messages and their receipt, as the
// difference of the two processes' clocks, and so including their offset. A message's age is the time
// that it took beyond this minimum.
type minimumTransit struct {
	// initialized says that the other fields are set; previous is the minimum of the previous
	// window.
	initialized       bool
	minimum, previous time.Duration
	windowStart       time.Time
}

// age returns how much longer a message took than the recent one that took the least time.
func (m *minimumTransit) age(now, sentAt time.Time) time.Duration {
	took := now.Round(0).Sub(sentAt)
	switch {
	case !m.initialized:
		*m = minimumTransit{initialized: true, minimum: took, previous: took, windowStart: now}
	case now.Sub(m.windowStart) >= transitWindow:
		m.previous, m.minimum, m.windowStart = m.minimum, took, now
	default:
		m.minimum = min(m.minimum, took)
	}
	return took - min(m.minimum, m.previous)
}

func (p *Peers) count(sent Counts) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.OwnRegion += sent.OwnRegion
	p.counts.OtherRegions += sent.OtherRegions
}
