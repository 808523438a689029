package zonestate

//go:generate go tool msgp -file requests.go -o requests_gen.go -tests=false -io=false -unexported
//msgp:limit arrays:65536 maps:65536
//msgp:ignore requestTable

// requestRecord is the first result of an operator's request.
type requestRecord struct {
	RequestID   string `msg:"request_id"`
	CommandHash uint64 `msg:"command_hash"`
	Result      Result `msg:"result"`
}

// requestTable contains the newest requests of operators, oldest first. A request
// that is no longer in the table and is sent again is executed again: draining and
// undraining are idempotent, and a guarded request is then rejected as stale.
type requestTable struct {
	limit   int
	records map[string]requestRecord
	order   []string
}

func newRequestTable(limit int) *requestTable {
	return &requestTable{limit: limit, records: make(map[string]requestRecord)}
}

func (t *requestTable) add(record requestRecord) {
	t.records[record.RequestID] = record
	t.order = append(t.order, record.RequestID)
	for len(t.order) > t.limit {
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *requestTable) list() []requestRecord {
	records := make([]requestRecord, 0, len(t.order))
	for _, id := range t.order {
		records = append(records, t.records[id])
	}
	return records
}
