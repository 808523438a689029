package session

import (
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// Config describes the gateway and the timing of its calls.
type Config struct {
	GatewayID string
	// Incarnation is drawn at random at each start of the process.
	Incarnation uint64
	Address     string
	PeerAddress string
	// CallTimeout bounds the calls other than the watch. Default 2 s.
	CallTimeout time.Duration
	// RetryDelay is the mean wait after a failed call. Default 250 ms.
	RetryDelay time.Duration
	// WatchWait is how long the controller may hold a watch. Default 10 s.
	WatchWait time.Duration
	// Random adds jitter to the retry delays.
	Random *rand.Rand
}

const (
	defaultCallTimeout = 2 * time.Second
	defaultRetryDelay  = 250 * time.Millisecond
	defaultWatchWait   = 10 * time.Second
)

func (c Config) withDefaults() Config {
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = defaultRetryDelay
	}
	if c.WatchWait == 0 {
		c.WatchWait = defaultWatchWait
	}
	return c
}

// Call is a call to make to the zone group's leader. Exactly one of the requests
// is set. The caller ends each call by Opened, HeartbeatAnswered, WatchAnswered
// or Failed.
type Call struct {
	// Number identifies the call to the method that ends it.
	Number uint64
	// Timeout is how long to wait for the reply.
	Timeout time.Duration
	Open    *wire.OpenSessionRequest
	// The caller fills in the heartbeat's demand, usage and engines.
	Heartbeat *wire.HeartbeatRequest
	Watch     *wire.WatchRequest
}

// Session is the state machine. It is not safe for concurrent use. All times are
// those of the process's monotonic clock.
type Session struct {
	config  Config
	lease   membership.Lease
	id      uint64
	ticket  uint64
	terms   wire.Terms
	merged  MergedView
	leaving bool
	// confirmations are the targets' own statements to this gateway on whether
	// they accept new work.
	confirmations map[Target]confirmation
	// unheard are the ids of the targets that had not answered the leader
	// lately, as of the last heartbeat reply.
	unheard map[string]struct{}

	nextNumber uint64
	open       callState
	heartbeat  callState
	watch      callState
}

// callState is the state of one kind of call, of which at most one is in
// flight.
type callState struct {
	number   uint64
	sentAt   time.Duration
	inFlight bool
	// due is the earliest time of the next call.
	due time.Duration
}

func (s *callState) finish(number uint64) bool {
	if !s.inFlight || s.number != number {
		return false
	}
	s.inFlight = false
	return true
}

// New returns the state machine of a gateway without a session.
func New(config Config) *Session {
	return &Session{
		config:        config.withDefaults(),
		merged:        newMergedView(),
		confirmations: make(map[Target]confirmation),
		unheard:       make(map[string]struct{}),
	}
}

// ID returns the open session's id, 0 for none.
func (s *Session) ID() uint64 { return s.id }

// MergedView returns the newest merged view. The caller must not change it.
func (s *Session) MergedView() *MergedView { return &s.merged }

// SetLeaving has the next heartbeat announce the gateway's planned stop.
func (s *Session) SetLeaving() { s.leaving = true }

// Tick returns the calls that are due.
func (s *Session) Tick(now time.Duration) []Call {
	if s.id == 0 {
		return s.tickOpen(now)
	}
	var calls []Call
	if s.heartbeat.isDue(now, s.config.CallTimeout) {
		calls = append(calls, s.startHeartbeat(now))
	}
	if s.watch.isDue(now, s.config.WatchWait+s.config.CallTimeout) {
		calls = append(calls, s.startWatch(now))
	}
	return calls
}

// isDue reports whether a call is to be started. A call in flight that was
// never ended is abandoned after its timeout.
func (s *callState) isDue(now, timeout time.Duration) bool {
	if s.inFlight && now-s.sentAt < timeout {
		return false
	}
	return now >= s.due
}

func (s *Session) startCall(now time.Duration, started *callState) uint64 {
	s.nextNumber++
	started.number = s.nextNumber
	started.sentAt = now
	started.inFlight = true
	return started.number
}

func (s *Session) tickOpen(now time.Duration) []Call {
	if !s.open.isDue(now, s.config.CallTimeout) {
		return nil
	}
	return []Call{{
		Number:  s.startCall(now, &s.open),
		Timeout: s.config.CallTimeout,
		Open: &wire.OpenSessionRequest{
			GatewayID:   s.config.GatewayID,
			Ticket:      s.ticket,
			Incarnation: s.config.Incarnation,
			Address:     s.config.Address,
			PeerAddress: s.config.PeerAddress,
		},
	}}
}

