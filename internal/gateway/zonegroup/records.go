package zonegroup

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/wire"
)

// recordTimeout bounds one call about a once-only record at one controller.
const recordTimeout = time.Second

// Records are the once-only records of the zone group.
type Records struct {
	zone      string
	gatewayID string
	keeper    *Keeper
	caller    *Caller
}

// NewRecords returns the records as a gateway of a zone may use them.
func NewRecords(zone, gatewayID string, keeper *Keeper, caller *Caller) *Records {
	return &Records{zone: zone, gatewayID: gatewayID, keeper: keeper, caller: caller}
}

// Claim asks for the right to dispatch once. It fills in who asks.
func (r *Records) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	request.Zone = r.zone
	request.GatewayID = r.gatewayID
	request.SessionID = r.keeper.SessionID()
	reply := &wire.ClaimReply{}
	return reply, r.caller.Call(ctx, wire.PathClaim, recordTimeout, request, reply)
}

// Complete stores the answer of a run. It may be repeated.
func (r *Records) Complete(ctx context.Context, request *wire.CompleteRequest) (*wire.CompleteReply, error) {
	reply := &wire.CompleteReply{}
	return reply, r.caller.Call(ctx, wire.PathComplete, recordTimeout, request, reply)
}

// Release gives a claim back or marks it unknown. It may be repeated.
func (r *Records) Release(ctx context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	reply := &wire.ReleaseReply{}
	return reply, r.caller.Call(ctx, wire.PathRelease, recordTimeout, request, reply)
}
