package relay

import (
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// Place answers a placement query from this directory.
func (d *Directory) Place(question *region.PlacementQuestion) (*Lease, *region.PlacementAnswer) {
	request := d.requestOf(question)
	var lease *Lease
	var err error
	switch question.Kind {
	case region.PlaceRead:
		lease, err = d.PlacePrefill(question.Service, request)
	case region.PlaceDirect:
		lease = d.PlaceDirect(question.Service, request)
	case region.PlaceGenerate:
		lease = d.PickDecode(question.Service, request.wanted(), question.Near)
	case region.PlaceRoom:
		lease = d.PickWithCapacity(question.Service, request.wanted(), question.Near)
	}
	answer := &region.PlacementAnswer{Outcome: region.PlacementNoReplica}
	if lease != nil {
		answer = lease.Describe()
	}
	if full := (*noCapacityError)(nil); errors.As(err, &full) {
		answer.Outcome = region.PlacementNoRoom
		answer.UntilMicros = full.until.Microseconds()
		answer.BusyMicros = full.busy.Microseconds()
	}
	answer.Lease = question.Lease
	return lease, answer
}

// requestOf converts a query to a request, and bounds the values that the gateway has sent.
func (d *Directory) requestOf(question *region.PlacementQuestion) ReadRequest {
	prompt := PromptOf(question)
	return ReadRequest{
		Prompt:         prompt,
		Objective:      boundedMicros(question.ObjectiveMicros),
		TargetTokenGap: boundedMicros(question.GapMicros),
		AimLeft:        boundedMicros(question.AimLeftMicros),
		Left:           boundedMicros(question.LeftMicros),
		Rank:           rankOf(question.Rank),
		Tenant:         question.Tenant,
		Zone:           question.Zone,
		Excluded:       d.Find(question.Excluded),
	}
}

const (
	// maximumReportedTime bounds times in queries.
	maximumReportedTime = time.Hour
	// maximumTokens bounds token counts in queries. It is more than any engine's cache holds.
	maximumTokens = 1 << 26
)

func boundedMicros(count int64) time.Duration {
	return micros(min(max(count, 0), maximumReportedTime.Microseconds()))
}

// PromptOf returns the prompt of a query.
func PromptOf(question *region.PlacementQuestion) *Prompt {
	prompt := &Prompt{Tokens: boundedTokens(question.Tokens)}
	for _, part := range question.Parts {
		prompt.Parts = append(prompt.Parts, PromptPart{ID: part.ID, Tokens: boundedTokens(part.Tokens)})
	}
	return prompt
}

func boundedTokens(reported int) int { return min(max(reported, 0), maximumTokens) }

// recordRefused counts a refused prompt as demand.
func (d *Directory) recordRefused(service string, refused prefillTimes) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.notePrefill(service, refused)
}
