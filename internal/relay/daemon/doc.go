// Package daemon implements the gateway process that relays opaque requests: its listeners, its
// view of the region, and its startup and shutdown.
package daemon
