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
func inWindow(window uint64) time.Time { return usage.EndOf(window, length).Add(-time.Second) }

func TestWindowsAreCountedFrom1970(t *testing.T) {
	assert.EqualValues(t, 2, usage.WindowOf(time.Unix(10, 0), length))
	assert.EqualValues(t, 1, usage.WindowOf(time.Unix(10, -1), length))
	assert.Equal(t, time.Unix(15, 0), usage.EndOf(2, length))
	assert.Zero(t, usage.WindowOf(time.Unix(10, 0), 0), "without windows")
}

func TestALedgerTellsWhatIsNewUntilAWindowIsFixed(t *testing.T) {
	ledger := usage.NewLedger(length)
	ledger.Begun("depot", inWindow(7))
	ledger.Begun("depot", inWindow(7))
	ledger.Begun("", inWindow(7))
	first := ledger.Report(false)
	assert.Equal(t, []region.UsageCount{{Window: 7, Tenant: "depot", Count: 2}}, first)
	assert.Equal(t, first, ledger.Report(false), "it was not taken")
	ledger.Taken(first)
	assert.Empty(t, ledger.Report(false))
	assert.Equal(t, first, ledger.Report(true), "another coordinator is told all")

	ledger.Fixed(8)
	ledger.Begun("depot", inWindow(7))
	assert.Empty(t, ledger.Report(true), "a fixed window does not change")
	ledger.Begun("depot", inWindow(8))
	assert.Len(t, ledger.Report(true), 1)
}

func TestALedgerIsBounded(t *testing.T) {
	ledger := usage.NewLedger(length)
	for window := uint64(1); window <= 1000; window++ {
		ledger.Begun("depot", inWindow(window))
	}
	assert.Len(t, ledger.Report(true), 64)
	none := usage.NewLedger(0)
	none.Begun("depot", inWindow(1))
	assert.Empty(t, none.Report(true), "nothing is counted where nothing is reported")
}

// TestABookAddsUpWhateverWayItIsTold has gateways tell coordinators in any order, twice and by
// several ways, die and come back: the sum is what they have counted.
func TestABookAddsUpWhateverWayItIsTold(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		books := []*usage.Book{usage.NewBook(), usage.NewBook(), usage.NewBook()}
		leader := usage.NewBook()
		want := uint32(0)
		for gateway := range 5 {
			for life := range int64(2) {
				ledger := usage.NewLedger(length)
				for range 1 + random.IntN(20) {
					ledger.Begun("depot", inWindow(7))
					want++
					told := &region.GatewayUsage{Gateway: fmt.Sprint(gateway), Life: life, Counts: ledger.Report(random.IntN(2) == 0)}
					books[random.IntN(len(books))].Take(told)
					if random.IntN(2) == 0 {
						ledger.Taken(told.Counts)
					}
				}
				books[random.IntN(len(books))].Take(&region.GatewayUsage{Gateway: fmt.Sprint(gateway), Life: life, Counts: ledger.Report(true)})
			}
		}
		for range 2 {
			for _, book := range books {
				news, _ := book.Since(0)
				for index := range news {
					require.Zero(t, leader.Take(&news[index]))
				}
			}
		}
		assert.Equal(t, []region.UsageCount{{Window: 7, Tenant: "depot", Count: want}}, leader.Sum(7), "seed %d", seed)
	}
}

func TestABookTellsWhatIsNewSinceARevision(t *testing.T) {
	book := usage.NewBook()
	book.Take(&region.GatewayUsage{Gateway: "a", Life: 1, ToldAt: 5, Counts: []region.UsageCount{{Window: 7, Tenant: "depot", Count: 2}}})
	news, revision := book.Since(0)
	require.Len(t, news, 1)
	news, revision = book.Since(revision)
	assert.Empty(t, news)
	book.Take(&region.GatewayUsage{Gateway: "a", Life: 1, ToldAt: 9})
	news, _ = book.Since(revision)
	assert.Equal(t, []region.GatewayUsage{{Gateway: "a", Life: 1, ToldAt: 9}}, news, "that it has told all up to a later moment")
}

func TestABookIgnoresWhatCannotBe(t *testing.T) {
	book := usage.NewBook()
	book.Fixed(7, time.Time{})
	assert.Equal(t, 3, book.Take(&region.GatewayUsage{Gateway: "a", Life: 1, Counts: []region.UsageCount{
		{Window: 8, Tenant: "", Count: 1}, {Window: 8, Tenant: "depot", Count: 4_000_000_000}, {Window: 8000, Tenant: "depot", Count: 1},
		{Window: 6, Tenant: "depot", Count: 1}, {Window: 8, Tenant: "floor", Count: 3},
	}}))
	assert.Equal(t, []region.UsageCount{{Window: 8, Tenant: "floor", Count: 3}}, book.Sum(8))
	assert.Empty(t, book.Sum(6), "it was fixed before")
	assert.EqualValues(t, 8, book.Oldest(9))
	assert.EqualValues(t, 5, book.Oldest(5))
	ignored := 0
	for number := range 30_000 {
		ignored += book.Take(&region.GatewayUsage{Gateway: "a", Life: 1, Counts: []region.UsageCount{{Window: 8, Tenant: fmt.Sprint(number), Count: 1}}})
	}
	assert.Equal(t, 10_001, ignored, "the memory for one gateway is bounded")
	ignored = 0
	for number := range 5000 {
		ignored += book.Take(&region.GatewayUsage{Gateway: fmt.Sprint("g", number), Life: 1, Counts: []region.UsageCount{{Window: 8, Tenant: "depot", Count: 1}}})
	}
	assert.Equal(t, 905, ignored, "and so are the gateways")
}

func TestMissingAreThoseThatHaveNotToldAll(t *testing.T) {
	book := usage.NewBook()
	end := usage.EndOf(7, length)
	book.Take(&region.GatewayUsage{Gateway: "a", Life: 1, ToldAt: end.UnixNano()})
	book.Take(&region.GatewayUsage{Gateway: "b", Life: 1, ToldAt: end.UnixNano() - 1})
	assert.Equal(t, []string{"b", "c"}, book.Missing([]string{"a", "b", "c"}, end))
	book.Fixed(8, end.Add(time.Second))
	assert.Equal(t, []string{"a", "b", "c"}, book.Missing([]string{"a", "b", "c"}, end), "those that have fallen silent are forgotten")
}
