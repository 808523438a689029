package ratelimit

import "time"

//go:generate go tool msgp -file word.go -tests=false -io=false
//msgp:limit arrays:4096
//msgp:tuple Word Message

// Word is what an answer of a replica has said of its limit.
type Word struct {
	// Replica is a region.Life.Name.
	Replica string `msg:"replica"`
	// Named says that the answer named a limit, and Rate is that limit in requests a second.
	Named bool    `msg:"named"`
	Rate  float64 `msg:"rate"`
	// AgeMicros is how long before the telling the answer came, in microseconds. Clocks of two
	// machines need not agree.
	AgeMicros int64 `msg:"age_us"`
}

// Age is how old the word was when it was told; never negative.
func (w Word) Age() time.Duration { return time.Duration(max(w.AgeMicros, 0)) * time.Microsecond }

// Message carries words between processes.
type Message struct {
	// From is the sender's address.
	From string `msg:"from"`
	// Hash is Table.Hash of the sender, 0 from a gateway: who has another one tells what it knows.
	Hash  uint64 `msg:"hash"`
	Words []Word `msg:"words"`
}

// MaximumWords bounds the words of a message, so that it stays below datagram.MaximumBytes with
// names of usual length.
const MaximumWords = 100

// Batches cuts words into lists that fit into a message each.
func Batches(words []Word) [][]Word {
	var batches [][]Word
	for len(words) > 0 {
		count := min(len(words), MaximumWords)
		batches = append(batches, words[:count:count])
		words = words[count:]
	}
	return batches
}
