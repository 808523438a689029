package zonestate

import (
	"github.com/pierhaven/pierhaven/coordination/onceonly"
)

// stepOnceOnly passes a command to the table of claims, with the time of the log entry.
func (s *State) stepOnceOnly(command *Command, step onceonly.Command) Result {
	step.TimeMillis = command.TimeMillis
	reply := s.onceOnly.Step(&step)
	return Result{Outcome: OutcomeDone, OnceOnly: &reply}
}

func onceOnlyResult(status onceonly.Status) Result {
	return Result{Outcome: OutcomeDone, OnceOnly: &onceonly.Reply{Status: status}}
}

// applyOnceOnly executes one of the once-only calls.
func (s *State) applyOnceOnly(command *Command) Result {
	switch command.Kind {
	case KindClaim:
		return s.claim(command)
	case KindComplete:
		return s.complete(command)
	case KindRelease:
		return s.release(command)
	default:
		return invalid("kind is not a once-only call")
	}
}

func (s *State) claim(command *Command) Result {
	part := command.OnceOnly
	tenant, known := s.Tenant(part.Tenant)
	if !known {
		return Result{Outcome: OutcomeNotReady, Detail: "tenant is not known here yet"}
	}
	key, err := onceonly.ParseKey(part.Key, tenant.HomeZone, s.parameters.IsZone)
	if err != nil || key.Zone != s.zone || (key.Opaque && !tenant.OpaqueKeys) {
		return onceOnlyResult(onceonly.StatusInvalid)
	}
	if part.Zone == s.zone && !s.holdsSession(part) {
		return Result{Outcome: OutcomeNotReady, Detail: "the gateway's session has ended"}
	}
	return s.stepOnceOnly(command, onceonly.Command{
		Kind: onceonly.KindClaim,
		Claim: &onceonly.Claim{
			Tenant:       part.Tenant,
			Key:          key.Rest,
			MintedMillis: key.MintedMillis,
			Opaque:       key.Opaque,
			BodyHash:     part.BodyHash,
			AttemptID:    part.AttemptID,
			Holder:       holderName(part.Zone, part.SessionID),
		},
	})
}

func (s *State) holdsSession(part *OnceOnlyCommand) bool {
	session, open := s.sessions.Get(part.SessionID)
	return open && session.MemberID == part.GatewayID
}

// localKey parses the key of a call that follows a granted claim, and returns it
// without its zone. It does not look up the tenant's home zone, since the tenant
// may have been removed since the claim.
func (s *State) localKey(part *OnceOnlyCommand) (string, bool) {
	key, err := onceonly.ParseKey(part.Key, s.zone, s.parameters.IsZone)
	return key.Rest, err == nil && key.Zone == s.zone
}

func (s *State) complete(command *Command) Result {
	part := command.OnceOnly
	rest, valid := s.localKey(part)
	if !valid || part.Answer == nil {
		return onceOnlyResult(onceonly.StatusInvalid)
	}
	return s.stepOnceOnly(command, onceonly.Command{
		Kind: onceonly.KindComplete,
		Completion: &onceonly.Completion{
			Tenant:    part.Tenant,
			Key:       rest,
			AttemptID: part.AttemptID,
			Answer:    *part.Answer,
		},
	})
}

func (s *State) release(command *Command) Result {
	part := command.OnceOnly
	rest, valid := s.localKey(part)
	if !valid {
		return onceOnlyResult(onceonly.StatusInvalid)
	}
	return s.stepOnceOnly(command, onceonly.Command{
		Kind: onceonly.KindRelease,
		Release: &onceonly.Release{
			Tenant:    part.Tenant,
			Key:       rest,
			AttemptID: part.AttemptID,
			NotRun:    part.NotRun,
		},
	})
}
