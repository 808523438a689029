package zonestate

// applyBackEnd executes a command about an application back end.
func (s *State) applyBackEnd(index uint64, command *Command) Result {
	part := command.BackEnd
	if part.ID == "" || len(part.ID) > maximumNameBytes {
		return invalid("back end id is empty or too long")
	}
	backEnd, found := s.backEnds[part.ID]
	switch {
	case command.Kind == KindRegisterBackEnd:
		return s.registerBackEnd(index, part)
	case !found:
		return Result{Outcome: OutcomeNotFound, Detail: "no back end " + part.ID}
	case command.Kind == KindRemoveBackEnd:
		delete(s.backEnds, part.ID)
		s.removals.add(removal{Kind: removedBackEnd, ID: part.ID, RemovedAt: index})
	case command.Kind == KindSetBackEndServing:
		backEnd.Serving = part.Serving
		backEnd.ChangedAt = index
	default:
		return invalid("kind is not about a back end")
	}
	s.revision = index
	return done()
}

func (s *State) registerBackEnd(index uint64, part *BackEndCommand) Result {
	if part.Address == "" || len(part.Address) > maximumNameBytes || len(part.Applications) > maximumAdapters {
		return invalid("back end address or applications are out of bounds")
	}
	_, found := s.backEnds[part.ID]
	if !found && len(s.backEnds) >= maximumBackEnds {
		return Result{Outcome: OutcomeFull, Detail: "too many back ends"}
	}
	s.backEnds[part.ID] = &BackEnd{
		ID:           part.ID,
		Address:      part.Address,
		Applications: part.Applications,
		Serving:      part.Serving,
		ChangedAt:    index,
	}
	s.revision = index
	return done()
}
