package zonestate

// applyEngine executes a command about one engine.
func (s *State) applyEngine(index uint64, command *Command) Result {
	part := command.Engine
	if part.ID == "" || len(part.ID) > maximumNameBytes {
		return invalid("engine id is empty or too long")
	}
	if command.Kind == KindRegisterEngine {
		return s.registerEngine(index, part)
	}
	engine, found := s.engines[part.ID]
	if !found {
		return Result{Outcome: OutcomeNotFound, Detail: "no engine " + part.ID}
	}
	if command.Kind == KindRemoveEngine {
		return s.removeEngine(index, engine)
	}
	result := s.changeEngine(index, command.Kind, engine, part)
	if result.Outcome == OutcomeDone {
		engine.updateWithheld(index)
		engine.ChangedAt = index
		s.revision = index
	}
	return result
}

// changeEngine changes one engine. The caller updates WithheldAt
// afterwards.
func (s *State) changeEngine(index uint64, kind Kind, engine *Engine, part *EngineCommand) Result {
	switch kind {
	case KindVerifyEngine:
		return engine.verify(index, part)
	case KindDoubtEngine:
		return engine.clearVerified()
	case KindSetEngineLeaving:
		engine.Leaving = part.Leaving
		return done()
	case KindDrainEngine, KindUndrainEngine:
		return engine.setDrained(index, kind == KindDrainEngine, part)
	case KindBeginChange:
		return engine.beginChange(part)
	case KindCancelChange:
		return engine.cancelChange(part)
	case KindIssueOrder:
		return s.issueOrder(index, engine, part)
	case KindCompleteOrder:
		return engine.completeOrder(part)
	case KindFailOrder:
		return engine.failOrder(part)
	case KindAbandonChange:
		return engine.abandonChange(index, part)
	default:
		return invalid("kind is not about an engine")
	}
}

func (s *State) registerEngine(index uint64, part *EngineCommand) Result {
	if part.Address == "" || len(part.Address) > maximumNameBytes {
		return invalid("engine address is empty or too long")
	}
	engine, found := s.engines[part.ID]
	if found && engine.Address == part.Address {
		return done()
	}
	if !found && len(s.engines) >= maximumEngines {
		return Result{Outcome: OutcomeFull, Detail: "too many engines"}
	}
	if !found {
		engine = &Engine{ID: part.ID, LastFence: s.retired.take(part.ID)}
		s.engines[part.ID] = engine
	}
	s.clearVerifiedAt(index, part.Address)
	engine.Address = part.Address
	// Another address may be another machine, which has not been verified yet.
	engine.Verified = nil
	engine.updateWithheld(index)
	engine.ChangedAt = index
	s.revision = index
	return done()
}

// clearVerifiedAt marks as unverified, and so withholds, the engines that are
// registered at an address which another engine takes over: requests to them would
// reach the machine that is there now.
func (s *State) clearVerifiedAt(index uint64, address string) {
	for _, former := range s.engines {
		if former.Address != address {
			continue
		}
		former.Verified = nil
		former.updateWithheld(index)
		former.ChangedAt = index
	}
}

func (s *State) removeEngine(index uint64, engine *Engine) Result {
	delete(s.engines, engine.ID)
	s.retired.add(engine.ID, engine.LastFence)
	s.removals.add(removal{Kind: removedEngine, ID: engine.ID, RemovedAt: index})
	s.revision = index
	return done()
}

// verify records the configuration that an engine runs. The first one observed also
// becomes the desired configuration. An engine that has lost its record of orders
// stays unverified.
func (e *Engine) verify(index uint64, part *EngineCommand) Result {
	if part.Observed == nil || !validConfiguration(part.Observed) {
		return invalid("observed configuration is missing or out of bounds")
	}
	if e.Order != nil || e.WithheldAt != part.WithheldAt {
		return stale("engine has an order or was changed meanwhile")
	}
	if e.Desired == nil {
		e.Desired = part.Observed
		e.DesiredAt = index
	}
	if part.Fence.Less(e.LastFence) {
		return done()
	}
	e.Verified = part.Observed
	e.Incarnation = part.Incarnation
	return done()
}

// clearVerified removes the verified configuration, for example after a crash during a change.
func (e *Engine) clearVerified() Result {
	if e.Order != nil {
		return stale("engine has an order")
	}
	e.Verified = nil
	return done()
}

func (e *Engine) setDrained(index uint64, drained bool, part *EngineCommand) Result {
	if part.Guarded && part.OperatorAt != e.OperatorAt {
		return stale("another operator has changed the engine")
	}
	e.Drained = drained
	e.OperatorAt = index
	return done()
}

func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return text[:limit]
}
