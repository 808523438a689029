package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Defaults for the fields of Config that are zero.
const (
	DefaultElectionTimeout    = time.Second
	DefaultMaxAppendBytes     = 256 << 10
	DefaultMaxInflightAppends = 64
	DefaultSnapshotChunkBytes = 64 << 10
	DefaultCatchUpEntries     = 256

	heartbeatsPerElectionTimeout = 10
)

// Config holds the settings of a replica and the state that it has saved.
type Config struct {
	ID    ReplicaID
	Group uint64
	// Now is the current time of the process's monotonic clock.
	Now time.Duration
	// Random is the source of randomized election timeouts.
	Random *rand.Rand

	// ElectionTimeout is the minimum time without contact from a leader before
	// a campaign. The actual timeout is random between it and its double.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// MaxAppendBytes bounds the entries of one append request, which always
	// carries at least one.
	MaxAppendBytes int
	// MaxInflightAppends bounds the unacknowledged append requests to one member.
	MaxInflightAppends int
	// SnapshotChunkBytes bounds the data of one snapshot request.
	SnapshotChunkBytes int
	// CatchUpEntries is the maximum number of entries by which a learner may lag
	// behind the leader when it is promoted to a voter.
	CatchUpEntries uint64

	// Founding is the token of the bootstrap that the replica has promised to
	// take part in, or zero. The token in the group's configuration takes
	// precedence.
	Founding uint64

	// HardState, Snapshot and Entries are the last saved state. Entries must be
	// contiguous and begin at or before Snapshot.Index+1.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

func (config *Config) setDefaults() {
	if config.ElectionTimeout == 0 {
		config.ElectionTimeout = DefaultElectionTimeout
	}
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = config.ElectionTimeout / heartbeatsPerElectionTimeout
	}
	if config.MaxAppendBytes == 0 {
		config.MaxAppendBytes = DefaultMaxAppendBytes
	}
	if config.MaxInflightAppends == 0 {
		config.MaxInflightAppends = DefaultMaxInflightAppends
	}
	if config.SnapshotChunkBytes == 0 {
		config.SnapshotChunkBytes = DefaultSnapshotChunkBytes
	}
	if config.CatchUpEntries == 0 {
		config.CatchUpEntries = DefaultCatchUpEntries
	}
}

func (config *Config) validate() error {
	switch {
	case config.ID == 0:
		return fmt.Errorf("%w: ID is zero", ErrInvalidConfig)
	case config.Random == nil:
		return fmt.Errorf("%w: Random is missing", ErrInvalidConfig)
	case config.ElectionTimeout <= config.HeartbeatInterval || config.HeartbeatInterval <= 0:
		return fmt.Errorf("%w: HeartbeatInterval %v must be positive and below ElectionTimeout %v",
			ErrInvalidConfig, config.HeartbeatInterval, config.ElectionTimeout)
	case config.MaxAppendBytes < 0 || config.MaxInflightAppends < 1 || config.SnapshotChunkBytes < 1:
		return fmt.Errorf("%w: message bounds must be positive", ErrInvalidConfig)
	}
	return validateEntries(config.Snapshot, config.Entries)
}

func validateEntries(snapshot Snapshot, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if entries[0].Index > snapshot.Index+1 || entries[len(entries)-1].Index < snapshot.Index {
		return fmt.Errorf("%w: entries do not connect to snapshot %d", ErrInvalidConfig, snapshot.Index)
	}
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 {
			return fmt.Errorf("%w: gap in entries after %d", ErrInvalidConfig, entries[i-1].Index)
		}
	}
	return nil
}
