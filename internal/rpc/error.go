package rpc

import (
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/wire"
)

type contextKey int

const (
	keyNotDelivered contextKey = iota
	keyAnswered
	keyLeaderAddress
)

// notDelivered returns the error of a call that never left this process.
func notDelivered(cause error) error {
	return failure.Wrap(cause, failure.NotReady, merry.WithValue(keyNotDelivered, true))
}

// outcomeUnknown returns the error of a call that may have been executed.
func outcomeUnknown(cause error) error {
	return failure.Wrap(cause, failure.OutcomeUnknown)
}

// NotDelivered reports whether the call certainly did not reach its callee.
func NotDelivered(err error) bool {
	marked, _ := merry.Value(err, keyNotDelivered).(bool)
	return marked
}

// Answered reports whether the callee itself answered with this error, so that
// its kind was set by the callee.
func Answered(err error) bool {
	marked, _ := merry.Value(err, keyAnswered).(bool)
	return marked
}

// LeaderAddress returns the leader's address if a callee that is not the leader
// has reported it, and an empty string otherwise.
func LeaderAddress(err error) string {
	address, _ := merry.Value(err, keyLeaderAddress).(string)
	return address
}

// NotLeader returns the error with which a follower rejects a call. The address
// may be empty.
func NotLeader(leaderAddress string) error {
	return failure.New(failure.NotLeader, "this controller does not lead its group",
		merry.WithValue(keyLeaderAddress, leaderAddress))
}

// replyFor encodes an error for the wire.
func replyFor(err error) (int, *wire.ErrorReply) {
	answer := failure.AnswerFor(err)
	return answer.Status, &wire.ErrorReply{
		Kind:          string(answer.Kind),
		Message:       answer.Message,
		Ran:           string(answer.Ran),
		LeaderAddress: LeaderAddress(err),
	}
}

// errorFromReply turns the body of a failed call into an error. A body that
// can't be decoded, for example one from a proxy in between, proves nothing
// about the callee.
func errorFromReply(status int, body []byte) error {
	var reply wire.ErrorReply
	if _, err := reply.UnmarshalMsg(body); err != nil {
		return outcomeUnknown(fmt.Errorf("HTTP status %d without a readable error: %w", status, err))
	}
	kind := failure.Kind(reply.Kind)
	if failure.Lookup(kind).Kind != kind {
		kind = failure.Internal
	}
	return failure.New(kind, reply.Message,
		failure.WithRan(failure.Ran(reply.Ran)),
		merry.WithValue(keyAnswered, true),
		merry.WithValue(keyLeaderAddress, reply.LeaderAddress))
}
