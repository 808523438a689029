// Package quota enforces tenants' limits over all gateways of a region. It is a pure core of
// state machines without a clock, sockets or goroutines: they take the time and an input, and
// return the messages to send. Each coordinator has a share of every limit, 1/n of it in a group
// of n; the holder counts its own share and those that others have leased to it.
// docs/design/quotas.md describes which process decides, and gives the bound on overruns.
package quota
