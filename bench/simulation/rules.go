package simulation

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/session"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// Rule names what a violation is about: one of the nine counters of package
// truth, or a rule that only the simulator can check.
type Rule string

// The rules of the simulator.
const (
	// ruleElection: a term of a group has at most one leader.
	ruleElection Rule = "two_leaders"
	// ruleReplication: all replicas apply the same commands in the same order
	// and reach the same state.
	ruleReplication Rule = "replicas_differ"
	// ruleDurability: a replica opens after every crash, and what was
	// acknowledged is applied.
	ruleDurability Rule = "not_durable"
	// ruleLinearizable: what operators and gateways saw fits one order of the
	// operations that respects their times.
	ruleLinearizable Rule = "not_linearizable"
	// ruleChangedInUse: an engine changes only while no gateway may dispatch
	// to it.
	ruleChangedInUse Rule = "changed_in_use"
	// ruleUncommitted: an engine obeys only orders of the zone group's log.
	ruleUncommitted Rule = "uncommitted_order"
	// ruleLiveness: after the faults have ended everything is brought to its
	// end in bounded time.
	ruleLiveness Rule = "not_settled"
	// ruleEnding: a prompt that has ended three engines reaches few more.
	ruleEnding Rule = "ends_engines"
	// ruleInternal: something that can't happen has happened.
	ruleInternal Rule = "internal"
)

// Violation is one broken rule.
type Violation struct {
	Rule   Rule          `json:"rule"`
	At     time.Duration `json:"at"`
	Detail string        `json:"detail"`
}

// maximumViolations bounds the violations that a run keeps.
const maximumViolations = 10

type groupTerm struct{ group, term uint64 }

type groupIndex struct{ group, index uint64 }

// rules checks what needs a view of all processes at once.
type rules struct {
	world      *world
	violations []Violation
	leaders    map[groupTerm]consensus.ReplicaID
	// commands holds the hash of the command applied at each position.
	commands map[groupIndex]uint64
	// issued names the engine of each order in a zone group's log, and obeyed
	// lists what engines have obeyed.
	issued    map[groupIndex]string
	obeyed    []obeyedOrder
	claims    *claimHistory
	documents *documentHistory
	// poisoned are the prompts that end engines.
	poisoned map[string]*poisoned
}

// obeyedOrder is an order that an engine has begun to carry out.
type obeyedOrder struct {
	engine   string
	position groupIndex
}

func newRules(w *world) *rules {
	return &rules{
		world:     w,
		leaders:   map[groupTerm]consensus.ReplicaID{},
		commands:  map[groupIndex]uint64{},
		issued:    map[groupIndex]string{},
		claims:    newClaimHistory(w),
		documents: newDocumentHistory(w),
	}
}

func (r *rules) violate(rule Rule, format string, arguments ...any) {
	if len(r.violations) >= maximumViolations {
		return
	}
	found := Violation{Rule: rule, At: r.world.now, Detail: fmt.Sprintf(format, arguments...)}
	r.violations = append(r.violations, found)
	r.world.note("violation", "%s: %s", rule, found.Detail)
}

// leads checks election safety.
func (r *rules) leads(hosted *hostedReplica, term uint64) {
	key := groupTerm{hosted.group.number, term}
	known, found := r.leaders[key]
	if found && known != hosted.id {
		r.violate(ruleElection, "%s has two leaders in term %d: %s and another", hosted.group.name, term, hosted.owner.name)
	}
	r.leaders[key] = hosted.id
}

// applied checks state machine safety.
func (r *rules) applied(hosted *hostedReplica, index uint64, command []byte) {
	key := groupIndex{hosted.group.number, index}
	hash := xxhash.Sum64(command)
	known, found := r.commands[key]
	if found && known != hash {
		r.violate(ruleReplication, "%s applies another command of %s at %d than its peers", hosted.owner.name, hosted.group.name, index)
	}
	r.commands[key] = hash
	if !found && hosted.group != r.world.configGroup {
		r.noteIssued(key, command)
	}
}

