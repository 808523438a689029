// Package storage persists one replica's identity, log and snapshot in a data
// folder.
//
// The log is a sequence of segment files of checksummed, length-prefixed
// frames. Every frame is one group commit: everything that was saved between
// two syncs. At most the last frame is therefore unsynced: an invalid last frame
// is a torn write, which is truncated; an invalid frame before a valid one is
// corruption, which is reported, and after which the replica must not vote.
//
// Files are accessed through the FileSystem interface. Package memoryfs
// implements it in memory and simulates the data loss of a crash.
package storage
