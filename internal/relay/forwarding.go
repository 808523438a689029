package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// Progress is what has become of a call at a gateway that forwards it.
type Progress struct {
	// Attempts counts the replicas that may have run the call, Arrivals its arrivals at replicas, of which all but the first
	// are paid for.
	Attempts int
	Arrivals int
	// Sends counts the sends to replicas.
	Sends int
	// MayHaveRun is set if an attempt may have run.
	MayHaveRun bool
	// LastEvent is the ID of the last event that the caller has of an interrupted stream.
	LastEvent string
}

// PeerAnswer is what a peer gateway answers to a forwarded call.
type PeerAnswer struct {
	// Peer is the peer's address.
	Peer     string
	Exchange *upstream.Exchange
	// Refusal is the peer's own refusal, nil if it passes on the answer of a replica.
	Refusal error
	// Runs counts the replicas that may have run the call, those of Progress included; 0 if the peer does not say, as with a
	// stream.
	Runs int
	// Software is that of the replica that has begun the stream, origin.Unknown if the peer does not say.
	Software origin.Software
}

// Forwarder hands a call to a peer gateway. It returns ErrNoPeer if there is none to hand it to, and otherwise an error of
// package upstream if the peer has not answered.
type Forwarder func(ctx context.Context, call *Call, progress Progress) (*PeerAnswer, error)

// ErrNoPeer means that no peer gateway is known that may reach a service's replicas.
var ErrNoPeer = errors.New("no peer gateway is left to forward the request to")

// SetForwarder sets the function by which calls are forwarded while this gateway has lost its links to the replicas of their
// service. It must be called before the Runner is used.
func (r *Runner) SetForwarder(forwarder Forwarder) { r.forwarder = forwarder }

const (
	// maximumForwards bounds the peers to which a call is forwarded.
	maximumForwards = 3
	// forwardAfterUnconnected is the number of replicas that a call can't be connected to after which it is forwarded.
	forwardAfterUnconnected = 3
)

// errForward means that the call is to be forwarded before a replica is chosen.
var errForward = errors.New("the request is to be forwarded to a peer gateway")

// mayForward reports whether the call is to be forwarded: a forwarded one is not forwarded again, nor is a stream that
// continues from the memory of its replica.
func (r *callState) mayForward() bool {
	if r.forwarder == nil || r.call.Forwarded || r.peersDeclined || r.moved != nil || r.stopped || r.forwards >= maximumForwards {
		return false
	}
	return r.unconnected >= forwardAfterUnconnected || r.directory.CutOff(r.call.Service.Name)
}

// forwardCall forwards the call to peers until one takes it. The verdict is verdictNotRun if none does.
func (r *callState) forwardCall(ctx context.Context) (verdict, error) {
	if r.ledger.promptTaken && !r.pay(retryForward) {
		return verdictFailed, errRetryBudget
	}
	for r.forwards < maximumForwards {
		r.forwards++
		answer, err := r.forwarder(ctx, r.call, r.progress())
		if errors.Is(err, ErrNoPeer) {
			break
		}
		outcome, err := r.takePeerAnswer(answer, err)
		r.logForward(answer, outcome, err)
		if outcome != verdictNotRun || ctx.Err() != nil {
			return outcome, err
		}
	}
	r.peersDeclined = true
	return verdictNotRun, ErrNoPeer
}

// progress returns what has become of the call here.
func (r *callState) progress() Progress {
	progress := Progress{Attempts: r.attempts, Arrivals: r.ledger.forwarded(), Sends: r.sends, MayHaveRun: r.mayHaveRun, LastEvent: r.call.LastEvent}
	if r.stream != nil && r.stream.lastEvent != "" {
		progress.LastEvent = r.stream.lastEvent
	}
	return progress
}

// takePeerAnswer passes a peer's answer on. The verdict is verdictNotRun if another peer may take the call, and
// verdictFailed if the peer has refused it for good.
func (r *callState) takePeerAnswer(answer *PeerAnswer, err error) (verdict, error) {
	if err != nil {
		if !upstream.HandedOver(err) {
			return verdictNotRun, err
		}
		r.countLostForward()
		return verdictUnknown, err
	}
	defer answer.Exchange.Close()
	if answer.Refusal != nil {
		if r.passesOver(answer.Refusal) {
			return verdictNotRun, answer.Refusal
		}
		r.peerRefusal = answer.Refusal
		return verdictFailed, answer.Refusal
	}
	if !r.dialect.ReadResponseMetadata(answer.Exchange.Header).Sealed {
		r.countLostForward()
		return verdictUnknown, failure.New(failure.AnswerBroken, "the answer bears no mark of a replica")
	}
	r.attempts = max(r.attempts+1, answer.Runs)
	if r.call.Route.Kind == traffic.KindStream && answer.Exchange.Status < 300 {
		return r.relayPeerStream(answer.Exchange, answer.Software)
	}
	return r.relayPeerResponse(answer.Exchange)
}

