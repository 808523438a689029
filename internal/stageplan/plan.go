// Package stageplan decides how many replicas of a service run in the prefill stage and how many in
// the decode stage. It is a pure state machine: Step takes the known state and returns at most one
// change, and performs no I/O.
//
// Prefill gets all replicas that decode does not need: a prompt that waits delays its first token,
// whereas a slightly larger batch hardly slows its requests down (Zhong et al., DistServe, OSDI
// 2024, section 2). Until demand has been observed, a fixed share of the replicas decodes, since
// prefill is most expensive at the start, when the caches are empty.
package stageplan

import (
	"math"
	"time"
)

// Replica is the planner's view of a replica.
type Replica struct {
	ID string
	// Decodes is true for decode replicas and false for prefill replicas.
	Decodes bool
	Slots   int
	// Changing replicas are moving to the other stage; Decodes is their future stage.
	Changing bool
	// Unsettled replicas do not respond, or have rejected everything for some time: they do not
	// count as capacity and are not changed.
	Unsettled bool
	// Rejects is set for a replica that has rejected requests recently: it would be of no use in
	// another stage.
	Rejects bool
	// Software is the version of the replica's software. Streams go on only at decode replicas of the same one.
	Software string
}

// Input is the state that Step decides on.
type Input struct {
	Replicas []Replica
	// RunningStreams is the number of answers that are being generated, and ExpectedStreams the
	// number towards which it tends.
	RunningStreams  float64
	ExpectedStreams float64
	// PrefillLoad is the number of replicas that the prompts to be prefilled keep busy.
	PrefillLoad float64
	// DemandKnown is false until demand has been reported.
	DemandKnown bool
	// Unstable is set while replicas are being added or removed, or are unsettled. One more replica
	// is then left to decode, since present ones may be removed soon.
	Unstable bool
	// OtherRegions are the service's replicas in other regions.
	OtherRegions OtherRegions
	// Standby are the replicas on standby.
	Standby Standby
	Rules   Rules
}

// Standby counts the replicas on standby by stage. No active replica has to change its stage for
// work that a standby replica could do.
type Standby struct{ Prefill, Decode int }

// available reports whether any replica is on standby.
func (s Standby) available() bool { return s.Prefill+s.Decode > 0 }

// OtherRegions counts the replicas of a service that are planned by other planners. The bounds on
// concurrent changes apply to all of them together.
type OtherRegions struct {
	Replicas int
	Changing int
}

// Rules are the constraints that a policy adds to the plan.
type Rules struct {
	// Bounded enables MaximumAway.
	Bounded bool
	// MaximumAway bounds the number of replicas that change at the same time; 0 forbids changes.
	MaximumAway int
	// MinimumDwell is the minimum time that a replica stays in a stage.
	MinimumDwell time.Duration
	// Permits decides whether a change is allowed; nil allows every change.
	Permits func(Change) bool
}

// Change moves one replica to the other stage.
type Change struct {
	// ReplicaID identifies the replica, the first of Candidates, all of which are equally suitable.
	ReplicaID  string
	Candidates []string
	Decodes    bool
	Reason     string
	// StreamPeak and PrefillPeak are the demand behind the decision: the decaying peaks of the
	// running or expected streams, and of the number of replicas that prefill keeps busy.
	StreamPeak  float64
	PrefillPeak float64
	// DecodeReplicas is the number of decode replicas before the change.
	DecodeReplicas int
	// SinceLast is the time since the planner's last change.
	SinceLast time.Duration
}

const (
	// initialDecodeShare is the share of the replicas that decode until demand is known.
	initialDecodeShare = 0.33
	// minimumDecodeShare is the share of the replicas that stays in decode when decode replicas are
	// released, whatever the demand is. If decode replicas are lost for another reason, only demand
	// restores the share.
	minimumDecodeShare = 0.25
	// targetOccupancy is the desired share of batch slots in use at decode replicas, and
	// fullOccupancy the share above which another decode replica is needed.
	targetOccupancy = 0.6
	fullOccupancy   = 0.75
	// busyPrefillUtilization is the utilization of prefill replicas above which another one is
	// worth a change. At this utilization a prompt finds both replicas that suit it busy one time
	// in ten, and if a third of the prefill replicas is lost, the others can serve the load until
	// more have changed, which takes seconds.
	busyPrefillUtilization = 0.3
	// maximumPrefillUtilization is the highest utilization that prefill replicas can sustain.
	maximumPrefillUtilization = 0.9
	// minimumReplicas is the number of replicas that each stage keeps if there are enough, and minimumOfSoftware the number
	// of decode replicas that each version of the software keeps: if one of them ends, the streams of the version go on at
	// another one.
	minimumReplicas   = 2
	minimumOfSoftware = 2
	// reversalDelay is the minimum time between a change towards one stage and one towards the
	// other.
	reversalDelay = 3 * time.Second
	// maximumAwayShare bounds the share of the replicas that change at the same time.
	maximumAwayShare = 0.34
	// peakDecayTime is the time constant with which the remembered peak of the demand decays.
	peakDecayTime = 2500 * time.Millisecond
)

