// Package crossing decides whether a request, or the KV cache of a prompt, leaves its region. It has no
// state or side effects: callers estimate what the replicas on each side of the border offer.
package crossing

import "time"

// Outcome is the expected result of placing a request, from best to worst.
type Outcome uint8

// Outcomes.
const (
	// InTime means that the request is expected to be served within its objective.
	InTime Outcome = iota
	// Late means that the request is expected to be served after its objective.
	Late
	// AtCapacity means that there are replicas for the request, but all are full.
	AtCapacity
	// NoReplica means that there is no replica for the request.
	NoReplica
)

// Offer is the best that the replicas on one side of a region's border offer for a request.
type Offer struct {
	Outcome Outcome
	// ServiceTime is the time until the request is served there, including the network paths. It only
	// matters for offers that are InTime.
	ServiceTime time.Duration
}

// Reason is why a request leaves its region.
type Reason string

// Reasons.
const (
	// Local means that the request doesn't leave its region.
	Local Reason = ""
	// NoReplicaInRegion means that its region has no replica for such a request.
	NoReplicaInRegion Reason = "no_place"
	// NoReplicaForStage means that its region lacks the replicas of a stage, so that all regions were
	// compared. It is set by callers that compared all regions, not by LeaveReason.
	NoReplicaForStage Reason = "no_stage"
	// NoCapacity means that all replicas of its region are full.
	NoCapacity Reason = "no_room"
	// MissesObjective means that its region would serve it late.
	MissesObjective Reason = "misses_objective"
	// Faster means that its region would serve it in time, but another one far sooner.
	Faster Reason = "faster"
)

// minimumSavingShare is the share of the objective that leaving has to save if both sides serve in
// time. The request's bytes cross the border, and so do those of each request that it displaces
// there. The threshold also keeps regions from sending each other work because of errors in the
// estimates.
const minimumSavingShare = 0.25

// StaysLocal reports whether an offer of the request's own region is good enough that the other side
// needn't be considered: it is in time, and so soon that no other one can save minimumSavingShare.
func StaysLocal(inside Offer, objective time.Duration) bool {
	return inside.Outcome == InTime && inside.ServiceTime <= minimumSaving(objective)
}

// LeaveReason returns why a request with an objective leaves its region, Local if it doesn't. It leaves
// for a better outcome, or to be served far sooner. Apart from the latter, only requests that the
// region can't serve in time leave, and they stay again once it can.
func LeaveReason(inside, outside Offer, objective time.Duration) Reason {
	switch {
	case inside.Outcome == InTime && outside.Outcome == InTime:
		if inside.ServiceTime-outside.ServiceTime > minimumSaving(objective) {
			return Faster
		}
		return Local
	case outside.Outcome >= inside.Outcome:
		return Local
	case inside.Outcome == NoReplica:
		return NoReplicaInRegion
	case inside.Outcome == AtCapacity:
		return NoCapacity
	default:
		return MissesObjective
	}
}

func minimumSaving(objective time.Duration) time.Duration {
	return time.Duration(minimumSavingShare * float64(objective))
}

// String names an outcome for logs.
func (o Outcome) String() string {
	switch o {
	case InTime:
		return "in_time"
	case Late:
		return "late"
	case AtCapacity:
		return "full"
	default:
		return "nowhere"
	}
}
