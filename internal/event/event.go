// Package event is the closed list of the events that the processes of a region
// write to their logs. docs/OPERATIONS.md has a table of them with the fields of
// each, which a test holds against this list.
package event

import "github.com/pierhaven/pierhaven/coordination/replica"

// Event is the message of a log line.
type Event = string

// Events.
const (
	// Start: a process starts.
	Start Event = "start"
	// Stop: a process has ended.
	Stop Event = "stop"
	// Reload: the settings file was read again on a hangup.
	Reload Event = "reload"
	// SettingsUnreadable: a changed settings file is not taken over.
	SettingsUnreadable Event = "settings can't be read again"
	// Ready: callers may come here.
	Ready Event = "ready"
	// NotReady: callers should not come here any more.
	NotReady Event = "not ready"
	// Stopped: all requests in flight are answered, or the time for it is over.
	Stopped Event = "stopped"
	// RequestTaken: a route and a part of its split were chosen.
	RequestTaken Event = "request taken"
	// RequestSent: a replica was chosen.
	RequestSent Event = "request sent"
	// PromptRead: a prompt was read by a replica that does not generate.
	PromptRead Event = "prompt read apart"
	// AttemptEnded: a send did not lead to the answer.
	AttemptEnded Event = "attempt ended"
	// ReplicaLost: the connection to a replica has broken under a request.
	ReplicaLost Event = "replica lost under a request"
	// RequestAnswered: the caller has its whole answer.
	RequestAnswered Event = "request answered"
	// RequestRefused: the caller got a failure of the gateway.
	RequestRefused Event = "request refused"
	// FailureHandedOn: the caller got a failure of a replica.
	FailureHandedOn Event = "replica's failure handed on"
	// StreamContinued: a stream goes on behind its last whole event.
	StreamContinued Event = "stream continued"
	// StreamMoved: a replica that leaves was asked to stop a stream, which goes on elsewhere.
	StreamMoved Event = "stream moved"
	// MoveFailed: a stream's memory could not be copied to another replica.
	MoveFailed Event = "stream not moved"
	// StreamBrokenOff: a stream ended before its end.
	StreamBrokenOff Event = "stream broken off"
	// CallerGone: the caller left before its answer.
	CallerGone Event = "caller gone"
	// HandleNotFreed: the memory of a prompt may stay until it lapses.
	HandleNotFreed Event = "handle not freed"
	// ConfigurationReceived: an operator's configuration was handled.
	ConfigurationReceived Event = "configuration received"
	// ConfigurationRefused: an operator's configuration is invalid.
	ConfigurationRefused Event = "configuration refused"
	// ConfigurationApplied: a gateway has a configuration in force.
	ConfigurationApplied Event = "configuration applied"
	// ViewFreshness: a gateway's view became fresh or old.
	ViewFreshness Event = "view's freshness changed"
	// CopyFreshness: a coordinator's copy became fresh or old.
	CopyFreshness Event = "copy's freshness changed"
	// ListTaken: a gateway has a new list.
	ListTaken Event = "list of replicas taken over"
	// ListTakenDirectly: a gateway without a fresh view asked the platform's list.
	ListTakenDirectly Event = "list of replicas taken from the platform"
	// ListUnreadable: the platform's list did not answer a gateway.
	ListUnreadable Event = "list of replicas can't be read"
	// ListEntriesUnusable: entries of the platform's list name no replica, others than before.
	ListEntriesUnusable Event = "entries of the list name no replica"
	// ListReachable: the platform's list was lost or regained by the leader.
	ListReachable Event = "list of replicas"
	// ReplicaListed: a replica has come or changed.
	ReplicaListed Event = "replica listed"
	// ReplicaRestarted: a replica has started again under its id; nothing that was known of it holds.
	ReplicaRestarted Event = "replica started again"
	// ReplicaGone: a replica has gone.
	ReplicaGone Event = "replica gone from the list"
	// ListChanged: so many replicas have come, gone or changed at once that not each has a line.
	ListChanged Event = "list of replicas changed"
	// ListDoubted: most replicas are missing from the list at once; they are kept for now.
	ListDoubted Event = "list of replicas doubted"
	// ReplicaActivity: replicas take work from now on, or stand by.
	ReplicaActivity Event = "replicas activated"
	// ReplicaActivityLost: such a change was not committed; it is made again if it still is due.
	ReplicaActivityLost Event = "activation not committed"
	// ReplicaAvoided: a replica gets no requests for a time.
	ReplicaAvoided Event = "replica avoided"
	// ReplicaBack: a replica that had not been reached answers again.
	ReplicaBack Event = "replica back"
	// LimitNamed: a replica names another limit of requests than before, or none any more.
	LimitNamed Event = "replica's limit"
	// RestAsked: a replica, or the platform, has turned a call away, and asks this process to be left alone for a time.
	RestAsked Event = "rest asked for"
	// RestUnreadable: one has turned a call away and names a time that can't be read.
	RestUnreadable Event = "rest unreadable"
	// LeavingSaid: a replica says in an answer that it leaves.
	LeavingSaid Event = "replica says that it leaves"
	// LeavingUntold: that a replica says it leaves could not be told to a coordinator; it is told again.
	LeavingUntold Event = "leaving was not told"
	// LimitUnreadable: a replica names a limit that can't be read; what was known of it stays.
	LimitUnreadable Event = "replica's limit unreadable"
	// MessageUnreadable: a message of another process can't be read.
	MessageUnreadable Event = "message unreadable"
	// LimitDenied: a replica's limit leaves no room for a request, which goes to another one or is refused.
	LimitDenied Event = "no room under a replica's limit"
	// PrefixesLearned: a replica told what it keeps.
	PrefixesLearned Event = "kept prefixes learned"
	// PrefixesUnknown: a replica did not tell what it keeps.
	PrefixesUnknown Event = "kept prefixes unknown"
	// PeersUnreachable: load is not shared with other processes.
	PeersUnreachable Event = "peers can't be told"
	// PlacementBy: a gateway has another coordinator choose replicas, or none.
	PlacementBy Event = "placement by another coordinator"
	// PlacementSilent: the coordinator did not answer a question in time.
	PlacementSilent Event = "coordinator silent on a placement"
	// PlacementForgotten: the coordinator has restarted, and is told what is open.
	PlacementForgotten Event = "coordinator has forgotten its leases"
	// PlacementRefused: a coordinator does not take a gateway's question.
	PlacementRefused Event = "placement refused"
	// RegionLeft: a request was given to a replica of another region.
	RegionLeft Event = "region left"
	// RegionWord: a coordinator hears of another region's work again, or no more.
	RegionWord Event = "word of a region"
	// PlacementBegun: a coordinator begins to choose replicas for gateways.
	PlacementBegun Event = "placement begun"
	// LeaderChanged: this coordinator follows another leader, or leads.
	LeaderChanged Event = "leader changed"
	// VoteCast: this coordinator has voted in an election, or has begun a term
	// without a vote.
	VoteCast Event = replica.LogVoteCast
	// SnapshotTaken: the log up to a position is replaced by the state.
	SnapshotTaken Event = replica.LogSnapshotTaken
	// WriteRefused: the disk of a process takes no writes, so that its replica stands
	// still until WriteAccepted.
	WriteRefused  Event = replica.LogWriteRefused
	WriteAccepted Event = replica.LogWriteAccepted
	// LeadershipHandedOver: a leader stops by plan.
	LeadershipHandedOver Event = "handed leadership over"
	// GroupFounded: the seeds have founded the group.
	GroupFounded Event = "founded group"
	// FoundingUntold: a founder learns of the group from its leader.
	FoundingUntold Event = "founding was not told"
	// FoundingRetried: a founder is missing.
	FoundingRetried Event = "group is not founded yet"
	// JoinAsked: this coordinator is no member yet.
	JoinAsked Event = "asked to join the group"
	// ReplicaJoins: the leader has taken a coordinator in, without a vote.
	ReplicaJoins Event = "replica joins"
	// MembershipChanged: the leader has changed the voters.
	MembershipChanged Event = "membership change"
	// DataUnusable: the replica takes no part until its folder is replaced.
	DataUnusable Event = "data folder can't be used"
	// BatchFailed: messages to a coordinator were lost.
	BatchFailed Event = "consensus batch failed"
	// OrdersBegin: a new leader may make the calls of a duty, from a time on.
	OrdersBegin Event = "orders may begin"
	// PolicyInForce: a policy's file was read.
	PolicyInForce Event = "policy in force"
	// PolicyRefused: a changed policy is not valid; the one before stays.
	PolicyRefused Event = "policy refused"
	// UsageFixed: the counts of a window of usage were fixed.
	UsageFixed Event = "usage fixed"
	// UsageReported: a window's usage was reported to the platform.
	UsageReported Event = "usage reported"
	// UsageEndLost: the platform has taken a window's usage, which could not be noted.
	UsageEndLost Event = "end of usage report not noted"
	// UsageIgnored: a gateway has told counts that can't be true.
	UsageIgnored Event = "usage ignored"
	// UsageSkipped: windows lie so far back that nobody waits for them.
	UsageSkipped Event = "usage skipped"
	// FleetOrdered: a number of replicas was ordered.
	FleetOrdered Event = "fleet ordered"
	// FleetTermsIgnored: what the configuration says of a service's number can't be.
	FleetTermsIgnored Event = "fleet terms ignored"
	// RequestHeld: a request that ends replicas is sent to none any more.
	RequestHeld Event = "request held"
	// RequestHeldHere: a gateway that reaches no coordinator holds a request by its own evidence.
	RequestHeldHere Event = "request held by one gateway"
	// RequestReleased: an operator has let a request go that was held.
	RequestReleased Event = "request released"
	// PoisonDropped: evidence against requests was given up for lack of room.
	PoisonDropped Event = "evidence dropped"
	// PoisonForgotten: evidence and holds have lapsed.
	PoisonForgotten Event = "evidence lapsed"
	// PoisonUntold: a gateway's evidence was not taken by a coordinator; it is told again.
	PoisonUntold Event = "evidence not told"
	// QuotaLimits: a configuration's limits of tenants are in force at a coordinator.
	QuotaLimits Event = "quota limits applied"
	// QuotaMode: a coordinator counts more or fewer parts of the tenants' limits than before.
	QuotaMode Event = "quota parts changed"
	// QuotaSilent: a coordinator has not answered whether a tenant's request may run.
	QuotaSilent Event = "quota not answered"
	// QuotaLocal: a gateway that reaches no coordinator decides by its own part of the tolerance.
	QuotaLocal Event = "quota decided by one gateway"
	// QuotaStatusHere: an operator is told what one coordinator counts alone.
	QuotaStatusHere Event = "quota leader not reached"
	// DutyUnknown: the platform asks for calls that this version does not know.
	DutyUnknown Event = "duty unknown"
	// Order: an order was given to a replica.
	Order Event = "order"
	// ChangeStuck: the list has not shown an ordered stage in time.
	ChangeStuck Event = "stage change has not ended"
	// ChangeEndLost: the end of a stage change is tried again.
	ChangeEndLost Event = "end of a stage change not committed"
)