func (s *Session) startHeartbeat(now time.Duration) Call {
	s.heartbeat.due = now + time.Duration(s.terms.HeartbeatMillis)*time.Millisecond
	return Call{
		Number:  s.startCall(now, &s.heartbeat),
		Timeout: s.config.CallTimeout,
		Heartbeat: &wire.HeartbeatRequest{
			GatewayID:       s.config.GatewayID,
			SessionID:       s.id,
			AppliedRevision: s.merged.Revision,
			ConfigRevision:  s.merged.ConfigRevision(),
			Leaving:         s.leaving,
		},
	}
}

func (s *Session) startWatch(now time.Duration) Call {
	return Call{
		Number:  s.startCall(now, &s.watch),
		Timeout: s.config.WatchWait + s.config.CallTimeout,
		Watch: &wire.WatchRequest{
			GatewayID:      s.config.GatewayID,
			SessionID:      s.id,
			Revision:       s.merged.Revision,
			ConfigRevision: s.merged.knownConfig(),
			WaitMillis:     s.config.WatchWait.Milliseconds(),
		},
	}
}

// Opened handles the reply to an open call: the first reply brings the ticket,
// the second the session.
func (s *Session) Opened(now time.Duration, number uint64, reply *wire.OpenSessionReply) {
	sentAt := s.open.sentAt
	if s.id != 0 || !s.open.finish(number) {
		return
	}
	s.open.due = now
	if reply.SessionID == 0 {
		s.ticket = reply.Ticket
		return
	}
	if !s.merged.apply(&reply.View, reply.SessionID) {
		s.ticket = 0
		s.open.due = now + s.retryDelay()
		return
	}
	s.id = reply.SessionID
	s.ticket = 0
	s.terms = reply.Terms
	s.lease.Begin(sentAt, membership.Terms(reply.Terms), s.merged.Revision)
	s.heartbeat = callState{due: sentAt + time.Duration(reply.Terms.HeartbeatMillis)*time.Millisecond}
	s.watch = callState{due: now}
}

// HeartbeatAnswered handles the reply to a heartbeat.
func (s *Session) HeartbeatAnswered(now time.Duration, number uint64, reply *wire.HeartbeatReply) {
	sentAt := s.heartbeat.sentAt
	if s.id == 0 || !s.heartbeat.finish(number) {
		return
	}
	if !reply.Known {
		s.end(now)
		return
	}
	if reply.View != nil {
		s.applyView(now, reply.View)
	}
	s.setUnheard(reply.Unheard)
	s.lease.HeartbeatAnswered(sentAt, reply.Revision)
}

// WatchAnswered handles the reply to a watch.
func (s *Session) WatchAnswered(now time.Duration, number uint64, reply *wire.WatchReply) {
	if s.id == 0 || !s.watch.finish(number) {
		return
	}
	s.watch.due = now
	s.applyView(now, &reply.View)
}

// applyView applies a view and has a newer one acknowledged by an immediate
// heartbeat.
func (s *Session) applyView(now time.Duration, view *wire.View) {
	before := s.merged.Revision
	if !s.merged.apply(view, s.id) {
		return
	}
	s.lease.ViewApplied(s.merged.Revision)
	if s.merged.Revision > before {
		s.heartbeat.due = now
	}
}

// Failed ends a call that got no usable reply, and schedules its retry.
func (s *Session) Failed(now time.Duration, number uint64) {
	retryAt := now + s.retryDelay()
	switch {
	case s.open.finish(number):
		s.ticket = 0
		s.open.due = retryAt
	case s.heartbeat.finish(number):
		s.heartbeat.due = retryAt
	case s.watch.finish(number):
		s.watch.due = retryAt
	}
}

func (s *Session) retryDelay() time.Duration {
	half := s.config.RetryDelay / 2
	return half + time.Duration(s.config.Random.Int64N(int64(s.config.RetryDelay)))
}

// end ends the session at once: the zone group may rely on no dispatch under it
// any more.
func (s *Session) end(now time.Duration) {
	s.lease.End()
	s.id = 0
	s.ticket = 0
	s.open = callState{due: now}
	s.heartbeat = callState{}
	s.watch = callState{}
}

// Close ends the session for a planned stop and returns the request that
// reports this to the zone group, nil if there is no session. Nothing may be
// dispatched afterwards.
func (s *Session) Close(now time.Duration) *wire.CloseSessionRequest {
	if s.id == 0 {
		return nil
	}
	request := &wire.CloseSessionRequest{GatewayID: s.config.GatewayID, SessionID: s.id}
	s.end(now)
	s.open.due = never
	return request
}

// never is later than any time.
const never = time.Duration(1<<63 - 1)
