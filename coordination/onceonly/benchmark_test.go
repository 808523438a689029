package onceonly

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

const benchmarkAnswerBytes = 64

// filledTable returns a table with the given number of answered claims.
func filledTable(t testing.TB, claims int) *Table {
	table := New()
	parameters := DefaultParameters()
	parameters.Entries = max(parameters.Entries, claims)
	table.Step(&Command{Kind: KindConfigure, Parameters: &parameters})
	for number := range claims {
		claim, completion := claimAndCompletion(number)
		require.Equal(t, StatusGranted, table.Step(&claim).Status)
		require.Equal(t, StatusDone, table.Step(&completion).Status)
	}
	return table
}

// claimAndCompletion returns the commands of one request, with field lengths as
// in use.
func claimAndCompletion(number int) (claim, completion Command) {
	key := fmt.Sprintf("01910b2e-8c00-7000-8000-%012d", number)
	attempt := fmt.Sprintf("01910b2e-8c00-7000-8001-%012d", number)
	claim = Command{Kind: KindClaim, TimeMillis: 1, Claim: &Claim{
		Tenant: "sorteerhulp-hal-noord", Key: key, BodyHash: make([]byte, 32), AttemptID: attempt, Holder: "1234567",
		Opaque: true,
	}}
	completion = Command{Kind: KindComplete, TimeMillis: 1, Completion: &Completion{
		Tenant: "sorteerhulp-hal-noord", Key: key, AttemptID: attempt,
		Answer: Answer{Status: 200, Body: make([]byte, benchmarkAnswerBytes)},
	}}
	return claim, completion
}

// BenchmarkClaim measures a claim and its completion in the table, without log,
// encoding or network.
func BenchmarkClaim(b *testing.B) {
	table := New()
	parameters := DefaultParameters()
	parameters.Entries = maximumEntries
	table.Step(&Command{Kind: KindConfigure, Parameters: &parameters})
	for number := range b.N {
		claim, completion := claimAndCompletion(number)
		table.Step(&claim)
		table.Step(&completion)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkSnapshot measures a synchronous snapshot of a table, which blocks its
// replica, and checks that it can be restored.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := filledTable(b, claims)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			var data []byte
			for range b.N {
				var err error
				data, err = table.Snapshot()
				require.NoError(b, err)
			}
			taken := b.Elapsed()
			b.StopTimer()
			b.ReportMetric(taken.Seconds()*1000/float64(b.N), "ms/snapshot")
			b.ReportMetric(float64(len(data))/float64(claims), "B/claim")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(claims), "heapB/claim")
			require.NoError(b, New().Restore(data))
		})
	}
}