// passesOver reports whether another peer may take a call that one has refused.
func (r *callState) passesOver(refusal error) bool {
	if failure.AnswerFor(refusal).Ran != failure.RanNo {
		return false
	}
	switch failure.KindOf(refusal) {
	case failure.CutOff, failure.Leaving, failure.NotReady, failure.StreamNotResumed:
		return true
	case failure.MalformedRequest:
		// A peer of an earlier build can't read a call that continues a stream.
		return r.call.Software.IsSet()
	}
	return false
}

// countLostForward counts a forwarded call whose answer was lost as one that a replica may have run.
func (r *callState) countLostForward() {
	r.ledger.record(sendForward, outcomeUnknown)
	r.attempts++
}

// relayPeerResponse passes a whole response on.
func (r *callState) relayPeerResponse(exchange *upstream.Exchange) (verdict, error) {
	body, err := exchange.ReadAll()
	if err == nil && r.stream != nil {
		err = failure.New(failure.AnswerBroken, "the stream was not continued")
	}
	if err != nil {
		r.countLostForward()
		return verdictUnknown, err
	}
	r.metrics.observeFirstAnswer(r.call)
	r.responder.Answer(exchange.Status, exchange.Header, body)
	return verdictAnswered, nil
}

// relayPeerStream passes events on as they arrive, each one complete, of replicas that run the given software.
func (r *callState) relayPeerStream(exchange *upstream.Exchange, software origin.Software) (verdict, error) {
	if r.call.Software.IsSet() && r.call.Software != software {
		r.countLostForward()
		return verdictUnknown, failure.New(failure.AnswerBroken, "the peer has continued the stream with other software")
	}
	events := &eventSplitter{}
	buffer := make([]byte, streamReadBytes)
	for {
		count, err := exchange.Read(buffer)
		complete := events.add(buffer[:count])
		if err == nil {
			err = events.checkBounds(exchange)
		}
		if len(complete) > 0 {
			r.streamBreak = nil
			r.notePeerOrigin(software)
			r.call.beginAt(software)
			if err := r.forward(exchange, complete, events.lastID); err != nil {
				r.writeError = err
				return verdictAnswered, nil
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(events.partial) == 0 && (r.stream != nil || r.call.LastEvent != ""):
			r.beginStream(exchange)
			r.stream.writer.End()
			return verdictAnswered, nil
		default:
			r.countLostForward()
			r.streamBreak = brokenStream(err)
			return verdictUnknown, r.streamBreak
		}
	}
}

// logForward logs what a peer has made of the call.
func (r *callState) logForward(answer *PeerAnswer, outcome verdict, err error) {
	peer := ""
	if answer != nil {
		peer = answer.Peer
	}
	r.metrics.countForward(outcome)
	r.countMalformed(err)
	r.logger.Info(event.RequestForwarded, "request", r.call.ID, "route", r.call.Route.Name, "service", r.call.Service.Name,
		"peer", peer, "verdict", outcome.String(), "cause", failure.Text(err), "unconnected", r.unconnected,
		"events", r.eventCount(), "after_ms", time.Since(r.call.Arrived).Milliseconds())
}

// cutOffRetryAfter is the Retry-After of a request that no gateway can pass to a replica: the links are probed more often.
const cutOffRetryAfter = 2 * probePause

// cutOffError returns the refusal of a call while this gateway has lost its links to the service.
func cutOffError() error {
	return failure.New(failure.CutOff, "this gateway reaches no replica of the service", failure.WithRetryAfter(cutOffRetryAfter))
}

// unserviceable reports whether the call can only be refused: no replica can be connected to, and either it was forwarded
// here, or no peer takes it. A forwarded call that has reached a replica here goes on.
func (r *callState) unserviceable() bool {
	if r.stream != nil || !r.directory.CutOff(r.call.Service.Name) {
		return false
	}
	if r.call.Forwarded {
		return r.ledger.arrivals == r.call.Progress.Arrivals
	}
	return r.peersDeclined && !r.directory.reachesAny(r.call.Service.Name)
}
