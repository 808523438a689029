package replica_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// sum is a state machine that sums its commands.
type sum struct{ total uint64 }

func (s *sum) Apply(_ uint64, command []byte) []byte {
	s.total += binary.BigEndian.Uint64(command)
	return s.encode()
}

func (s *sum) Snapshot() ([]byte, error) { return s.encode(), nil }

func (s *sum) Restore(data []byte) error {
	s.total = 0
	if len(data) > 0 {
		s.total = binary.BigEndian.Uint64(data)
	}
	return nil
}

func (s *sum) encode() []byte { return binary.BigEndian.AppendUint64(nil, s.total) }

// noPeers is the transport of a single-replica group.
type noPeers struct{}

func (noPeers) Send([]consensus.Message) {}

// This example runs a single-replica group on an in-memory file system. The
// program in examples/counter stores its state on a real disk.
func ExampleRunner() {
	ctx := context.Background()
	runner, err := replica.NewRunner(replica.RunnerConfig{
		Transport: noPeers{},
		Config: replica.Config{
			Group: 1, Directory: "/data", FileSystem: memoryfs.New(), StateMachine: &sum{},
			Random: rand.New(rand.NewPCG(1, 1)),
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := runner.Start(); err != nil {
		fmt.Println(err)
		return
	}
	defer runner.Stop()
	if _, err := runner.Bootstrap(ctx, replica.BootstrapOptions{Generation: 1, SelfAddress: "local"}); err != nil {
		fmt.Println(err)
		return
	}
	if err := runner.AwaitLeader(ctx); err != nil {
		fmt.Println(err)
		return
	}
	for _, number := range []uint64{2, 3} {
		_, result, err := runner.Propose(ctx, binary.BigEndian.AppendUint64(nil, number))
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(binary.BigEndian.Uint64(result))
	}
	// Output:
	// 2
	// 5
}
