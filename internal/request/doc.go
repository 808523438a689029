// Package request implements the lifecycle of one request as a pure state
// machine. Machine is for repeatable requests, the model calls: it decides which
// attempts are made, which parts of their answers are relayed, and what result the
// caller gets. OnceOnly is for requests that must not be repeated. Neither has
// goroutines, clock, sockets or randomness; the gateway and the simulator run the
// same code.
//
// All times are on the process's monotonic clock. The methods for events return
// the outputs to carry out, in order; the returned slice is valid until the next
// call.
package request
