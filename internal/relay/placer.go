package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// Placer chooses replicas for model requests: by what this gateway knows or, where there are
// many gateways, by what a coordinator knows of the work of all.
type Placer struct {
	Directory *Directory
	// Remote asks a coordinator; nil asks none.
	Remote *RemotePlacement
}

// RemotePlacement is how a coordinator is asked for leases.
type RemotePlacement struct {
	// Ask asks a question within a time. The error says that the gateway has to choose by
	// itself; by names the coordinator that has answered.
	Ask func(ctx context.Context, question *region.PlacementQuestion, within time.Duration) (answer *region.PlacementAnswer, by string, err error)
	// Tell passes on what has happened at the replica of a lease. It does not block.
	Tell func(event region.LeaseEvent)
}

const (
	// askShare of the objective is the longest that a coordinator is waited for; a gateway
	// that chooses by itself after that has lost little of the time.
	askShare = 0.05
	// longestAsk bounds the wait where the objective is long.
	longestAsk = 100 * time.Millisecond
)

// Reading leases the replica that is to read a prompt, as Directory.PlaceReading does.
func (p *Placer) Reading(ctx context.Context, service string, request ReadRequest) (*Lease, error) {
	lease, err := p.ask(ctx, region.PlaceRead, service, request, "", region.StagePrefill, region.StageDecode)
	if lease != nil || err != nil {
		return lease, err
	}
	return p.Directory.PlaceReading(service, request)
}

// Direct leases a generating replica that is to read a prompt itself, or returns nil.
func (p *Placer) Direct(ctx context.Context, service string, request ReadRequest) *Lease {
	if lease, _ := p.ask(ctx, region.PlaceDirect, service, request, "", region.StageDecode); lease != nil {
		return lease
	}
	return p.Directory.PlaceDirect(service, request)
}

// Generator leases a replica that generates, near the zone of a prompt that has been read.
func (p *Placer) Generator(ctx context.Context, service string, request ReadRequest, zone string) *Lease {
	if lease, _ := p.ask(ctx, region.PlaceGenerate, service, request, zone, region.StageDecode); lease != nil {
		return lease
	}
	return p.Directory.PickGenerator(service, request.wanted(), zone)
}

// Room leases a replica that has room for a stream that another has to give up, nil if
// there is none.
func (p *Placer) Room(ctx context.Context, from *Lease, request ReadRequest) *Lease {
	request.Excluded = append(slices.Clone(request.Excluded), from.Replica)
	service, zone := from.Replica.Service, from.Replica.Zone
	lease, err := p.ask(ctx, region.PlaceRoom, service, request, zone, region.StageDecode)
	if lease != nil || err != nil {
		return lease
	}
	return p.Directory.PickRoom(service, request.wanted(), zone)
}

// ask asks a coordinator. Without a lease and an error the gateway has to choose by itself;
// the error says that there is no place.
func (p *Placer) ask(ctx context.Context, kind region.PlacementKind, service string, request ReadRequest, near string, stages ...string) (*Lease, error) {
	if p.Remote == nil || request.Unlimited {
		// A coordinator is not told which replicas these are.
		return nil, nil
	}
	question := p.question(kind, service, request, near)
	answer, by, err := p.Remote.Ask(ctx, question, askTime(request))
	if err != nil {
		return nil, nil
	}
	if answer.Outcome == region.PlacementNoRoom {
		full := &noRoomError{until: micros(answer.UntilMicros), busy: micros(answer.BusyMicros)}
		p.Directory.noteRefused(service, refusedTimes(request, full.busy))
		return nil, full
	}
	lease := p.Directory.takeGrant(&grant{id: question.Lease, by: by, tell: p.Remote.Tell}, answer, request, stages...)
	if lease == nil {
		p.Remote.Tell(region.LeaseEvent{Lease: question.Lease, Kind: region.LeaseReleased})
	}
	return lease, nil
}

// askTime is how long a coordinator is waited for.
func askTime(request ReadRequest) time.Duration {
	return min(time.Duration(askShare*float64(request.Objective)), longestAsk)
}

// question describes a request to a coordinator. Replicas that this gateway can't reach, and those that
// want to be left alone by it, are excluded like those that were tried.
func (p *Placer) question(kind region.PlacementKind, service string, request ReadRequest, near string) *region.PlacementQuestion {
	asked := &region.PlacementQuestion{
		Kind:            kind,
		Service:         service,
		Zone:            request.Zone,
		Near:            near,
		Tokens:          request.Prompt.Tokens,
		Rank:            request.Rank,
		Tenant:          request.Tenant,
		ObjectiveMicros: request.Objective.Microseconds(),
		GapMicros:       request.TargetGap.Microseconds(),
		AimLeftMicros:   request.AimLeft.Microseconds(),
		LeftMicros:      request.Left.Microseconds(),
		Excluded:        append(p.Directory.Unreachable(), p.Directory.restingHere()...),
	}
	for _, replica := range request.Excluded {
		asked.Excluded = append(asked.Excluded, replica.name)
	}
	if kind == region.PlaceRoom {
		// The stream's memory comes with it.
		return asked
	}
	for _, part := range request.Prompt.Parts {
		asked.Parts = append(asked.Parts, region.PlacedPart{ID: part.ID, Tokens: part.Tokens})
	}
	return asked
}

// idleTime is for how long the replica of a lease has read nothing that anyone knows of.
func (p *Placer) idleTime(ctx context.Context, lease *Lease) time.Duration {
	if lease.grant == nil || p.Remote == nil {
		return lease.IdleTime()
	}
	question := &region.PlacementQuestion{Lease: lease.grant.id, Kind: region.AskIdle}
	answer, _, err := p.Remote.Ask(ctx, question, longestAsk)
	if err != nil || answer.Outcome != region.PlacementGranted {
		return lease.IdleTime()
	}
	return micros(answer.IdleMicros)
}

func micros(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
