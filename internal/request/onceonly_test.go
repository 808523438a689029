package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/wire"
)

const onceAttempt = "a-1"

func newTestOnce() *OnceOnly {
	return NewOnceOnly(OnceOnlyParameters{AttemptID: onceAttempt, Deadline: 10 * time.Second, ClaimResends: 1})
}

func grantedReply() *wire.ClaimReply {
	return &wire.ClaimReply{Status: wire.ClaimGranted, DispatchMillis: 1000}
}

func TestOnceOnlyAnswers(t *testing.T) {
	dispatched := func(o *OnceOnly) {
		o.Start(0)
		o.Claimed(time.Millisecond, grantedReply())
	}
	cases := []struct {
		name  string
		steps func(o *OnceOnly) []OnceOutput
		want  []OnceOutput
	}{
		{"answered", func(o *OnceOnly) []OnceOutput {
			dispatched(o)
			return o.Answered(2, onceAttempt, 200, []byte("ok"))
		}, []OnceOutput{StoreAnswer{onceAttempt, 200, []byte("ok")}, AnswerOnce{Status: 200, Body: []byte("ok")}}},
		{"answer of another attempt", func(o *OnceOnly) []OnceOutput {
			dispatched(o)
			return o.Answered(2, "a-0", 200, nil)
		}, []OnceOutput{EndClaim{onceAttempt, false},
			RefuseOnce{Kind: failure.OutcomeUnknown, Ran: failure.RanUnknown, Detail: "the answer was of another attempt"}}},
		{"refused with proof", func(o *OnceOnly) []OnceOutput {
			dispatched(o)
			o.HandedOver()
			return o.Refused(2, onceAttempt, "leaving")
		}, []OnceOutput{EndClaim{onceAttempt, true},
			RefuseOnce{Kind: failure.BackEndRefused, Ran: failure.RanNo, Detail: "leaving", Retriable: true}}},
		{"not sent, but handed over before", func(o *OnceOnly) []OnceOutput {
			dispatched(o)
			o.HandedOver()
			return o.NotSent(2, failure.NoBackEnd, "odd")
		}, []OnceOutput{EndClaim{onceAttempt, false},
			RefuseOnce{Kind: failure.OutcomeUnknown, Ran: failure.RanUnknown, Detail: "odd"}}},
		{"in progress, after a claim that may still be in flight", func(o *OnceOnly) []OnceOutput {
			o.Start(0)
			o.ClaimFailed(1, failure.NoQuorum, true, "timeout")
			return o.Claimed(2, &wire.ClaimReply{Status: wire.ClaimInProgress})
		}, []OnceOutput{EndClaim{onceAttempt, true},
			RefuseOnce{Kind: failure.InProgress, Ran: failure.RanUnknown}}},
		{"in progress, without another claim in flight", func(o *OnceOnly) []OnceOutput {
			o.Start(0)
			return o.Claimed(2, &wire.ClaimReply{Status: wire.ClaimInProgress})
		}, []OnceOutput{RefuseOnce{Kind: failure.InProgress, Ran: failure.RanUnknown}}},
		{"broken", func(o *OnceOnly) []OnceOutput {
			dispatched(o)
			return o.Broken(2, "reset")
		}, []OnceOutput{EndClaim{onceAttempt, false},
			RefuseOnce{Kind: failure.OutcomeUnknown, Ran: failure.RanUnknown, Detail: "reset"}}},
		{"granted too late", func(o *OnceOnly) []OnceOutput {
			o.Start(0)
			return o.Claimed(time.Second, grantedReply())
		}, []OnceOutput{EndClaim{onceAttempt, true},
			RefuseOnce{Kind: failure.DeadlineExceeded, Ran: failure.RanNo, Detail: "the time to dispatch had passed"}}},
		{"granted after the caller disconnected", func(o *OnceOnly) []OnceOutput {
			o.Start(0)
			o.CallerDisconnected(1)
			return o.Claimed(2, grantedReply())
		}, []OnceOutput{EndClaim{onceAttempt, true}}},
		{"the claim is lost twice", func(o *OnceOnly) []OnceOutput {
			o.Start(0)
			require.Equal(t, []OnceOutput{SendClaim{onceAttempt}}, o.ClaimFailed(1, failure.NoQuorum, true, "timeout"))
			return o.ClaimFailed(2, failure.NoQuorum, true, "timeout")
		}, []OnceOutput{EndClaim{onceAttempt, true},
			RefuseOnce{Kind: failure.NoQuorum, Ran: failure.RanUnknown, Detail: "timeout"}}},
		{"the deadline passes while it runs", func(o *OnceOnly) []OnceOutput {
			dispatched(o)
			return o.Tick(10 * time.Second)
		}, []OnceOutput{RefuseOnce{Kind: failure.DeadlineExceeded, Ran: failure.RanUnknown, Detail: "the deadline passed"}}},
		{"answered after the deadline", func(o *OnceOnly) []OnceOutput {
			dispatched(o)
			o.Tick(10 * time.Second)
			return o.Answered(11*time.Second, onceAttempt, 200, nil)
		}, []OnceOutput{StoreAnswer{onceAttempt, 200, nil}}},
		{"stored", func(o *OnceOnly) []OnceOutput {
			o.Start(0)
			return o.Claimed(1, &wire.ClaimReply{Status: wire.ClaimAnswered, AnswerStatus: 201, AnswerBody: []byte("x")})
		}, []OnceOutput{AnswerOnce{Status: 201, Body: []byte("x"), Stored: true}}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			require.Equal(t, each.want, each.steps(newTestOnce()))
		})
	}
}

