package consensus

import "fmt"

// entryLog holds the log entries after the compacted prefix.
type entryLog struct {
	// baseIndex and baseTerm are the index and term of the entry before entries[0].
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// saved is the last index that is known to be on this replica's disk.
	saved uint64
	// committed is the last index that is known to be committed.
	committed uint64
	// applied is the last index whose entry the caller has applied to the state
	// machine.
	applied uint64
}

func newEntryLog(snapshot Snapshot, entries []Entry, committed uint64) *entryLog {
	log := &entryLog{baseIndex: snapshot.Index, baseTerm: snapshot.Term}
	if len(entries) > 0 && entries[0].Index <= snapshot.Index {
		log.baseIndex, log.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	log.entries = append(log.entries, entries...)
	log.saved = log.lastIndex()
	log.committed = max(snapshot.Index, min(committed, log.lastIndex()))
	log.applied = snapshot.Index
	return log
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, if the log has it or it is the
// last compacted one.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	localTerm, found := l.term(index)
	return found && localTerm == term
}

// isUpToDate reports whether a log that ends at index and term is at least as
// up to date as this one, as a vote requires (Ongaro 2014, section 3.6.1).
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// entriesFrom returns the entries from index on, limited to about maxBytes but at
// least one if there is any.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	available := l.entries[index-l.baseIndex-1:]
	size := 0
	for count, entry := range available {
		size += entrySize(entry)
		if count > 0 && size > maxBytes {
			return available[:count:count]
		}
	}
	return available[:len(available):len(available)]
}

// entryOverheadBytes approximates the size of an encoded entry without its data.
const entryOverheadBytes = 16

// entriesBetween returns the entries after low up to and including high.
func (l *entryLog) entriesBetween(low, high uint64) []Entry {
	if high <= low {
		return nil
	}
	start, end := low-l.baseIndex, high-l.baseIndex
	return l.entries[start:end:end]
}

// append adds entries, the first of which must follow the last one of the log.
func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from index on, none of which may be committed.
// The slice is copied because messages may still refer to the removed entries.
func (l *entryLog) truncate(index uint64) {
	if index <= l.committed {
		panic(fmt.Sprintf("consensus: truncation at %d of an entry committed up to %d", index, l.committed))
	}
	keptEntries := index - l.baseIndex - 1
	l.entries = append([]Entry(nil), l.entries[:keptEntries]...)
	l.saved = min(l.saved, index-1)
}

// firstConflict returns the offset in entries of the first one that the log
// lacks or has with another term, or len(entries) if there is none.
func (l *entryLog) firstConflict(entries []Entry) int {
	for offset, entry := range entries {
		if entry.Index <= l.baseIndex {
			continue
		}
		if !l.matches(entry.Index, entry.Term) {
			return offset
		}
	}
	return len(entries)
}

// findConflictByTerm returns the last index up to the given one whose term is at
// most term, and its term. It lets leader and follower skip all conflicting
// entries of a term at once.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	for index = min(index, l.lastIndex()); index > l.baseIndex; index-- {
		localTerm, _ := l.term(index)
		if localTerm <= term {
			return index, localTerm
		}
	}
	return l.baseIndex, l.baseTerm
}

// entrySize returns the approximate size in bytes of an entry in memory and in
// messages.
func entrySize(entry Entry) int { return len(entry.Data) + entryOverheadBytes }

// compactionIndex returns the index before the longest run of entries up to index
// that has at most maxEntries entries and maxBytes bytes. Those entries are kept when
// the log is compacted.
func (l *entryLog) compactionIndex(index, maxEntries uint64, maxBytes int64) uint64 {
	var bytes int64
	start := index
	for start > l.baseIndex && index-start < maxEntries {
		bytes += int64(entrySize(l.entries[start-l.baseIndex-1]))
		if bytes > maxBytes {
			break
		}
		start--
	}
	return start
}

// compact drops the entries up to and including index. It does nothing if that
// one has not been applied yet.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.applied {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// reset empties the log, which then continues after a snapshot's last entry.
func (l *entryLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm = index, term
	l.entries = nil
	l.saved, l.committed, l.applied = index, index, index
}
