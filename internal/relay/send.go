package relay

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// verdict is the result of one attempt.
type verdict int

const (
	// verdictAnswered: the caller has its answer.
	verdictAnswered verdict = iota
	// verdictNotRun: the replica has not run the request and will not run it later.
	verdictNotRun
	// verdictUnknown: the replica may have run the request, but no valid answer came.
	verdictUnknown
	// verdictFailed: the replica answered with an error of its own.
	verdictFailed
	// verdictMoved: the stream continues at another replica.
	verdictMoved
)

// request builds the upstream request of one send.
func (r *callState) request(replica *Replica, send Send) *upstream.Request {
	send.Instance = replica.ID
	send.Tenant = r.call.Tenant
	send.TimeLeft = r.timeLeft()
	request := &upstream.Request{
		Address:  replica.Address,
		Instance: replica.name,
		Method:   r.call.Method,
		Target:   r.call.Target,
		Host:     r.call.Host,
		Header:   append(r.call.Header[:len(r.call.Header):len(r.call.Header)], r.dialect.Fields(send)...),
		Body:     r.call.Body,
		Work:     true,

		HeadDeadline: r.headDeadline(send.PrefillOnly),

		MaximumIdle: idleConnectionLimit(r.call.Service.MaximumConnections, r.directory.placerCount()),
		Belongs: func(header http.Header) bool {
			metadata := r.dialect.ReadResponseMetadata(header)
			return metadata.RequestID == "" || metadata.RequestID == r.call.ID
		},
	}
	if !r.call.Route.Repeatable() {
		request.MaximumIdleTime = maximumConnectionIdle
	}
	return request
}

// headDeadline returns when the head of a send's answer has to be whole once it has begun: early enough for another
// replica, if one may serve the call, and with its deadline if not.
func (r *callState) headDeadline(prefillOnly bool) func() time.Time {
	if !prefillOnly && (!r.call.Route.Repeatable() || r.attempts+1 >= r.call.Route.MaximumAttempts) {
		return nil
	}
	return func() time.Time {
		return time.Now().Add(min(max(r.call.objective(), minimumHeadTime), r.timeLeft()/2))
	}
}

// minimumHeadTime is the least time for a head, unless the caller has less than twice as much: a sound machine may be silent
// for a second or so.
const minimumHeadTime = time.Second

const (
	// idleShare is the share of a replica's maximum connections that all gateways together may keep
	// idle. The others are left for requests.
	idleShare = 0.5
	// maximumIdleConnections bounds the idle connections of one gateway to a replica.
	maximumIdleConnections = 8
)

// idleConnectionLimit returns how many idle connections each of several processes may keep to a replica that
// accepts at most maximumConnections, 0 if unknown: an equal share of idleShare, at least one and at most
// maximumIdleConnections, which also applies if the number is unknown.
func idleConnectionLimit(maximumConnections, placers int) int {
	if maximumConnections <= 0 {
		return maximumIdleConnections
	}
	limit := int(idleShare * float64(maximumConnections) / float64(placers))
	return min(max(limit, 1), maximumIdleConnections)
}

// attemptSend sends the request to a replica and forwards its answer. The handle is that of the
// prompt, or nil if the replica is to prefill it itself.
func (r *callState) attemptSend(ctx context.Context, lease *Lease, handle *promptHandle) (verdict, error) {
	defer func() {
		if r.moved == nil || r.moved.handle != handle {
			handle.freeUnlessConsumed(r.Runner)
		}
	}()
	if ctx.Err() != nil {
		return verdictNotRun, context.Cause(ctx)
	}
	if r.leavesTooSoon() {
		return verdictNotRun, errLeaving
	}
	// A stream that goes on is let in before those that begin.
	send := Send{LastEvent: r.call.LastEvent, Ranked: r.isModelCall() && r.call.Software.IsSet()}
	if r.stream != nil && r.stream.lastEvent != "" {
		send.LastEvent = r.stream.lastEvent
	}
	switch {
	case handle != nil:
		send.PrefillSource = handle.source()
		r.metrics.countTransfer(transferHandover, r.directory.distance(handle.replica, lease.Replica))
		send.Moved = r.stream != nil
	case r.isModelCall():
		send.Fetch = lease.FetchFrom()
		r.countFetch(lease)
	}
	outcome, err := r.exchange(ctx, lease, send)
	if handle != nil {
		handle.consumed = outcome != verdictNotRun
	}
	if send.Moved && outcome == verdictNotRun {
		lease.Release()
		if r.offerElsewhere(ctx, handle) {
			return verdictMoved, err
		}
	}
	return outcome, err
}

