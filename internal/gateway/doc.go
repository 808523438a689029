// Package gateway is the daemon that faces callers and back ends: it serves the
// callers' interface, dispatches to the engines and application back ends of
// its zone, and keeps a session with the zone's controllers. It needs no disk.
//
// Its subpackages have one job each; this package connects them.
package gateway
