package membership

import "sort"

// Table is the replicated list of open sessions, at most one for each member.
type Table struct {
	limit    int
	sessions map[uint64]*Session
	byMember map[string]uint64
}

// NewTable returns an empty table for at most limit sessions.
func NewTable(limit int) *Table {
	return &Table{
		limit:    limit,
		sessions: make(map[uint64]*Session),
		byMember: make(map[string]uint64),
	}
}

// OpenRequest is a request to open a session.
type OpenRequest struct {
	MemberID    string
	Incarnation uint64
	Address     string
	PeerAddress string
	// Ticket is a log position that this incarnation of the process fetched
	// from a leader before it sent the request.
	Ticket uint64
	Terms  Terms
	// IsolationTargets is the first isolation set, sorted.
	IsolationTargets []string
}

// OpenOutcome is the result of an OpenRequest.
type OpenOutcome string

// Outcomes of opening a session.
const (
	// OpenDone: the session was opened, or was already open for this
	// incarnation and address.
	OpenDone OpenOutcome = "done"
	// OpenStale: the ticket is older than the member's current session, as in
	// a delayed request of an earlier incarnation. A live process must fetch a
	// new ticket.
	OpenStale OpenOutcome = "stale_ticket"
	// OpenAddressInUse: the member has a session with another address, whose
	// process may still be running.
	OpenAddressInUse OpenOutcome = "address_in_use"
	// OpenFull: the table has the maximum number of sessions.
	OpenFull OpenOutcome = "full"
	// OpenInvalid: the request has no member id or address, or invalid terms.
	OpenInvalid OpenOutcome = "invalid"
)

// Open adds a session with the given id at a log position. It returns the
// session and, if it ended an earlier session of the member, the id of that
// session as superseded.
func (t *Table) Open(position, id uint64, request OpenRequest) (session *Session, superseded uint64, outcome OpenOutcome) {
	if request.MemberID == "" || request.Address == "" || !request.Terms.Valid() {
		return nil, 0, OpenInvalid
	}
	current, found := t.ByMember(request.MemberID)
	if found && current.Incarnation == request.Incarnation && current.Address == request.Address {
		return current, 0, OpenDone
	}
	if found && request.Ticket < current.OpenedAt {
		return nil, 0, OpenStale
	}
	if found && current.Address != request.Address {
		return nil, 0, OpenAddressInUse
	}
	if !found && len(t.sessions) >= t.limit {
		return nil, 0, OpenFull
	}
	if found {
		superseded = current.ID
		t.End(superseded)
	}
	session = &Session{
		ID:          id,
		MemberID:    request.MemberID,
		Incarnation: request.Incarnation,
		Address:     request.Address,
		PeerAddress: request.PeerAddress,
		Terms:       request.Terms,
		OpenedAt:    position,
		Sets:        []IsolationSet{{AssignedAt: position, Targets: request.IsolationTargets}},
	}
	t.insert(session)
	return session, superseded, OpenDone
}

func (t *Table) insert(session *Session) {
	t.sessions[session.ID] = session
	t.byMember[session.MemberID] = session.ID
}

// End removes a session and reports whether it was open.
func (t *Table) End(id uint64) bool {
	session, found := t.sessions[id]
	if !found {
		return false
	}
	delete(t.sessions, id)
	delete(t.byMember, session.MemberID)
	return true
}

// maximumSets limits the isolation sets of a session that may be in use at the
// same time.
const maximumSets = 4

// Assign gives a session a new isolation set at a log position. It removes the
// sets that the process no longer uses because it has acknowledged a later one.
// It reports whether the set was assigned.
func (t *Table) Assign(position, id uint64, targets []string, acknowledged uint64) bool {
	session, found := t.sessions[id]
	if !found {
		return false
	}
	session.Sets = session.Sets[session.firstSetInUse(acknowledged):]
	if len(session.Sets) >= maximumSets {
		return false
	}
	session.Sets = append(session.Sets[:len(session.Sets):len(session.Sets)],
		IsolationSet{AssignedAt: position, Targets: targets})
	return true
}

// Get returns an open session, which the caller must not modify.
func (t *Table) Get(id uint64) (*Session, bool) {
	session, found := t.sessions[id]
	return session, found
}

// ByMember returns the open session of a member.
func (t *Table) ByMember(memberID string) (*Session, bool) {
	id, found := t.byMember[memberID]
	if !found {
		return nil, false
	}
	return t.sessions[id], true
}

// List returns the open sessions sorted by id.
func (t *Table) List() []*Session {
	list := make([]*Session, 0, len(t.sessions))
	for _, session := range t.sessions {
		list = append(list, session)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Len returns the number of open sessions.
func (t *Table) Len() int { return len(t.sessions) }

// Export returns copies of all sessions for a snapshot.
func (t *Table) Export() []Session {
	list := t.List()
	sessions := make([]Session, len(list))
	for i, session := range list {
		sessions[i] = *session
	}
	return sessions
}

// Import replaces all sessions with those of a snapshot.
func (t *Table) Import(sessions []Session) {
	t.sessions = make(map[uint64]*Session, len(sessions))
	t.byMember = make(map[string]uint64, len(sessions))
	for i := range sessions {
		t.insert(&sessions[i])
	}
}
