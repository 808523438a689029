// Package policycheck checks policy files before they are submitted. It reports
// the position of each mistake in the file, checks a policy's references against a
// configuration, and replays a recorded trace to show what the policy would have
// changed.
package policycheck
