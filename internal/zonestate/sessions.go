package zonestate

import (
	"fmt"
	"sort"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// applySession executes a command about a gateway's session.
func (s *State) applySession(index uint64, command *Command) Result {
	part := command.Session
	switch command.Kind {
	case KindOpenSession:
		return s.openSession(index, command)
	case KindEndSession:
		session, found := s.sessions.Get(part.SessionID)
		if !found || (part.GatewayID != "" && part.GatewayID != session.MemberID) {
			return Result{Outcome: OutcomeNotFound, Detail: "no such session"}
		}
		s.endSession(index, command, session.ID)
		return done()
	case KindForgetGateway:
		session, found := s.sessions.ByMember(part.GatewayID)
		if !found {
			return Result{Outcome: OutcomeNotFound, Detail: "gateway has no session"}
		}
		s.endSession(index, command, session.ID)
		return done()
	default:
		return invalid("kind is not about a session")
	}
}

// sessionID returns a session id that is unique across all generations of the group.
func (s *State) sessionID(index uint64) uint64 {
	return (s.generation-firstGeneration)<<generationShift | index
}

func (s *State) openSession(index uint64, command *Command) Result {
	part := command.Session
	session, superseded, outcome := s.sessions.Open(index, s.sessionID(index), membership.OpenRequest{
		MemberID:         part.GatewayID,
		Incarnation:      part.Incarnation,
		Address:          part.Address,
		PeerAddress:      part.PeerAddress,
		Ticket:           part.Ticket,
		Terms:            s.parameters.Terms,
		IsolationTargets: membership.ChooseIsolationSet(part.GatewayID, s.isolationGroups()),
	})
	switch outcome {
	case membership.OpenDone:
	case membership.OpenStale:
		return stale("ticket is older than the gateway's session")
	case membership.OpenAddressInUse:
		return Result{Outcome: OutcomeAddressInUse, Detail: "gateway id has a session from another address"}
	case membership.OpenFull:
		return Result{Outcome: OutcomeFull, Detail: "too many sessions"}
	default:
		return invalid("incomplete session request")
	}
	if superseded != 0 {
		s.expireClaims(command, superseded)
	}
	if session.OpenedAt == index {
		s.markGatewaysChanged(index)
	}
	return Result{Outcome: OutcomeDone, SessionID: session.ID}
}

func (s *State) markGatewaysChanged(index uint64) {
	s.revision = index
}

func (s *State) endSession(index uint64, command *Command, id uint64) {
	s.sessions.End(id)
	s.expireClaims(command, id)
	s.markGatewaysChanged(index)
}

// expireClaims sets the outcome of the claims that a session has in progress to unknown.
func (s *State) expireClaims(command *Command, sessionID uint64) {
	s.stepOnceOnly(command, onceonly.Command{
		Kind:   onceonly.KindExpireHolder,
		Holder: holderName(s.zone, sessionID),
	})
}

// holderName returns a name of a session that is unique across all zones.
func holderName(zone string, sessionID uint64) string {
	return fmt.Sprintf("%s/%d", zone, sessionID)
}

// assignIsolation assigns new isolation sets to sessions. All of them are part of
// one revision, so that gateways are updated only once. A session that has not
// acknowledged its earlier sets is skipped.
func (s *State) assignIsolation(index uint64, parts []SessionCommand) Result {
	groups := s.isolationGroups()
	assigned := 0
	for i := range parts {
		session, found := s.sessions.Get(parts[i].SessionID)
		if !found {
			continue
		}
		targets := membership.ChooseIsolationSet(session.MemberID, groups)
		if s.sessions.Assign(index, session.ID, targets, parts[i].Acknowledged) {
			assigned++
		}
	}
	if assigned == 0 {
		return stale("no session, or earlier isolation sets are not acknowledged")
	}
	s.markGatewaysChanged(index)
	return done()
}

// IsolationTargets returns the isolation set that a gateway would be assigned now.
func (s *State) IsolationTargets(gatewayID string) []string {
	return membership.ChooseIsolationSet(gatewayID, s.isolationGroups())
}

type isolationKey struct {
	model string
	role  engineapi.Role
}

// isolationGroups groups interchangeable engines by the model and role that they
// should run. Engines that an operator has drained or that are leaving are
// left out.
func (s *State) isolationGroups() [][]string {
	engineIDs := make(map[isolationKey][]string)
	for _, engine := range s.Engines() {
		if engine.Desired == nil || engine.Drained || engine.Leaving {
			continue
		}
		key := isolationKey{model: engine.Desired.Model, role: engine.Desired.Role}
		engineIDs[key] = append(engineIDs[key], engine.ID)
	}
	keys := make([]isolationKey, 0, len(engineIDs))
	for key := range engineIDs {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].model != keys[j].model {
			return keys[i].model < keys[j].model
		}
		return keys[i].role < keys[j].role
	})
	groups := make([][]string, len(keys))
	for i, key := range keys {
		groups[i] = engineIDs[key]
	}
	return groups
}
