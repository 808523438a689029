// Package rollout decides how a model's version is rolled out to the engines of a
// zone while they serve. It changes one engine first and then as many as the limit
// on concurrent changes allows, with an observation period after each step. It
// halts a rollout automatically when engines can't load the new version, when a
// step does not end in time, or when attempts fail or are late more often on the
// new version than on the old one.
//
// The phase of each rollout is replicated in the zone group's state. The core
// holds only the times and counts that the current leader has observed, so a new
// leader repeats the observation period before it continues. The core has no
// clock, sockets or goroutines. See docs/design/model-versions.md.
package rollout
