package usage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/usage"
)

const length = 5 * time.Second

// inWindow is a moment in a window.
func inWindow(window uint64) time.Time { return usage.WindowEnd(window, length).Add(-time.Second) }

func TestWindowsAreCountedFrom1970(t *testing.T) {
	assert.EqualValues(t, 2, usage.WindowAt(time.Unix(10, 0), length))
	assert.EqualValues(t, 1, usage.WindowAt(time.Unix(10, -1), length))
	assert.Equal(t, time.Unix(15, 0), usage.WindowEnd(2, length))
	assert.Zero(t, usage.WindowAt(time.Unix(10, 0), 0), "without windows")
}

func TestLedgerReportsChangesUntilWindowIsFinalized(t *testing.T) {
	ledger := usage.NewLedger(length)
	ledger.CountRequest("depot", inWindow(7))
	ledger.CountRequest("depot", inWindow(7))
	ledger.CountRequest("", inWindow(7))
	first := ledger.Report(false)
	assert.Equal(t, []region.UsageCount{{Window: 7, Tenant: "depot", Count: 2}}, first)
	assert.Equal(t, first, ledger.Report(false), "it was not taken")
	ledger.Acknowledge(first)
	assert.Empty(t, ledger.Report(false))
	assert.Equal(t, first, ledger.Report(true), "another coordinator gets all counts")

	ledger.FinalizeBefore(8)
	ledger.CountRequest("depot", inWindow(7))
	assert.Empty(t, ledger.Report(true), "a fixed window does not change")
	ledger.CountRequest("depot", inWindow(8))
	assert.Len(t, ledger.Report(true), 1)
}

func TestLedgerIsBounded(t *testing.T) {
	ledger := usage.NewLedger(length)
	for window := uint64(1); window <= 1000; window++ {
		ledger.CountRequest("depot", inWindow(window))
	}
	assert.Len(t, ledger.Report(true), 64)
	none := usage.NewLedger(0)
	none.CountRequest("depot", inWindow(1))
	assert.Empty(t, none.Report(true), "nothing is counted where nothing is reported")
}

// TestCollectorAddsUpReportsOfAnyPath has gateways report to coordinators in any order, twice and by
// several ways, die and come back: the sum is what they have counted.
func TestCollectorAddsUpReportsOfAnyPath(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		collectors := []*usage.Collector{usage.NewCollector(), usage.NewCollector(), usage.NewCollector()}
		leader := usage.NewCollector()
		want := uint32(0)
		for gateway := range 5 {
			for life := range int64(2) {
				ledger := usage.NewLedger(length)
				for range 1 + random.IntN(20) {
					ledger.CountRequest("depot", inWindow(7))
					want++
					told := &region.GatewayUsage{Gateway: fmt.Sprint(gateway), Life: life, Counts: ledger.Report(random.IntN(2) == 0)}
					collectors[random.IntN(len(collectors))].Add(told)
					if random.IntN(2) == 0 {
						ledger.Acknowledge(told.Counts)
					}
				}
				collectors[random.IntN(len(collectors))].Add(&region.GatewayUsage{Gateway: fmt.Sprint(gateway), Life: life, Counts: ledger.Report(true)})
			}
		}
		for range 2 {
			for _, collector := range collectors {
				news, _ := collector.Since(0)
				for index := range news {
					require.Zero(t, leader.Add(&news[index]))
				}
			}
		}
		assert.Equal(t, []region.UsageCount{{Window: 7, Tenant: "depot", Count: want}}, leader.Sum(7), "seed %d", seed)
	}
}

func TestCollectorReturnsReportsSinceARevision(t *testing.T) {
	collector := usage.NewCollector()
	collector.Add(&region.GatewayUsage{Gateway: "a", Life: 1, ToldAt: 5, Counts: []region.UsageCount{{Window: 7, Tenant: "depot", Count: 2}}})
	news, revision := collector.Since(0)
	require.Len(t, news, 1)
	news, revision = collector.Since(revision)
	assert.Empty(t, news)
	collector.Add(&region.GatewayUsage{Gateway: "a", Life: 1, ToldAt: 9})
	news, _ = collector.Since(revision)
	assert.Equal(t, []region.GatewayUsage{{Gateway: "a", Life: 1, ToldAt: 9}}, news, "a later time up to which it has reported everything")
}

func TestCollectorIgnoresInvalidCounts(t *testing.T) {
	collector := usage.NewCollector()
	collector.FinalizeBefore(7, time.Time{})
	assert.Equal(t, 3, collector.Add(&region.GatewayUsage{Gateway: "a", Life: 1, Counts: []region.UsageCount{
		{Window: 8, Tenant: "", Count: 1}, {Window: 8, Tenant: "depot", Count: 4_000_000_000}, {Window: 8000, Tenant: "depot", Count: 1},
		{Window: 6, Tenant: "depot", Count: 1}, {Window: 8, Tenant: "floor", Count: 3},
	}}))
	assert.Equal(t, []region.UsageCount{{Window: 8, Tenant: "floor", Count: 3}}, collector.Sum(8))
	assert.Empty(t, collector.Sum(6), "the window is finalized")
	assert.EqualValues(t, 8, collector.OldestWindow(9))
	assert.EqualValues(t, 5, collector.OldestWindow(5))
	ignored := 0
	for number := range 30_000 {
		ignored += collector.Add(&region.GatewayUsage{Gateway: "a", Life: 1, Counts: []region.UsageCount{{Window: 8, Tenant: fmt.Sprint(number), Count: 1}}})
	}
	assert.Equal(t, 10_001, ignored, "the memory for one gateway is bounded")
	ignored = 0
	for number := range 5000 {
		ignored += collector.Add(&region.GatewayUsage{Gateway: fmt.Sprint("g", number), Life: 1, Counts: []region.UsageCount{{Window: 8, Tenant: "depot", Count: 1}}})
	}
	assert.Equal(t, 905, ignored, "and so are the gateways")
}

func TestUnreportedGatewaysHaveNotReportedEverything(t *testing.T) {
	collector := usage.NewCollector()
	end := usage.WindowEnd(7, length)
	collector.Add(&region.GatewayUsage{Gateway: "a", Life: 1, ToldAt: end.UnixNano()})
	collector.Add(&region.GatewayUsage{Gateway: "b", Life: 1, ToldAt: end.UnixNano() - 1})
	assert.Equal(t, []string{"b", "c"}, collector.Unreported([]string{"a", "b", "c"}, end))
	collector.FinalizeBefore(8, end.Add(time.Second))
	assert.Equal(t, []string{"a", "b", "c"}, collector.Unreported([]string{"a", "b", "c"}, end), "the reports of silent gateways are deleted")
}
