package replica

import (
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// Status returns the replica's view of itself and its group.
func (r *Runner) Status() Status { return *r.status.Load() }

// LeadershipChanges returns a channel that holds the latest change of the
// leader; a change that was not read is replaced by the next.
func (r *Runner) LeadershipChanges() <-chan LeadershipChange { return r.changes }

// Messages of log lines.
const (
	LogVoteCast      = "vote cast"
	LogSnapshotTaken = "snapshot taken"
	LogWriteRefused  = "disk refuses writes"
	LogWriteAccepted = "disk takes writes again"
)

// logProgress writes a line for each vote, each snapshot and each stall since a
// status.
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
	r.announce(change)
}

// announce puts the change into the channel in place of an unread one.
func (r *Runner) announce(change LeadershipChange) {
	select {
	case <-r.changes:
	default:
	}
	r.changes <- change
}
