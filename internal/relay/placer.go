package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// Placer chooses replicas for model requests: from what this gateway knows or, where there are many
// gateways, by asking a coordinator, which knows the work of all.
type Placer struct {
	Directory *Directory
	// Remote queries a coordinator; nil if there is none.
	Remote *RemotePlacement
}

// RemotePlacement holds the functions that communicate with a coordinator.
type RemotePlacement struct {
	// Query sends a query and waits for at most a given time (within). An error means that the gateway has to
	// choose by itself; by names the coordinator that has answered.
	Query func(ctx context.Context, query *region.PlacementQuery, within time.Duration) (answer *region.PlacementAnswer, by string, err error)
	// Report reports an event on a leased replica. It does not block.
	Report func(event region.LeaseEvent)
}

const (
	// coordinatorTimeoutShare is the longest wait for a coordinator, as a share of the objective: a gateway
	// that chooses by itself after that has lost little of the time.
	coordinatorTimeoutShare = 0.05
	// maximumCoordinatorTimeout bounds the wait where the objective is long.
	maximumCoordinatorTimeout = 100 * time.Millisecond
)

// PlacePrefill leases the replica that is to prefill a prompt, as Directory.PlacePrefill does.
func (p *Placer) PlacePrefill(ctx context.Context, service string, request PrefillRequest) (*Lease, error) {
	lease, err := p.ask(ctx, region.PlacePrefill, service, request, "", region.StagePrefill, region.StageDecode)
	if lease != nil || err != nil {
		return lease, err
	}
	return p.Directory.PlacePrefill(service, request)
}

// PlaceDirect leases a decode replica that is to prefill a prompt itself, or returns nil.
func (p *Placer) PlaceDirect(ctx context.Context, service string, request PrefillRequest) *Lease {
	if lease, _ := p.ask(ctx, region.PlaceDirect, service, request, "", region.StageDecode); lease != nil {
		return lease
	}
	return p.Directory.PlaceDirect(service, request)
}

// PlaceDecode leases a decode replica, near the zone where a prompt was prefilled.
func (p *Placer) PlaceDecode(ctx context.Context, service string, request PrefillRequest, zone string) *Lease {
	if lease, _ := p.ask(ctx, region.PlaceDecode, service, request, zone, region.StageDecode); lease != nil {
		return lease
	}
	return p.Directory.PickDecode(service, request.wanted(), zone)
}

// PlaceWithCapacity leases a replica with capacity for a stream that must move away from another, nil if there is none.
func (p *Placer) PlaceWithCapacity(ctx context.Context, from *Replica, request PrefillRequest) *Lease {
	request.Excluded = append(slices.Clone(request.Excluded), from)
	lease, err := p.ask(ctx, region.PlaceWithCapacity, from.Service, request, from.Zone, region.StageDecode)
	if lease != nil || err != nil {
		return lease
	}
	return p.Directory.PickWithCapacity(from.Service, request.wanted(), from.Zone)
}

// ask queries a coordinator. It returns neither a lease nor an error if the gateway has to choose by
// itself, and an error if no replica has capacity.
func (p *Placer) ask(ctx context.Context, kind region.PlacementKind, service string, request PrefillRequest, near string, stages ...string) (*Lease, error) {
	if p.Remote == nil || request.Unlimited || request.Software.IsSet() {
		// A coordinator is told neither which replicas have a rate limit nor which software is wanted.
		return nil, nil
	}
	query := p.query(kind, service, request, near)
	answer, by, err := p.Remote.Query(ctx, query, coordinatorTimeout(request))
	if err != nil {
		return nil, nil
	}
	if answer.Outcome == region.PlacementNoCapacity {
		full := &noCapacityError{until: micros(answer.UntilMicros), busy: micros(answer.BusyMicros)}
		p.Directory.recordRefused(service, rejectedTimes(request, full.busy))
		return nil, full
	}
	lease := p.Directory.takeGrant(&grant{id: query.Lease, by: by, report: p.Remote.Report}, answer, request, stages...)
	if lease == nil {
		p.Remote.Report(region.LeaseEvent{Lease: query.Lease, Kind: region.LeaseReleased})
	}
	return lease, nil
}

// coordinatorTimeout returns the longest wait for a coordinator's answer.
func coordinatorTimeout(request PrefillRequest) time.Duration {
	return min(time.Duration(coordinatorTimeoutShare*float64(request.Objective)), maximumCoordinatorTimeout)
}

// query creates the placement query for a request. It excludes the replicas that were tried, those that
// this gateway can't reach, and those that have asked it to back off.
func (p *Placer) query(kind region.PlacementKind, service string, request PrefillRequest, near string) *region.PlacementQuery {
	query := &region.PlacementQuery{
		Kind:            kind,
		Service:         service,
		Zone:            request.Zone,
		Near:            near,
		Tokens:          request.Prompt.Tokens,
		Rank:            request.Rank,
		Tenant:          request.Tenant,
		ObjectiveMicros: request.Objective.Microseconds(),
		GapMicros:       request.TargetTokenGap.Microseconds(),
		AimLeftMicros:   request.ObjectiveLeft.Microseconds(),
		LeftMicros:      request.Left.Microseconds(),
		Excluded:        append(p.Directory.unreachableHere(), p.Directory.inBackoffHere()...),
	}
	for _, replica := range request.Excluded {
		query.Excluded = append(query.Excluded, replica.name)
	}
	if kind == region.PlaceWithCapacity {
		// The stream's KV cache moves with it, so that the prompt's parts don't matter.
		return query
	}
	for _, part := range request.Prompt.Parts {
		query.Parts = append(query.Parts, region.PlacedPart{ID: part.ID, Tokens: part.Tokens})
	}
	return query
}

// idleTime returns how long the replica of a lease has prefilled nothing: according to the coordinator that
// granted the lease or, if there is none or it does not answer, to what this gateway knows.
func (p *Placer) idleTime(ctx context.Context, lease *Lease) time.Duration {
	if lease.grant == nil || p.Remote == nil {
		return lease.IdleTime()
	}
	query := &region.PlacementQuery{Lease: lease.grant.id, Kind: region.QueryIdle}
	answer, _, err := p.Remote.Query(ctx, query, maximumCoordinatorTimeout)
	if err != nil || answer.Outcome != region.PlacementGranted {
		return lease.IdleTime()
	}
	return micros(answer.IdleMicros)
}

func micros(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
