// Package stageplan decides how many replicas of a service read prompts and how
// many generate answers. It is a pure state machine: Step takes what is known and
// returns at most one change, and never acts itself.
//
// Reading is given all replicas that generating does not need: a prompt that
// waits delays its first token, whereas a batch that is a little fuller hardly
// slows its members down (Zhong et al., DistServe, OSDI 2024, section 2). Until
// demand has been seen, a fixed share generates, since empty caches make reading
// dearest at the start.
package stageplan

import (
	"math"
	"time"
)

// Replica is a replica as the planner sees it.
type Replica struct {
	ID string
	// Generates is false for replicas that read prompts.
	Generates bool
	Slots     int
	// Changing replicas are on their way to the other stage; Generates is what
	// they will be.
	Changing bool
	// Unsettled replicas have come a short time ago or do not answer: they count
	// for nothing and are not changed.
	Unsettled bool
	// Refuses says that a replica has refused requests of late: it would be of no use in another stage.
	Refuses bool
}

// Input is what Step decides on.
type Input struct {
	Replicas []Replica
	// Generating is the number of answers that are being generated, and Expected that to
	// which it tends.
	Generating float64
	Expected   float64
	// Reading is the number of replicas that the prompts to be read keep busy.
	Reading float64
	// Known is false while the demand has not been told.
	Known bool
	// Restless says that replicas are coming or going: then one more is left to
	// generate, for what is there may be gone soon.
	Restless bool
	// Elsewhere are the service's replicas in other regions.
	Elsewhere Elsewhere
	// Spares are replicas that stand by.
	Spares Spares
	Rules  Rules
}

// Spares counts replicas that stand by, by their stage. What one of them could do no other has to change
// its stage for.
type Spares struct{ Readers, Generators int }

// exist reports whether there are any.
func (s Spares) exist() bool { return s.Readers+s.Generators > 0 }

// Elsewhere counts the replicas of a service that other plans hold. The bounds on changes at the
// same time hold over all.
type Elsewhere struct {
	Replicas int
	Changing int
}

// Rules are what a policy adds to the plan.
type Rules struct {
	// Bounded says that MaximumAway holds.
	Bounded bool
	// MaximumAway bounds the replicas that change at the same time; 0 forbids changes.
	MaximumAway int
	// MinimumDwell is how long a replica keeps a stage at least.
	MinimumDwell time.Duration
	// Permits decides on a change; nil permits every one.
	Permits func(Change) bool
}

// Change moves one replica to the other stage.
type Change struct {
	// ReplicaID is that of the replica, the first of Candidates, which would do as well.
	ReplicaID  string
	Candidates []string
	Generates  bool
	Reason     string
	// Generating and Reading are the demand that decided: the peak of the answers
	// being generated, and the replicas that reading keeps busy.
	Generating float64
	Reading    float64
	// Generators is the number of replicas that generated before.
	Generators int
	// SinceLast is the time since the last change of the service.
	SinceLast time.Duration
}

const (
	// initialGeneratingShare generates until demand is known.
	initialGeneratingShare = 0.33
	// minimumGeneratingShare is left when replicas stop generating, whatever the
	// demand is. If it is lost otherwise, only demand brings it back.
	minimumGeneratingShare = 0.25
	// targetOccupancy is the wanted share of slots in use at generating replicas,
	// and fullOccupancy that from which on another one is needed.
	targetOccupancy = 0.6
	fullOccupancy   = 0.75
	// busyReading is the utilisation of readers from which on another one is
	// worth a change: a prompt then finds both places that suit it busy one time
	// in ten, and if a third of the readers is lost the others can read what comes
	// until more have changed, which takes seconds.
	busyReading = 0.3
	// fullReading is the utilisation up to which readers can be used.
	fullReading = 0.9
	// minimumReplicas of each stage are kept if there are as many.
	minimumReplicas = 2
	// settleTime is the least time between a change towards one stage and one
	// towards the other.
	settleTime = 3 * time.Second
	// maximumAwayShare bounds the replicas that change at the same time.
	maximumAwayShare = 0.34
	// peakMemory is how fast the remembered peak of the demand fades.
	peakMemory = 2500 * time.Millisecond
)

