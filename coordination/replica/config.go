package replica

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

// Defaults of the fields of Config.
const (
	DefaultSnapshotEntries  = 10_000
	DefaultSnapshotLogBytes = 32 << 20
	DefaultMaxPending       = 65_536
	DefaultMaxPendingBytes  = 64 << 20
	DefaultMaxCommandBytes  = 6 << 20
	DefaultElectionTimeout  = time.Second
)

func (config *Config) setDefaults() {
	if config.ElectionTimeout == 0 {
		config.ElectionTimeout = DefaultElectionTimeout
	}
	if config.SnapshotEntries == 0 {
		config.SnapshotEntries = DefaultSnapshotEntries
	}
	if config.SnapshotLogBytes == 0 {
		config.SnapshotLogBytes = DefaultSnapshotLogBytes
	}
	if config.MaxPending == 0 {
		config.MaxPending = DefaultMaxPending
	}
	if config.MaxCommandBytes == 0 {
		config.MaxCommandBytes = DefaultMaxCommandBytes
	}
	if config.MaxPendingBytes == 0 {
		config.MaxPendingBytes = DefaultMaxPendingBytes
	}
}

func (config *Config) coreConfig(identity storage.Identity, state storage.State, now time.Duration) consensus.Config {
	return consensus.Config{
		ID:                 identity.ReplicaID,
		Founding:           identity.FoundingToken,
		Group:              config.Group,
		Now:                now,
		Random:             config.Random,
		ElectionTimeout:    config.ElectionTimeout,
		HeartbeatInterval:  config.HeartbeatInterval,
		MaxAppendBytes:     config.MaxAppendBytes,
		SnapshotChunkBytes: config.SnapshotChunkBytes,
		HardState:          state.HardState,
		Snapshot:           state.Snapshot,
		Entries:            state.Entries,
	}
}