// countFetch counts the prefix fetch that the replica of a lease is to make.
func (r *callState) countFetch(lease *Lease) {
	if lease.fetchFrom != nil {
		r.metrics.countTransfer(transferFetch, r.directory.distance(lease.fetchFrom, lease.Replica))
	}
}

// exchange makes one send: it sends the request and forwards the response, or returns why there is none
// to forward.
func (r *callState) exchange(ctx context.Context, lease *Lease, send Send) (verdict, error) {
	r.sends++
	choice := lease.Choice
	distance := r.directory.distanceTo(lease.Replica)
	r.metrics.countTransfer(transferSend, distance)
	r.logger.V(1).Info(event.RequestSent, "request", r.call.ID, "route", r.call.Route.Name, "replica", lease.Replica.ID,
		"address", lease.Replica.Address, "software", lease.Software.String(), "distance", distance.String(), "source", send.PrefillSource, "fetch", send.Fetch, "send", r.sends,
		"candidates", choice.Candidates, "in_flight", choice.InFlight, "peers_age_ms", choice.PeersAge.Milliseconds(),
		"occupancy", math.Round(choice.Occupancy*100)/100, "load_age_ms", choice.LoadAge.Milliseconds(),
		"missing", lease.missing(), "wait_ms", lease.expectedWait().Milliseconds(), "placed_by", lease.chosenBy(), "limit", lease.Limit(),
		"rest_ms", lease.BackoffLeft().Milliseconds(), "leaving", lease.declaresLeaving())
	if send.LastEvent != "" {
		r.logger.Info(event.StreamContinued, "request", r.call.ID, "replica", lease.Replica.ID, "software", lease.Software.String(),
			"resumes", r.call.Resumes, "after_event", send.LastEvent,
			"send", r.sends, "after_ms", time.Since(r.call.Arrived).Milliseconds())
	}
	r.logLeavingSend(lease)
	r.noteOrigin(lease)
	r.earlierEvents = r.eventCount()
	sentAt := time.Now()
	ctx, stopWatch := r.watchLinks(ctx)
	defer stopWatch()
	response, err := r.client.Do(ctx, r.request(lease.Replica, send))
	if err == nil || upstream.HandedOver(err) {
		lease.permitUsed()
	}
	if err != nil {
		if upstream.HandedOver(err) && !r.isModelCall() {
			// The request may have run, and most that fail after they were sent have.
			r.countStart(sentAt)
		}
		return r.classifyFailure(ctx, lease, send, err)
	}
	defer response.Close()
	metadata := r.dialect.ReadResponseMetadata(response.Header)
	recordLimit(lease, response.Status, metadata)
	if metadata.NotRun || response.Status == http.StatusMisdirectedRequest {
		if err := response.Discard(); answer.FaultOf(err) != "" {
			return r.classifyFailure(ctx, lease, send, err)
		}
		r.ledger.record(sendAnswer, outcomeRejected)
		r.recordRejection(lease, response)
		return verdictNotRun, failure.New(failure.BackEndRefused, http.StatusText(response.Status))
	}
	r.ledger.record(sendAnswer, outcomeTakenUp)
	if !send.Moved {
		r.attempts++
	}
	if !metadata.Sealed {
		lease.Answered(true, metadata.Load)
		return verdictUnknown, failure.New(failure.AnswerBroken, "the answer bears no mark of the replica")
	}
	if !r.isModelCall() {
		r.countStart(sentAt)
	}
	if r.call.Route.Kind == traffic.KindStream && response.Status < http.StatusMultipleChoices {
		return r.relayStream(ctx, lease, response, metadata, send)
	}
	return r.relayResponse(ctx, lease, response, metadata)
}

