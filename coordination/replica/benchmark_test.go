package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage"
)

// BenchmarkCommits measures the throughput of concurrent proposals on a real disk.
func BenchmarkCommits(b *testing.B) {
	for _, replicas := range []int{1, 3} {
		for _, callers := range []int{1, 64, 1024} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", replicas, callers), func(b *testing.B) {
				benchmarkCommits(b, replicas, callers)
			})
		}
	}
}

func benchmarkCommits(b *testing.B, replicas, callers int) {
	_, runners, _, _ := startGroup(b, replicas)
	leader := awaitLeader(b, runners)
	command := make([]byte, 128)
	_, _, err := leader.Propose(testContext(b), command)
	require.NoError(b, err)
	syncs := leader.Status().Syncs
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	done := make(chan error, callers)
	b.ResetTimer()
	for range callers {
		go func() {
			var err error
			for remaining.Add(-1) >= 0 && err == nil {
				_, _, err = leader.Propose(context.Background(), command)
			}
			done <- err
		}()
	}
	for range callers {
		require.NoError(b, <-done)
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(b.N)/float64(leader.Status().Syncs-syncs), "commits/sync")
	for _, runner := range runners {
		runner.Stop()
	}
}

// BenchmarkRestart measures the time from opening a single-replica group with
// 100,000 committed commands on a real disk to its first linearizable read.
func BenchmarkRestart(b *testing.B) {
	for _, snapshots := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshots=%v", snapshots), func(b *testing.B) {
			benchmarkRestart(b, snapshots)
		})
	}
}

func benchmarkRestart(b *testing.B, snapshots bool) {
	const changes = 100_000
	directory := filepath.Join(b.TempDir(), "data")
	config := diskConfig(directory)
	if !snapshots {
		config.SnapshotEntries = 10 * changes
	}
	node, err := OpenNode(config, 0)
	require.NoError(b, err)
	foundSingleReplica(b, node)
	proposals := make([]Proposal, 100)
	for position := range proposals {
		proposals[position] = Proposal{Command: make([]byte, 128)}
	}
	for range changes / len(proposals) {
		_, err := node.ProposeBatch(0, proposals)
		require.NoError(b, err)
	}
	require.NoError(b, node.Close())
	b.ResetTimer()
	for range b.N {
		state := &counter{}
		config.StateMachine = state
		node, err := OpenNode(config, 0)
		require.NoError(b, err)
		_, err = node.Tick(0)
		require.NoError(b, err)
		outputs, err := node.ReadBarrier(0, 1)
		require.NoError(b, err)
		require.Len(b, outputs.Reads, 1)
		require.EqualValues(b, changes, state.value)
		require.NoError(b, node.Close())
	}
	b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/restart")
}

func foundSingleReplica(b testing.TB, node *Node) {
	request := FoundingRequest{Group: testGroup, Token: 5}
	promise, err := node.PromiseFounding(request)
	require.NoError(b, err)
	founding, err := NewFounding(request, 1, []string{""}, []FoundingPromise{promise})
	require.NoError(b, err)
	_, err = node.Found(0, founding)
	require.NoError(b, err)
	_, err = node.Tick(0)
	require.NoError(b, err)
}

// BenchmarkFailover measures the virtual time from a leader's failure to the
// next committed command, in election timeouts. One iteration is one seed with
// three machines; the network delay is up to 5 ms and the election timeout 200 ms.
func BenchmarkFailover(b *testing.B) {
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for seed := range b.N {
		require.NoError(b, times.RecordValue(failover(b, uint64(seed)).Microseconds()))
	}
	inTimeouts := func(percentile float64) float64 {
		return float64(times.ValueAtPercentile(percentile)) / float64(testElectionTime.Microseconds())
	}
	b.ReportMetric(inTimeouts(50), "timeouts-p50")
	b.ReportMetric(inTimeouts(99), "timeouts-p99")
	b.ReportMetric(inTimeouts(100), "timeouts-max")
}

func failover(b *testing.B, seed uint64) time.Duration {
	c := newCluster(seed, 3, plantedBugs{})
	c.clients.start()
	c.runFor(2 * time.Second)
	c.runFor(c.randomDuration(testElectionTime))
	leader := c.leader()
	require.NotNil(b, leader)
	crashedAt := c.now
	leader.stop()
	before := len(c.checks.commandByIndex)
	for len(c.checks.commandByIndex) == before {
		require.Less(b, c.now, crashedAt+time.Minute)
		c.runFor(time.Millisecond)
	}
	require.Empty(b, c.checks.violation)
	return c.now - crashedAt
}

func diskConfig(directory string) Config {
	return Config{
		Group: testGroup, Directory: directory, FileSystem: storage.OSFileSystem{}, StateMachine: &counter{},
		Random: rand.New(rand.NewPCG(1, 1)),
	}
}
