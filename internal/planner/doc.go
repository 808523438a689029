// Package planner decides which engines of a zone change their role, model or
// adapters. It forecasts demand, estimates how fast engines compute, and chooses
// the split of engines between roles with the highest expected goodput over a
// horizon, less the policy's price for each change. It is a pure state machine:
// Step(now, Input) returns desired configurations and never acts on engines itself.
package planner
