package request

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// OnceOnly is the state of one non-repeatable request under one attempt id. Its
// claim is committed before its only dispatch. The claim ends with the stored
// answer, with a release and proof that nothing ran, or with an unknown outcome.
//
// The machine may continue after the caller has been answered, until the claim has
// ended and Done reports true.
type OnceOnly struct {
	parameters OnceOnlyParameters
	phase      oncePhase
	// claimedAt is when the claim was first sent.
	claimedAt    time.Duration
	claimResends int
	// mayBeClaimed is set if a claim may have been committed without a reply.
	mayBeClaimed bool
	handedOver   bool
	// callerAnswered is set once the caller has its final answer or has
	// disconnected.
	callerAnswered bool
	outputs        []OnceOutput
}

// OnceOnlyParameters are the parameters of one non-repeatable request.
type OnceOnlyParameters struct {
	// AttemptID is unique over all attempts of all processes.
	AttemptID string
	// Deadline is when the caller stops waiting, 0 for none.
	Deadline time.Duration
	// ClaimResends bounds how often the claim is sent again after a lost reply.
	ClaimResends int
}

type oncePhase int

const (
	onceNew oncePhase = iota
	onceClaiming
	onceDispatched
	onceDone
)

// OnceOutput is one action that a OnceOnly requests.
type OnceOutput interface{ onceOutput() }

// SendClaim asks to send the claim. The result goes to Claimed or ClaimFailed.
type SendClaim struct{ AttemptID string }

// DispatchOnce asks to send the request to one back end. No byte may be written
// after Deadline. The result goes to Answered, Refused, NotSent or Broken.
type DispatchOnce struct {
	AttemptID string
	Deadline  time.Duration
}

// StoreAnswer asks to complete the claim with the answer of its execution.
type StoreAnswer struct {
	AttemptID string
	Status    int
	Body      []byte
}

// EndClaim asks to end the claim without an answer. NotRun is true if the request
// provably has not run and never will under this attempt, which releases the claim;
// otherwise its outcome is recorded as unknown.
type EndClaim struct {
	AttemptID string
	NotRun    bool
}

// AnswerOnce asks to send the caller the answer of the execution or, if Stored is
// set, the stored answer of an earlier one.
type AnswerOnce struct {
	Status int
	Body   []byte
	Stored bool
}

// RefuseOnce asks to send the caller a failure.
type RefuseOnce struct {
	Kind   failure.Kind
	Ran    failure.Ran
	Detail string
	// Retriable is set if the claim is released and a new attempt may be made
	// immediately.
	Retriable bool
}

func (SendClaim) onceOutput()    {}
func (DispatchOnce) onceOutput() {}
func (StoreAnswer) onceOutput()  {}
func (EndClaim) onceOutput()     {}
func (AnswerOnce) onceOutput()   {}
func (RefuseOnce) onceOutput()   {}

// NewOnceOnly returns the machine of a request that has not started.
func NewOnceOnly(parameters OnceOnlyParameters) *OnceOnly {
	return &OnceOnly{parameters: parameters}
}

// Done reports whether the claim has ended and the caller has been answered or has
// disconnected.
func (o *OnceOnly) Done() bool { return o.phase == onceDone }

// CallerAnswered reports whether the caller has its final answer or has
// disconnected.
func (o *OnceOnly) CallerAnswered() bool { return o.callerAnswered }

// Start starts the request with its claim.
func (o *OnceOnly) Start(now time.Duration) []OnceOutput {
	o.resetOutputs()
	if o.phase != onceNew {
		return o.outputs
	}
	o.phase = onceClaiming
	o.claimedAt = now
	o.emit(SendClaim{AttemptID: o.parameters.AttemptID})
	return o.outputs
}

