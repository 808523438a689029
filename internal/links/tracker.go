package links

import (
	"maps"
	"time"
)

// Options are the times by which a Tracker decides. They are shares of the time within which processes have to react to a
// fault.
type Options struct {
	// LostLifetime is how long a failed attempt to connect to a replica counts, ReachedLifetime how long a connection or an
	// answer does.
	LostLifetime    time.Duration
	ReachedLifetime time.Duration
	// Silence is how long requests may be under way without any answer before the links are probed.
	Silence time.Duration
}

// Shares of the reaction time.
const (
	reachedShare = 1.0 / 3
	silenceShare = 1.0 / 6
)

// OptionsFor returns the options for the time within which processes have to react to a fault.
func OptionsFor(reactionTime time.Duration) Options {
	return Options{
		LostLifetime:    reactionTime,
		ReachedLifetime: time.Duration(reachedShare * float64(reactionTime)),
		Silence:         time.Duration(silenceShare * float64(reactionTime)),
	}
}

// Tracker tracks the links of a process to the replicas of one service. All times are of one clock. It is not safe for
// concurrent use.
type Tracker struct {
	options Options
	// lost and reached hold the times of the newest failure, and of the newest connection or answer. A replica that is
	// in lost can't be connected to, even if answers still arrive on older connections.
	lost, reached map[string]time.Duration
	// connected holds the times of the newest connection to each replica in reached, connectedAt that of the newest to any.
	connected   map[string]time.Duration
	connectedAt time.Duration
	// underWay counts the requests at replicas; quietSince is when the last answer arrived, or when the first of these
	// requests began.
	underWay   int
	quietSince time.Duration
	cutOff     bool
	// since is when cutOff last changed.
	since time.Duration
	// probedAt is when the last round of probes began.
	probedAt time.Duration
}

// NewTracker returns a Tracker that knows nothing yet.
func NewTracker(options Options) *Tracker {
	return &Tracker{options: options, lost: map[string]time.Duration{}, reached: map[string]time.Duration{}, connected: map[string]time.Duration{}}
}

// Connected records that a connection to a replica was made.
func (t *Tracker) Connected(now time.Duration, replica string) {
	delete(t.lost, replica)
	t.connected[replica] = now
	t.connectedAt = now
	t.Heard(now, replica)
}

// Heard records an answer of a replica.
func (t *Tracker) Heard(now time.Duration, replica string) {
	t.reached[replica] = now
	t.quietSince = now
}

// Failed records that no connection to a replica could be made, or that one was given up because nothing was
// acknowledged on it. An attempt that has begun before the newest connection to the replica says nothing.
func (t *Tracker) Failed(now, begun time.Duration, replica string) {
	if at, connected := t.connected[replica]; connected && at > begun {
		return
	}
	t.lost[replica] = now
}

// Forget discards what is known of a replica that is no longer listed.
func (t *Tracker) Forget(replica string) {
	delete(t.lost, replica)
	delete(t.reached, replica)
	delete(t.connected, replica)
}

// Begin records that a request goes to a replica, End that it is no longer under way.
func (t *Tracker) Begin(now time.Duration) {
	if t.underWay == 0 {
		t.quietSince = now
	}
	t.underWay++
}

// End records that a request is no longer under way.
func (t *Tracker) End() { t.underWay-- }

// Evidence is what a Tracker's conclusion rests on: numbers of replicas.
type Evidence struct{ Lost, Reached int }

// Evidence returns what counts at a time.
func (t *Tracker) Evidence(now time.Duration) Evidence {
	maps.DeleteFunc(t.lost, func(_ string, at time.Duration) bool { return now-at >= t.options.LostLifetime })
	maps.DeleteFunc(t.reached, func(_ string, at time.Duration) bool { return now-at >= t.options.ReachedLifetime })
	maps.DeleteFunc(t.connected, func(replica string, _ time.Duration) bool {
		_, reached := t.reached[replica]
		return !reached
	})
	evidence := Evidence{Lost: len(t.lost)}
	for replica := range t.reached {
		if _, lost := t.lost[replica]; !lost {
			evidence.Reached++
		}
	}
	return evidence
}

// minimumLost is the number of replicas that have to be lost, of a service with more of them than that.
const minimumLost = 3

// enoughLost returns the number of replicas that have to be lost of a listed number.
func enoughLost(listed int) int { return min(minimumLost, (2*listed+2)/3) }

// Step draws the conclusion, for a listed number of replicas. It reports whether it has changed, and since when the former
// one had held.
func (t *Tracker) Step(now time.Duration, listed int) (changed bool, since time.Duration) {
	evidence := t.Evidence(now)
	cutOff := listed > 0 && evidence.Lost >= enoughLost(listed) && evidence.Lost > evidence.Reached
	if cutOff == t.cutOff {
		return false, t.since
	}
	since = t.since
	t.cutOff, t.since = cutOff, now
	return true, since
}

// CutOff reports whether the process has lost its links to the service, as of the last Step.
func (t *Tracker) CutOff() bool { return t.cutOff }

// Confirmed reports whether the failure to reach a replica may be put down to the replica: since then, the process has
// connected to another one, and it is not cut off.
func (t *Tracker) Confirmed(replica string) bool {
	at, lost := t.lost[replica]
	return lost && !t.cutOff && t.connectedAt > at
}

// ConnectedSince reports whether a connection was made after a time.
func (t *Tracker) ConnectedSince(at time.Duration) bool { return t.connectedAt > at }

// Doubt is how urgently links have to be probed.
type Doubt int

// Doubts, by rising urgency.
const (
	// NoDoubt: there is nothing to find out.
	NoDoubt Doubt = iota
	// Silent: requests are under way and no answer has arrived for some time.
	Silent
	// Unconfirmed: a replica can't be reached, and no other has been connected to since, or the process is cut off.
	Unconfirmed
)

// Doubt returns how urgently the links have to be probed.
func (t *Tracker) Doubt(now time.Duration) Doubt {
	if t.cutOff {
		return Unconfirmed
	}
	for _, at := range t.lost {
		if at >= t.connectedAt && now-at < t.options.LostLifetime {
			return Unconfirmed
		}
	}
	if t.IsSilent(now) {
		return Silent
	}
	return NoDoubt
}

// IsSilent reports whether requests are under way and nothing has been heard for some time.
func (t *Tracker) IsSilent(now time.Duration) bool {
	return t.underWay > 0 && now-max(t.quietSince, t.connectedAt) >= t.options.Silence
}

// BeginProbes reports whether a round of probes may begin, a pause after the last one.
func (t *Tracker) BeginProbes(now, pause time.Duration) bool {
	if t.probedAt > 0 && now-t.probedAt < pause {
		return false
	}
	t.probedAt = now
	return true
}

// LostReplicas calls visit with each replica that can't be reached, until it returns false.
func (t *Tracker) LostReplicas(visit func(replica string) bool) {
	for replica := range t.lost {
		if !visit(replica) {
			return
		}
	}
}
