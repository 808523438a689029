package origin

import "time"

// Table keeps records of streams for as long as these may be taken up. It is not safe for concurrent use.
type Table struct {
	// Maximum bounds the records; the oldest ones give way.
	Maximum int

	records map[Key]keptRecord
	// order are the keys of the records, oldest first.
	order []Key
	// dropped counts the records that gave way before their time.
	dropped uint64
}

// keptRecord is a record with the time at which it came and the one until which it is kept.
type keptRecord struct {
	Record
	at, until time.Duration
}

// maximumLeft bounds the time for which a record is kept.
const maximumLeft = 10 * time.Minute

// Put keeps a record. One of a later attempt replaces an earlier one of the same call.
func (t *Table) Put(now time.Duration, record Record) {
	t.expire(now)
	kept, found := t.records[record.Key]
	switch {
	case !found:
		t.makeRoom()
		t.order = append(t.order, record.Key)
	case now >= kept.until:
	case kept.Call != record.Call:
		record.Ambiguous = record.Ambiguous || kept.Ambiguous || kept.Origin != record.Origin
	case record.Attempt < kept.Attempt:
		return
	default:
		record.Ambiguous = record.Ambiguous || kept.Ambiguous
	}
	left := min(max(time.Duration(record.LeftMillis)*time.Millisecond, 0), maximumLeft)
	if t.records == nil {
		t.records = map[Key]keptRecord{}
	}
	t.records[record.Key] = keptRecord{Record: record, at: now, until: now + left}
}

// Get returns the record of a key with its age, nil if there is none.
func (t *Table) Get(now time.Duration, key Key) (*Record, time.Duration) {
	kept, found := t.records[key]
	if !found || now >= kept.until {
		return nil, 0
	}
	return &kept.Record, now - kept.at
}

// Of returns the records of streams that have begun at a service, each with the time that is left.
func (t *Table) Of(now time.Duration, service string) []Record {
	var records []Record
	for _, kept := range t.records {
		if kept.Origin.Service == service && now < kept.until {
			record := kept.Record
			record.LeftMillis = (kept.until - now).Milliseconds()
			records = append(records, record)
		}
	}
	return records
}

// Count returns the number of records, and of those that gave way before their time.
func (t *Table) Count() (kept int, dropped uint64) { return len(t.records), t.dropped }

// expire deletes the oldest records as far as their time is over.
func (t *Table) expire(now time.Duration) {
	for len(t.order) > 0 && now >= t.records[t.order[0]].until {
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
}

// makeRoom deletes the oldest record if there is no room for another one.
func (t *Table) makeRoom() {
	if len(t.order) < t.Maximum {
		return
	}
	delete(t.records, t.order[0])
	t.order = t.order[1:]
	t.dropped++
}
