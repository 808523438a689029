package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// quotaClient asks coordinators whether requests of tenants with limits may run. It may be used
// concurrently.
type quotaClient struct {
	*poolClient
	// localMutex guards local.
	localMutex sync.Mutex
	local      *quota.Local
}

func newQuotaClient(settings Settings, socket *datagram.Socket, keeper *viewKeeper) *quotaClient {
	return &quotaClient{
		poolClient: newPoolClient(settings, socket, keeper, datagram.KindQuota, datagram.KindQuotaReply),
		local:      quota.NewLocal(settings.Quota),
	}
}

// admit charges a request to its tenant's limit, or refuses it. rank is its urgency among those of
// its tenant. A request of a tenant without a limit has no charge.
func (q *quotaClient) admit(ctx context.Context, id string, owner *traffic.Tenant, tokens float64, rank int) (*charge, error) {
	if owner == nil || owner.Quota == nil || q.settings.Without[mechanism.Quotas] {
		return nil, nil
	}
	asked := quota.Question{Account: owner.Name, Units: owner.Quota.Units(tokens), Rank: rank}
	verdict, decided, err := q.decide(ctx, id, asked)
	if err != nil {
		return nil, err
	}
	if !decided {
		verdict = poolVerdict{Answer: q.decideLocally(owner.Quota.Limit, asked), mode: "local"}
	}
	return q.take(id, asked, verdict)
}

// take carries a verdict out.
func (q *quotaClient) take(id string, asked quota.Question, verdict poolVerdict) (*charge, error) {
	if verdict.Admitted {
		return q.chargeOf(asked, verdict.coordinator), nil
	}
	wait := time.Duration(verdict.WaitMicros) * time.Microsecond
	q.logger.Info(event.RequestRefused, "request", id, "kind", string(failure.TenantLimit), "tenant", asked.Account,
		"units", asked.Units, "rank", asked.Rank, "level", int64(verdict.Level), "rate", int64(verdict.Rate), "never", verdict.Never,
		"mode", string(verdict.mode), "decided_by", verdict.coordinator.String(), "retry_after_ms", wait.Milliseconds())
	reason := "the tenant has used up its limit"
	if verdict.Never {
		reason = "the request is larger than its tenant's limit can ever hold"
	}
	return nil, failure.New(failure.TenantLimit, reason, failure.WithRetryAfter(wait))
}

// decideLocally decides on a request while no coordinator answers.
func (q *quotaClient) decideLocally(limit quota.Limit, asked quota.Question) quota.Answer {
	gateways := q.keeper.gatewayCount()
	q.localMutex.Lock()
	answer := q.local.Ask(q.clock(), limit, gateways, asked)
	q.localMutex.Unlock()
	q.count(answer.Admitted, true)
	q.logger.V(1).Info(event.QuotaLocal, "tenant", asked.Account, "units", asked.Units, "admitted", answer.Admitted,
		"level", int64(answer.Level), "gateways", gateways)
	return answer
}

// keep forgets the tenants that have no limit in a configuration.
func (q *quotaClient) keep(configuration *traffic.Configuration) {
	limited := map[string]bool{}
	for _, each := range configuration.Tenants {
		limited[each.Name] = each.Quota != nil
	}
	q.localMutex.Lock()
	defer q.localMutex.Unlock()
	q.local.Keep(func(tenant string) bool { return limited[tenant] })
}