// For any sequence of events there is at most one dispatch, within the window, at
// most one answer to the caller and one end of the claim, and "not run" only if
// nothing was handed over or the back end refused this attempt.
func TestOnceOnlyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once := newTestOnce()
		now := time.Duration(0)
		dispatches, callerAnswers, ends := 0, 0, 0
		handedOver, refusedWithProof, granted := false, false, false
		check := func(outputs []OnceOutput) {
			for _, output := range outputs {
				switch output := output.(type) {
				case DispatchOnce:
					dispatches++
					require.True(t, granted, "dispatched without a grant")
					require.Less(t, now, output.Deadline)
				case AnswerOnce:
					callerAnswers++
				case RefuseOnce:
					callerAnswers++
					if output.Ran == failure.RanNo && dispatches > 0 {
						require.True(t, !handedOver || refusedWithProof, "reported as not run, but it may have run")
					}
				case EndClaim:
					ends++
					if output.NotRun {
						require.True(t, !handedOver || refusedWithProof, "released as not run, but it may have run")
					}
				case StoreAnswer:
					ends++
				}
			}
		}
		statuses := []wire.ClaimStatus{wire.ClaimGranted, wire.ClaimGranted, wire.ClaimInProgress, wire.ClaimAnswered, wire.ClaimUnknown}
		ids := []string{onceAttempt, onceAttempt, "a-0"}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "wait")) * time.Millisecond
			switch rapid.IntRange(0, 8).Draw(t, "input") {
			case 0:
				check(once.Start(now))
			case 1:
				status := rapid.SampledFrom(statuses).Draw(t, "status")
				granted = granted || status == wire.ClaimGranted
				check(once.Claimed(now, &wire.ClaimReply{Status: status, DispatchMillis: 1000}))
			case 2:
				check(once.ClaimFailed(now, failure.NoQuorum, rapid.Bool().Draw(t, "delivered"), ""))
			case 3:
				handedOver = handedOver || dispatches > 0
				once.HandedOver()
			case 4:
				check(once.Answered(now, rapid.SampledFrom(ids).Draw(t, "id"), 200, nil))
			case 5:
				id := rapid.SampledFrom(ids).Draw(t, "id")
				refusedWithProof = refusedWithProof || id == onceAttempt
				check(once.Refused(now, id, ""))
			case 6:
				check(once.NotSent(now, failure.NoBackEnd, ""))
			case 7:
				check(once.Broken(now, ""))
			case 8:
				check(once.CallerDisconnected(now))
			}
			check(once.Tick(now))
		}
		require.LessOrEqual(t, dispatches, 1)
		require.LessOrEqual(t, callerAnswers, 1)
		require.LessOrEqual(t, ends, 1)
	})
}
