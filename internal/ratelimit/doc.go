// Package ratelimit makes all gateways together send a replica no more than the rate limit it declares. An
// overloaded replica declares in its responses how many requests a second it accepts from all of them.
//
// A Table holds the declared limits; processes exchange them as Reports (limit reports), and the newest
// response counts. Quota pools count how much of a limit is used, under the PoolEnforcement and PoolLimit of this
// package. A LocalLimiter limits what a gateway sends on its own while it reaches no pool.
//
// The package is pure: it takes the time and an input, and has no clock or sockets.
// docs/design/replica-limits.md describes the alternatives considered, and gives the bound.
package ratelimit
