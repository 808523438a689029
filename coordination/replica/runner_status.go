package replica

import (
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// Status returns the replica's view of itself and its group.
func (r *Runner) Status() Status { return *r.status.Load() }

// LeadershipChanges returns a channel that holds the latest leadership change; a
// change that has not been received is replaced by the next one.
func (r *Runner) LeadershipChanges() <-chan LeadershipChange { return r.leadershipChanges }

// Log messages.
const (
	LogVoteCast      = "vote cast"
	LogSnapshotTaken = "snapshot taken"
	LogWriteRefused  = "disk refuses writes"
	LogWriteAccepted = "disk takes writes again"
	LogRemoved       = "removed from the group"
	LogTakenBack     = "a leader is heard again after the removal"
)

// logProgress compares two successive statuses and logs a change of term or vote, a
// new snapshot, and the start or end of a stall.
func (r *Runner) logProgress(before, status *Status) {
	if before == nil {
		return
	}
	if status.Term != before.Term || status.Vote != before.Vote {
		r.config.Logger.Info(LogVoteCast, "group", r.config.Group, "term", status.Term,
			"candidate", fmt.Sprintf("%x", uint64(status.Vote)), "commit", status.CommitIndex, "last", status.LastIndex)
	}
	if status.Stalled != nil && before.Stalled == nil {
		r.config.Logger.Error(status.Stalled, LogWriteRefused, "group", r.config.Group, "commit", status.CommitIndex, "last", status.LastIndex)
	}
	if status.Stalled == nil && before.Stalled != nil {
		r.config.Logger.Info(LogWriteAccepted, "group", r.config.Group, "commit", status.CommitIndex, "last", status.LastIndex)
	}
	if status.RemovedAt != 0 && before.RemovedAt == 0 {
		r.config.Logger.Info(LogRemoved, "group", r.config.Group, "index", status.RemovedAt, "commit", status.CommitIndex,
			"leader", fmt.Sprintf("%x", uint64(status.Leader)), "leader_silent_ms", status.LeaderSilence.Milliseconds())
	}
	if status.RemovedAt == 0 && before.RemovedAt != 0 {
		r.config.Logger.Info(LogTakenBack, "group", r.config.Group, "commit", status.CommitIndex,
			"leader", fmt.Sprintf("%x", uint64(status.Leader)))
	}
	if status.SnapshotIndex != before.SnapshotIndex {
		r.config.Logger.Info(LogSnapshotTaken, "group", r.config.Group, "index", status.SnapshotIndex, "applied", status.AppliedIndex)
	}
}

func (r *Runner) publishStatus() {
	status := r.node.Status()
	r.logProgress(r.status.Swap(&status), &status)
	change := LeadershipChange{
		Leader: status.Leader,
		Term:   status.Term,
		IsSelf: status.Role == consensus.RoleLeader,
	}
	for _, member := range status.Members {
		if member.ID == status.Leader {
			change.Address = member.Address
		}
	}
	if change == r.lastLeader {
		return
	}
	r.lastLeader = change
	r.config.Logger.V(1).Info("leadership changed", "group", r.config.Group, "term", change.Term,
		"leader", fmt.Sprintf("%x", uint64(change.Leader)), "self", change.IsSelf)
	r.publishLeadershipChange(change)
}

// publishLeadershipChange sends the change to the channel, replacing one that has
// not been received.
func (r *Runner) publishLeadershipChange(change LeadershipChange) {
	select {
	case <-r.leadershipChanges:
	default:
	}
	r.leadershipChanges <- change
}
