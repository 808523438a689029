package storage_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// Saved data survives a power failure.
func Example() {
	disk := memoryfs.New()
	options := storage.Options{FileSystem: disk, Directory: "/data", Group: 1, Random: rand.New(rand.NewPCG(1, 1))}
	opened, _, err := storage.Open(options)
	if err != nil {
		fmt.Println(err)
		return
	}
	entry := consensus.Entry{Index: 1, Term: 3, Kind: consensus.EntryCommand, Data: []byte("x")}
	if err := opened.Save(consensus.HardState{Term: 3, Vote: 9}, []consensus.Entry{entry}, nil); err != nil {
		fmt.Println(err)
		return
	}
	disk.Crash(rand.New(rand.NewPCG(2, 2)))

	_, state, err := storage.Open(options)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(state.HardState.Term, state.HardState.Vote, len(state.Entries))
	// Output: 3 9 1
}
