package daemon

import (
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// checkRequestSize returns an error if a request exceeds the configured sizes. A limit of 0 allows
// any size.
func checkRequestSize(limits traffic.Limits, headerBytes, bodyBytes int) error {
	if limits.MaximumHeaderBytes > 0 && headerBytes > limits.MaximumHeaderBytes {
		return failure.New(failure.HeadersTooLarge, "the header fields are larger than the configuration allows")
	}
	if limits.MaximumBodyBytes > 0 && bodyBytes > limits.MaximumBodyBytes {
		return failure.New(failure.BodyTooLarge, "the body is larger than the configuration allows")
	}
	return nil
}
