package relay

import (
	"math"
	"math/bits"
	"time"
)

// sizeMeter keeps how many prompts of one rank were asked for and how many were read, by their size. Large
// ones wait longer for room and are late sooner, so that under load nearly all that is turned away is
// large: by the meter those are found that are served far less often than others.
type sizeMeter struct {
	asked, read [sizeClasses]float64
	at          time.Duration
}

const (
	// sizeClasses are four for each doubling of a prompt's tokens, up to a million.
	sizeClasses      = 4 * 20
	classesADoubling = 4
	// sizeMemory is the time constant of a sizeMeter: some of the largest tenth have come meanwhile where
	// one prompt a second comes.
	sizeMemory = 20 * time.Second
	// fairShare of the rate at which all of a rank are read is what the largest are read at, at least:
	// their callers wait no less urgently. More would turn many small prompts away for a few large ones.
	fairShare = 0.55
	// leastAsked is the number of prompts before which nothing is concluded.
	leastAsked = 3.0
)

// sizeClass is the class of a number of tokens.
func sizeClass(tokens int) int {
	if tokens < 1 {
		return 0
	}
	doublings := bits.Len(uint(tokens)) - 1
	part := float64(tokens)/math.Exp2(float64(doublings)) - 1
	return min(classesADoubling*doublings+int(classesADoubling*part), sizeClasses-1)
}

func (m *sizeMeter) fade(now time.Duration) {
	left := math.Exp(-(now - m.at).Seconds() / sizeMemory.Seconds())
	m.at = now
	for class := range m.asked {
		m.asked[class] *= left
		m.read[class] *= left
	}
}

// isShort reports whether prompts of a number of tokens and more are read far less often than all.
func (m *sizeMeter) isShort(tokens int) bool {
	var asked, read, largeAsked, largeRead float64
	from := sizeClass(tokens)
	for class := range m.asked {
		asked += m.asked[class]
		read += m.read[class]
		if class >= from {
			largeAsked += m.asked[class]
			largeRead += m.read[class]
		}
	}
	return largeAsked >= leastAsked && largeRead/largeAsked < fairShare*read/asked
}

// sizesOf is called with the mutex held.
func (d *Directory) sizesOf(service string, rank int) *sizeMeter {
	meter := d.rankedOf(service)
	if meter.sizes[rank] == nil {
		meter.sizes[rank] = &sizeMeter{at: d.clock()}
	}
	return meter.sizes[rank]
}

// noteAsked counts a prompt that is to be read. It is called with the mutex held.
func (d *Directory) noteAsked(service string, request ReadRequest, now time.Duration) {
	sizes := d.sizesOf(service, request.Rank)
	sizes.fade(now)
	sizes.asked[sizeClass(request.Prompt.Tokens)]++
}

// isPutBehind reports whether a prompt that would be late is read with those in time all the same: when
// prompts as large are read far less often than others, and it will be read before its caller leaves.
// Without it, at 3 times the capacity, the largest tenth was read 0.04 times as often as all. It is called
// with the mutex held.
func (d *Directory) isPutBehind(service string, request ReadRequest, best *readEstimate) bool {
	return best.total() < request.lateLeft() && d.sizesOf(service, request.Rank).isShort(request.Prompt.Tokens)
}