// Planner plans for one service.
type Planner struct {
	// IgnoreForecast plans on the streams that run, UnevenShortage serves generating first
	// when there are too few replicas.
	IgnoreForecast bool
	UnevenShortage bool

	peak       float64
	reading    float64
	at         time.Duration
	lastChange time.Duration
	lastWay    bool
	changed    bool
	// changedAt is when each replica was last changed.
	changedAt map[string]time.Duration
}

// Step takes the input in and returns the next change, or nil.
func (p *Planner) Step(now time.Duration, input Input) *Change {
	p.observe(now, input)
	generating, away := count(input.Replicas)
	total := len(input.Replicas)
	if away >= input.Rules.maximumAway(total) ||
		away+input.Elsewhere.Changing >= input.Rules.maximumAway(total+input.Elsewhere.Replicas) {
		return nil
	}
	if total < minimumReplicas {
		return p.onlyReplica(now, input, generating)
	}
	wanted := p.wanted(input, generating)
	switch {
	case wanted > generating && input.Spares.Generators == 0:
		return p.change(now, input, true, "generating replicas are short")
	case wanted < generating && input.Spares.Readers == 0:
		return p.change(now, input, false, "more replicas can read prompts")
	}
	return nil
}

// onlyReplica has a region's one replica generate: it reads the prompts that it answers, too,
// whereas what a reader has read would have to leave the region. Without other regions it stays
// what it is.
func (p *Planner) onlyReplica(now time.Duration, input Input, generating int) *Change {
	if input.Elsewhere.Replicas == 0 || generating > 0 {
		return nil
	}
	return p.change(now, input, true, "the region's only replica has to generate")
}

// observe keeps the peaks of the demand, which fade.
func (p *Planner) observe(now time.Duration, input Input) {
	fade := math.Exp(-(now - p.at).Seconds() / peakMemory.Seconds())
	p.at = now
	p.peak = max(p.streams(input), p.peak*fade)
	p.reading = max(input.Reading, p.reading*fade)
}

// streams is the demand for generating: no fewer than run, since streams that run longer the
// more there are make a forecast too low.
func (p *Planner) streams(input Input) float64 {
	if p.IgnoreForecast {
		return input.Generating
	}
	return max(input.Expected, input.Generating)
}

// wanted is the number of replicas that should generate.
func (p *Planner) wanted(input Input, generating int) int {
	total := settled(input.Replicas)
	least := min(minimumReplicas, total-1)
	most := max(total-minimumReplicas, least)
	slots := float64(slotsOf(input.Replicas))
	needed := min(max(int(math.Ceil(p.peak/(slots*fullOccupancy))), least), most)
	if !input.Known {
		if input.Spares.exist() {
			return max(generating, needed)
		}
		initial := int(math.Ceil(initialGeneratingShare * float64(total)))
		return min(max(initial, needed), most)
	}
	floor := max(int(math.Ceil(minimumGeneratingShare*float64(total))), least)
	if even, short := p.evenShortage(slots, total); short && !p.UnevenShortage {
		return min(max(even, min(floor, generating)), most)
	}
	if generating < needed {
		return needed
	}
	comfortable := max(int(math.Ceil(p.peak/(slots*targetOccupancy))), floor)
	if input.Restless {
		comfortable++
	}
	comfortable = min(comfortable, most)
	readers := total - generating
	if generating > comfortable && p.reading > busyReading*float64(readers) {
		return comfortable
	}
	return generating
}