// watchLinks returns a context for a send that also ends once the links to the service are lost and silent, if the call
// may be repeated: a peer can serve it meanwhile. The returned function ends the watch.
func (r *callState) watchLinks(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.forwarder == nil || !r.call.Route.Repeatable() {
		return ctx, func() {}
	}
	return endingWith(ctx, r.directory.linksContext(r.call.Service.Name), errLinksSilent)
}

// lostWithLinks reports whether a send has failed because nothing was acknowledged by the replica's machine, or because
// the links to the whole service are lost.
func lostWithLinks(err error) bool { return upstream.Silent(err) || errors.Is(err, errLinksSilent) }

// classifyFailure returns the verdict on an exchange that failed without an answer.
func (r *callState) classifyFailure(ctx context.Context, lease *Lease, send Send, err error) (verdict, error) {
	if upstream.HeldBack(err) {
		r.unsent++
		return verdictNotRun, err
	}
	r.logLostAnswer(lease, err)
	handedOver := upstream.HandedOver(err)
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errDeadline) || errors.Is(cause, errLinksSilent) {
		lease.Unreachable(handedOver && !lostWithLinks(err))
		if handedOver {
			r.recordConnectionLoss(ctx, lease, err)
		}
		r.client.Forget(lease.Replica.Address, lease.Replica.name)
	}
	if !handedOver {
		r.unsent++
		r.unconnected++
		return verdictNotRun, err
	}
	r.ledger.record(sendAnswer, outcomeUnknown)
	if !send.Moved {
		r.attempts++
	}
	return verdictUnknown, err
}

// recordLimit records the rate limit that the head of a response declares. A response of another incarnation (status 421) is
// ignored: its limit does not apply to this one.
func recordLimit(lease *Lease, status int, metadata ResponseMetadata) {
	if status != http.StatusMisdirectedRequest && metadata.Limit.isGiven() {
		lease.NoteLimit(metadata.Limit, true)
	}
}

// recordNoLimit records that a response declares no rate limit, once it has proved to be an answer: a spoiled one lifts none.
func recordNoLimit(lease *Lease, status int, metadata ResponseMetadata) {
	if !metadata.Limit.isGiven() {
		lease.NoteLimit(metadata.Limit, !metadata.NotRun && status < http.StatusInternalServerError)
	}
}

func (r *callState) recordRejection(lease *Lease, response *upstream.Exchange) {
	if response.Status == http.StatusMisdirectedRequest {
		lease.Misdirected()
		return
	}
	lease.Refused(lease.BackoffLeft())
}

// relayResponse forwards a whole response. An error response of the replica is kept back while
// another attempt may do better.
func (r *callState) relayResponse(ctx context.Context, lease *Lease, response *upstream.Exchange, metadata ResponseMetadata) (verdict, error) {
	body, err := response.ReadAll()
	if err != nil {
		r.logLostAnswer(lease, err)
		lease.Unreachable(true)
		r.recordConnectionLoss(ctx, lease, err)
		return verdictUnknown, err
	}
	failed := response.Status >= http.StatusInternalServerError
	recordNoLimit(lease, response.Status, metadata)
	lease.Answered(failed, metadata.Load)
	if failed && r.stream == nil {
		r.keepErrorResponse(response, body)
		return verdictFailed, failure.New(failure.BackEndRefused, http.StatusText(response.Status))
	}
	if r.stream != nil {
		return verdictUnknown, failure.New(failure.AnswerBroken, "the stream was not continued")
	}
	r.succeeded = response.Status < http.StatusInternalServerError
	r.metrics.observeFirstAnswer(r.call)
	r.responder.Answer(response.Status, response.Header, body)
	return verdictAnswered, nil
}

// keepErrorResponse keeps an error response of a replica in the place of an earlier one.
func (r *callState) keepErrorResponse(response *upstream.Exchange, body []byte) {
	r.releaseErrorResponse()
	r.lastErrorResponse = &bufferedResponse{status: response.Status, header: response.Header, body: body, kept: response.Detach()}
}

// releaseErrorResponse gives back the memory of the response that is kept.
func (r *callState) releaseErrorResponse() {
	if r.lastErrorResponse != nil {
		r.lastErrorResponse.kept.Release()
	}
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
