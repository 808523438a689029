package onceonly

import (
	"bytes"
)

// Limits of commands and tables.
const (
	// maximumNameBytes limits the tenant, key, attempt id and holder of a claim.
	maximumNameBytes = 256
	// maximumHashBytes limits the body hash of a claim.
	maximumHashBytes = 64
	// maximumEntries is the limit of the snapshot decoder, and so the highest
	// permitted value of Parameters.Entries.
	maximumEntries = 1 << 22
)

// Table is the replicated table of claims.
type Table struct {
	parameters Parameters
	// logMillis is the highest proposer's clock of all commands, in Unix
	// milliseconds. It determines only the status reported for old claims and
	// which entries are removed, never which attempt may run.
	logMillis int64
	// horizonMillis never decreases. Keys minted before it are rejected, so
	// their entries may be removed.
	horizonMillis int64
	// opaqueBlockedMillis is the log time until which opaque keys are rejected
	// after a KindRefound command, because the claims of the lost table are not
	// known.
	opaqueBlockedMillis int64

	entries map[entryID]*entry
	// byHolder and byClaim index the claims in progress, byAge all entries,
	// and byAnswer the stored answers.
	byHolder map[string]map[entryID]struct{}
	byAge    timeline
	byClaim  timeline
	byAnswer timeline
	// answerBytes is the total size of the stored answers.
	answerBytes int64
	// captures counts the calls of Capture.
	captures uint64
	// releaseAnyAttempt and changeCaptured are planted faults that only tests
	// of this package switch on, to check that the model test detects them.
	releaseAnyAttempt bool
	changeCaptured    bool
}

// New returns an empty table with the default parameters.
func New() *Table {
	table := &Table{}
	table.reset()
	return table
}

func (t *Table) reset() {
	*t = Table{
		parameters: DefaultParameters(),
		entries:    make(map[entryID]*entry),
		byHolder:   make(map[string]map[entryID]struct{}),
		byAge:      newTimeline(),
		byClaim:    newTimeline(),
		byAnswer:   newTimeline(),
	}
}

// Parameters returns the current parameters.
func (t *Table) Parameters() Parameters { return t.parameters }

// Len returns the number of stored keys.
func (t *Table) Len() int { return len(t.entries) }

// LogMillis returns the log time in Unix milliseconds.
func (t *Table) LogMillis() int64 { return t.logMillis }

// HorizonMillis returns the minting time, in Unix milliseconds, before which
// keys are rejected.
func (t *Table) HorizonMillis() int64 { return t.horizonMillis }

// Step executes one command.
func (t *Table) Step(command *Command) Reply {
	t.logMillis = max(t.logMillis, command.TimeMillis)
	switch {
	case command.Kind == KindConfigure && command.Parameters != nil:
		return t.configure(*command.Parameters)
	case command.Kind == KindClaim && command.Claim != nil:
		return t.claim(command.Claim)
	case command.Kind == KindComplete && command.Completion != nil:
		return t.complete(command.Completion)
	case command.Kind == KindRelease && command.Release != nil:
		return t.release(command.Release)
	case command.Kind == KindExpireHolder:
		return t.expireHolder(command.Holder)
	case command.Kind == KindAdvance:
		return t.advance()
	case command.Kind == KindRefound:
		return t.refound()
	default:
		return Reply{Status: StatusInvalid}
	}
}

func (t *Table) configure(parameters Parameters) Reply {
	if !parameters.valid() {
		return Reply{Status: StatusInvalid}
	}
	t.parameters = parameters
	return Reply{Status: StatusDone}
}

// valid reports whether all values are in range and the dispatch time is at most
// a tenth of the retention time.
func (p Parameters) valid() bool {
	inRange := p.RetentionMillis > 0 && p.ClaimMillis > 0 && p.FutureMillis >= 0 &&
		p.DispatchMillis > 0 && p.Entries > 0 && p.AnswerBytes >= 0 && p.TotalAnswerBytes >= 0
	const minimumRatio = 10
	return inRange && p.Entries <= maximumEntries && p.DispatchMillis <= p.RetentionMillis/minimumRatio
}

