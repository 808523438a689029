package relay

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// verdict is what an attempt has led to.
type verdict int

const (
	// verdictAnswered: the caller has its answer.
	verdictAnswered verdict = iota
	// verdictNotRun: the replica has not run the request and never will.
	verdictNotRun
	// verdictUnknown: the replica may have run it, and no answer came.
	verdictUnknown
	// verdictFailed: the replica answered with a failure of its own.
	verdictFailed
	// verdictMoved: the stream goes on at another replica.
	verdictMoved
)

// request builds the request of one send.
func (r *run) request(replica *Replica, send Send) *upstream.Request {
	send.Instance = replica.ID
	send.Tenant = r.call.Tenant
	send.Left = r.left()
	request := &upstream.Request{
		Address:  replica.Address,
		Instance: replica.name,
		Method:   r.call.Method,
		Target:   r.call.Target,
		Host:     r.call.Host,
		Header:   append(r.call.Header[:len(r.call.Header):len(r.call.Header)], r.dialect.Fields(send)...),
		Body:     r.call.Body,
		Work:     true,

		MaximumIdle: idlePart(r.call.Service.MaximumConnections, r.directory.choosers()),
		Belongs: func(header http.Header) bool {
			marks := r.dialect.ReadMarks(header)
			return marks.RequestID == "" || marks.RequestID == r.call.ID
		},
	}
	if !r.call.Route.Repeatable() {
		request.MaximumRest = maximumRest
	}
	return request
}

const (
	// idleShare of the connections that a replica takes may be kept unused by all gateways together: the
	// others are for requests.
	idleShare = 0.5
	// mostIdle bounds the unused connections of one gateway to a replica.
	mostIdle = 8
)

// idlePart is how many unused connections each of several processes may keep to a replica that takes a
// number of connections, 0 if that is not known: its part, and one at least.
func idlePart(taken, choosers int) int {
	if taken <= 0 {
		return mostIdle
	}
	part := int(idleShare * float64(taken) / float64(choosers))
	return min(max(part, 1), mostIdle)
}

// attempt sends the request to a replica and hands its answer on. The handle is
// that of the prompt, nil if the replica is to read it itself.
func (r *run) attempt(ctx context.Context, lease *Lease, handle *promptHandle) (verdict, error) {
	defer handle.freeUnlessTaken(r.Runner)
	if ctx.Err() != nil {
		return verdictNotRun, context.Cause(ctx)
	}
	send := Send{LastEvent: r.call.LastEvent}
	if r.stream != nil && r.stream.lastEvent != "" {
		send.LastEvent = r.stream.lastEvent
	}
	switch {
	case handle != nil:
		send.Source = handle.source()
		r.metrics.hasMoved(movedHandover, r.directory.distance(handle.replica, lease.Replica))
		send.Moved = r.stream != nil
	case r.isModelCall():
		send.Fetch = lease.FetchFrom()
		r.noteFetch(lease)
	}
	outcome, err := r.exchange(ctx, lease, send)
	if handle != nil {
		handle.taken = outcome != verdictNotRun
	}
	return outcome, err
}

// noteFetch counts the fetch that a lease's replica is to make.
func (r *run) noteFetch(lease *Lease) {
	if lease.fetchFrom != nil {
		r.metrics.hasMoved(movedFetch, r.directory.distance(lease.fetchFrom, lease.Replica))
	}
}

