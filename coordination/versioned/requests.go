package versioned

// requestTable stores the first results of the newest request ids.
type requestTable struct {
	limit   int
	results map[string]storedResult
	// order lists the request ids, oldest first.
	order []string
}

func newRequestTable(limit int) *requestTable {
	return &requestTable{limit: limit, results: make(map[string]storedResult)}
}

func (t *requestTable) find(requestID string) (storedResult, bool) {
	result, found := t.results[requestID]
	return result, found
}

// add stores a result and removes the oldest ones over the limit.
func (t *requestTable) add(result storedResult) {
	t.results[result.RequestID] = result
	t.order = append(t.order, result.RequestID)
	for len(t.order) > t.limit {
		delete(t.results, t.order[0])
		t.order = t.order[1:]
	}
}

// list returns the results, oldest first.
func (t *requestTable) list() []storedResult {
	results := make([]storedResult, 0, len(t.order))
	for _, requestID := range t.order {
		results = append(results, t.results[requestID])
	}
	return results
}
