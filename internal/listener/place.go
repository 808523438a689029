package listener

import (
	"math"
	"time"
)

// placeRank orders connections by which of them gives its place up first.
type placeRank struct {
	phase phase
	// received are the bytes of a request that has begun.
	received int64
	since    time.Time
}

// before reports whether a connection of this rank goes before one of another.
func (r placeRank) before(other placeRank) bool {
	if r.phase != other.phase {
		return r.phase < other.phase
	}
	if r.received != other.received {
		return r.received < other.received
	}
	return r.since.Before(other.since)
}

// arrivalShare of the time for a head is for the first bytes of a connection to arrive and be read.
const arrivalShare = 0.05

// placeRank returns the connection's rank, and whether it may give its place up. One that was just accepted ranks behind all requests that
// have begun: its own may be there already.
func (c *connection) placeRank() (rank placeRank, gives bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	rank = placeRank{phase: c.phase, since: c.since}
	if c.phase == phaseHead || c.phase == phaseBody {
		rank.received = c.received.Load()
	}
	if c.phase == phaseNew && time.Since(c.since) < time.Duration(arrivalShare*float64(c.listener.limits().HeaderTime)) {
		rank.phase, rank.received = phaseBody, math.MaxInt64
	}
	return rank, c.phase <= phaseIdle
}
