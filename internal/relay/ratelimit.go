package relay

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
)

// RateLimit is what a replica's answer says of the requests that it takes.
type RateLimit struct {
	// Named says that the answer names a limit, and Unreadable that it names one that can't be read.
	Named, Unreadable bool
	// Rate is the requests a second that the replica takes from all gateways together.
	Rate float64
}

// ReplicaLimits is how all gateways keep to the limits that replicas name.
type ReplicaLimits struct {
	// Ask asks whether a request may be sent to a replica.
	Ask func(ctx context.Context, asked LimitQuestion) Permit
	// Count counts what is sent to a life of a replica without asking.
	Count func(life string)
}

// LimitQuestion asks whether a request may be sent to a replica that names a limit.
type LimitQuestion struct {
	Request string
	// Life is the replica's, by Life.Name, and Rate the limit that it names.
	Life string
	Rate float64
	// Rank is the urgency of the request's route.
	Rank int
}

// Permit is the answer to a LimitQuestion.
type Permit struct {
	Granted bool
	// Wait is in how long the replica should have room, if it is not granted.
	Wait time.Duration
	// By names who has decided.
	By string
	// GiveBack has the request not counted: it has not been sent.
	GiveBack func()
}

const (
	// limitLogPause is the least time between two lines on one replica's limit, which may be another
	// one in each answer.
	limitLogPause = time.Second
	// leastDenial is the shortest time for which a replica without room is not asked about again.
	leastDenial = 5 * time.Millisecond
	// noLimit stands for no limit in log lines.
	noLimit = -1.0
)

// namedLimit is the limit that a replica names, as this process knows it, and who has no room under
// it. It is guarded by the Directory's mutex.
type namedLimit struct {
	named bool
	rate  float64
	// deniedUntil is by rank until when requests have no room.
	deniedUntil [LastRank]time.Duration
	// logAt is when the next line may be written, and omitted are the changes since the last one.
	logAt   time.Duration
	omitted int
}

// denied reports whether requests of a rank have no room now: what was denied an earlier rank is
// denied later ones.
func (l *namedLimit) denied(rank int, now time.Duration) bool {
	if !l.named {
		return false
	}
	for each := 0; each <= rank; each++ {
		if now < l.deniedUntil[each] {
			return true
		}
	}
	return false
}

// OnLimit has a function told of what replicas' answers say of their limits. It is called before
// any use.
func (d *Directory) OnLimit(told func(word ratelimit.Word)) { d.onLimit = told }

// NoteLimit notes what the replica's answer says of a limit. An answer that has not run the request
// and names none says nothing: a refusal need not come from where limits are named.
func (l *Lease) NoteLimit(told RateLimit, ran bool) {
	d := l.directory
	if !told.Unreadable && !told.Named && (!ran || d.limited.Load() == 0) {
		return
	}
	word, says := d.noteLimit(l.Replica, told)
	if says && d.onLimit != nil {
		d.onLimit(word)
	}
}

// noteLimit takes what an answer says over, and reports whether it says anything of a limit.
func (d *Directory) noteLimit(replica *Replica, told RateLimit) (word ratelimit.Word, says bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if told.Unreadable {
		d.logLimit(replica, event.LimitUnreadable)
		return word, false
	}
	if !told.Named && !replica.limit.named {
		return word, false
	}
	word = ratelimit.Word{Replica: replica.name, Named: told.Named, Rate: told.Rate}
	d.takeLimit(word, d.clock())
	return word, true
}

// TakeLimits takes over what another process knows of limits.
func (d *Directory) TakeLimits(words []ratelimit.Word) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, word := range words {
		d.takeLimit(word, now)
	}
}

// takeLimit is called with the mutex held.
func (d *Directory) takeLimit(word ratelimit.Word, now time.Duration) {
	replica, listed := d.replicas[word.Replica]
	if !listed || !d.limits.Take(now, word) {
		return
	}
	known := &replica.limit
	if known.named != word.Named {
		d.countLimited(word.Named)
	}
	known.named, known.rate = word.Named, word.Rate
	known.deniedUntil = [LastRank]time.Duration{}
	d.logLimit(replica, event.LimitNamed)
}

