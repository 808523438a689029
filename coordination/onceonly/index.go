package onceonly

// insert adds an entry to the table and its indexes.
func (t *Table) insert(added *entry) {
	id := added.id()
	added.captures = t.captures
	t.entries[id] = added
	t.byAge.add(added.AgeMillis, id)
	if added.State == stateInProgress {
		t.indexClaim(added)
	}
	if added.Answer != nil {
		t.indexAnswer(added)
	}
}

// writable returns an entry that may be modified: the given one, or, if a
// capture refers to that, a copy that replaces it in the table.
func (t *Table) writable(current *entry) *entry {
	if current.captures == t.captures || t.changeCaptured {
		return current
	}
	changed := *current
	changed.captures = t.captures
	t.entries[changed.id()] = &changed
	return &changed
}

// remove deletes an entry from the table and its indexes.
func (t *Table) remove(removed *entry) {
	id := removed.id()
	t.unindexClaim(removed)
	t.byAge.remove(removed.AgeMillis, id)
	t.dropAnswer(removed)
	delete(t.entries, id)
}

func (t *Table) indexClaim(claimed *entry) {
	id := claimed.id()
	t.byClaim.add(claimed.ClaimedMillis, id)
	claims := t.byHolder[claimed.Holder]
	if claims == nil {
		claims = make(map[entryID]struct{})
		t.byHolder[claimed.Holder] = claims
	}
	claims[id] = struct{}{}
}

func (t *Table) unindexClaim(claimed *entry) {
	if claimed.State != stateInProgress {
		return
	}
	id := claimed.id()
	t.byClaim.remove(claimed.ClaimedMillis, id)
	claims := t.byHolder[claimed.Holder]
	delete(claims, id)
	if len(claims) == 0 {
		delete(t.byHolder, claimed.Holder)
	}
}

func (t *Table) markUnknown(claimed *entry) {
	t.unindexClaim(claimed)
	t.writable(claimed).State = stateUnknown
}

// storeAnswer stores an answer in a writable entry and drops the oldest answers
// while their total size is over the limit. An entry whose answer was dropped
// stays in stateAnswered, so its key can't be claimed again.
func (t *Table) storeAnswer(answered *entry, answer Answer) {
	if len(answer.Body) > t.parameters.AnswerBytes {
		return
	}
	answered.Answer = &answer
	answered.AnsweredMillis = t.logMillis
	t.indexAnswer(answered)
	for t.answerBytes > t.parameters.TotalAnswerBytes {
		oldest, found := t.byAnswer.oldest()
		if !found {
			return
		}
		t.dropAnswer(t.entries[oldest])
	}
}

func (t *Table) indexAnswer(answered *entry) {
	t.answerBytes += int64(len(answered.Answer.Body))
	t.byAnswer.add(answered.AnsweredMillis, answered.id())
}

func (t *Table) dropAnswer(answered *entry) {
	if answered.Answer == nil {
		return
	}
	t.answerBytes -= int64(len(answered.Answer.Body))
	t.byAnswer.remove(answered.AnsweredMillis, answered.id())
	t.writable(answered).Answer = nil
}
