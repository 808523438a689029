// Package telemetry holds what the daemons share in metrics and health: one
// Prometheus registry with the process's own figures, constructors that keep
// the names in one shape, and the health states live, ready and leaving.
package telemetry

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// namespace is the first part of each metric's name.
const namespace = "pierhaven"

// Metrics is the registry of one process. Metrics are named
// pierhaven_SUBSYSTEM_NAME.
type Metrics struct {
	registry  *prometheus.Registry
	subsystem string
	failures  *prometheus.CounterVec
}

// NewMetrics returns a registry with the process's and the runtime's own
// metrics, and a counter of failures by kind. The subsystem is the program's
// name, such as "gateway".
func NewMetrics(subsystem string) *Metrics {
	metrics := &Metrics{registry: prometheus.NewRegistry(), subsystem: subsystem}
	metrics.registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	)
	metrics.failures = metrics.Counter("failures_total", "Failures by kind.", "kind")
	return metrics
}

// Failure counts one failure of a kind.
func (m *Metrics) Failure(kind failure.Kind) {
	m.failures.WithLabelValues(string(kind)).Inc()
}

// Counter registers a counter. It panics if the name is taken.
func (m *Metrics) Counter(name, help string, labels ...string) *prometheus.CounterVec {
	options := prometheus.CounterOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help}
	vector := prometheus.NewCounterVec(options, labels)
	m.registry.MustRegister(vector)
	return vector
}

// CounterOf registers a counter with a label whose values are known: each of them is there from the start. It panics if the name is taken.
func CounterOf[T ~string](m *Metrics, name, help, label string, values []T) *prometheus.CounterVec {
	vector := m.Counter(name, help, label)
	for _, value := range values {
		vector.WithLabelValues(string(value))
	}
	return vector
}

// Gauge registers a gauge. It panics if the name is taken.
func (m *Metrics) Gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	options := prometheus.GaugeOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help}
	vector := prometheus.NewGaugeVec(options, labels)
	m.registry.MustRegister(vector)
	return vector
}

// GaugeFunc registers a gauge that is read when it is asked for.
func (m *Metrics) GaugeFunc(name, help string, read func() float64) {
	options := prometheus.GaugeOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewGaugeFunc(options, read))
}

// Flag registers a gauge that is 1 while holds returns true, and else 0.
func (m *Metrics) Flag(name, help string, holds func() bool) {
	m.GaugeFunc(name, help, func() float64 {
		if holds() {
			return 1
		}
		return 0
	})
}

// WatchHealth registers the health of the process as two flags.
func (m *Metrics) WatchHealth(health *Health) {
	m.Flag("ready", "1 while the process takes work.", func() bool { return health.Report().State == StateReady })
	m.Flag("leaving", "1 once the process finishes its work and takes no more.", func() bool { return health.Report().State == StateLeaving })
}

// Histogram registers a histogram in the name's unit. Nil buckets take the
// defaults of the Prometheus library, which suit latencies in seconds.
func (m *Metrics) Histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	options := prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help, Buckets: buckets,
	}
	vector := prometheus.NewHistogramVec(options, labels)
	m.registry.MustRegister(vector)
	return vector
}

// Register adds a collector of the caller's own. It panics if a name is taken.
func (m *Metrics) Register(collector prometheus.Collector) {
	m.registry.MustRegister(collector)
}

// Gatherer reads the registry, for tests.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// serve writes the registry in the Prometheus text format.
func (m *Metrics) serve(_ context.Context, request *app.RequestContext) {
	families, err := m.registry.Gather()
	if err != nil {
		request.String(http.StatusInternalServerError, "gather metrics: %v", err)
		return
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	var body bytes.Buffer
	encoder := expfmt.NewEncoder(&body, format)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			request.String(http.StatusInternalServerError, "encode metrics: %v", err)
			return
		}
	}
	request.Data(http.StatusOK, string(format), body.Bytes())
}
