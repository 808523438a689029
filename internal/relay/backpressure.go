package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/backpressure"
	"github.com/pierhaven/pierhaven/internal/region"
)

// UseGate connects the directory to the gate that tracks what replicas ask of this process: a backoff, or no new
// work because they are leaving. It must be called before first use.
func (d *Directory) UseGate(gate *backpressure.Gate) {
	d.gate = gate
	gate.OnChange(d.updatePeerState)
}

// OnLeaving sets a function that is called with the incarnation name of each replica that tells this process
// that it is leaving. It must be called before first use.
func (d *Directory) OnLeaving(notify func(incarnation string)) { d.onLeaving = notify }

// updatePeerState attaches the gate's peer state to the replica that it belongs to. The gate calls it when a
// peer first asks for a backoff or says that it is leaving, and again when one that has asked for a backoff
// says that it is leaving. If the replica is leaving, its streams are notified and onLeaving is called. For a peer
// that is not listed at that address, the incarnation that is listed there inherits the state: another replica's
// process would have answered that the request was misdirected.
func (d *Directory) updatePeerState(peer backpressure.Peer, state *backpressure.PeerState) {
	d.mutex.Lock()
	replica, listed := d.replicas[peer.Instance]
	if listed = listed && replica.Address == peer.Address; listed {
		replica.peerState = state
	} else if replica = d.replicaAt(peer.Address); replica != nil {
		d.inheritPeerState(peer, replica)
	}
	if replica != nil && replica.isLeaving() {
		replica.notifyStreams()
	}
	saidLeaving := replica != nil && replica.declaresLeaving()
	d.mutex.Unlock()
	if saidLeaving {
		d.onLeaving(replica.name)
	}
}

// replicaAt returns the replica that is listed at an address, nil if there is none. The caller must hold d.mutex.
func (d *Directory) replicaAt(address string) *Replica {
	for _, replica := range d.replicas {
		if replica.Address == address {
			return replica
		}
	}
	return nil
}

// inheritPeerState gives an incarnation what it has asked for since it started, recorded for the former one. The
// caller must hold d.mutex.
func (d *Directory) inheritPeerState(former backpressure.Peer, next *Replica) {
	if d.gate == nil {
		return
	}
	d.gate.Inherit(former, next.peer(), next.age())
	next.peerState = d.peerStateOf(next.peer())
}

