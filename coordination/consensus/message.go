package consensus

//go:generate go tool msgp -file message.go -o message_gen.go -tests=false -io=false
// Arrays and maps are limited because decoders allocate as many elements as the
// header claims. Byte strings are not: their decoder first checks that the input has
// that many bytes, and an entry or snapshot that was once accepted must stay readable.
//msgp:limit arrays:65536 maps:65536

//msgp:tuple Entry

// ReplicaID identifies one replica. It is generated at random when the replica's
// data directory is created and is never reused after the directory is lost. Zero
// means no replica.
type ReplicaID uint64

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

// The kinds of messages between replicas.
const (
	MessagePreVoteRequest MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVoteRequest
	MessageVoteResponse
	MessageAppendRequest
	MessageAppendResponse
	MessageHeartbeatRequest
	MessageHeartbeatResponse
	MessageSnapshotRequest
	MessageSnapshotResponse
	MessageTimeoutNow
	// MessageMembershipQuery asks a member whether the sender is one.
	MessageMembershipQuery
	// MessageRemoved tells the sender of a query, or of a vote request, that the
	// committed configuration at LogIndex lacks it.
	MessageRemoved
)

// String returns the name of the kind as used in logs.
func (kind MessageKind) String() string {
	names := [...]string{
		"invalid", "pre-vote request", "pre-vote response", "vote request", "vote response",
		"append request", "append response", "heartbeat request", "heartbeat response",
		"snapshot request", "snapshot response", "timeout now", "membership query", "removed",
	}
	if int(kind) >= len(names) {
		return names[0]
	}
	return names[kind]
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryEmpty is the entry without data that a leader appends at the start of
	// its term.
	EntryEmpty
	// EntryConfiguration carries an encoded Configuration.
	EntryConfiguration
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte `msg:"Data,limit=2147483647"`
}

// Member is one replica in the configuration of a group.
type Member struct {
	ID ReplicaID `msg:"id"`
	// Address is the address for the transport and opaque to the core.
	Address string `msg:"address"`
	// Learner marks a non-voting member, which receives the log.
	Learner bool `msg:"learner,omitempty"`
}

// Configuration is the membership of a group. Members are sorted by ID.
type Configuration struct {
	// Generation is one for the first bootstrap of the group and higher for each
	// later one, after the group was lost. It is constant in between, so that
	// (Generation, index) pairs are ordered across bootstraps.
	Generation uint64 `msg:"generation"`
	// Founding is the random token that identifies the bootstrap of the group.
	// Messages between replicas of different foundings are ignored.
	Founding uint64   `msg:"founding"`
	Members  []Member `msg:"members"`
}

// HardState is the state that a replica must have on disk before it sends
// messages that depend on it.
type HardState struct {
	Term   uint64    `msg:"term"`
	Vote   ReplicaID `msg:"vote"`
	Commit uint64    `msg:"commit"`
}

// Snapshot is the state of the state machine after it has applied the entry at
// Index.
type Snapshot struct {
	Index         uint64        `msg:"index"`
	Term          uint64        `msg:"term"`
	Configuration Configuration `msg:"configuration"`
	Data          []byte        `msg:"data,limit=2147483647"`
}

// SnapshotChunk is a part, bounded in size, of a snapshot that is sent to a
// follower.
type SnapshotChunk struct {
	Index         uint64        `msg:"i"`
	Term          uint64        `msg:"t"`
	Configuration Configuration `msg:"c"`
	// Size is the length of the whole snapshot's data in bytes.
	Size uint64 `msg:"s"`
	// Checksum is the xxhash64 of the whole snapshot's data.
	Checksum uint64 `msg:"x"`
	// Offset is the position of Data in the snapshot's data in bytes.
	Offset uint64 `msg:"o"`
	Data   []byte `msg:"d,limit=2147483647"`
}

// Message is a message between replicas of a group. Kind determines which fields
// are used.
type Message struct {
	// Group identifies the group among those that share a transport.
	Group uint64 `msg:"g"`
	// Founding is the sender's founding token, or zero if it has none.
	Founding uint64      `msg:"b,omitempty"`
	Kind     MessageKind `msg:"k"`
	From     ReplicaID   `msg:"f"`
	To       ReplicaID   `msg:"t"`
	// Term is the sender's term. In a pre-vote request, and in a response that
	// grants one, it is the term in which the candidate would campaign.
	Term uint64 `msg:"e,omitempty"`
	// LogIndex and LogTerm identify a log entry: the one before Entries in an
	// append request, the sender's last one in a vote request. In an append
	// response LogIndex is the index that matched, or that was rejected; in a
	// snapshot response it is the snapshot's index.
	LogIndex uint64  `msg:"i,omitempty"`
	LogTerm  uint64  `msg:"l,omitempty"`
	Commit   uint64  `msg:"c,omitempty"`
	Entries  []Entry `msg:"n,omitempty"`
	Rejected bool    `msg:"r,omitempty"`
	// HintIndex and HintTerm help a leader to find the last common entry after a
	// rejected append request.
	HintIndex uint64 `msg:"h,omitempty"`
	HintTerm  uint64 `msg:"u,omitempty"`
	// Round is the number of the leader's latest confirmation round for reads.
	// Responses return it.
	Round uint64 `msg:"o,omitempty"`
	// Transfer marks a vote request of a leadership transfer, which the leader
	// itself has started. Voters handle it although the leader is live.
	Transfer bool `msg:"x,omitempty"`
	// Chunk is the part of a snapshot in a snapshot request.
	Chunk *SnapshotChunk `msg:"s,omitempty"`
	// Offset is the number of snapshot bytes received so far in a snapshot response.
	Offset uint64 `msg:"p,omitempty"`
}
