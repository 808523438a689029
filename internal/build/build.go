// Package build tells which build of the program a process runs, and what it knows of the messages
// between processes.
package build

import (
	"runtime/debug"
	"sync"
)

// Protocol is raised with each change of the messages between processes that an earlier build would have
// to know for a promise to hold (docs/design/versions.md). Builds before the first one tell none, which
// reads as 0.
const Protocol = 3

// SoftwareProtocol is the first Protocol whose coordinators store the versions of the replicas' software.
const SoftwareProtocol = 2

// SoftwareGateProtocol is the first Protocol whose coordinators keep which software may not begin streams yet.
const SoftwareGateProtocol = 3

// revisionLength of a commit's name tells commits apart.
const revisionLength = 12

// Unknown is the revision of a program that was built outside of a repository.
const Unknown = "unknown"

// Revision is the commit of the sources, in short, with a "+" if they were changed since.
var Revision = sync.OnceValue(func() string {
	commit, modified := Commit()
	if len(commit) > revisionLength {
		commit = commit[:revisionLength]
	}
	if modified {
		commit += "+"
	}
	return commit
})

// Commit is the commit of the sources, and whether they were changed since.
func Commit() (commit string, modified bool) {
	commit = Unknown
	information, ok := debug.ReadBuildInfo()
	if !ok {
		return commit, false
	}
	for _, setting := range information.Settings {
		switch setting.Key {
		case "vcs.revision":
			commit = setting.Value
		case "vcs.modified":
			modified = setting.Value == "true"
		}
	}
	return commit, modified
}
