// Package upstream makes single HTTP exchanges with replicas, on connections of
// its own.
//
// A connection is used again only if its last answer was framed, was read to its
// end, belonged to the request and left no byte behind. An answer that belongs to
// another request is dropped, and the next one is waited for. Every error says
// whether any byte of the request was handed to the network: only if none was is
// it certain that the replica has not seen it.
//
// Answers are read by package answer and not by hertz's client, which the product
// otherwise uses: hertz hides whether an answer had a length, whether it ended with
// its connection or was reset, and what bytes follow it.
package upstream
