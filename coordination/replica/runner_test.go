package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// counter is a state machine that counts its commands.
type counter struct{ value int64 }

func (c *counter) Apply(uint64, []byte) []byte {
	return fmt.Append(nil, atomic.AddInt64(&c.value, 1))
}

func (c *counter) Snapshot() ([]byte, error) { return fmt.Append(nil, atomic.LoadInt64(&c.value)), nil }

func (c *counter) Restore(data []byte) error {
	var value int64
	if len(data) > 0 {
		if _, err := fmt.Sscan(string(data), &value); err != nil {
			return err
		}
	}
	atomic.StoreInt64(&c.value, value)
	return nil
}

// inMemoryTransport delivers messages between runners in the same process.
type inMemoryTransport struct {
	mutex   sync.Mutex
	runners map[consensus.ReplicaID]*Runner
}

func (e *inMemoryTransport) Send(messages []consensus.Message) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, message := range messages {
		if to := e.runners[message.To]; to != nil {
			to.Receive(message)
		}
	}
}

func (e *inMemoryTransport) register(runner *Runner) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.runners[runner.Status().ID] = runner
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func startRunner(t testing.TB, transport *inMemoryTransport, directory string) (*Runner, *counter) {
	state := &counter{}
	runner, err := NewRunner(RunnerConfig{
		Config: Config{
			Group: testGroup, Directory: directory, FileSystem: storage.OSFileSystem{}, StateMachine: state,
			Random: rand.New(rand.NewPCG(rand.Uint64(), 1)), ElectionTimeout: 300 * time.Millisecond, SnapshotEntries: 500,
		},
		Transport: transport,
	})
	require.NoError(t, err)
	require.NoError(t, runner.Start())
	t.Cleanup(runner.Stop)
	if runner.quarantined == nil {
		transport.register(runner)
	}
	return runner, state
}

// startGroup starts the given number of runners and founds a group with them.
func startGroup(t testing.TB, size int) (*inMemoryTransport, []*Runner, []*counter, []string) {
	transport := &inMemoryTransport{runners: map[consensus.ReplicaID]*Runner{}}
	var runners []*Runner
	var states []*counter
	var directories []string
	byAddress := map[string]*Runner{}
	options := BootstrapOptions{Generation: 1, SelfAddress: "address-0"}
	for number := range size {
		directories = append(directories, filepath.Join(t.TempDir(), "data"))
		runner, state := startRunner(t, transport, directories[number])
		runners, states = append(runners, runner), append(states, state)
		address := fmt.Sprintf("address-%d", number)
		byAddress[address] = runner
		if number > 0 {
			options.OtherAddresses = append(options.OtherAddresses, address)
		}
	}
	options.CollectPromise = func(ctx context.Context, address string, request FoundingRequest) (FoundingPromise, error) {
		return byAddress[address].PromiseFounding(ctx, request)
	}
	founding, err := runners[0].Bootstrap(testContext(t), options)
	require.NoError(t, err)
	for _, runner := range runners[1:] {
		require.NoError(t, runner.Found(testContext(t), founding))
	}
	_, err = runners[0].Bootstrap(testContext(t), options)
	require.ErrorIs(t, err, ErrFoundingRefused, "a group is founded once")
	return transport, runners, states, directories
}

func waitFor(t testing.TB, what string, condition func() bool) {
	require.Eventually(t, condition, time.Minute, 2*time.Millisecond, what)
}

func awaitLeader(t testing.TB, runners []*Runner) *Runner {
	var leader *Runner
	waitFor(t, "a leader", func() bool {
		for _, runner := range runners {
			if runner.Status().Role == consensus.RoleLeader {
				leader = runner
				return true
			}
		}
		return false
	})
	return leader
}

func TestSingleReplicaRunnerRecoversStateAfterRestart(t *testing.T) {
	transport, runners, _, directories := startGroup(t, 1)
	ctx := testContext(t)
	leader := awaitLeader(t, runners)
	for range 5 {
		_, _, err := leader.Propose(ctx, []byte("count"))
		require.NoError(t, err)
	}
	require.NoError(t, leader.ReadBarrier(ctx))
	require.ErrorIs(t, leader.Transfer(ctx), consensus.ErrUnknownMember)
	leader.Stop()
	_, _, err := leader.Propose(ctx, []byte("count"))
	require.ErrorIs(t, err, ErrStopped)

	restarted, state := startRunner(t, transport, directories[0])
	waitFor(t, "the leader", func() bool { return restarted.ReadBarrier(ctx) == nil })
	require.EqualValues(t, 5, atomic.LoadInt64(&state.value))
	require.EqualValues(t, 1, restarted.Status().Generation)
}

