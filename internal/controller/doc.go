// Package controller implements the daemon that manages a zone's shared state.
// It hosts a replica of its zone group and, if it is a config voter, one of the
// config group; it serves gateways, other controllers and operators; and while
// it leads the zone group, it brings the zone's engines to their desired state.
//
// Decisions are made by the state machines of packages zonestate and versioned,
// and by packages reconcile and planner. This package supplies them with
// messages and the time, and executes their results. See
// docs/design/zone-group.md.
package controller
