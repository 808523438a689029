// Package window finds the busiest time of a length among events, for checks of what may happen within
// one.
package window

import "time"

// Busiest returns the first and the last of the most events that lie within a length of time, the earliest
// such; last is before first if there are none. between is the time from one event to a later one.
func Busiest(events int, length time.Duration, between func(first, last int) time.Duration) (first, last int) {
	first, last = 0, -1
	from := 0
	for to := range events {
		for between(from, to) > length {
			from++
		}
		if to-from > last-first {
			first, last = from, to
		}
	}
	return first, last
}

// Most is the greatest number of events that lie within a length of time.
func Most(events int, length time.Duration, between func(first, last int) time.Duration) int {
	first, last := Busiest(events, length, between)
	return last - first + 1
}
