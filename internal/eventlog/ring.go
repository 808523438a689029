package eventlog

import (
	"sync"
	"time"
)

// Record is one log line in the ring.
type Record struct {
	// Sequence counts the records of the process from 1.
	Sequence uint64
	Time     time.Time
	// Error is set on records of Logger.Error.
	Error bool
	// Text is the record without its time, with values as JSON.
	Text string
}

// truncatedMark ends the text of a record that was longer than the bound.
const truncatedMark = "...(truncated)"

// ring holds the newest records. It is safe for concurrent use.
type ring struct {
	mutex      sync.Mutex
	records    []Record
	entryBytes int
	sequence   uint64
}

func newRing(entries, entryBytes int) *ring {
	return &ring{records: make([]Record, entries), entryBytes: entryBytes}
}

func (r *ring) add(at time.Time, isError bool, text string) {
	if len(text) > r.entryBytes {
		text = text[:r.entryBytes] + truncatedMark
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	r.records[r.sequence%uint64(len(r.records))] = Record{
		Sequence: r.sequence,
		Time:     at,
		Error:    isError,
		Text:     text,
	}
}

// after returns the records that are newer than a sequence number, oldest
// first, and the number of newer ones that were already overwritten.
func (r *ring) after(sequence uint64) (records []Record, overwritten uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := sequence + 1
	size := uint64(len(r.records))
	if r.sequence >= size && first <= r.sequence-size {
		overwritten = r.sequence - size + 1 - first
		first += overwritten
	}
	for next := first; next <= r.sequence; next++ {
		records = append(records, r.records[next%size])
	}
	return records, overwritten
}
