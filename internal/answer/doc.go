// Package answer judges what the peer of an exchange sends: whether it is an answer by RFC 9112 and RFC 9110, and whether it is
// whole. What it refuses is no answer to whoever reads one.
package answer