// Planner plans the stages of one service, or of its replicas in one region.
type Planner struct {
	// IgnoreForecast plans for the running streams only. DecodeFirst serves decode first when
	// there are too few replicas for both stages.
	IgnoreForecast bool
	DecodeFirst    bool

	streamPeak  float64
	prefillPeak float64
	observedAt  time.Duration
	lastChange  time.Duration
	lastDecodes bool
	changed     bool
	// changedAt is the time of the last change of each replica.
	changedAt map[string]time.Duration
}

// Step updates the planner with the input and returns the next change, or nil.
func (p *Planner) Step(now time.Duration, input Input) *Change {
	p.updatePeaks(now, input)
	decoding, changing := countDecode(input.Replicas)
	total := len(input.Replicas)
	if changing >= input.Rules.maximumAway(total) ||
		changing+input.OtherRegions.Changing >= input.Rules.maximumAway(total+input.OtherRegions.Replicas) {
		return nil
	}
	if total < minimumReplicas {
		return p.planSingleReplica(now, input, decoding)
	}
	target := p.targetDecodeReplicas(input, decoding)
	switch {
	case target > decoding && input.Standby.Decode == 0:
		return p.change(now, input, true, "too few decode replicas")
	case target < decoding && input.Standby.Prefill == 0:
		return p.change(now, input, false, "more replicas can be used for prefill")
	}
	return nil
}

// planSingleReplica makes the only replica of a region a decode replica: it also prefills the
// prompts that it answers, whereas a prompt prefilled by a prefill replica would have to be
// transferred to another region. Without other regions the replica keeps its stage.
func (p *Planner) planSingleReplica(now time.Duration, input Input, decoding int) *Change {
	if input.OtherRegions.Replicas == 0 || decoding > 0 {
		return nil
	}
	return p.change(now, input, true, "the region's only replica has to decode")
}

// updatePeaks updates the decaying peaks of the demand.
func (p *Planner) updatePeaks(now time.Duration, input Input) {
	decay := math.Exp(-(now - p.observedAt).Seconds() / peakDecayTime.Seconds())
	p.observedAt = now
	p.streamPeak = max(p.streamDemand(input), p.streamPeak*decay)
	p.prefillPeak = max(input.PrefillLoad, p.prefillPeak*decay)
}

// streamDemand is the decode demand in streams. It is never less than the number of running
// streams: streams run longer the more of them there are, which makes a forecast too low.
func (p *Planner) streamDemand(input Input) float64 {
	if p.IgnoreForecast {
		return input.RunningStreams
	}
	return max(input.ExpectedStreams, input.RunningStreams)
}

// targetDecodeReplicas is the number of replicas that should decode. Once demand is known, it is the
// present number unless decode needs more, there are too few replicas for both stages, or decode has
// more than it needs while the prefill replicas are busy.
func (p *Planner) targetDecodeReplicas(input Input, decoding int) int {
	total := countSettled(input.Replicas)
	minimum := min(minimumReplicas, total-1)
	maximum := max(total-minimumReplicas, minimum)
	slots := float64(maximumSlots(input.Replicas))
	needed := min(max(int(math.Ceil(p.streamPeak/(slots*fullOccupancy))), minimum), maximum)
	if !input.DemandKnown {
		if input.Standby.available() {
			return max(decoding, needed)
		}
		initial := int(math.Ceil(initialDecodeShare * float64(total)))
		return min(max(initial, needed), maximum)
	}
	floor := max(int(math.Ceil(minimumDecodeShare*float64(total))), minimum)
	if split, short := p.splitShortage(slots, total); short && !p.DecodeFirst {
		return min(max(split, min(floor, decoding)), maximum)
	}
	if decoding < needed {
		return needed
	}
	comfortable := max(int(math.Ceil(p.streamPeak/(slots*targetOccupancy))), floor)
	if input.Unstable {
		comfortable++
	}
	comfortable = min(comfortable, maximum)
	prefilling := total - decoding
	if decoding > comfortable && p.prefillPeak > busyPrefillUtilization*float64(prefilling) {
		return comfortable
	}
	return decoding
}

// splitShortage returns the number of replicas that should decode while there are too few for both
// stages: each stage gets the same share of the replicas that it needs. Decode replicas are counted
// at targetOccupancy, which is below fullOccupancy and so gives decode a larger part, since a
// prefilled prompt is of no use until a decode replica accepts it.
func (p *Planner) splitShortage(slots float64, total int) (decoding int, short bool) {
	prefillReplicas := p.prefillPeak / maximumPrefillUtilization
	if p.streamPeak/(slots*fullOccupancy)+prefillReplicas <= float64(total) {
		return 0, false
	}
	decodeReplicas := p.streamPeak / (slots * targetOccupancy)
	return int(math.Round(float64(total) * decodeReplicas / (decodeReplicas + prefillReplicas))), true
}

