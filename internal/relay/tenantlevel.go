package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tenantMeter measures the work recently placed for each tenant of a service. It decays with
// readTimeConstant. It is guarded by the Directory's mutex.
type tenantMeter struct {
	tenants map[uint64]decayingWork
	all     decayingWork
	sweptAt time.Duration
}

// decayingWork is work in seconds that decays with readTimeConstant.
type decayingWork struct {
	busy float64
	at   time.Duration
}

func (w decayingWork) now(now time.Duration) float64 {
	return w.busy * math.Exp(-(now-w.at).Seconds()/readTimeConstant.Seconds())
}

const (
	// heavyTenantRatio is how many times the mean of the other tenants' work a tenant may have placed before
	// its prompts wait longer: tenants differ, and only one far above the others is held back.
	heavyTenantRatio = 4
	// negligibleWork, in seconds, counts as none; tenants with less are removed.
	negligibleWork = 0.001
	// maximumWaitFactor bounds the stretching of waits: a heavy tenant's prompt may still wait half as long as
	// those of others.
	maximumWaitFactor = 2
)

// place records work for a tenant; it does nothing for 0, which stands for no tenant.
func (m *tenantMeter) place(tenant uint64, busy, now time.Duration) {
	if tenant == 0 {
		return
	}
	if m.tenants == nil {
		m.tenants = map[uint64]decayingWork{}
	}
	m.tenants[tenant] = decayingWork{busy: m.tenants[tenant].now(now) + busy.Seconds(), at: now}
	m.all = decayingWork{busy: m.all.now(now) + busy.Seconds(), at: now}
	if now-m.sweptAt >= readTimeConstant {
		m.sweep(now)
	}
}

// sweep removes the tenants whose work has decayed to nothing, so that memory is bounded by the work that can be
// placed.
func (m *tenantMeter) sweep(now time.Duration) {
	m.sweptAt = now
	for tenant, work := range m.tenants {
		if work.now(now) < negligibleWork {
			delete(m.tenants, tenant)
		}
	}
}

// waitFactor is the factor by which the expected wait of a tenant's prompt is stretched: 1 for a tenant that has
// not placed far more work than the others. A prompt with no work to wait for is not held back, so that a heavy
// tenant can still use the capacity that the others leave.
func (m *tenantMeter) waitFactor(tenant uint64, now time.Duration) float64 {
	others := len(m.tenants) - 1
	if tenant == 0 || others < 1 {
		return 1
	}
	own := m.tenants[tenant].now(now)
	mean := max(m.all.now(now)-own, 0) / float64(others)
	if own <= heavyTenantRatio*mean {
		return 1
	}
	return min(own/max(heavyTenantRatio*mean, negligibleWork), maximumWaitFactor)
}

// tenantHash returns the hash that stands for a tenant's name in placement queries, 0 for no tenant.
func tenantHash(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name)
}
