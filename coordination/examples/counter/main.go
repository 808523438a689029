// Command counter embeds the coordination library in a counter that survives
// process kills and power failures. Each run adds the given number of steps.
//
//	go run ./coordination/examples/counter -data /tmp/counter -steps 3
package main

import (
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// counter is the replicated state machine.
type counter struct{ value uint64 }

func (c *counter) Apply(_ uint64, _ []byte) []byte { c.value++; return c.encode() }
func (c *counter) Snapshot() ([]byte, error)       { return c.encode(), nil }
func (c *counter) encode() []byte                  { return binary.BigEndian.AppendUint64(nil, c.value) }

func (c *counter) Restore(data []byte) error {
	c.value = 0
	if len(data) == 8 {
		c.value = binary.BigEndian.Uint64(data)
	}
	return nil
}

// noTransport is the transport of a group of one replica, which has no peers.
type noTransport struct{}

func (noTransport) Send([]consensus.Message) {}

func main() {
	directory := flag.String("data", "/tmp/counter", "data folder")
	steps := flag.Int("steps", 3, "steps to add")
	flag.Parse()
	value, err := count(*directory, *steps)
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println("counter:", value)
}

// count adds steps to the counter in a data folder, which it creates if
// necessary, and returns the new value.
func count(directory string, steps int) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	state := &counter{}
	runner, err := replica.NewRunner(replica.RunnerConfig{Transport: noTransport{}, Config: replica.Config{
		Group: 1, Directory: directory, FileSystem: storage.OSFileSystem{}, StateMachine: state,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}})
	if err != nil {
		return 0, err
	}
	if err := runner.Start(); err != nil {
		return 0, err
	}
	defer runner.Stop()
	if len(runner.Status().Members) == 0 {
		if _, err := runner.Bootstrap(ctx, replica.BootstrapOptions{Generation: 1, SelfAddress: "local"}); err != nil {
			return 0, err
		}
	}
	if err := runner.AwaitLeader(ctx); err != nil {
		return 0, err
	}
	var result []byte
	for range steps {
		if _, result, err = runner.Propose(ctx, nil); err != nil {
			return 0, err
		}
	}
	return binary.BigEndian.Uint64(result), nil
}
