package coordinator

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
)

// Paths of the operators' own calls.
const (
	// PathHeldRequests lists the requests that are held.
	PathHeldRequests = "/operator/v1/held-requests"
	// PathQuotas tells what the tenants with limits use.
	PathQuotas = "/operator/v1/quotas"
	// PathReplicaLimits tells which replicas name limits, and what they get.
	PathReplicaLimits = "/operator/v1/replica-limits"
	// PathBuilds tells which build each process runs, and what is not in force before all run a newer one.
	PathBuilds = "/operator/v1/builds"
	// PathRegions shows the replicas and the work of each region.
	PathRegions = "/operator/v1/regions"
	// PathFleet tells why there are as many replicas as there are.
	PathFleet = "/operator/v1/fleet"
	// digestParameter names one of them, to be released by a DELETE.
	digestParameter = "digest"
)

// MountOperators adds the operators' own calls to a server's routes.
func (c *Coordinator) MountOperators(router route.IRouter) {
	router.GET(PathHeldRequests, func(ctx context.Context, call *app.RequestContext) {
		held, err := c.HeldRequests(ctx)
		answerOperator(call, held, err)
	})
	router.GET(PathQuotas, func(ctx context.Context, call *app.RequestContext) {
		answerOperator(call, c.Quotas(ctx), nil)
	})
	router.GET(PathReplicaLimits, func(ctx context.Context, call *app.RequestContext) {
		answerOperator(call, c.ReplicaLimits(ctx), nil)
	})
	router.GET(PathBuilds, func(ctx context.Context, call *app.RequestContext) {
		builds, err := c.Builds(ctx)
		answerOperator(call, builds, err)
	})
	router.GET(PathRegions, func(_ context.Context, call *app.RequestContext) {
		answerOperator(call, c.RegionLoads(), nil)
	})
	router.GET(PathFleet, func(_ context.Context, call *app.RequestContext) {
		answerOperator(call, c.Fleet(), nil)
	})
	router.DELETE(PathHeldRequests+"/:"+digestParameter, func(ctx context.Context, call *app.RequestContext) {
		digest, err := poison.ParseDigest(call.Param(digestParameter))
		if err != nil {
			answerOperator(call, nil, failure.Wrap(err, failure.MalformedRequest))
			return
		}
		answerOperator(call, struct{}{}, c.ReleaseRequest(ctx, digest))
	})
}

func answerOperator(call *app.RequestContext, result any, err error) {
	if err != nil {
		answer := failure.AnswerFor(err)
		call.JSON(answer.Status, failure.BodyFor(answer, ""))
		return
	}
	call.JSON(http.StatusOK, result)
}
