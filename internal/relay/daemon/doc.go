// Package daemon is the process that relays opaque requests: its listeners, the
// view of the region that it keeps, and its start and stop.
package daemon