// All lists the events.
func All() []Event {
	return []Event{
		Start,
		Stop,
		Reload,
		SettingsUnreadable,
		Ready,
		NotReady,
		Stopped,
		RequestTaken,
		RequestSent,
		PromptRead,
		AttemptEnded,
		ReplicaLost,
		RequestAnswered,
		RequestRefused,
		FailureHandedOn,
		StreamContinued,
		StreamMoved,
		MoveFailed,
		StreamBrokenOff,
		CallerGone,
		HandleNotFreed,
		ConfigurationReceived,
		ConfigurationRefused,
		ConfigurationApplied,
		ViewFreshness,
		CopyFreshness,
		ListTaken,
		ListTakenDirectly,
		ListUnreadable,
		ListEntriesUnusable,
		ListReachable,
		ReplicaListed,
		ReplicaRestarted,
		ReplicaGone,
		ListChanged,
		ListDoubted,
		ReplicaActivity,
		ReplicaActivityLost,
		ReplicaAvoided,
		ReplicaBack,
		LimitNamed,
		LimitUnreadable,
		LimitDenied,
		MessageUnreadable,
		PrefixesLearned,
		PrefixesUnknown,
		PeersUnreachable,
		PlacementBy,
		PlacementSilent,
		PlacementForgotten,
		PlacementRefused,
		RegionLeft,
		RegionWord,
		PlacementBegun,
		LeaderChanged,
		VoteCast,
		SnapshotTaken,
		WriteRefused,
		WriteAccepted,
		LeadershipHandedOver,
		GroupFounded,
		FoundingUntold,
		FoundingRetried,
		JoinAsked,
		ReplicaJoins,
		MembershipChanged,
		DataUnusable,
		BatchFailed,
		OrdersBegin,
		UsageFixed,
		UsageReported,
		UsageEndLost,
		UsageIgnored,
		UsageSkipped,
		FleetOrdered,
		FleetTermsIgnored,
		RequestHeld,
		RequestHeldHere,
		QuotaLimits,
		QuotaMode,
		QuotaSilent,
		QuotaLocal,
		QuotaStatusHere,
		RequestReleased,
		PoisonDropped,
		PoisonForgotten,
		PoisonUntold,
		DutyUnknown,
		PolicyInForce,
		PolicyRefused,
		Order,
		ChangeStuck,
		ChangeEndLost,
	}
}
