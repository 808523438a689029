package zonestate

import "sort"

//go:generate go tool msgp -file rollout.go -o rollout_gen.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// RolloutPhase is the phase of a rollout.
type RolloutPhase string

// Phases of a rollout.
const (
	// RolloutRunning: engines are changed to the new version step by step.
	RolloutRunning RolloutPhase = "running"
	// RolloutHalted: the rollout failed, or an operator halted it. No further
	// engine is changed.
	RolloutHalted RolloutPhase = "halted"
	// RolloutReverting: at an operator's request the changed engines are reverted
	// to the old version.
	RolloutReverting RolloutPhase = "reverting"
	// RolloutReverted: all engines are reverted. The version that the policy
	// specifies is not tried again until an operator resumes the rollout or the
	// policy specifies another version.
	RolloutReverted RolloutPhase = "reverted"
	// RolloutDone: all engines run the new version.
	RolloutDone RolloutPhase = "done"
)

// Rollout is the change of a model's version in a zone: the one in progress, or
// the last one.
type Rollout struct {
	Model string       `msg:"model"`
	From  string       `msg:"from"`
	To    string       `msg:"to"`
	Phase RolloutPhase `msg:"phase"`
	// Reason is the reason of the last change of phase, such as why it was halted.
	Reason string `msg:"reason,omitempty"`
	// BeganAt and ChangedAt are the log indexes of its start and of the last
	// change of its phase.
	BeganAt   uint64 `msg:"began_at"`
	ChangedAt uint64 `msg:"changed_at"`
}

// RolloutCommand contains the fields of commands about the rollout of one model.
type RolloutCommand struct {
	Model string `msg:"model"`
	// From and To belong to KindBeginRollout.
	From   string `msg:"from,omitempty"`
	To     string `msg:"to,omitempty"`
	Reason string `msg:"reason,omitempty"`
	// ChangedAt guards the command if Guarded; 0 means that the model must have
	// no rollout yet.
	ChangedAt uint64 `msg:"changed_at,omitempty"`
	Guarded   bool   `msg:"guarded,omitempty"`
}

// allowedFrom lists the phases in which a command is allowed, and phaseAfter the
// phase that follows it. KindEndRollout ends the present phase, see Rollout.change.
var (
	allowedFrom = map[Kind][]RolloutPhase{
		KindHaltRollout:   {RolloutRunning, RolloutReverting},
		KindResumeRollout: {RolloutHalted, RolloutReverting, RolloutReverted},
		KindRevertRollout: {RolloutRunning, RolloutHalted, RolloutDone},
		KindEndRollout:    {RolloutRunning, RolloutReverting},
	}
	phaseAfter = map[Kind]RolloutPhase{
		KindHaltRollout:   RolloutHalted,
		KindResumeRollout: RolloutRunning,
		KindRevertRollout: RolloutReverting,
	}
)

// applyRollout executes a command about a rollout.
func (s *State) applyRollout(index uint64, command *Command) Result {
	part := command.Rollout
	for _, text := range []string{part.Model, part.From, part.To} {
		if len(text) > maximumNameBytes {
			return invalid("a name is too long")
		}
	}
	rollout, found := s.rollouts[part.Model]
	if part.Guarded && (found && part.ChangedAt != rollout.ChangedAt || !found && part.ChangedAt != 0) {
		return stale("the rollout has changed meanwhile")
	}
	if command.Kind == KindBeginRollout {
		return s.beginRollout(index, part)
	}
	if !found {
		return Result{Outcome: OutcomeNotFound, Detail: "model " + part.Model + " has no rollout"}
	}
	return rollout.change(index, command.Kind, part)
}

func (s *State) beginRollout(index uint64, part *RolloutCommand) Result {
	if part.Model == "" || part.To == "" || part.From == part.To {
		return invalid("a rollout needs a model and two versions")
	}
	if _, found := s.rollouts[part.Model]; !found && len(s.rollouts) >= maximumRollouts {
		return Result{Outcome: OutcomeFull, Detail: "too many rollouts"}
	}
	s.rollouts[part.Model] = &Rollout{
		Model: part.Model, From: part.From, To: part.To, Phase: RolloutRunning, BeganAt: index, ChangedAt: index,
	}
	return done()
}

func (r *Rollout) change(index uint64, kind Kind, part *RolloutCommand) Result {
	allowed := false
	for _, phase := range allowedFrom[kind] {
		allowed = allowed || r.Phase == phase
	}
	if !allowed {
		return stale("the rollout is " + string(r.Phase))
	}
	next, found := phaseAfter[kind]
	switch {
	case found:
	case r.Phase == RolloutReverting:
		next = RolloutReverted
	default:
		next = RolloutDone
	}
	r.Phase = next
	r.Reason = truncate(part.Reason, maximumTextBytes)
	r.ChangedAt = index
	return done()
}

// Rollout returns the rollout of a model. The caller must not change it.
func (s *State) Rollout(model string) (*Rollout, bool) {
	rollout, found := s.rollouts[model]
	return rollout, found
}

// Rollouts returns all rollouts, sorted by model. The caller must not change
// them.
func (s *State) Rollouts() []*Rollout {
	list := make([]*Rollout, 0, len(s.rollouts))
	for _, rollout := range s.rollouts {
		list = append(list, rollout)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Model < list[j].Model })
	return list
}
