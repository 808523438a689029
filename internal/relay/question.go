package relay

import (
	"errors"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// Place answers a placement query from this directory.
func (d *Directory) Place(query *region.PlacementQuery) (*Lease, *region.PlacementAnswer) {
	request := d.requestOf(query)
	var lease *Lease
	var err error
	switch query.Kind {
	case region.PlacePrefill:
		lease, err = d.PlacePrefill(query.Service, request)
	case region.PlaceDirect:
		lease = d.PlaceDirect(query.Service, request)
	case region.PlaceDecode:
		lease = d.PickDecode(query.Service, request.wanted(), query.Near)
	case region.PlaceWithCapacity:
		lease = d.PickWithCapacity(query.Service, request.wanted(), query.Near)
	}
	answer := &region.PlacementAnswer{Outcome: region.PlacementNoReplica}
	if lease != nil {
		answer = lease.Describe()
	}
	if full := (*noCapacityError)(nil); errors.As(err, &full) {
		answer.Outcome = region.PlacementNoCapacity
		answer.UntilMicros = full.until.Microseconds()
		answer.BusyMicros = full.busy.Microseconds()
	}
	answer.Lease = query.Lease
	return lease, answer
}

// requestOf converts a query to a request, and bounds the values that the gateway has sent.
func (d *Directory) requestOf(query *region.PlacementQuery) PrefillRequest {
	prompt := PromptOf(query)
	return PrefillRequest{
		Prompt:         prompt,
		Objective:      boundedMicros(query.ObjectiveMicros),
		TargetTokenGap: boundedMicros(query.GapMicros),
		ObjectiveLeft:  boundedMicros(query.AimLeftMicros),
		Left:           boundedMicros(query.LeftMicros),
		Rank:           rankOf(query.Rank),
		Tenant:         query.Tenant,
		Zone:           query.Zone,
		Excluded:       d.Find(query.Excluded),
		// A query does not tell whether a stream begins.
		BeginsStream: true,
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
func PromptOf(query *region.PlacementQuery) *Prompt {
	prompt := &Prompt{Tokens: boundedTokens(query.Tokens)}
	for _, part := range query.Parts {
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
