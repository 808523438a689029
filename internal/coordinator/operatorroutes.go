package coordinator

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/poison"
)

// Paths of the operator API.
const (
	// PathHeldRequests lists the held requests, which are sent to no replica.
	PathHeldRequests = "/operator/v1/held-requests"
	// PathQuotas shows the usage of the tenants that have limits.
	PathQuotas = "/operator/v1/quotas"
	// PathReplicaLimits shows the replicas that declare limits, and the requests counted against these.
	PathReplicaLimits = "/operator/v1/replica-limits"
	// PathBuilds shows the build that each process runs, and the features that are disabled until all
	// processes run a newer one.
	PathBuilds = "/operator/v1/builds"
	// PathSoftware shows the versions of the software that replicas run.
	PathSoftware = "/operator/v1/software"
	// PathGroup shows the group of the coordinators, as this one sees it.
	PathGroup = "/operator/v1/group"
	// PathRegions shows the replicas and the load of each region.
	PathRegions = "/operator/v1/regions"
	// PathFleet explains the current numbers of replicas.
	PathFleet = "/operator/v1/fleet"
	// digestParameter is the path parameter with the digest of the held request that a DELETE releases.
	digestParameter = "digest"
)

// MountOperatorRoutes adds the operator API to a server's routes.
func (c *Coordinator) MountOperatorRoutes(router route.IRouter) {
	router.GET(PathHeldRequests, func(ctx context.Context, call *app.RequestContext) {
		held, err := c.HeldRequests(ctx)
		writeOperatorResponse(call, held, err)
	})
	router.GET(PathQuotas, func(ctx context.Context, call *app.RequestContext) {
		writeOperatorResponse(call, c.Quotas(ctx), nil)
	})
	router.GET(PathReplicaLimits, func(ctx context.Context, call *app.RequestContext) {
		writeOperatorResponse(call, c.ReplicaLimits(ctx), nil)
	})
	router.GET(PathBuilds, func(ctx context.Context, call *app.RequestContext) {
		builds, err := c.Builds(ctx)
		writeOperatorResponse(call, builds, err)
	})
	router.GET(PathSoftware, func(_ context.Context, call *app.RequestContext) {
		writeOperatorResponse(call, c.Software(), nil)
	})
	router.GET(PathGroup, func(_ context.Context, call *app.RequestContext) {
		writeOperatorResponse(call, c.Group(), nil)
	})
	router.GET(PathRegions, func(_ context.Context, call *app.RequestContext) {
		writeOperatorResponse(call, c.RegionLoads(), nil)
	})
	router.GET(PathFleet, func(_ context.Context, call *app.RequestContext) {
		writeOperatorResponse(call, c.Fleet(), nil)
	})
	router.DELETE(PathHeldRequests+"/:"+digestParameter, func(ctx context.Context, call *app.RequestContext) {
		digest, err := poison.ParseDigest(call.Param(digestParameter))
		if err != nil {
			writeOperatorResponse(call, nil, failure.Wrap(err, failure.MalformedRequest))
			return
		}
		writeOperatorResponse(call, struct{}{}, c.ReleaseRequest(ctx, digest))
	})
}

func writeOperatorResponse(call *app.RequestContext, result any, err error) {
	if err != nil {
		response := failure.AnswerFor(err)
		call.JSON(response.Status, failure.BodyFor(response, ""))
		return
	}
	call.JSON(http.StatusOK, result)
}
