package zonestate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pierhaven/pierhaven/coordination/onceonly"
)

// Apply implements replica.StateMachine: it executes an encoded Command and
// returns an encoded Result.
func (s *State) Apply(index uint64, data []byte) []byte {
	s.applied = index
	result := s.applyOnce(index, data)
	encoded, err := result.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return encoded
}

// applyOnce executes a command. An operator's request that is sent again is not executed again, and gets
// its first result.
func (s *State) applyOnce(index uint64, data []byte) Result {
	command, err := DecodeCommand(data)
	if err != nil {
		return Result{Outcome: OutcomeInvalid, Index: index, Detail: err.Error()}
	}
	if command.RequestID == "" {
		return s.execute(index, &command)
	}
	if len(command.RequestID) > maximumNameBytes {
		return Result{Outcome: OutcomeInvalid, Index: index, Detail: "request id is too long"}
	}
	hash := command.hash()
	if earlier, found := s.requests.records[command.RequestID]; found {
		if earlier.CommandHash != hash {
			return Result{Outcome: OutcomeRequestReused, Index: index, Detail: "the request id was used for another command"}
		}
		earlier.Result.Repeated = true
		return earlier.Result
	}
	result := s.execute(index, &command)
	if result.Outcome == OutcomeNotReady {
		// The outcome asks the operator to retry. If it were recorded, every retry would get it again.
		return result
	}
	s.requests.add(requestRecord{RequestID: command.RequestID, CommandHash: hash, Result: result})
	return result
}

// hash returns a hash of the command without its time, which differs when a request is sent again.
func (c *Command) hash() uint64 {
	timeless := *c
	timeless.TimeMillis = 0
	data, err := timeless.MarshalMsg(nil)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

func (s *State) execute(index uint64, command *Command) Result {
	if command.Kind != KindFound && !s.Founded() {
		return Result{Outcome: OutcomeNotReady, Index: index, Detail: "the group is not founded"}
	}
	result := s.dispatch(index, command)
	result.Index = index
	return result
}

// dispatch calls the handler of a command. A command without the field that its
// kind requires is invalid.
func (s *State) dispatch(index uint64, command *Command) Result {
	switch {
	case command.Engine != nil:
		return s.applyEngine(index, command)
	case command.Session != nil:
		return s.applySession(index, command)
	case command.OnceOnly != nil:
		return s.applyOnceOnly(command)
	case command.BackEnd != nil:
		return s.applyBackEnd(index, command)
	case command.Rollout != nil:
		return s.applyRollout(index, command)
	}
	switch {
	case command.Kind == KindFound && command.Found != nil:
		return s.found(command)
	case command.Kind == KindEndPriorSessions:
		s.priorSessions = false
		return done()
	case command.Kind == KindConfigure && command.Parameters != nil:
		return s.configure(*command.Parameters)
	case command.Kind == KindAdoptConfig && command.Config != nil:
		return s.adoptConfig(index, command)
	case command.Kind == KindAssignIsolation:
		return s.assignIsolation(index, command.Sessions)
	case command.Kind == KindSetDesired:
		return s.setDesired(index, command.Desired)
	case command.Kind == KindPoison && command.Poison != nil:
		s.poison.Apply(index, command.Poison)
		return done()
	case command.Kind == KindAdvanceTime:
		s.stepOnceOnly(command, onceonly.Command{Kind: onceonly.KindAdvance})
		return done()
	default:
		return invalid("unknown kind, or its part is missing")
	}
}

// found executes KindFound: it sets the state of a group that has none yet. After the
// loss of an earlier generation, gateways may still act on its sessions, and its claims
// are not known.
func (s *State) found(command *Command) Result {
	found := command.Found
	if s.Founded() {
		return Result{Outcome: OutcomeStale, Detail: "the group is founded already"}
	}
	if found.Zone == "" || found.Generation < firstGeneration || !found.Parameters.valid() {
		return invalid("incomplete founding")
	}
	s.zone = found.Zone
	s.generation = found.Generation
	s.parameters = found.Parameters
	s.configureOnceOnly()
	if found.Generation > firstGeneration {
		s.priorSessions = true
		s.stepOnceOnly(command, onceonly.Command{Kind: onceonly.KindRefound})
	}
	return done()
}

func (s *State) configure(parameters Parameters) Result {
	if !parameters.valid() {
		return invalid("parameters are out of range")
	}
	s.parameters = parameters
	s.configureOnceOnly()
	return done()
}

func (s *State) configureOnceOnly() {
	parameters := s.parameters.OnceOnly
	s.onceOnly.Step(&onceonly.Command{Kind: onceonly.KindConfigure, Parameters: &parameters})
}

// adoptConfig replaces the present configuration by a newer one. The adopted
// revision never decreases.
func (s *State) adoptConfig(index uint64, command *Command) Result {
	if command.Config.Revision <= s.ConfigRevision() {
		return Result{Outcome: OutcomeStale, Detail: "the adopted configuration is as new"}
	}
	s.configHistory.Add(s.config, command.Config)
	s.config = command.Config
	s.revision = index
	return done()
}

func done() Result { return Result{Outcome: OutcomeDone} }

func invalid(detail string) Result { return Result{Outcome: OutcomeInvalid, Detail: detail} }

func stale(detail string) Result { return Result{Outcome: OutcomeStale, Detail: detail} }
