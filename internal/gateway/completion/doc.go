// Package completion runs model calls: it drives the request machine with the
// events of the engines' streams and relays the answer to whoever waits.
package completion
