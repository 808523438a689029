// Package exchange makes one HTTP exchange over one connection and proves
// whether the request was handed over.
//
// It is built from hertz's connection and its HTTP/1.1 encoder and decoder, and
// stands in the place of hertz's client, which hides the connection: there, an
// error can't be told apart from one after the first byte, and an exchange that
// is being read can't be cut. Nothing is ever repeated by this package.
package exchange
