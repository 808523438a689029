// Package session implements the gateway's side of its session with the zone
// group as a pure state machine: it returns the calls to make to the
// controllers, handles their replies, keeps the newest view, and decides at the
// moment of each dispatch whether the gateway may use an engine.
//
// The gateway, the simulator and the hollow gateways of the scale run use the
// same core. docs/design/sessions.md explains why it is safe.
package session
