package storage

import "github.com/pierhaven/pierhaven/coordination/consensus"

//go:generate go tool msgp -file record.go -o record_gen.go -tests=false -io=false -unexported
//msgp:limit arrays:16777216 maps:65536
//msgp:replace FileIdentity with:[16]byte
//msgp:replace consensus.ReplicaID with:uint64

// formatVersion is the version of the segment files.
const formatVersion = 2

// segmentHeader is the first frame of a segment. It includes the hard state so
// that earlier segments can be removed.
type segmentHeader struct {
	Format    uint64              `msg:"format"`
	Group     uint64              `msg:"group"`
	ReplicaID consensus.ReplicaID `msg:"replica"`
	HardState consensus.HardState `msg:"hard_state"`
	// File is the identity of the segment's file, used to detect copies.
	File FileIdentity `msg:"file"`
}

// batch is the content of a frame: everything saved with one sync.
type batch struct {
	HardState consensus.HardState `msg:"hard_state"`
	// ResetIndex is not zero if an installed snapshot replaced the log: entries
	// from earlier batches are then ignored.
	ResetIndex uint64            `msg:"reset_index,omitempty"`
	ResetTerm  uint64            `msg:"reset_term,omitempty"`
	Entries    []consensus.Entry `msg:"entries,omitempty"`
}