func (t *Table) claim(claim *Claim) Reply {
	if !claim.wellFormed() {
		return Reply{Status: StatusInvalid}
	}
	if rejection := t.checkKeyAge(claim); rejection != "" {
		return Reply{Status: rejection}
	}
	id := entryID{Tenant: claim.Tenant, Key: claim.Key}
	current, found := t.entries[id]
	if !found {
		if len(t.entries) >= t.parameters.Entries {
			return Reply{Status: StatusFull}
		}
		return t.grant(claim, id)
	}
	return t.claimExisting(claim, current)
}

func (c *Claim) wellFormed() bool {
	complete := c.Tenant != "" && c.Key != "" && c.AttemptID != "" && c.Holder != ""
	withinLimits := len(c.Tenant) <= maximumNameBytes && len(c.Key) <= maximumNameBytes &&
		len(c.AttemptID) <= maximumNameBytes && len(c.Holder) <= maximumNameBytes
	return complete && withinLimits && len(c.BodyHash) > 0 && len(c.BodyHash) <= maximumHashBytes
}

func (t *Table) checkKeyAge(claim *Claim) Status {
	if claim.Opaque {
		if t.logMillis < t.opaqueBlockedMillis {
			return StatusExpired
		}
		return ""
	}
	if claim.MintedMillis < t.horizonMillis {
		return StatusExpired
	}
	if claim.MintedMillis > t.logMillis+t.parameters.FutureMillis {
		return StatusInvalid
	}
	return ""
}

// claimExisting handles a claim of a key that the table has an entry for.
func (t *Table) claimExisting(claim *Claim, current *entry) Reply {
	if current.State == stateReleased {
		if current.AttemptID == claim.AttemptID || current.wasReleased(claim.AttemptID) {
			return Reply{Status: StatusReleased}
		}
		return t.grantReleased(claim, current)
	}
	if !bytes.Equal(current.BodyHash, claim.BodyHash) {
		return Reply{Status: StatusReused}
	}
	switch current.State {
	case stateInProgress:
		// The holder has resent its claim after a lost reply. It dispatches at
		// most once for each attempt id, so granting again is safe.
		if current.AttemptID == claim.AttemptID {
			return Reply{Status: StatusGranted, DispatchMillis: t.parameters.DispatchMillis}
		}
		return Reply{Status: StatusInProgress}
	case stateAnswered:
		if current.Answer == nil {
			return Reply{Status: StatusUnknown}
		}
		return Reply{Status: StatusAnswered, Answer: current.Answer}
	default:
		return Reply{Status: StatusUnknown}
	}
}

// grantReleased grants a key that was released. The new entry retains the
// ids of all released attempts.
func (t *Table) grantReleased(claim *Claim, released *entry) Reply {
	released = t.writable(released)
	released.recordReleased(released.AttemptID)
	t.remove(released)
	reply := t.grant(claim, released.id())
	t.entries[released.id()].ReleasedAttempts = released.ReleasedAttempts
	return reply
}

func (t *Table) grant(claim *Claim, id entryID) Reply {
	age := claim.MintedMillis
	if claim.Opaque {
		age = t.logMillis
	}
	t.insert(&entry{
		Tenant:        id.Tenant,
		Key:           id.Key,
		State:         stateInProgress,
		AttemptID:     claim.AttemptID,
		Holder:        claim.Holder,
		BodyHash:      claim.BodyHash,
		ClaimedMillis: t.logMillis,
		AgeMillis:     age,
	})
	return Reply{Status: StatusGranted, DispatchMillis: t.parameters.DispatchMillis}
}

