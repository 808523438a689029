// Package costmodel learns from answers what a service's model engines need to read
// prompts, and predicts it. All choices about prompts ask it, so that none of them
// holds a pace or a size that suits one engine.
//
// It is pure: it has no clock and starts nothing.
package costmodel
