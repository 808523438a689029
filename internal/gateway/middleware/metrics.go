package middleware

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pierhaven/pierhaven/internal/telemetry"
)

// Metrics counts requests and their durations.
type Metrics struct {
	registry *telemetry.Metrics
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// NewMetrics returns the middleware; it registers its metrics.
func NewMetrics(registry *telemetry.Metrics) *Metrics {
	return &Metrics{
		registry: registry,
		requests: registry.Counter("requests_total", "Callers' requests by route and status.", "route", "status"),
		seconds:  registry.Histogram("request_seconds", "Time to the end of an answer.", nil, "route"),
	}
}

// Handle implements app.HandlerFunc.
func (m *Metrics) Handle(ctx context.Context, call *app.RequestContext) {
	begun := time.Now()
	call.Next(ctx)
	route := call.FullPath()
	if route == "" {
		route = "unknown"
	}
	m.requests.WithLabelValues(route, strconv.Itoa(call.Response.StatusCode())).Inc()
	m.seconds.WithLabelValues(route).Observe(time.Since(begun).Seconds())
	if kind, failed := failureOf(call); failed {
		m.registry.Failure(kind)
	}
}
