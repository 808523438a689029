package daemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/tenant"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// limitedKey is the API key of the tenant with a limit.
const limitedKey = "limited-key"

// limitedTenant returns a tenant with a limit of requests.
func limitedTenant(rate, burst float64) traffic.Tenant {
	return traffic.Tenant{
		Name:  "limited",
		Keys:  []tenant.Digest{tenant.DigestOf([]byte(limitedKey))},
		Quota: &traffic.Quota{Limit: quota.Limit{Rate: rate, Burst: burst}},
	}
}

// newLimitedRegion returns a region whose coordinator counts the tenant's whole limit and grants it
// its maximum debt, 0.35 of the tolerated overrun.
func newLimitedRegion(t *testing.T, replicas, gateways int, owner traffic.Tenant) *testRegion {
	t.Helper()
	r := newTestRegion(t, replicas, gateways, owner)
	require.Eventually(t, func() bool {
		status := r.running.Quotas(t.Context())
		return status.Parts == 1 && len(status.Tenants) == 1 && status.Tenants[0].Debt > toleratedOverrun.AbsoluteTolerance*0.3499
	}, time.Minute, 20*time.Millisecond)
	return r
}

// sendMany sends requests to all gateways in turn, and counts those answered and those refused for
// the tenant's limit.
func (r *testRegion) sendMany(requests int, name string) (answered, refused int) {
	r.t.Helper()
	for number := range requests {
		status, answer := r.ask(number%len(r.gateways), fmt.Sprint(name, "-", number), name)
		switch status {
		case http.StatusOK:
			answered++
		case http.StatusTooManyRequests:
			assert.Contains(r.t, answer, string(failure.TenantLimit))
			assert.Contains(r.t, answer, `"ran":"no"`)
			assert.Contains(r.t, answer, "retry_after_ms")
			refused++
		default:
			assert.Fail(r.t, "unexpected answer", "%d %s", status, answer)
		}
	}
	return answered, refused
}

// Guards against limits that gateways ignore: a tenant whose limit an operator lowered while it
// sent requests to many gateways exceeded the tolerated number by 3 percent, because no gateway
// read the limit.
func TestALimitHoldsForAllGatewaysTogether(t *testing.T) {
	r := newLimitedRegion(t, 2, 3, limitedTenant(4, 6))
	begun := time.Now()
	answered, refused := r.sendMany(120, "many")
	// 14 requests above the limit are tolerated.
	assert.LessOrEqual(t, float64(answered), 6+4*time.Since(begun).Seconds()+14)
	assert.Positive(t, refused)
	assert.Equal(t, 120, answered+refused)

	status := r.running.Quotas(t.Context())
	require.Len(t, status.Tenants, 1)
	assert.Equal(t, quota.ModeHolding, status.Mode)
	assert.Equal(t, 1, status.Parts)
	assert.Positive(t, status.Tenants[0].Refused)

	// Without a limit all requests pass, as soon as the gateways have the new configuration.
	r.tenants[0].Quota = nil
	r.configure()
	require.Eventually(t, func() bool {
		answered, _ := r.sendMany(12, "free")
		return answered == 12
	}, 30*time.Second, 100*time.Millisecond)
}

// A request that no replica ran is not charged: otherwise 14 requests would use up the limit.
func TestRequestsThatNoReplicaRanAreNotCharged(t *testing.T) {
	r := newLimitedRegion(t, 1, 1, limitedTenant(1e-6, 0))
	r.replicas.close()
	for number := range 40 {
		status, answer := r.ask(0, fmt.Sprint("unrun-", number), "unrun")
		require.Equal(t, http.StatusServiceUnavailable, status, answer)
	}
}

// Requests that run are charged: the 15th is refused.
func TestRequestsThatRanAreCharged(t *testing.T) {
	r := newLimitedRegion(t, 1, 1, limitedTenant(1e-6, 0))
	answered, refused := r.sendMany(20, "charged")
	assert.Equal(t, 14, answered)
	assert.Equal(t, 6, refused)
}

// While no coordinator answers, a gateway uses its share of the tolerated overrun. If it has
// none, it refuses requests and says when to retry.
func TestIsolatedGatewayRefusesBeyondItsShare(t *testing.T) {
	r := newLimitedRegion(t, 1, 1, limitedTenant(1000, 1000))
	stop := r.stop
	r.stop = func() {}
	stop()
	answered, refused := r.sendMany(3, "cut-off")
	assert.Zero(t, answered)
	assert.Equal(t, 3, refused)
}