// logLimit writes a line on what a replica says of its limit. It is called with the mutex held.
func (d *Directory) logLimit(replica *Replica, what event.Event) {
	known, now := &replica.limit, d.clock()
	if now < known.logAt {
		known.omitted++
		return
	}
	d.logger.Info(what, "replica", replica.ID, "named", known.named, "rate", known.rate, "omitted", known.omitted)
	known.logAt, known.omitted = now+limitLogPause, 0
}

// countLimited counts a replica that names a limit, or no more.
func (d *Directory) countLimited(named bool) {
	if named {
		d.limited.Add(1)
		return
	}
	d.limited.Add(-1)
}

// LimitedCount is the number of replicas that name a limit, as this process knows it.
func (d *Directory) LimitedCount() int { return int(d.limited.Load()) }

// LimitNames is ratelimit.Table.Names of what this process knows, and LimitWords all of it.
func (d *Directory) LimitNames() uint64 {
	if d.limited.Load() == 0 {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limits.Names()
}

// LimitsDropped counts what answers have said of limits for which there was no room.
func (d *Directory) LimitsDropped() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limits.Dropped
}

// LimitWords tells what this process knows of limits.
func (d *Directory) LimitWords() []ratelimit.Word {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limits.Words(d.clock())
}

// Denied notes that a replica has no room for requests of a rank for a time.
func (d *Directory) Denied(life string, rank int, wait time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if replica, listed := d.replicas[life]; listed && replica.limit.named {
		replica.limit.deniedUntil[rankOf(rank)] = d.clock() + max(wait, leastDenial)
	}
}

// Limit is the rate that the lease's replica names, negative if it names none.
func (l *Lease) Limit() float64 {
	if !l.directory.namesLimit(l.Replica) {
		return noLimit
	}
	l.directory.mutex.Lock()
	defer l.directory.mutex.Unlock()
	return l.Replica.limit.rate
}

// namesLimit reports whether a replica names a limit.
func (d *Directory) namesLimit(replica *Replica) bool {
	if d.limited.Load() == 0 {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return replica.limit.named
}

// generatorsLimited reports whether each replica that generates for a service names a limit.
func (d *Directory) generatorsLimited(service string) bool {
	if d.limited.Load() == 0 {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	limited := false
	for _, replica := range d.candidates(service, Wanted{}, ofStage(region.StageDecode), d.clock()) {
		if !replica.limit.named {
			return false
		}
		limited = true
	}
	return limited
}

// returnAfter is in how long a caller should come back whose request no replica of a service has
// room for, as far as limits go; zero if none of them names a limit. Those who were refused here come
// back one after the other, at this process's part of the pace of all limits together.
func (d *Directory) returnAfter(service string, rank int) time.Duration {
	if d.limited.Load() == 0 {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	rate, room := 0.0, time.Duration(-1)
	for _, replica := range d.services[service] {
		limit := &replica.limit
		if !limit.named || replica.ends() || replica.gone || replica.Stage == region.StagePrefill {
			continue
		}
		rate += limit.rate
		if wait := limit.room(rank, now); room < 0 || wait < room {
			room = wait
		}
	}
	if room < 0 {
		return 0
	}
	pace := longestReturn
	if rate > 0 {
		pace = time.Duration(min(float64(d.choosers())/rate, longestReturn.Seconds()) * float64(time.Second))
	}
	return d.callBack(service, now+max(room, leastDenial), pace, now+longestReturn) - now
}

// longestReturn bounds the time that a refused caller is told to wait for a replica's limit.
const longestReturn = ratelimit.Window

// room is in how long requests of a rank have room.
func (l *namedLimit) room(rank int, now time.Duration) time.Duration {
	var until time.Duration
	for each := 0; each <= rank; each++ {
		until = max(until, l.deniedUntil[each])
	}
	return max(until-now, 0)
}