// evenShortage is the number of replicas that should generate while there are too few for
// both stages: each gets the same share of those that it needs. Generators count at the
// lower occupancy: what has been read is of no use until one takes it.
func (p *Planner) evenShortage(slots float64, total int) (generating int, short bool) {
	forPrompts := p.reading / fullReading
	if p.peak/(slots*fullOccupancy)+forPrompts <= float64(total) {
		return 0, false
	}
	forStreams := p.peak / (slots * targetOccupancy)
	return int(math.Round(float64(total) * forStreams / (forStreams + forPrompts))), true
}

// maximumAway is how many of a number of replicas may change at the same time.
func (r Rules) maximumAway(total int) int {
	most := max(1, int(maximumAwayShare*float64(total)))
	if r.Bounded {
		return min(most, r.MaximumAway)
	}
	return most
}

// change chooses the replica for a change, unless the last one went the other way
// a short time ago or the policy does not permit it.
func (p *Planner) change(now time.Duration, input Input, generates bool, reason string) *Change {
	if p.changed && p.lastWay != generates && now-p.lastChange < settleTime && !(generates && input.overfull()) {
		return nil
	}
	candidates := p.candidates(now, input, generates)
	if len(candidates) == 0 {
		return nil
	}
	generators, _ := count(input.Replicas)
	change := Change{
		ReplicaID:  candidates[0],
		Candidates: candidates,
		Generates:  generates,
		Reason:     reason,
		Generating: p.peak,
		Reading:    p.reading,
		Generators: generators,
		SinceLast:  now - p.lastChange,
	}
	if input.Rules.Permits != nil && !input.Rules.Permits(change) {
		return nil
	}
	p.note(now, change.ReplicaID, generates)
	return &change
}

// NoteChange has the input show that a change has begun.
func (i Input) NoteChange(change *Change) {
	for index := range i.Replicas {
		if i.Replicas[index].ID == change.ReplicaID {
			i.Replicas[index].Generates = change.Generates
			i.Replicas[index].Changing = true
		}
	}
}

// overfull reports whether more answers are being generated than there is room for.
func (i Input) overfull() bool {
	generating, _ := count(i.Replicas)
	return i.Generating > float64(generating*slotsOf(i.Replicas))
}

// candidates are the replicas that may be moved to a stage.
func (p *Planner) candidates(now time.Duration, input Input, generates bool) []string {
	var ids []string
	for _, replica := range input.Replicas {
		if replica.Generates == generates || replica.Changing || replica.Unsettled || replica.Refuses || p.dwells(now, replica.ID, input.Rules) {
			continue
		}
		ids = append(ids, replica.ID)
	}
	return ids
}

// Choose has another of a change's candidates changed than the first.
func (p *Planner) Choose(now time.Duration, change *Change, id string) {
	if id == change.ReplicaID {
		return
	}
	delete(p.changedAt, change.ReplicaID)
	change.ReplicaID = id
	p.note(now, id, change.Generates)
}

// dwells reports whether a replica has to keep its stage for now.
func (p *Planner) dwells(now time.Duration, id string, rules Rules) bool {
	changed, known := p.changedAt[id]
	return known && now-changed < rules.MinimumDwell
}

// note remembers a change.
func (p *Planner) note(now time.Duration, id string, generates bool) {
	p.changed = true
	p.lastWay = generates
	p.lastChange = now
	if p.changedAt == nil {
		p.changedAt = map[string]time.Duration{}
	}
	p.changedAt[id] = now
}

func count(replicas []Replica) (generating, away int) {
	for _, replica := range replicas {
		if replica.Generates && !replica.Unsettled {
			generating++
		}
		if replica.Changing {
			away++
		}
	}
	return generating, away
}

// settled counts the replicas that count for something.
func settled(replicas []Replica) int {
	count := 0
	for _, replica := range replicas {
		if !replica.Unsettled {
			count++
		}
	}
	return count
}

func slotsOf(replicas []Replica) int {
	slots := 1
	for _, replica := range replicas {
		slots = max(slots, replica.Slots)
	}
	return slots
}
