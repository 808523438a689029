// Package relay serves opaque requests: it finds a request's route, sends it to a
// replica of the route's service and hands the answer on unchanged.
//
// What a request and an answer say of themselves (deadlines, prompts, whether a
// request ran) is read and written by a Dialect, so that the package knows none
// of its names.
package relay
