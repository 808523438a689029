// Package ratelimit has all gateways together send a replica no more than it says it takes. A replica
// in need names in its answers how many requests a second it takes from everyone.
//
// A Table holds what replicas name; processes tell each other with Words, and the newest answer
// counts. How much of a limit is used is counted by quota pools under the Terms and the Limit of
// this package. Lone is what a gateway sends by itself while it reaches no pool.
//
// The package is a pure core: it takes the time and an input, and has no clock or sockets.
// docs/design/replica-limits.md says what was weighed, and gives the bound.
package ratelimit
