package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reportSeconds returns the seconds at which a tenant's usage is reported, when
// requested(second) tokens are requested in each second.
func reportSeconds(limit *TenantLimit, seconds int, requested func(second int) float64) []int {
	var reports []int
	for second := 1; second <= seconds; second++ {
		now := time.Duration(second) * time.Second
		if tokens := requested(second); tokens > 0 {
			limit.Allow(now, tokens)
		}
		if _, due := limit.DueUsage(now); due {
			reports = append(reports, second)
		}
	}
	return reports
}

func TestUsageIsReportedSparsely(t *testing.T) {
	tests := map[string]struct {
		requested func(second int) float64
		want      []int
	}{
		"never used": {func(int) float64 { return 0 }, nil},
		"steady":     {func(int) float64 { return 10 }, []int{1, 31}},
		"used once":  {func(s int) float64 { return map[int]float64{5: 10}[s] }, []int{5, 35}},
		"doubled":    {func(s int) float64 { return map[bool]float64{true: 100, false: 10}[s > 10] }, []int{1, 12, 15, 45}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, reportSeconds(NewTenantLimit(0, 1000, 1000), 60, test.requested))
		})
	}
}

func TestUsageAboveShareIsReportedSooner(t *testing.T) {
	times := reportSeconds(NewTenantLimit(0, 100, 1000), 60, func(int) float64 { return 800 })
	require.Greater(t, len(times), 10, "refused requests cause early reports")
	for index := 1; index < len(times); index++ {
		require.GreaterOrEqual(t, times[index]-times[index-1], 3)
	}
}

func TestUsageWithoutBudgetIsNotReported(t *testing.T) {
	require.Empty(t, reportSeconds(NewTenantLimit(0, 0, 0), 60, func(int) float64 { return 10 }))
}

// A new leader knows neither the demand nor the leases of the previous one: its
// first grants must stay within the budget by themselves.
func TestNewLeaderGrantsEqualShares(t *testing.T) {
	options := DefaultShareOptions()
	calculator := NewShareCalculator(time.Minute, options)
	gateways := []string{"a", "b", "c", "d"}
	calculator.RecordUsage("a", "tenant", 900)
	sum := 0.0
	for _, gateway := range gateways {
		sum += calculator.Renew(time.Minute, gateway, "tenant", 1000, 1000, gateways).TokensPerSecond
	}
	require.InDelta(t, 1000, sum, 1e-6)
	later := time.Minute + 2*options.Valid
	require.Greater(t, calculator.Renew(later, "a", "tenant", 1000, 1000, gateways).TokensPerSecond, 250.0)
}

// The sum of the valid leases must not exceed the budget while the gateways renew in
// turn and the demand moves between them.
func TestValidLeasesStayWithinBudget(t *testing.T) {
	options := DefaultShareOptions()
	calculator := NewShareCalculator(0, options)
	gateways := []string{"a", "b", "c"}
	shares := map[string]Share{}
	grantedAt := map[string]time.Duration{}
	for second := range 600 {
		now := time.Duration(second) * time.Second
		gateway := gateways[second%len(gateways)]
		// The demand moves from one gateway to the next.
		calculator.RecordUsage(gateway, "tenant", float64((second*37+len(gateway))%500))
		shares[gateway] = calculator.Renew(now, gateway, "tenant", 1000, 1000, gateways)
		grantedAt[gateway] = now
		sum := 0.0
		for id, share := range shares {
			if now < grantedAt[id]+share.Valid {
				sum += share.TokensPerSecond
			}
		}
		require.LessOrEqual(t, sum, 1000.0+1e-6, "second %d", second)
	}
}
