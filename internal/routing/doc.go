// Package routing chooses the engines that run a request. It follows the
// structure of the llm-d inference scheduler: a data layer that tracks the state
// of each engine and its age, filters that remove ineligible engines, scorers
// that rate the rest, and a picker that selects one.
//
// A Router is a pure state machine: it has no goroutines, sockets or clock and
// isn't safe for concurrent use. Every `now` is a time on the process's
// monotonic clock.
package routing
