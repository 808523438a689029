// Package traffic is the whole configuration of a deployment's traffic: routes
// from a host and a path prefix to services, with their time-outs, attempts and
// weights, and the services' health checks and limits.
//
// A configuration has one version and is in force as a whole. It is replaced by
// one with a higher version and never changed in place.
package traffic
