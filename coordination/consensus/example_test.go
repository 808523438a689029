package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

// Three cores elect a leader and commit a command. The example delivers all
// messages at once and saves nothing to disk; a real caller must do so after it
// sends MessagesBeforeSync and before it sends MessagesAfterSync.
func ExampleCore() {
	configuration := consensus.Configuration{Generation: 1, Founding: 1}
	cores := map[consensus.ReplicaID]*consensus.Core{}
	for id := consensus.ReplicaID(1); id <= 3; id++ {
		configuration.Members = append(configuration.Members, consensus.Member{ID: id})
	}
	for id := consensus.ReplicaID(1); id <= 3; id++ {
		core, err := consensus.New(consensus.Config{ID: id, Random: rand.New(rand.NewPCG(uint64(id), 1))})
		if err != nil {
			fmt.Println(err)
			return
		}
		core.Found(0, configuration)
		cores[id] = core
	}
	committed := 0
	exchange := func(now time.Duration) {
		for id := consensus.ReplicaID(1); id <= 3; id++ {
			for cores[id].HasReady() {
				ready := cores[id].Ready()
				cores[id].Advance()
				for _, message := range append(ready.MessagesBeforeSync, ready.MessagesAfterSync...) {
					cores[message.To].Step(now, message)
				}
				for _, entry := range ready.CommittedEntries {
					if string(entry.Data) == "hello" {
						committed++
					}
				}
			}
		}
	}
	for now := time.Duration(0); now < 10*time.Second && committed < 3; now += 10 * time.Millisecond {
		for id := consensus.ReplicaID(1); id <= 3; id++ {
			cores[id].Tick(now)
			if cores[id].SoftState().Role == consensus.RoleLeader && cores[id].Status().LastIndex == 2 {
				if _, err := cores[id].Propose(now, [][]byte{[]byte("hello")}); err != nil {
					fmt.Println(err)
				}
			}
		}
		exchange(now)
	}
	fmt.Println("replicas that committed the command:", committed)
	// Output: replicas that committed the command: 3
}