// Claimed handles the reply to the claim.
func (o *OnceOnly) Claimed(now time.Duration, reply *wire.ClaimReply) []OnceOutput {
	o.resetOutputs()
	if o.phase != onceClaiming {
		return o.outputs
	}
	if reply.Status == wire.ClaimGranted {
		o.handleGrant(now, time.Duration(reply.DispatchMillis)*time.Millisecond)
		return o.outputs
	}
	o.phase = onceDone
	if reply.Status == wire.ClaimAnswered {
		o.answer(AnswerOnce{Status: reply.AnswerStatus, Body: reply.AnswerBody, Stored: true})
		return o.outputs
	}
	if o.mayBeClaimed && mayBeGrantedLater[reply.Status] {
		o.emit(EndClaim{AttemptID: o.parameters.AttemptID, NotRun: true})
	}
	refusal, found := claimRefusals[reply.Status]
	if !found {
		refusal = RefuseOnce{Kind: failure.Internal, Ran: failure.RanUnknown, Detail: "unknown claim status"}
	}
	o.refuse(refusal)
	return o.outputs
}

// claimRefusals are the failures for claims that were not granted. Ran is about the
// idempotency key: an earlier request with that key may have run.
var claimRefusals = map[wire.ClaimStatus]RefuseOnce{
	wire.ClaimInProgress: {Kind: failure.InProgress, Ran: failure.RanUnknown},
	wire.ClaimUnknown:    {Kind: failure.OutcomeUnknown, Ran: failure.RanUnknown},
	wire.ClaimReused:     {Kind: failure.IdempotencyKeyReused, Ran: failure.RanNo},
	wire.ClaimExpired:    {Kind: failure.IdempotencyKeyExpired, Ran: failure.RanUnknown},
	wire.ClaimFull:       {Kind: failure.QueueFull, Ran: failure.RanNo, Detail: "the table of once-only requests is full"},
	wire.ClaimInvalid:    {Kind: failure.IdempotencyKeyInvalid, Ran: failure.RanNo},
	wire.ClaimNotReady:   {Kind: failure.NotReady, Ran: failure.RanUnknown, Detail: "the gateway's session is not known to its controllers"},
	wire.ClaimReleased:   {Kind: failure.NotReady, Ran: failure.RanUnknown, Detail: "the claim had been given back"},
}

// mayBeGrantedLater are the replies after which an earlier copy of the claim that is
// still in flight could be granted, because the key may be free by then. Nothing
// would use that grant, so the claim is released.
var mayBeGrantedLater = map[wire.ClaimStatus]bool{
	wire.ClaimInProgress: true,
	wire.ClaimReused:     true,
	wire.ClaimFull:       true,
	wire.ClaimNotReady:   true,
}

// handleGrant dispatches the request, unless the caller has been answered or has
// disconnected, or the dispatch window has passed. The window starts when the claim
// was first sent.
func (o *OnceOnly) handleGrant(now, window time.Duration) {
	deadline := o.claimedAt + window
	if o.callerAnswered || now >= deadline {
		o.endNotRun(failure.DeadlineExceeded, "the time to dispatch had passed", false)
		return
	}
	o.phase = onceDispatched
	o.emit(DispatchOnce{AttemptID: o.parameters.AttemptID, Deadline: deadline})
}

// ClaimFailed handles a claim without a usable reply. delivered is false if the
// claim was certainly not committed.
func (o *OnceOnly) ClaimFailed(_ time.Duration, kind failure.Kind, delivered bool, detail string) []OnceOutput {
	o.resetOutputs()
	if o.phase != onceClaiming {
		return o.outputs
	}
	o.mayBeClaimed = o.mayBeClaimed || delivered
	if delivered && !o.callerAnswered && o.claimResends < o.parameters.ClaimResends {
		// The zone group grants a claim again to the same attempt id.
		o.claimResends++
		o.emit(SendClaim{AttemptID: o.parameters.AttemptID})
		return o.outputs
	}
	if o.mayBeClaimed {
		// Nothing was dispatched under this attempt, and nothing will be.
		o.emit(EndClaim{AttemptID: o.parameters.AttemptID, NotRun: true})
	}
	o.phase = onceDone
	// An earlier request under the same key may have run.
	o.refuse(RefuseOnce{Kind: kind, Ran: failure.RanUnknown, Detail: detail})
	return o.outputs
}

// HandedOver records that the first byte was written. From then on NotSent counts as
// an unknown outcome.
func (o *OnceOnly) HandedOver() {
	if o.phase == onceDispatched {
		o.handedOver = true
	}
}