// UnreportedLeaving returns the incarnation names of the replicas that have told this process that they are leaving,
// and are not listed as leaving.
func (d *Directory) UnreportedLeaving() []string {
	if d.gate == nil || d.gate.Empty() {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var names []string
	for name, replica := range d.replicas {
		if replica.declaresLeaving() && !replica.isListedLeaving() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// MarkLeaving marks replicas as leaving, given the incarnation names of those that have told other processes so.
func (d *Directory) MarkLeaving(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		if replica, known := d.replicas[name]; known {
			d.noteLeaving(replica)
			replica.notifyStreams()
		}
	}
}

// MarkDraining marks the replicas that a part of the platform's list shows as draining.
func (d *Directory) MarkDraining(listed []region.Replica) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for index := range listed {
		entry := &listed[index]
		known, found := d.replicas[entry.Incarnation().Name()]
		if found && entry.Draining {
			d.noteDraining(known)
			known.notifyStreams()
		}
	}
}

// clearPeerState clears what a replica whose process has ended had asked for, so that it does not apply to the next
// incarnation under the same name. If incarnations have names of their own (Born is set), it keeps the state: an end
// is concluded from a closed port, so only the listener may have ended, and the process may still be leaving. The
// caller must hold d.mutex.
func (d *Directory) clearPeerState(replica *Replica) {
	if d.gate == nil || replica.Born != 0 {
		return
	}
	d.gate.Forget(replica.peer())
	replica.peerState = nil
	replica.Leaving, replica.processEnded = false, true
}

// declaresLeaving reports whether the replica has told this process that it is leaving. The caller must hold the
// Directory's mutex.
func (r *Replica) declaresLeaving() bool { return r.peerState != nil && r.peerState.Leaving() }

// acceptsAsLast reports whether a replica that has told this process or others that it is leaving may still be
// sent work if no other replica is left, which is until the gate's leaving grace is over, and always without a
// gate. The caller must hold d.mutex.
func (d *Directory) acceptsAsLast(replica *Replica) bool {
	return d.gate == nil || replica.peerState == nil || d.gate.AcceptsWork(replica.peerState, d.gate.Now())
}

// noteLeaving marks a replica that has told other processes that it is leaving. The caller must hold d.mutex.
func (d *Directory) noteLeaving(replica *Replica) {
	if replica.Leaving || replica.processEnded {
		return
	}
	replica.Leaving = true
	if d.gate != nil {
		replica.peerState = d.gate.MarkToldLeaving(replica.peer())
	}
}

// noteDraining marks a replica that a list shows as draining. The caller must hold d.mutex.
func (d *Directory) noteDraining(replica *Replica) {
	if replica.Draining {
		return
	}
	replica.Draining = true
	if d.gate != nil {
		replica.peerState = d.gate.MarkListedLeaving(replica.peer())
	}
}

// peerStateOf returns the gate's state of a replica that was added to the list, nil if it has asked for nothing.
func (d *Directory) peerStateOf(peer backpressure.Peer) *backpressure.PeerState {
	if d.gate == nil {
		return nil
	}
	return d.gate.MarkListed(peer)
}

// gateNow returns the time by the gate's clock, to compare with the ends of backoffs; 0 while no replica has
// asked for anything.
func (d *Directory) gateNow() time.Duration {
	if d.gate == nil || d.gate.Empty() {
		return 0
	}
	return d.gate.Now()
}

// inBackoff reports whether the replica is in a backoff that it has requested of this process, at a time from
// Directory.gateNow. The caller must hold the Directory's mutex.
func (r *Replica) inBackoff(now time.Duration) bool {
	return now > 0 && r.peerState != nil && r.peerState.BackoffLeft(now) > 0
}

// maximumExcluded bounds the replicas in backoff that a placement query excludes: the size of a message is limited,
// and if the coordinator chooses a replica in backoff nevertheless, the gateway chooses again itself.
const maximumExcluded = 24

// inBackoffHere returns the incarnation names of the replicas in a backoff requested of this process, those with
// the longest remaining backoff first, at most maximumExcluded.
func (d *Directory) inBackoffHere() []string {
	now := d.gateNow()
	if now == 0 {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var backingOff []*Replica
	for _, replica := range d.replicas {
		if replica.inBackoff(now) {
			backingOff = append(backingOff, replica)
		}
	}
	slices.SortFunc(backingOff, func(a, b *Replica) int {
		return cmp.Or(cmp.Compare(b.peerState.BackoffLeft(now), a.peerState.BackoffLeft(now)), strings.Compare(a.name, b.name))
	})
	names := make([]string, min(len(backingOff), maximumExcluded))
	for index := range names {
		names[index] = backingOff[index].name
	}
	return names
}

// BackoffLeft returns the remaining backoff that the lease's replica has requested of this process, 0 if there is
// none.
func (l *Lease) BackoffLeft() time.Duration {
	state := l.peerState()
	if state == nil {
		return 0
	}
	return state.BackoffLeft(l.directory.gate.Now())
}

// declaresLeaving reports whether the lease's replica has said that it is leaving.
func (l *Lease) declaresLeaving() bool {
	state := l.peerState()
	return state != nil && state.Leaving()
}

// peerState returns the gate's state of the lease's replica, nil if it has asked for nothing.
func (l *Lease) peerState() *backpressure.PeerState {
	if l.directory.gate == nil || l.directory.gate.Empty() {
		return nil
	}
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.Replica.peerState
}