func (t *Table) complete(completion *Completion) Reply {
	current, found := t.entries[entryID{completion.Tenant, completion.Key}]
	if !found || current.AttemptID != completion.AttemptID || current.State == stateReleased {
		return Reply{Status: StatusRefused}
	}
	if current.State == stateAnswered {
		return Reply{Status: StatusDone}
	}
	// Also from stateUnknown: this is the actual outcome of the only run.
	t.unindexClaim(current)
	current = t.writable(current)
	current.State = stateAnswered
	t.storeAnswer(current, completion.Answer)
	return Reply{Status: StatusDone}
}

func (t *Table) release(release *Release) Reply {
	id := entryID{release.Tenant, release.Key}
	current, found := t.entries[id]
	if !found {
		return t.releaseUnclaimed(release, id)
	}
	if current.AttemptID != release.AttemptID && !t.releaseAnyAttempt {
		return t.releaseByOtherAttempt(release, current)
	}
	switch {
	case current.State == stateInProgress && release.NotRun:
		t.unindexClaim(current)
		t.writable(current).State = stateReleased
		return Reply{Status: StatusDone}
	case current.State == stateInProgress:
		t.markUnknown(current)
		return Reply{Status: StatusDone}
	case current.State == stateReleased && release.NotRun, current.State == stateUnknown && !release.NotRun:
		return Reply{Status: StatusDone}
	default:
		return Reply{Status: StatusRefused}
	}
}

// releaseByOtherAttempt records the release of an attempt that does not hold the
// key: its claim may still be in flight, and must not be granted once the key can
// be claimed again.
func (t *Table) releaseByOtherAttempt(release *Release, current *entry) Reply {
	validAttemptID := release.AttemptID != "" && len(release.AttemptID) <= maximumNameBytes
	if !release.NotRun || !validAttemptID || current.State == stateAnswered {
		return Reply{Status: StatusRefused}
	}
	t.writable(current).recordReleased(release.AttemptID)
	if current.State == stateReleased {
		return Reply{Status: StatusDone}
	}
	return Reply{Status: StatusRefused}
}

// releaseUnclaimed records a release that arrived before its claim, so that the
// claim is rejected when it arrives.
func (t *Table) releaseUnclaimed(release *Release, id entryID) Reply {
	complete := id.Tenant != "" && id.Key != "" && release.AttemptID != ""
	if !complete || !release.NotRun || len(t.entries) >= t.parameters.Entries {
		return Reply{Status: StatusRefused}
	}
	t.insert(&entry{
		Tenant:        id.Tenant,
		Key:           id.Key,
		State:         stateReleased,
		AttemptID:     release.AttemptID,
		ClaimedMillis: t.logMillis,
		AgeMillis:     t.logMillis,
	})
	return Reply{Status: StatusDone}
}

// expireHolder marks the claims of a holder whose session has ended unknown: it
// may have dispatched the requests.
func (t *Table) expireHolder(holder string) Reply {
	for id := range t.byHolder[holder] {
		t.markUnknown(t.entries[id])
	}
	return Reply{Status: StatusDone}
}

// advance marks claims that have been in progress for longer than ClaimMillis
// unknown, raises the horizon and removes the entries below it.
func (t *Table) advance() Reply {
	claimLimit := t.logMillis - t.parameters.ClaimMillis
	for {
		id, found := t.byClaim.popBefore(claimLimit)
		if !found {
			break
		}
		t.markUnknown(t.entries[id])
	}
	t.horizonMillis = max(t.horizonMillis, t.logMillis-t.parameters.RetentionMillis)
	for {
		id, found := t.byAge.popBefore(t.horizonMillis)
		if !found {
			return Reply{Status: StatusDone}
		}
		t.remove(t.entries[id])
	}
}

// refound rejects every key that the lost table may have granted: keys minted
// before the log time plus FutureMillis, and opaque keys for RetentionMillis.
func (t *Table) refound() Reply {
	t.horizonMillis = max(t.horizonMillis, t.logMillis+t.parameters.FutureMillis)
	t.opaqueBlockedMillis = max(t.opaqueBlockedMillis, t.logMillis+t.parameters.RetentionMillis)
	return t.advance()
}
