package daemon

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/listener"
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

// defaultLimits hold for what a configuration does not limit.
var defaultLimits = listener.Limits{HeaderBytes: maximumHeaderBytes, BodyBytes: maximumBodyBytes, HeaderTime: headerTimeout, IdleTime: idleTimeout}

// forwardingLimits are those of calls that gateways forward: of callers' requests, and the fields that gateways add.
var forwardingLimits = listener.Limits{
	HeaderBytes: maximumHeaderBytes + forwardedHeaderBytes, BodyBytes: maximumBodyBytes, HeaderTime: headerTimeout, IdleTime: idleTimeout,
}

// callerLimits returns the limits of callers' requests by the configuration in force.
func (d *Daemon) callerLimits() listener.Limits {
	table := d.views.Table()
	if table == nil {
		return defaultLimits
	}
	configured := table.Configuration.Limits
	return listener.Limits{
		HeaderBytes: atMost(configured.MaximumHeaderBytes, maximumHeaderBytes),
		BodyBytes:   atMost(configured.MaximumBodyBytes, maximumBodyBytes),
		HeaderTime:  orDefault(configured.HeaderTimeout, headerTimeout),
		IdleTime:    orDefault(configured.IdleTimeout, idleTimeout),
	}
}

// atMost returns a limit up to a maximum, which holds for 0.
func atMost(limit, maximum int) int {
	if limit <= 0 {
		return maximum
	}
	return min(limit, maximum)
}

func orDefault(configured, otherwise time.Duration) time.Duration {
	if configured <= 0 {
		return otherwise
	}
	return configured
}