// TestAcknowledgedCommandsSurviveTransferAndReplacement proposes commands
// concurrently while leadership is transferred and a member's disk is lost and
// the member replaced. Every acknowledged command must be applied exactly once.
func TestAcknowledgedCommandsSurviveTransferAndReplacement(t *testing.T) {
	transport, runners, states, directories := startGroup(t, 3)
	ctx := testContext(t)
	leader := awaitLeader(t, runners)
	var acknowledged, unknown atomic.Int64
	stop := make(chan struct{})
	var proposers sync.WaitGroup
	for range 8 {
		proposers.Go(func() { proposeUntil(ctx, stop, transport, &acknowledged, &unknown) })
	}
	waitFor(t, "commits", func() bool { return acknowledged.Load() > 500 })
	require.NoError(t, leader.Transfer(ctx))

	leader = awaitLeader(t, runners)
	lostIndex := 0
	for runners[lostIndex] == leader {
		lostIndex++
	}
	oldID := runners[lostIndex].Status().ID
	runners[lostIndex].Stop()
	require.NoError(t, os.RemoveAll(directories[lostIndex]))
	runners[lostIndex], states[lostIndex] = startRunner(t, transport, directories[lostIndex])
	newID := runners[lostIndex].Status().ID
	require.NotEqual(t, oldID, newID)
	waitFor(t, "the replacement", func() bool {
		member := consensus.Member{ID: newID, Address: fmt.Sprintf("address-%d", lostIndex)}
		return awaitLeader(t, runners).Replace(ctx, oldID, member) == nil
	})
	target := acknowledged.Load() + 500
	waitFor(t, "commits", func() bool { return acknowledged.Load() > target })
	close(stop)
	proposers.Wait()

	waitFor(t, "agreement", func() bool {
		value := atomic.LoadInt64(&states[0].value)
		return value == atomic.LoadInt64(&states[1].value) && value == atomic.LoadInt64(&states[2].value)
	})
	value := atomic.LoadInt64(&states[0].value)
	require.GreaterOrEqual(t, value, acknowledged.Load())
	require.LessOrEqual(t, value, acknowledged.Load()+unknown.Load())
	status := awaitLeader(t, runners).Status()
	require.Len(t, status.Members, 3)
	_, found := status.Member(oldID)
	require.False(t, found)
}

func proposeUntil(ctx context.Context, stop chan struct{}, transport *inMemoryTransport, acknowledged, unknown *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		transport.mutex.Lock()
		runners := make([]*Runner, 0, len(transport.runners))
		for _, runner := range transport.runners {
			runners = append(runners, runner)
		}
		transport.mutex.Unlock()
		_, _, err := runners[rand.IntN(len(runners))].Propose(ctx, []byte("count"))
		switch {
		case err == nil:
			acknowledged.Add(1)
		case errors.Is(err, ErrOutcomeUnknown):
			unknown.Add(1)
		default:
			time.Sleep(time.Millisecond)
		}
	}
}

func TestProposalThatCannotCommitIsUnknown(t *testing.T) {
	transport, runners, _, _ := startGroup(t, 3)
	leader := awaitLeader(t, runners)
	transport.mutex.Lock()
	transport.runners = nil
	transport.mutex.Unlock()
	_, _, err := leader.Propose(testContext(t), []byte("count"))
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	_, _, err = leader.Propose(testContext(t), []byte("count"))
	require.ErrorIs(t, err, ErrNotLeader)
}

func TestDamagedDataQuarantinesTheReplica(t *testing.T) {
	transport, runners, _, directories := startGroup(t, 1)
	leader := awaitLeader(t, runners)
	for range 3 {
		_, _, err := leader.Propose(testContext(t), []byte("count"))
		require.NoError(t, err)
	}
	leader.Stop()
	segments, err := filepath.Glob(filepath.Join(directories[0], "segment-*.log"))
	require.NoError(t, err)
	content, err := os.ReadFile(segments[0])
	require.NoError(t, err)
	content[len(content)/2] ^= 1
	require.NoError(t, os.WriteFile(segments[0], content, 0o600))

	damaged, _ := startRunner(t, transport, directories[0])
	require.ErrorIs(t, damaged.Status().Quarantined, storage.ErrCorrupt)
	_, _, err = damaged.Propose(testContext(t), []byte("count"))
	require.ErrorIs(t, err, ErrReplicaQuarantined)
	require.ErrorIs(t, damaged.ReadBarrier(testContext(t)), ErrReplicaQuarantined)
	damaged.Stop()
}

func TestPendingProposalsAreBounded(t *testing.T) {
	config := diskConfig(filepath.Join(t.TempDir(), "data"))
	config.MaxPending, config.MaxPendingBytes = 3, 10
	node, err := OpenNode(config, 0)
	require.NoError(t, err)
	foundSingleReplica(t, node)
	cases := map[string]struct {
		sizes   []int
		refused int
	}{
		"fits":           {[]int{3, 3, 3}, 0},
		"too many":       {[]int{1, 1, 1, 1, 1}, 2},
		"too much":       {[]int{5, 5, 1}, 1},
		"first too much": {[]int{11, 1}, 2},
	}
	for name, proposed := range cases {
		t.Run(name, func(t *testing.T) {
			var proposals []Proposal
			for _, size := range proposed.sizes {
				proposals = append(proposals, Proposal{Command: make([]byte, size)})
			}
			outputs, err := node.ProposeBatch(0, proposals)
			require.NoError(t, err)
			refused := 0
			for _, completion := range outputs.Completed {
				if errors.Is(completion.Err, ErrOverloaded) {
					refused++
				}
			}
			require.Equal(t, proposed.refused, refused)
			require.Len(t, outputs.Completed, len(proposals))
			require.Zero(t, node.proposals.bytes)
		})
	}
	require.NoError(t, node.Close())
}
