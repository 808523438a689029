// Package middleware holds the steps that every caller's request passes before
// its handler: small types, each with one job.
package middleware
