package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pierhaven/pierhaven/internal/answer"
	"github.com/pierhaven/pierhaven/internal/telemetry"
	"github.com/pierhaven/pierhaven/internal/topology"
	"github.com/pierhaven/pierhaven/internal/upstream"
)

// Metrics are the counters and histograms of a relaying gateway.
type Metrics struct {
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	forwards       *prometheus.CounterVec
	prefills       *prometheus.CounterVec
	prefillSeconds *prometheus.HistogramVec
	transfers      *prometheus.CounterVec
	givenUp        *prometheus.CounterVec
	malformed      *prometheus.CounterVec
	retries        *prometheus.CounterVec
}

// latencyBuckets are upper bounds in seconds. They are dense from 0.1 to 0.8 s, where the objectives of
// the deployments are.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.6, 0.8, 1.2, 2, 4, 8}

// Outcomes of requests, in addition to the kinds of failures.
const (
	outcomeAnswered      = "answered"
	outcomeBrokenOff     = "broken_off"
	outcomeCallerGone    = "caller_gone"
	outcomeReplicaFailed = "replica_failed"
)

// Outcomes of separate prefills.
const (
	prefillDone   = "done"
	prefillFailed = "failed"
)

// NewMetrics registers the metrics.
func NewMetrics(registry *telemetry.Metrics) *Metrics {
	return &Metrics{
		requests: registry.Counter("requests_total", "Requests by the kind of their route and their outcome.", "kind", "outcome"),
		latency: registry.Histogram("first_answer_seconds",
			"Time from a request's arrival to its answer, or to the first event of it.", latencyBuckets, "kind"),
		attempts: registry.Counter("attempts_total", "Sends of requests to replicas, by what they led to.", "verdict"),
		forwards: registry.Counter("forwards_total", "Requests handed to peer gateways, by what they led to.", "verdict"),
		prefills: registry.Counter("prompt_reads_total", "Prompts to be read by another replica than the generating one.", "outcome"),
		prefillSeconds: registry.Histogram("prompt_read_seconds",
			"Time in which a prompt was read apart, its wait included.", latencyBuckets),
		transfers: registry.Counter("moved_total", "What has gone from one place to another, by how far it is.", "what", "distance"),
		givenUp:   registry.Counter("answers_given_up_total", "Answers of replicas that were given up, by the bound that they went beyond.", "bound"),
		malformed: telemetry.CounterOf(registry, "malformed_answers_total", "What replicas and peers have sent in the place of an answer, by what is wrong with it.", "fault", answer.Faults),
		retries:   registry.Counter("retries_total", "Requests to replicas beyond the first of a call, by what for and whether the retry budget was charged.", "reason", "outcome"),
	}
}

// What is transferred from one place to another.
const (
	// transferSend is a request sent to a replica, transferPrefill a prompt sent to be prefilled there.
	transferSend    = "send"
	transferPrefill = "read"
	// transferFetch is the beginning of a prompt that one replica fetches from another,
	// transferHandover a prompt that was prefilled for another replica, transferStream a stream that
	// another replica continues.
	transferFetch    = "fetch"
	transferHandover = "handover"
	transferStream   = "stream"
)

func (m *Metrics) countTransfer(what string, distance topology.Distance) {
	m.transfers.WithLabelValues(what, distance.String()).Inc()
}

func (m *Metrics) countRequest(call *Call, outcome string) {
	m.requests.WithLabelValues(string(call.Route.Kind), outcome).Inc()
}

func (m *Metrics) observeFirstAnswer(call *Call) {
	m.latency.WithLabelValues(string(call.Route.Kind)).Observe(time.Since(call.Arrived).Seconds())
}

func (m *Metrics) countGivenUp(bound upstream.Bound) { m.givenUp.WithLabelValues(string(bound)).Inc() }

func (m *Metrics) countMalformed(fault answer.Fault) {
	m.malformed.WithLabelValues(string(fault)).Inc()
}

func (m *Metrics) countRetry(reason retryReason, outcome string) {
	m.retries.WithLabelValues(string(reason), outcome).Inc()
}

func (m *Metrics) countAttempt(outcome verdict) { m.attempts.WithLabelValues(outcome.String()).Inc() }

func (m *Metrics) countForward(outcome verdict) { m.forwards.WithLabelValues(outcome.String()).Inc() }

func (m *Metrics) recordPrefill(outcome string, duration time.Duration) {
	m.prefills.WithLabelValues(outcome).Inc()
	if outcome == prefillDone {
		m.prefillSeconds.WithLabelValues().Observe(duration.Seconds())
	}
}
