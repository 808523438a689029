// Package backpressure keeps to what those whom a process calls ask of it in their answers: to be left
// alone for a time (Retry-After), and to be given nothing new since they leave.
//
// A Gate hears each answer and is asked before each send, so that it holds whatever calls there are. What
// one process is asked binds that process: nobody else is told by this package. docs/design/backpressure.md
// says who is, and what was weighed.
package backpressure
