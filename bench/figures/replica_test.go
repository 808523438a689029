package figures

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/onceonly"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// alone is the transport of a group of one.
type alone struct{}

func (alone) Send([]consensus.Message) {}

// startAlone starts a group of one on a real disk.
func startAlone(b *testing.B, machine replica.StateMachine) *replica.Runner {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	runner, err := replica.NewRunner(replica.RunnerConfig{Transport: alone{}, Config: replica.Config{
		Group: 1, Directory: filepath.Join(b.TempDir(), "data"), FileSystem: storage.OSFileSystem{},
		StateMachine: machine, Random: rand.New(rand.NewPCG(1, 1)), SnapshotEntries: 10_000,
	}})
	require.NoError(b, err)
	require.NoError(b, runner.Start())
	b.Cleanup(runner.Stop)
	_, err = runner.Bootstrap(ctx, replica.BootstrapOptions{Generation: 1, SelfAddress: "local"})
	require.NoError(b, err)
	require.NoError(b, runner.AwaitLeader(ctx))
	return runner
}

// claimOf and completionOf return the two commands of one once-only request.
func claimOf(number int64) *onceonly.Command {
	return &onceonly.Command{Kind: onceonly.KindClaim, TimeMillis: 1, Claim: &onceonly.Claim{
		Tenant: "sorteerhulp", Key: fmt.Sprintf("01910b2e-8c00-7000-8000-%012d", number), Opaque: true,
		BodyHash: make([]byte, 32), AttemptID: fmt.Sprintf("01910b2e-8c00-7000-8001-%012d", number), Holder: "1234567",
	}}
}

func completionOf(claim *onceonly.Claim) *onceonly.Command {
	return &onceonly.Command{Kind: onceonly.KindComplete, TimeMillis: 1, Completion: &onceonly.Completion{
		Tenant: claim.Tenant, Key: claim.Key, AttemptID: claim.AttemptID,
		Answer: onceonly.Answer{Status: 200, Body: make([]byte, 64)},
	}}
}

// filledMachine is a table that is not empty when its group is founded.
type filledMachine struct{ *onceonly.Table }

// Restore implements replica.StateMachine.
func (m filledMachine) Restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return m.Table.Restore(data)
}

// filledTable returns a table with answered claims of numbers below zero.
func filledTable(b *testing.B, claims int64) filledMachine {
	table := onceonly.New()
	parameters := onceonly.DefaultParameters()
	parameters.Entries = 1 << 22
	parameters.TotalAnswerBytes = 1 << 30
	table.Step(&onceonly.Command{Kind: onceonly.KindConfigure, Parameters: &parameters})
	for number := range claims {
		claim := claimOf(-1 - number)
		require.Equal(b, onceonly.StatusGranted, table.Step(claim).Status)
		table.Step(completionOf(claim.Claim))
	}
	require.Equal(b, int(claims), table.Len())
	return filledMachine{table}
}

// request commits a claim and its completion.
func request(runner *replica.Runner, number int64) error {
	claim := claimOf(number)
	for _, command := range []*onceonly.Command{claim, completionOf(claim.Claim)} {
		data, err := command.Encode()
		if err != nil {
			return err
		}
		if _, _, err := runner.Propose(context.Background(), data); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkClaimsBesideSnapshots measures once-only requests of many callers
// against a group of one on a real disk, with snapshots as they come: requests
// a second, requests a sync, and the longest that one request took.
func BenchmarkClaimsBesideSnapshots(b *testing.B) {
	for _, remembered := range []int64{0, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("remembered=%d", remembered), func(b *testing.B) {
			runner := startAlone(b, filledTable(b, remembered))
			measureRequests(b, runner)
		})
	}
}

const requestCallers = 256

func measureRequests(b *testing.B, runner *replica.Runner) {
	var next, longest atomic.Int64
	var callers sync.WaitGroup
	before := runner.Status()
	b.ResetTimer()
	for range requestCallers {
		callers.Go(func() {
			for number := next.Add(1); number <= int64(b.N); number = next.Add(1) {
				started := time.Now()
				if err := request(runner, number); err != nil {
					b.Error(err)
					return
				}
				raise(&longest, int64(time.Since(started)))
			}
		})
	}
	callers.Wait()
	b.StopTimer()
	after := runner.Status()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(b.N)/float64(after.Syncs-before.Syncs), "requests/sync")
	b.ReportMetric(float64(longest.Load())/float64(time.Millisecond), "ms-longest")
}

// raise sets a maximum.
func raise(maximum *atomic.Int64, value int64) {
	for known := maximum.Load(); value > known; known = maximum.Load() {
		if maximum.CompareAndSwap(known, value) {
			return
		}
	}
}
