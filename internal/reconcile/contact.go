package reconcile

import "time"

// pollState tracks the polls of one engine or back end and their responses.
type pollState struct {
	inFlight bool
	// everPolled reports whether a poll was sent at all.
	everPolled bool
	// lastSentAt is when the latest poll was sent.
	lastSentAt time.Duration
	// lastResponseAt is when the last accepted response arrived, initially when
	// the tracker was created. answeredPollSentAt is when the poll or order that it
	// answers was sent.
	lastResponseAt     time.Duration
	answeredPollSentAt time.Duration
	hasResponse        bool
	// validFrom is when the target's current address was first seen. A response to
	// an earlier poll came from another machine.
	validFrom time.Duration
}

// startIfDue reports whether a poll is due, and if so records it as sent.
func (p *pollState) startIfDue(now, interval, timeout time.Duration) bool {
	if p.inFlight && now-p.lastSentAt < timeout {
		return false
	}
	if p.everPolled && now-p.lastSentAt < interval {
		return false
	}
	p.inFlight = true
	p.everPolled = true
	p.lastSentAt = now
	return true
}

// recordResponse records the response to a poll that was sent at sentAt. It reports
// whether the response is accepted: one from a former address, or to an earlier
// poll than the last accepted response, is not.
func (p *pollState) recordResponse(sentAt, now time.Duration) bool {
	p.inFlight = false
	if sentAt < p.validFrom || p.hasResponse && sentAt < p.answeredPollSentAt {
		return false
	}
	p.hasResponse = true
	p.answeredPollSentAt = sentAt
	p.lastResponseAt = now
	return true
}

// pollInterval returns the poll interval for a number of targets. It is longer in a
// large zone.
func (c *Core) pollInterval(targets int) time.Duration {
	return max(c.config.PollInterval, time.Duration(targets)*pollSpacing)
}