// exchange makes one send.
func (r *run) exchange(ctx context.Context, lease *Lease, send Send) (verdict, error) {
	r.sends++
	choice := lease.Choice
	far := r.directory.distanceTo(lease.Replica)
	r.metrics.hasMoved(movedSend, far)
	r.logger.V(1).Info(event.RequestSent, "request", r.call.ID, "route", r.call.Route.Name, "replica", lease.Replica.ID,
		"address", lease.Replica.Address, "distance", far.String(), "source", send.Source, "fetch", send.Fetch, "send", r.sends,
		"candidates", choice.Candidates, "in_flight", choice.InFlight, "peers_age_ms", choice.PeersAge.Milliseconds(),
		"occupancy", math.Round(choice.Occupancy*100)/100, "load_age_ms", choice.LoadAge.Milliseconds(),
		"missing", lease.missing(), "wait_ms", lease.expectedWait().Milliseconds(), "placed_by", lease.placedBy(), "limit", lease.Limit(),
		"rest_ms", lease.RestLeft().Milliseconds(), "leaving", lease.saysLeaving())
	if send.LastEvent != "" {
		r.logger.Info(event.StreamContinued, "request", r.call.ID, "replica", lease.Replica.ID, "after_event", send.LastEvent,
			"send", r.sends, "after_ms", time.Since(r.call.Arrived).Milliseconds())
	}
	r.eventsBefore = r.eventCount()
	sentAt := time.Now()
	answer, err := r.client.Do(ctx, r.request(lease.Replica, send))
	if err == nil || upstream.HandedOver(err) {
		lease.permitUsed()
	}
	if err != nil {
		if upstream.HandedOver(err) && !r.isModelCall() {
			// It may have run, and most such requests have.
			r.countBegun(sentAt)
		}
		return r.connectionFailed(ctx, lease, err)
	}
	defer answer.Close()
	r.arrivals++
	marks := r.dialect.ReadMarks(answer.Header)
	noteLimit(lease, answer.Status, marks)
	if marks.NotRun || answer.Status == http.StatusMisdirectedRequest {
		r.noteRefusal(lease, answer, marks)
		return verdictNotRun, failure.New(failure.BackEndRefused, http.StatusText(answer.Status))
	}
	if !send.Moved {
		r.attempts++
	}
	if !marks.Sealed {
		lease.Answered(true, marks.Load)
		return verdictUnknown, failure.New(failure.AnswerBroken, "the answer bears no mark of the replica")
	}
	if !r.isModelCall() {
		r.countBegun(sentAt)
	}
	if r.call.Route.Kind == traffic.KindStream && answer.Status < http.StatusMultipleChoices {
		return r.relayStream(ctx, lease, answer, marks, send)
	}
	return r.relayWhole(ctx, lease, answer, marks)
}

// connectionFailed judges an exchange without an answer.
func (r *run) connectionFailed(ctx context.Context, lease *Lease, err error) (verdict, error) {
	if upstream.Held(err) {
		r.unsent++
		return verdictNotRun, err
	}
	handedOver := upstream.HandedOver(err)
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errDeadline) {
		lease.Unreachable(handedOver && !upstream.Silent(err))
		if handedOver {
			r.replicaLost(ctx, lease, err)
		}
		r.client.Forget(lease.Replica.Address, lease.Replica.name)
	}
	if !handedOver {
		r.unsent++
		return verdictNotRun, err
	}
	r.arrivals++
	r.attempts++
	return verdictUnknown, err
}

// noteLimit notes what an answer says of its replica's limit. One of another incarnation says
// nothing of this one.
func noteLimit(lease *Lease, status int, marks Marks) {
	if status != http.StatusMisdirectedRequest {
		lease.NoteLimit(marks.Limit, !marks.NotRun && status < http.StatusInternalServerError)
	}
}

func (r *run) noteRefusal(lease *Lease, answer *upstream.Exchange, marks Marks) {
	_, _ = answer.ReadAll()
	if answer.Status == http.StatusMisdirectedRequest {
		lease.Misdirected()
		return
	}
	lease.Refused(lease.RestLeft())
}

// relayWhole hands a whole answer on. A failure of the replica's own is kept
// back while another attempt may do better.
func (r *run) relayWhole(ctx context.Context, lease *Lease, answer *upstream.Exchange, marks Marks) (verdict, error) {
	body, err := answer.ReadAll()
	if err != nil {
		lease.Unreachable(true)
		r.replicaLost(ctx, lease, err)
		return verdictUnknown, err
	}
	failed := answer.Status >= http.StatusInternalServerError
	lease.Answered(failed, marks.Load)
	if failed && r.stream == nil {
		r.lastFailure = &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
		return verdictFailed, failure.New(failure.BackEndRefused, http.StatusText(answer.Status))
	}
	if r.stream != nil {
		return verdictUnknown, failure.New(failure.AnswerBroken, "the stream was not continued")
	}
	r.ranWell = answer.Status < http.StatusInternalServerError
	r.metrics.firstAnswer(r.call)
	r.responder.Answer(answer.Status, answer.Header, body)
	return verdictAnswered, nil
}

func (v verdict) String() string {
	switch v {
	case verdictAnswered:
		return "answered"
	case verdictNotRun:
		return "not_run"
	case verdictMoved:
		return "moved"
	case verdictUnknown:
		return "unknown"
	default:
		return "failed"
	}
}
