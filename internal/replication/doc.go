// Package replication hosts one process's replicas of consensus groups: opening
// their data folders, carrying their messages between processes, and giving
// their errors a kind.
package replication
