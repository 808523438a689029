// Package poison finds requests that end each replica which begins to run them (a query of
// death, a poison message), and says which requests must be sent to no further replica.
//
// A Digest identifies a request by its content, since each try of a caller has an id of its own.
package poison