// maximumAway is the number of replicas out of a total that may change at the same time.
func (r Rules) maximumAway(total int) int {
	maximum := max(1, int(maximumAwayShare*float64(total)))
	if r.Bounded {
		return min(maximum, r.MaximumAway)
	}
	return maximum
}

// change selects the replica for a change, and returns nil if no replica may be changed, if the
// policy does not permit the change, or if the last change went the other way less than reversalDelay
// ago. Overloaded decode replicas get another one without that delay.
func (p *Planner) change(now time.Duration, input Input, decodes bool, reason string) *Change {
	if p.changed && p.lastDecodes != decodes && now-p.lastChange < reversalDelay && !(decodes && input.decodeOverloaded()) {
		return nil
	}
	candidates := p.candidates(now, input, decodes)
	if len(candidates) == 0 {
		return nil
	}
	decoding, _ := countDecode(input.Replicas)
	change := Change{
		ReplicaID:      candidates[0],
		Candidates:     candidates,
		Decodes:        decodes,
		Reason:         reason,
		StreamPeak:     p.streamPeak,
		PrefillPeak:    p.prefillPeak,
		DecodeReplicas: decoding,
		SinceLast:      now - p.lastChange,
	}
	if input.Rules.Permits != nil && !input.Rules.Permits(change) {
		return nil
	}
	p.recordChange(now, change.ReplicaID, decodes)
	return &change
}

// NoteChange records in the input that a change has begun.
func (i Input) NoteChange(change *Change) {
	for index := range i.Replicas {
		if i.Replicas[index].ID == change.ReplicaID {
			i.Replicas[index].Decodes = change.Decodes
			i.Replicas[index].Changing = true
		}
	}
}

// decodeOverloaded reports whether there are more running streams than batch slots of decode
// replicas.
func (i Input) decodeOverloaded() bool {
	decoding, _ := countDecode(i.Replicas)
	return i.RunningStreams > float64(decoding*maximumSlots(i.Replicas))
}

// candidates are the replicas that may be moved to a stage.
func (p *Planner) candidates(now time.Duration, input Input, decodes bool) []string {
	var ids []string
	decoding := decodingBySoftware(input.Replicas)
	for _, replica := range input.Replicas {
		if !decodes && len(decoding) > 1 && decoding[replica.Software] <= minimumOfSoftware {
			continue
		}
		if replica.Decodes == decodes || replica.Changing || replica.Unsettled || replica.Rejects || p.withinDwell(now, replica.ID, input.Rules) {
			continue
		}
		ids = append(ids, replica.ID)
	}
	return ids
}

// decodingBySoftware counts the settled decode replicas of each version of the software.
func decodingBySoftware(replicas []Replica) map[string]int {
	decoding := map[string]int{}
	for _, replica := range replicas {
		if replica.Decodes && !replica.Unsettled {
			decoding[replica.Software]++
		}
	}
	return decoding
}

// ReplaceCandidate replaces the replica of a change by another of its candidates.
func (p *Planner) ReplaceCandidate(now time.Duration, change *Change, id string) {
	if id == change.ReplicaID {
		return
	}
	delete(p.changedAt, change.ReplicaID)
	change.ReplicaID = id
	p.recordChange(now, id, change.Decodes)
}

// withinDwell reports whether a replica has to stay in its stage for now.
func (p *Planner) withinDwell(now time.Duration, id string, rules Rules) bool {
	changed, known := p.changedAt[id]
	return known && now-changed < rules.MinimumDwell
}

// recordChange records the time and direction of a change.
func (p *Planner) recordChange(now time.Duration, id string, decodes bool) {
	p.changed = true
	p.lastDecodes = decodes
	p.lastChange = now
	if p.changedAt == nil {
		p.changedAt = map[string]time.Duration{}
	}
	p.changedAt[id] = now
}

func countDecode(replicas []Replica) (decoding, changing int) {
	for _, replica := range replicas {
		if replica.Decodes && !replica.Unsettled {
			decoding++
		}
		if replica.Changing {
			changing++
		}
	}
	return decoding, changing
}

// countSettled counts the replicas that are not unsettled.
func countSettled(replicas []Replica) int {
	count := 0
	for _, replica := range replicas {
		if !replica.Unsettled {
			count++
		}
	}
	return count
}

func maximumSlots(replicas []Replica) int {
	slots := 1
	for _, replica := range replicas {
		slots = max(slots, replica.Slots)
	}
	return slots
}
