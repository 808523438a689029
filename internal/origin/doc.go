// Package origin keeps where streams have begun, so that a stream that is taken up goes on there: the service, and the
// software of the replica that has sent its first event. Gateways send records of streams to coordinators while a stream
// could have begun at more than one origin, and ask them when a caller takes a stream up
// (docs/design/stream-origins.md).
package origin
