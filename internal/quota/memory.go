package quota

import "time"

// queryKey identifies a query of another process.
type queryKey struct {
	from string
	id   uint64
}

// answerCache holds recent answers, so that a query that is sent again, because its answer may have
// been lost, is charged once. Entries are dropped by generations, each as long as a lease.
type answerCache struct {
	lease    time.Duration
	rotateAt time.Duration
	recent   map[queryKey]*Answer
	previous map[queryKey]*Answer
}

func newAnswerCache(lease time.Duration) *answerCache {
	return &answerCache{lease: lease, recent: map[queryKey]*Answer{}, previous: map[queryKey]*Answer{}}
}

// reserve adds a query. known reports that it was received before; its answer is nil while it is
// undecided.
func (m *answerCache) reserve(now time.Duration, q queryKey) (answer *Answer, known bool) {
	if now >= m.rotateAt {
		m.previous, m.recent = m.recent, map[queryKey]*Answer{}
		m.rotateAt = now + m.lease
	}
	if answer, known = m.recent[q]; known {
		return answer, true
	}
	if answer, known = m.previous[q]; known {
		return answer, true
	}
	m.recent[q] = nil
	return nil, false
}

// store records the answer to a query.
func (m *answerCache) store(q queryKey, answer Answer) { m.recent[q] = &answer }
