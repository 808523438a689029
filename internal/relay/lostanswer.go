package relay

import (
	"errors"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// logLostAnswer logs what had come of an answer that was lost, and counts it if it was given up at a bound or is none.
func (r *callState) logLostAnswer(lease *Lease, err error) {
	var lost *upstream.Error
	if !errors.As(err, &lost) || !lost.HandedOver {
		return
	}
	bound := upstream.ExceededBound(err)
	if bound != "" {
		r.metrics.countGivenUp(bound)
	}
	fault := r.countMalformed(err)
	r.logger.Info(event.AnswerLost, "request", r.call.ID, "replica", lease.Replica.ID, "cause", failure.Text(lost.Cause),
		"bound", bound, "fault", fault, "received_bytes", lost.Received, "head_read", lost.HeadRead)
}

// countMalformed counts what was sent in the place of an answer, if that is why it was lost, and returns what is wrong with it.
func (r *callState) countMalformed(err error) answer.Fault {
	fault := answer.FaultOf(err)
	if fault != "" {
		r.metrics.countMalformed(fault)
	}
	return fault
}
