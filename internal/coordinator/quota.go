package coordinator

import (
	"context"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/region"
)

// quotaService counts the usage of tenants against their quotas, together with the other coordinators.
type quotaService struct {
	*poolService
	// version is the version of the configuration whose limits are in force.
	version uint64
}

func newQuotaService(c *Coordinator, socket *datagram.Socket) *quotaService {
	kinds := messageKinds{request: datagram.KindQuota, reply: datagram.KindQuotaReply, peer: datagram.KindQuotaPeer}
	service := &quotaService{poolService: newPoolService(c, socket, "tenants", kinds, c.settings.Quota)}
	service.refresh = service.applyLimits
	return service
}

// applyLimits applies the limits of a newer configuration to the pool.
func (q *quotaService) applyLimits() {
	state, _ := q.machine.read()
	if state.Version <= q.version {
		return
	}
	q.version = state.Version
	configuration, err := decodeConfiguration(q.settings.Codec, state.Document)
	if err != nil {
		q.logger.Info(event.ConfigurationRefused, "version", state.Version, "reason", err.Error())
		return
	}
	limits := map[string]quota.Limit{}
	for _, each := range configuration.Tenants {
		if each.Quota != nil {
			limits[each.Name] = each.Quota.Limit
		}
	}
	q.mutex.Lock()
	q.pool.SetLimits(q.now(), limits)
	q.mutex.Unlock()
	if len(limits) > 0 {
		q.logger.Info(event.QuotaLimits, "version", state.Version, "tenants", len(limits))
	}
}

// Quotas returns the usage of tenants with limits, as the leader counts it. While there is no
// leader, or it can't be reached, it returns what this coordinator has counted locally.
func (c *Coordinator) Quotas(ctx context.Context) quota.Status {
	return c.quotas.statusAtLeader(ctx, region.PathQuotas)
}
