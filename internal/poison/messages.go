package poison

//go:generate go tool msgp -file messages.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536
//msgp:tuple Record UnwatchedRecord Crash NewsEntry RecentCrash BurstCrash
//msgp:ignore Held Digest

// State is the evidence against all requests under which replicas have crashed. Its slices are never
// modified in place. The zero State is empty.
type State struct {
	// Records are sorted by digest.
	Records []Record `msg:"records"`
	// Revision is the log position of the last change that gateways have to learn.
	Revision uint64 `msg:"revision"`
	// Unwatched are the digests that gateways need not watch any more, oldest first, with a revision
	// after UnwatchedSince.
	Unwatched      []UnwatchedRecord `msg:"freed"`
	UnwatchedSince uint64            `msg:"freed_since"`
	// Dropped counts the records that were dropped because there were MaximumRecords.
	Dropped uint64 `msg:"dropped"`
	// RecentCrashes are the replicas that crashed at most burstWindow before the last one, oldest
	// first, and BurstCrashes the most recent of those that crashed in bursts: together with many
	// others.
	RecentCrashes []RecentCrash `msg:"recent"`
	BurstCrashes  []BurstCrash  `msg:"crowds"`
}

// BurstCrash is the hashed name of a replica that has crashed in a burst. Burst is the log position at
// which that was detected.
type BurstCrash struct {
	Replica uint64
	Burst   uint64
}

// RecentCrash is the hashed name of a replica that has crashed, and when that was first reported.
type RecentCrash struct {
	Replica uint64
	At      int64
}

// Record is the evidence against one request. Times are in nanoseconds since 1970, by the region's
// clock.
type Record struct {
	Digest Digest
	// Crashes are the hashed names of the replicas that have crashed under the request and under no
	// held one, oldest first, at most the last MaximumCrashes. Those of a held request include replicas
	// that crashed under another held one. When a hold expires, placeholders replace them.
	Crashes []uint64
	// Total counts the replicas that were ever added to Crashes, also those that are no longer kept.
	Total uint32
	// FirstAt and LastAt are when the first and the last of these crashes were reported. A request that
	// is held elsewhere and has no record here gets the time of the hold as both; an expired hold sets
	// LastAt to the time of its expiry.
	FirstAt, LastAt int64
	// SufficientAt is when the number of crashes reached HoldAfter, 0 while it is less.
	SufficientAt int64
	// HeldAt is when the request was held: sent to no replica from then on. 0 if it is not held.
	HeldAt int64
	// Revision is the log position of the last change of this record that gateways have to learn.
	Revision uint64
}

// UnwatchedRecord is a digest that gateways need not watch any more.
type UnwatchedRecord struct {
	Digest   Digest
	Revision uint64
}

// Crash is a replica that has crashed, with the requests that a gateway had in flight there.
type Crash struct {
	Replica  string
	Requests []Digest
}

// Command changes a State.
type Command struct {
	// At is the region's time, in nanoseconds since 1970.
	At int64 `msg:"at"`
	// Crashes are replicas that have crashed, and Completions requests that a replica has run to
	// completion.
	Crashes     []Crash  `msg:"ends"`
	Completions []Digest `msg:"ran_well"`
	// Hold are requests to be held, HeldElsewhere those that are held elsewhere on evidence from there,
	// and Release those that an operator releases.
	Hold          []Digest `msg:"hold"`
	HeldElsewhere []Digest `msg:"held_elsewhere,omitempty"`
	Release       []Digest `msg:"release"`
	// ForgetBefore, if above 0, is the time before which evidence and holds have expired.
	ForgetBefore int64 `msg:"forget_before"`
}

// Report is what a gateway reports about its requests.
type Report struct {
	Gateway     string   `msg:"gateway"`
	Crashes     []Crash  `msg:"ends"`
	Completions []Digest `msg:"ran_well"`
}

// PermitRequest asks whether a request on probation may be sent now.
type PermitRequest struct {
	Digest Digest `msg:"digest"`
}

// PermitReply says after how many milliseconds to ask again; 0 if the request may be sent now.
type PermitReply struct {
	WaitMillis int64 `msg:"wait_ms"`
}

// News is what a gateway at an earlier revision has to learn.
type News struct {
	Revision uint64 `msg:"revision"`
	// Complete says that Entries are complete; otherwise Entries are new or changed, and the digests
	// in Unwatched need not be watched any more.
	Complete  bool        `msg:"whole"`
	Entries   []NewsEntry `msg:"entries"`
	Unwatched []Digest    `msg:"freed"`
	// Joint are the sets of parts of prompts that can't be told apart; the newest News has all of them. A request with
	// all parts of one is held.
	Joint []JointSuspects `msg:"joint,omitempty"`
}

// JointSuspects are parts of prompts under which the same replicas have crashed.
type JointSuspects struct {
	Parts []Digest `msg:"parts"`
}

// NewsEntry is a request that gateways watch: its completion has to be reported.
type NewsEntry struct {
	Digest Digest
	Held   bool
	// OnProbation says that as many replicas have crashed under the request as are needed to hold it,
	// but other requests that ran there may be the cause.
	OnProbation bool
}

// Held is a held request as operators see it.
type Held struct {
	Digest string `json:"digest"`
	// Replicas is the number of replicas that have crashed under it.
	Replicas int `json:"replicas_ended"`
	// FirstCrash, LastCrash and Since are timestamps (RFC 3339).
	FirstCrash string `json:"first_end"`
	LastCrash  string `json:"last_end"`
	Since      string `json:"held_since"`
}
