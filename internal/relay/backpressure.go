package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/backpressure"
)

// Heed has the directory know what replicas ask of this process, as a gate hears it. It is called before
// any use.
func (d *Directory) Heed(gate *backpressure.Gate) {
	d.gate = gate
	gate.OnChange(d.noteAsking)
}

// OnLeaving has a function told of each replica, by its life's name, that says to this process that it leaves.
// It is called before any use.
func (d *Directory) OnLeaving(told func(life string)) { d.onLeaving = told }

// noteAsking takes the standing of a replica that has asked for something, or has said that it leaves.
func (d *Directory) noteAsking(peer backpressure.Peer, standing *backpressure.Standing) {
	d.mutex.Lock()
	replica, listed := d.replicas[peer.Instance]
	if listed = listed && replica.Address == peer.Address; listed {
		replica.asks = standing
		if replica.leaves() {
			replica.tellStreams()
		}
	}
	d.mutex.Unlock()
	if listed && standing.Leaving() {
		d.onLeaving(peer.Instance)
	}
}

// LeavingUntold lists the replicas, by their lives' names, that have said to this process that they leave,
// and are not listed so.
func (d *Directory) LeavingUntold() []string {
	if d.gate == nil || d.gate.Empty() {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var names []string
	for name, replica := range d.replicas {
		if replica.saysLeaving() && !replica.Leaves() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// TakeLeaving notes replicas, by their lives' names, that have said to others that they leave.
func (d *Directory) TakeLeaving(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		if replica, known := d.replicas[name]; known {
			d.noteLeaving(replica)
			replica.tellStreams()
		}
	}
}

// forgetAsked has a replica whose process has ended ask for nothing, unless its next life has a name of its
// own: what has ended may only be its listener. It is called with the mutex held.
func (d *Directory) forgetAsked(replica *Replica) {
	if d.gate == nil || replica.Born != 0 {
		return
	}
	d.gate.Forget(backpressure.Peer{Address: replica.Address, Instance: replica.name})
	replica.asks = nil
	replica.Leaving, replica.endSeen = false, true
}

// saysLeaving reports whether the replica has said to this process that it leaves. It is called with the
// mutex held.
func (r *Replica) saysLeaving() bool { return r.asks != nil && r.asks.Leaving() }

// takesLast reports whether a replica that leaves by its own word may still be sent work: where no other is
// left, for as long as it bears. It is called with the mutex held.
func (d *Directory) takesLast(replica *Replica) bool {
	if d.gate == nil {
		return true
	}
	now := d.gate.Now()
	if replica.asks != nil && !d.gate.AcceptsWork(replica.asks, now) {
		return false
	}
	return !replica.Leaving || d.gate.WithinLeaveTime(replica.leavingSince, now)
}

// noteLeaving notes that others have heard that the replica leaves. It is called with the mutex held.
func (d *Directory) noteLeaving(replica *Replica) {
	if replica.Leaving || replica.endSeen {
		return
	}
	replica.Leaving = true
	if d.gate != nil {
		replica.leavingSince = d.gate.Now()
	}
}

// asksOf is the standing of a replica that has come onto the list, nil if it has asked for nothing.
func (d *Directory) asksOf(peer backpressure.Peer) *backpressure.Standing {
	if d.gate == nil {
		return nil
	}
	return d.gate.MarkListed(peer)
}

// askingNow is the time by which replicas' rests end, 0 while none has asked for anything.
func (d *Directory) askingNow() time.Duration {
	if d.gate == nil || d.gate.Empty() {
		return 0
	}
	return d.gate.Now()
}

// rests reports whether the replica wants to be left alone by this process. It is called with the mutex
// held, with Directory.askingNow.
func (r *Replica) rests(asking time.Duration) bool {
	return asking > 0 && r.asks != nil && r.asks.RestLeft(asking) > 0
}

// mostExcluded bounds the resting replicas that a question to a coordinator excludes: a message has room for
// some, and a coordinator's choice that rests all the same is made again here.
const mostExcluded = 24

// restingHere lists replicas, by their lives' names, that want to be left alone by this process, beginning
// with the longest rest.
func (d *Directory) restingHere() []string {
	asking := d.askingNow()
	if asking == 0 {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var resting []*Replica
	for _, replica := range d.replicas {
		if replica.rests(asking) {
			resting = append(resting, replica)
		}
	}
	slices.SortFunc(resting, func(a, b *Replica) int {
		return cmp.Or(cmp.Compare(b.asks.RestLeft(asking), a.asks.RestLeft(asking)), strings.Compare(a.name, b.name))
	})
	names := make([]string, min(len(resting), mostExcluded))
	for index := range names {
		names[index] = resting[index].name
	}
	return names
}

// RestLeft is for how much longer the lease's replica wants to be left alone.
func (l *Lease) RestLeft() time.Duration {
	asks := l.asks()
	if asks == nil {
		return 0
	}
	return asks.RestLeft(l.directory.gate.Now())
}

// saysLeaving reports whether the lease's replica has said that it leaves.
func (l *Lease) saysLeaving() bool {
	asks := l.asks()
	return asks != nil && asks.Leaving()
}

// asks is what the lease's replica asks of this process, nil if that is nothing.
func (l *Lease) asks() *backpressure.Standing {
	if l.directory.gate == nil || l.directory.gate.Empty() {
		return nil
	}
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.Replica.asks
}
