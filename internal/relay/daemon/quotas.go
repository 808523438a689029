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

// quotaClient asks coordinators whether requests of tenants with limits may run. It is safe for
// concurrent use.
type quotaClient struct {
	*poolClient
	// localMutex guards local.
	localMutex sync.Mutex
	local      *quota.LocalLimiter
}

func newQuotaClient(settings Settings, socket *datagram.Socket, views *viewClient) *quotaClient {
	return &quotaClient{
		poolClient: newPoolClient(settings, socket, views, datagram.KindQuota, datagram.KindQuotaReply),
		local:      quota.NewLocalLimiter(settings.Quota),
	}
}

// admit charges a request to its tenant's limit, or refuses it. rank is its urgency among its
// tenant's requests. It returns a nil charge for a tenant without a limit.
func (q *quotaClient) admit(ctx context.Context, id string, owner *traffic.Tenant, tokens float64, rank int) (*charge, error) {
	if owner == nil || owner.Quota == nil || q.settings.DisabledMechanisms[mechanism.Quotas] {
		return nil, nil
	}
	query := quota.Query{Account: owner.Name, Units: owner.Quota.Units(tokens), Rank: rank}
	decision, decided, err := q.decide(ctx, id, query)
	if err != nil {
		return nil, err
	}
	if !decided {
		decision = poolDecision{Answer: q.decideLocally(owner.Quota.Limit, query), mode: "local"}
	}
	return q.enforce(id, query, decision)
}

// enforce returns the charge of an admitted request, or the error for a refused one.
func (q *quotaClient) enforce(id string, query quota.Query, decision poolDecision) (*charge, error) {
	if decision.Admitted {
		return q.newCharge(query, decision.coordinator), nil
	}
	wait := time.Duration(decision.WaitMicros) * time.Microsecond
	q.logger.Info(event.RequestRefused, "request", id, "kind", string(failure.TenantLimit), "tenant", query.Account,
		"units", query.Units, "rank", query.Rank, "level", int64(decision.Level), "rate", int64(decision.Rate), "never", decision.Never,
		"mode", string(decision.mode), "decided_by", decision.coordinator.String(), "retry_after_ms", wait.Milliseconds())
	reason := "the tenant has used up its limit"
	if decision.Never {
		reason = "the request is larger than its tenant's limit can ever hold"
	}
	return nil, failure.New(failure.TenantLimit, reason, failure.WithRetryAfter(wait))
}

// decideLocally decides on a request while no coordinator answers.
func (q *quotaClient) decideLocally(limit quota.Limit, query quota.Query) quota.Answer {
	gateways := q.views.gatewayCount()
	q.localMutex.Lock()
	answer := q.local.Decide(q.clock(), limit, gateways, query)
	q.localMutex.Unlock()
	q.countDecision(answer.Admitted, true)
	q.logger.V(1).Info(event.QuotaLocal, "tenant", query.Account, "units", query.Units, "admitted", answer.Admitted,
		"level", int64(answer.Level), "gateways", gateways)
	return answer
}

// pruneTenants drops the local state of tenants without a limit in the configuration.
func (q *quotaClient) pruneTenants(configuration *traffic.Configuration) {
	limited := map[string]bool{}
	for _, each := range configuration.Tenants {
		limited[each.Name] = each.Quota != nil
	}
	q.localMutex.Lock()
	defer q.localMutex.Unlock()
	q.local.RemoveUnlimited(func(tenant string) bool { return limited[tenant] })
}
