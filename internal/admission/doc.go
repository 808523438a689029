// Package admission decides which requests a gateway admits, in which order they
// are served, and which are refused early because they could not be answered by
// their deadlines. All types are pure state machines without clock or goroutines;
// now is a time on the process's monotonic clock.
package admission