// noteIssued remembers the orders in a zone group's log.
func (r *rules) noteIssued(key groupIndex, data []byte) {
	command, err := zonestate.DecodeCommand(data)
	if err == nil && command.Kind == zonestate.KindIssueOrder {
		r.issued[key] = command.Engine.ID
	}
}

// checkOrders holds the orders that were obeyed against the logs.
func (r *rules) checkOrders() {
	for _, order := range r.obeyed {
		if r.issued[order.position] != order.engine {
			r.violate(ruleUncommitted, "%s obeyed the order with fence index %d, which was never committed", order.engine, order.position.index)
		}
	}
}

// completed checks that what a proposer is told was applied.
func (r *rules) completed(hosted *hostedReplica, completion replica.Completion) {
	if completion.Err != nil || len(completion.Result) == 0 {
		return
	}
	if _, found := r.commands[groupIndex{hosted.group.number, completion.Index}]; !found {
		r.violate(ruleDurability, "%s acknowledged position %d of %s, which was never applied",
			hosted.owner.name, completion.Index, hosted.group.name)
	}
}

// checkedMachine reports to the rules what a replica applies.
type checkedMachine struct {
	replica.StateMachine
	replica *hostedReplica
	last    uint64
}

// Apply implements replica.StateMachine.
func (m *checkedMachine) Apply(index uint64, command []byte) []byte {
	rules := m.replica.owner.world.rules
	if index <= m.last {
		rules.violate(ruleReplication, "%s applies position %d of %s after %d",
			m.replica.owner.name, index, m.replica.group.name, m.last)
	}
	m.last = index
	rules.applied(m.replica, index, command)
	return m.StateMachine.Apply(index, command)
}

// Restore implements replica.StateMachine.
func (m *checkedMachine) Restore(data []byte) error {
	m.last = 0
	return m.StateMachine.Restore(data)
}

// engineChanges checks, at the moment when an engine obeys an order, that no
// gateway may start new work there.
func (r *rules) engineChanges(e *engine, order engineapi.Order) {
	r.obeyed = append(r.obeyed, obeyedOrder{e.name, groupIndex{e.zoneOf.group.number, order.Fence.Index}})
	for _, each := range e.zoneOf.gateways {
		if !each.alive {
			continue
		}
		allowed, reason := each.session.MayDispatch(each.now(), e.name)
		if allowed || reason == session.ReasonUnconfirmed {
			r.violate(ruleChangedInUse, "%s obeys order %v while %s may dispatch to it", e.name, order.Fence, each.name)
		}
	}
}

// judge adds the verdicts of the checker of ground truth and of the histories.
func (r *rules) judge() {
	report := r.world.checker.Report()
	for _, example := range report.Examples {
		if len(r.violations) < maximumViolations {
			r.violations = append(r.violations, Violation{Rule(example.Violation), example.At, example.Detail})
		}
	}
	r.world.report = report
	r.documents.judge()
	r.claims.judge()
	r.checkOrders()
	r.checkReplicas()
}

// checkReplicas compares the states of a group's replicas that have applied
// the same position.
func (r *rules) checkReplicas() {
	for _, each := range r.world.groups {
		states := map[uint64]string{}
		for _, owner := range each.members {
			hosted := owner.replicaOf(each)
			if hosted == nil || hosted.node == nil {
				continue
			}
			data, err := hosted.machine.Snapshot()
			if err != nil {
				r.violate(ruleInternal, "%s: %v", owner.name, err)
				continue
			}
			applied := hosted.node.Applied()
			if known, found := states[applied]; found && known != string(data) {
				r.violate(ruleReplication, "%s has another state of %s at %d than its peers", owner.name, each.name, applied)
			}
			states[applied] = string(data)
		}
	}
}
