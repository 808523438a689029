package coordinator

import (
	"context"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/region"
)

// quotaService counts what tenants use, together with the other coordinators.
type quotaService struct {
	*poolService
	// version is that of the configuration whose limits are counted.
	version uint64
}

func newQuotaService(c *Coordinator, socket *datagram.Socket) *quotaService {
	kinds := poolKinds{ask: datagram.KindQuota, reply: datagram.KindQuotaReply, peer: datagram.KindQuotaPeer}
	created := &quotaService{poolService: newPoolService(c, socket, "tenants", kinds, c.settings.Quota)}
	created.refresh = created.takeLimits
	return created
}

// takeLimits takes the limits of a newer configuration over.
func (q *quotaService) takeLimits() {
	state, _ := q.machine.read()
	if state.Version <= q.version {
		return
	}
	q.version = state.Version
	configuration, err := readConfiguration(q.settings.Codec, state.Document)
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

// Quotas tells what the tenants with limits use, as the leader counts it. While there is no
// leader, or it can't be reached, it is what this coordinator counts alone.
func (c *Coordinator) Quotas(ctx context.Context) quota.Status {
	return c.quotas.statusAtLeader(ctx, region.PathQuotas)
}
