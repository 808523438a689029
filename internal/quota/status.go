package quota

import (
	"maps"
	"slices"
	"time"
)

// Status returns the state of the pool, with tenants sorted by name.
func (p *Pool) Status(now time.Duration) Status {
	p.updateShares(now)
	status := Status{
		Address:  p.options.Address,
		Mode:     p.Mode(now),
		Holder:   p.leader,
		Parts:    p.shares.total,
		Members:  len(p.members),
		Attached: []AttachedCoordinator{},
		Tenants:  []TenantStatus{},
	}
	for _, address := range slices.Sorted(maps.Keys(p.attached)) {
		if left := p.attached[address].until - now; left > 0 {
			status.Attached = append(status.Attached, AttachedCoordinator{Address: address, LeaseLeftS: left.Seconds()})
		}
	}
	for _, tenant := range slices.Sorted(maps.Keys(p.limits)) {
		status.Tenants = append(status.Tenants, p.tenantStatus(now, tenant))
	}
	return status
}

func (p *Pool) tenantStatus(now time.Duration, tenant string) TenantStatus {
	limit, window := p.limits[tenant], p.options.Enforcement.window()
	status := TenantStatus{
		Tenant:    tenant,
		Rate:      limit.Rate,
		Burst:     limit.Burst,
		WindowS:   window.Seconds(),
		Debt:      p.allowance(tenant).maximumDebt,
		Tolerance: p.options.Enforcement.tolerance(limit),
	}
	if b := p.buckets[tenant]; b != nil {
		// A copy, since reading the status must not change a bucket.
		snapshot := *b
		snapshot.refill(now, p.allowance(tenant))
		status.Level = snapshot.level
		status.Admitted, status.Refused = snapshot.usage.sum(now, window)
	}
	return status
}
