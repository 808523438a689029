// Package event lists all events that the processes of a region write to their logs. docs/OPERATIONS.md documents each
// event with its fields; a test checks that table against this list.
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
	// SettingsUnreadable: a changed settings file can't be read or is invalid, and the previous settings stay in use.
	SettingsUnreadable Event = "settings can't be read again"
	// Ready: the gateway accepts requests.
	Ready Event = "ready"
	// NotReady: the gateway should get no new requests.
	NotReady Event = "not ready"
	// Stopped: all requests in flight are answered, or the stop timeout is over.
	Stopped Event = "stopped"
	// RequestTaken: the route of a request, and the service within its split, were chosen.
	RequestTaken Event = "request taken"
	// RequestSent: a request was sent to a chosen replica.
	RequestSent Event = "request sent"
	// LeavingSent: a request is sent to a replica that is known to be leaving.
	LeavingSent Event = "request sent to a leaving replica"
	// PromptRead: a prompt was prefilled by a replica other than the one that generates the answer.
	PromptRead Event = "prompt read apart"
	// AttemptEnded: a send ended without an answer for the caller.
	AttemptEnded Event = "attempt ended"
	// AnswerLost: a replica's answer has broken off, or was given up.
	AnswerLost Event = "answer lost"
	// ReplicaLost: the connection to a replica has broken under a request.
	ReplicaLost Event = "replica lost under a request"
	// RequestAnswered: the caller got a complete answer.
	RequestAnswered Event = "request answered"
	// ConnectionsClosed: connections were closed, or refused, before a handler got their requests; the fields count them since the start.
	ConnectionsClosed Event = "connections closed"
	// RequestRefused: the caller got an error of the gateway.
	RequestRefused Event = "request refused"
	// FailureHandedOn: the caller got an error response of a replica.
	FailureHandedOn Event = "replica's failure handed on"
	// StreamContinued: a stream is continued after its last complete event.
	StreamContinued Event = "stream continued"
	// StreamTakenUp: a caller takes up a stream that has begun in an earlier request.
	StreamTakenUp Event = "stream taken up"
	// StreamMoved: a leaving replica was asked to stop a stream, which is continued by another one.
	StreamMoved Event = "stream moved"
	// MoveFailed: a stream's memory could not be copied to another replica.
	MoveFailed Event = "stream not moved"
	// StreamBrokenOff: a stream was aborted before it was complete.
	StreamBrokenOff Event = "stream broken off"
	// CallerGone: the caller closed its connection before the answer was complete.
	CallerGone Event = "caller gone"
	// HandleNotFreed: a replica may hold the memory of a prompt until it expires.
	HandleNotFreed Event = "handle not freed"
	// ConfigurationReceived: a configuration from an operator was handled.
	ConfigurationReceived Event = "configuration received"
	// ConfigurationRefused: a configuration from an operator is invalid.
	ConfigurationRefused Event = "configuration refused"
	// ConfigurationRead: a gateway has read a new configuration, and begins to use it.
	ConfigurationRead Event = "configuration read"
	// ConfigurationApplied: a gateway uses a new configuration.
	ConfigurationApplied Event = "configuration applied"
	// ViewFreshness: a gateway's view became current or outdated.
	ViewFreshness Event = "view's freshness changed"
	// CopyFreshness: a coordinator's copy of the state became current or outdated.
	CopyFreshness Event = "copy's freshness changed"
	// ListTaken: a gateway has a new list.
	ListTaken Event = "list of replicas taken over"
	// ListTakenDirectly: a gateway with an outdated view got the list from the platform.
	ListTakenDirectly Event = "list of replicas taken from the platform"
	// ListUnreadable: a gateway could not get the list from the platform.
	ListUnreadable Event = "list of replicas can't be read"
	// ListEntriesUnusable: the set of entries of the platform's list that name no usable replica has changed.
	ListEntriesUnusable Event = "entries of the list name no replica"
	// ListReachable: the leader can no longer get a page of the platform's list, or can again.
	ListReachable Event = "list of replicas"
	// ListLate: the leader has not read the whole list within the bound, or has read it later than that.
	ListLate Event = "list of replicas read late"
	// ListNotCommitted: the leader could not commit changes of the list, and will try again.
	ListNotCommitted Event = "list of replicas not committed"
	// OriginsAdmitted: streams may begin at software, or at services of routes, of which nobody may be unaware any more.
	OriginsAdmitted Event = "new origins admitted"
	// OriginQueryDropped: a gateway's query was dropped, as too many wait.
	OriginQueryDropped Event = "origin query dropped"
	// ReplicaListed: a replica was added to the list, or its entry has changed.
	ReplicaListed Event = "replica listed"
	// ReplicaRestarted: a replica has restarted under its ID; what was known of the previous process is discarded.
	ReplicaRestarted Event = "replica started again"
	// ReplicaGone: a replica was removed from the list.
	ReplicaGone Event = "replica gone from the list"
	// ListChanged: too many replicas were added, removed or changed at once for a line each.
	ListChanged Event = "list of replicas changed"
	// ListDoubted: most replicas are missing from a new list; they are kept for a time.
	ListDoubted Event = "list of replicas doubted"
	// ReplicaActivity: replicas became active, or were put on standby.
	ReplicaActivity Event = "replicas activated"
	// ReplicaActivityLost: such a change was not committed; it is retried if it is still due.
	ReplicaActivityLost Event = "activation not committed"
	// ReplicaAvoided: a replica gets no requests for a time.
	ReplicaAvoided Event = "replica avoided"
	// ReplicaBack: a replica that could not be reached answers again.
	ReplicaBack Event = "replica back"
	// LinksLost: this process can connect to hardly any replica of a service, LinksBack: it can again.
	LinksLost Event = "links to replicas lost"
	LinksBack Event = "links to replicas back"
	// RequestForwarded: a request was handed to a peer gateway, since this one can't connect to replicas.
	RequestForwarded Event = "request forwarded"
	// LimitNamed: the rate limit that a replica declares has changed, or is no longer declared.
	LimitNamed Event = "replica's limit"
	// RestAsked: a replica or the platform has rejected a call and requested a backoff.
	RestAsked Event = "rest asked for"
	// RestUnreadable: one has rejected a call, and the requested backoff can't be parsed.
	RestUnreadable Event = "rest unreadable"
	// LeavingSaid: a replica's response says that it is leaving.
	LeavingSaid Event = "replica says that it leaves"
	// LeavingUntold: a coordinator could not be told that a replica is leaving; the report is retried.
	LeavingUntold Event = "leaving was not told"
	// LimitUnreadable: a replica declares a rate limit that can't be parsed; the previous limit stays in use.
	LimitUnreadable Event = "replica's limit unreadable"
	// MessageUnreadable: a message of another process can't be decoded.
	MessageUnreadable Event = "message unreadable"
	// LimitDenied: a replica has no capacity for a request under its rate limit. The request goes to another one or is
	// refused.
	LimitDenied Event = "no room under a replica's limit"
	// PrefixesLearned: a replica reported its cached prefixes.
	PrefixesLearned Event = "kept prefixes learned"
	// PrefixesUnknown: a replica did not report its cached prefixes.
	PrefixesUnknown Event = "kept prefixes unknown"
	// PeersUnreachable: load reports can't be exchanged with other processes.
	PeersUnreachable Event = "peers can't be told"
	// PlacementBy: another coordinator chooses replicas for this gateway, or none does.
	PlacementBy Event = "placement by another coordinator"
	// PlacementSilent: the coordinator did not answer a placement query in time.
	PlacementSilent Event = "coordinator silent on a placement"
	// PlacementForgotten: the coordinator has restarted, and gets a report of the open leases.
	PlacementForgotten Event = "coordinator has forgotten its leases"
	// PlacementRefused: a coordinator rejects a gateway's placement query.
	PlacementRefused Event = "placement refused"
	// RegionLeft: a replica of another region was chosen for a request.
	RegionLeft Event = "region left"
	// RegionWord: a coordinator receives reports of another region's work again, or no longer.
	RegionWord Event = "word of a region"
	// PlacementBegun: a coordinator starts to choose replicas for gateways.
	PlacementBegun Event = "placement begun"
	// LeaderChanged: this coordinator follows another leader, or leads.
	LeaderChanged Event = "leader changed"
	// VoteCast: this coordinator has voted in an election, or has begun a term
	// without a vote.
	VoteCast Event = replica.LogVoteCast
	// SnapshotTaken: the log up to an index was replaced by a snapshot.
	SnapshotTaken Event = replica.LogSnapshotTaken
	// WriteRefused: writes to the disk of a process fail. Its replica of the group stops until WriteAccepted.
	WriteRefused  Event = replica.LogWriteRefused
	WriteAccepted Event = replica.LogWriteAccepted
	// LeadershipHandedOver: a leader that stops has transferred its leadership.
	LeadershipHandedOver Event = "handed leadership over"
	// VoteGivenUp: a voter that stops has asked for a learner to take its place.
	VoteGivenUp Event = "gave its vote up"
	// GroupFounded: the seeds have bootstrapped the group.
	GroupFounded Event = "founded group"
	// FoundingUntold: a seed missed the bootstrap, and learns of the group from its leader.
	FoundingUntold Event = "founding was not told"
	// FoundingRetried: a seed can't be reached, and the bootstrap is retried.
	FoundingRetried Event = "group is not founded yet"
	// Removed: another coordinator has told that this one is no member of the group any more.
	Removed Event = replica.LogRemoved
	// TakenBack: a leader sends to this coordinator again after Removed.
	TakenBack Event = replica.LogTakenBack
	// JoinAsked: this coordinator has requested to join the group.
	JoinAsked Event = "asked to join the group"
	// ReplicaJoins: the leader has added a coordinator as a non-voting member.
	ReplicaJoins Event = "replica joins"
	// MembershipChanged: the leader has changed the voters.
	MembershipChanged Event = "membership change"
	// DataUnusable: the stored data can't be used; the replica of the group stays out until its folder is replaced.
	DataUnusable Event = "data folder can't be used"
	// BatchFailed: messages to a coordinator were lost.
	BatchFailed Event = "consensus batch failed"
	// OrdersBegin: a new leader may make the calls of a duty from a given time on.
	OrdersBegin Event = "orders may begin"
	// PolicyInForce: a policy's file was read.
	PolicyInForce Event = "policy in force"
	// PolicyRefused: a changed policy is invalid; the previous one stays in use.
	PolicyRefused Event = "policy refused"
	// UsageFixed: the counts of a usage window were finalized.
	UsageFixed Event = "usage fixed"
	// UsageReported: the usage of a window was reported to the platform.
	UsageReported Event = "usage reported"
	// UsageEndLost: the platform has accepted the usage of a window, but that could not be committed.
	UsageEndLost Event = "end of usage report not noted"
	// UsageIgnored: a gateway has reported invalid counts.
	UsageIgnored Event = "usage ignored"
	// UsageSkipped: windows are too old to be reported.
	UsageSkipped Event = "usage skipped"
	// FleetOrdered: a number of replicas was ordered.
	FleetOrdered Event = "fleet ordered"
	// FleetTermsIgnored: the bounds that the configuration gives for a service's number of replicas are invalid.
	FleetTermsIgnored Event = "fleet terms ignored"
	// RequestHeld: a request under which replicas have crashed is no longer sent to any.
	RequestHeld Event = "request held"
	// RequestHeldHere: a gateway that reaches no coordinator holds such a request by its own evidence.
	RequestHeldHere Event = "request held by one gateway"
	// RequestReleased: an operator has released a held request.
	RequestReleased Event = "request released"
	// PoisonDropped: evidence against requests was discarded because the table is full.
	PoisonDropped Event = "evidence dropped"
	// PoisonForgotten: evidence against requests and holds have expired.
	PoisonForgotten Event = "evidence lapsed"
	// PoisonUntold: a coordinator has not acknowledged a gateway's evidence; the report is retried.
	PoisonUntold Event = "evidence not told"
	// QuotaLimits: a coordinator enforces the tenant limits of a configuration.
	QuotaLimits Event = "quota limits applied"
	// QuotaMode: a coordinator holds a different number of shares of the tenant limits than before.
	QuotaMode Event = "quota parts changed"
	// QuotaSilent: a coordinator has not answered a quota query in time.
	QuotaSilent Event = "quota not answered"
	// QuotaLocal: a gateway that reaches no coordinator decides by its own part of the tolerance.
	QuotaLocal Event = "quota decided by one gateway"
	// QuotaStatusHere: an operator gets the counts of one coordinator, because the leader can't be reached.
	QuotaStatusHere Event = "quota leader not reached"
	// DutyUnknown: the platform requests a kind of call that this version does not know.
	DutyUnknown Event = "duty unknown"
	// Order: an order was given to a replica.
	Order Event = "order"
	// ChangeStuck: the list does not show the ordered stage of a replica in time.
	ChangeStuck Event = "stage change has not ended"
	// ChangeEndLost: the end of a stage change was not committed, and is retried.
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
		LeavingSent,
		PromptRead,
		AttemptEnded,
		AnswerLost,
		ReplicaLost,
		RequestAnswered,
		ConnectionsClosed,
		RequestRefused,
		FailureHandedOn,
		StreamContinued,
		StreamTakenUp,
		StreamMoved,
		MoveFailed,
		StreamBrokenOff,
		CallerGone,
		HandleNotFreed,
		ConfigurationReceived,
		ConfigurationRefused,
		ConfigurationRead,
		ConfigurationApplied,
		ViewFreshness,
		CopyFreshness,
		ListTaken,
		ListTakenDirectly,
		ListUnreadable,
		ListEntriesUnusable,
		ListReachable,
		ListLate,
		ListNotCommitted,
		OriginsAdmitted,
		OriginQueryDropped,
		ReplicaListed,
		ReplicaRestarted,
		ReplicaGone,
		ListChanged,
		ListDoubted,
		ReplicaActivity,
		ReplicaActivityLost,
		ReplicaAvoided,
		ReplicaBack,
		LinksLost,
		RequestForwarded,
		LinksBack,
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
		VoteGivenUp,
		GroupFounded,
		FoundingUntold,
		FoundingRetried,
		Removed,
		TakenBack,
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
