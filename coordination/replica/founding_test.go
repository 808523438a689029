package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

func memoryConfig(disk *memoryfs.FileSystem, seed uint64) Config {
	return Config{
		Group: testGroup, Directory: testDirectory, FileSystem: disk, StateMachine: &counter{},
		Random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// TestFoundingSurvivesEveryCrash crashes a single replica at each file operation
// of its founding. Afterwards the same founding must succeed, and any other must
// be rejected.
func TestFoundingSurvivesEveryCrash(t *testing.T) {
	request := FoundingRequest{Group: testGroup, Token: 5}
	for operations := range 40 {
		for seed := range uint64(10) {
			disk := memoryfs.New()
			disk.CrashAfter(operations)
			_ = openFoundAndPropose(disk, seed, request)
			disk.Crash(rand.New(rand.NewPCG(seed, uint64(operations))))
			require.NoError(t, openFoundAndPropose(disk, seed+100, request), "operations %d, seed %d", operations, seed)
			require.ErrorIs(t, openFoundAndPropose(disk, seed, FoundingRequest{Group: testGroup, Token: 6}), ErrFoundingRefused)
		}
	}
}

// openFoundAndPropose opens a replica, founds its single-replica group and commits
// a command. A founded replica is asked again only for a token other than 5, which is
// to be rejected.
func openFoundAndPropose(disk *memoryfs.FileSystem, seed uint64, request FoundingRequest) error {
	node, err := OpenNode(memoryConfig(disk, seed), 0)
	if err != nil {
		return err
	}
	defer func() { _ = node.Close() }()
	if len(node.Status().Members) == 0 || request.Token != 5 {
		promise, err := node.PromiseFounding(request)
		if err != nil {
			return err
		}
		founding, err := NewFounding(request, 1, []string{""}, []FoundingPromise{promise})
		if err != nil {
			return err
		}
		if _, err := node.Found(0, founding); err != nil {
			return err
		}
	}
	if _, err := node.Tick(0); err != nil {
		return err
	}
	outputs, err := node.Propose(0, 1, nil)
	if err != nil {
		return err
	}
	return outputs.Completed[0].Err
}

func TestFoundingNeedsEveryPromise(t *testing.T) {
	request := FoundingRequest{Group: testGroup, Token: 5}
	first := FoundingPromise{Group: testGroup, Token: 5, Replica: 1, Address: "a"}
	second := FoundingPromise{Group: testGroup, Token: 5, Replica: 2, Address: "b"}
	sameReplica, otherToken := second, second
	sameReplica.Replica = 1
	otherToken.Token = 6
	cases := map[string]struct {
		generation uint64
		promises   []FoundingPromise
		accepted   bool
	}{
		"all":              {1, []FoundingPromise{first, second}, true},
		"one missing":      {1, []FoundingPromise{first}, false},
		"one twice":        {1, []FoundingPromise{first, first}, false},
		"same replica":     {1, []FoundingPromise{first, sameReplica}, false},
		"another founding": {1, []FoundingPromise{first, otherToken}, false},
		"no generation":    {0, []FoundingPromise{first, second}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := NewFounding(request, test.generation, []string{"a", "b"}, test.promises)
			if test.accepted {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrFoundingRefused)
		})
	}
}

func TestPromiseBindsToOneFounding(t *testing.T) {
	disk := memoryfs.New()
	node, err := OpenNode(memoryConfig(disk, 1), 0)
	require.NoError(t, err)
	_, err = node.PromiseFounding(FoundingRequest{Group: testGroup, Token: 5})
	require.NoError(t, err)
	disk.Crash(rand.New(rand.NewPCG(1, 1)))
	node, err = OpenNode(memoryConfig(disk, 2), 0)
	require.NoError(t, err)
	_, err = node.PromiseFounding(FoundingRequest{Group: testGroup, Token: 6})
	require.ErrorIs(t, err, ErrFoundingRefused)
	promise, err := node.PromiseFounding(FoundingRequest{Group: testGroup, Token: 5})
	require.NoError(t, err)
	other := Founding{Group: testGroup, Token: 6, Generation: 1, Members: []FoundingPromise{promise}}
	other.Members[0].Token = 6
	_, err = node.Found(0, other)
	require.ErrorIs(t, err, ErrFoundingRefused)
	require.NoError(t, node.Err(), "a refusal leaves the replica running")
}