// Answered handles the back end's answer; attemptID is the attempt that the answer
// names.
func (o *OnceOnly) Answered(_ time.Duration, attemptID string, status int, body []byte) []OnceOutput {
	o.resetOutputs()
	if o.phase != onceDispatched {
		return o.outputs
	}
	if attemptID != o.parameters.AttemptID {
		o.endUnknown("the answer was of another attempt")
		return o.outputs
	}
	o.phase = onceDone
	o.emit(StoreAnswer{AttemptID: attemptID, Status: status, Body: body})
	o.answer(AnswerOnce{Status: status, Body: body})
	return o.outputs
}

// Refused handles a back end's refusal, which proves that nothing ran if it names
// this attempt.
func (o *OnceOnly) Refused(_ time.Duration, attemptID, reason string) []OnceOutput {
	o.resetOutputs()
	if o.phase != onceDispatched {
		return o.outputs
	}
	if attemptID != o.parameters.AttemptID {
		o.endUnknown("the refusal was of another attempt")
		return o.outputs
	}
	o.endNotRun(failure.BackEndRefused, reason, true)
	return o.outputs
}

// NotSent handles a request of which no byte was written, because there is no back
// end (kind NoBackEnd) or none could be reached.
func (o *OnceOnly) NotSent(_ time.Duration, kind failure.Kind, detail string) []OnceOutput {
	o.resetOutputs()
	if o.phase != onceDispatched {
		return o.outputs
	}
	if o.handedOver {
		o.endUnknown(detail)
		return o.outputs
	}
	o.endNotRun(kind, detail, true)
	return o.outputs
}

// Broken handles a connection failure after bytes may have been written.
func (o *OnceOnly) Broken(_ time.Duration, detail string) []OnceOutput {
	o.resetOutputs()
	if o.phase == onceDispatched {
		o.endUnknown(detail)
	}
	return o.outputs
}

// CallerDisconnected records that the caller has disconnected. A request that has been
// dispatched continues, so that its answer is stored.
func (o *OnceOnly) CallerDisconnected(time.Duration) []OnceOutput {
	o.resetOutputs()
	o.callerAnswered = true
	return o.outputs
}

// Tick handles the passing of time: at the deadline the caller gets a failure.
func (o *OnceOnly) Tick(now time.Duration) []OnceOutput {
	o.resetOutputs()
	if o.phase == onceDone || o.parameters.Deadline <= 0 || now < o.parameters.Deadline {
		return o.outputs
	}
	o.refuse(RefuseOnce{Kind: failure.DeadlineExceeded, Ran: failure.RanUnknown, Detail: "the deadline passed"})
	return o.outputs
}

func (o *OnceOnly) resetOutputs() {
	clear(o.outputs)
	o.outputs = o.outputs[:0]
}

func (o *OnceOnly) emit(output OnceOutput) { o.outputs = append(o.outputs, output) }

// endNotRun ends the claim with proof that the request has not run.
func (o *OnceOnly) endNotRun(kind failure.Kind, detail string, retriable bool) {
	o.phase = onceDone
	o.emit(EndClaim{AttemptID: o.parameters.AttemptID, NotRun: true})
	o.refuse(RefuseOnce{Kind: kind, Ran: failure.RanNo, Detail: detail, Retriable: retriable})
}

// endUnknown ends the claim with an unknown outcome.
func (o *OnceOnly) endUnknown(detail string) {
	o.phase = onceDone
	o.emit(EndClaim{AttemptID: o.parameters.AttemptID, NotRun: false})
	o.refuse(RefuseOnce{Kind: failure.OutcomeUnknown, Ran: failure.RanUnknown, Detail: detail})
}

func (o *OnceOnly) answer(answer AnswerOnce) {
	if o.callerAnswered {
		return
	}
	o.callerAnswered = true
	o.emit(answer)
}

func (o *OnceOnly) refuse(refusal RefuseOnce) {
	if o.callerAnswered {
		return
	}
	o.callerAnswered = true
	o.emit(refusal)
}
