// Package forward hands a caller's request to a gateway of another zone, one hop
// far, and relays the answer as it comes.
package forward
