package telemetry

import (
	"context"
	"net/http"
	"sort"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"
)

// Paths of the health and metrics pages of every daemon.
const (
	PathLive    = "/health/live"
	PathReady   = "/health/ready"
	PathLeaving = "/health/leaving"
	PathMetrics = "/metrics"
)

// State is a process's state towards its surroundings.
type State string

// States of a process.
const (
	// StateStarting is live, but has not reached everything it needs.
	StateStarting State = "starting"
	// StateReady takes work.
	StateReady State = "ready"
	// StateLeaving finishes its work and takes no more.
	StateLeaving State = "leaving"
)

// Report is the body of the health pages.
type Report struct {
	State State `json:"state"`
	// Missing lists what keeps the process from being ready.
	Missing []string `json:"missing,omitempty"`
}

// Health holds the health of a process. It is safe for concurrent use.
type Health struct {
	mutex   sync.Mutex
	leaving bool
	missing map[string]bool
}

// NewHealth returns a health that becomes ready once each named condition was
// met.
func NewHealth(conditions ...string) *Health {
	health := &Health{missing: map[string]bool{}}
	for _, condition := range conditions {
		health.missing[condition] = true
	}
	return health
}

// Set says whether a condition of readiness is met.
func (h *Health) Set(condition string, met bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if met {
		delete(h.missing, condition)
		return
	}
	h.missing[condition] = true
}

// SetLeaving announces that the process leaves; there is no way back.
func (h *Health) SetLeaving() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.leaving = true
}

// Report returns the present state.
func (h *Health) Report() Report {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	report := Report{State: StateReady}
	for condition := range h.missing {
		report.Missing = append(report.Missing, condition)
	}
	sort.Strings(report.Missing)
	if len(report.Missing) > 0 {
		report.State = StateStarting
	}
	if h.leaving {
		report.State = StateLeaving
	}
	return report
}

// serveLive answers 200 as long as the process can answer at all.
func (h *Health) serveLive(_ context.Context, request *app.RequestContext) {
	request.JSON(http.StatusOK, h.Report())
}

// serveReady answers 200 if the process takes work and 503 if not.
func (h *Health) serveReady(_ context.Context, request *app.RequestContext) {
	report := h.Report()
	request.JSON(statusIf(report.State == StateReady), report)
}

// serveLeaving answers 200 if the process is leaving and 503 if not.
func (h *Health) serveLeaving(_ context.Context, request *app.RequestContext) {
	report := h.Report()
	request.JSON(statusIf(report.State == StateLeaving), report)
}

func statusIf(holds bool) int {
	if holds {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

// Mount adds the health and metrics pages to a server's routes.
func Mount(router route.IRoutes, health *Health, metrics *Metrics) {
	router.GET(PathLive, health.serveLive)
	router.GET(PathReady, health.serveReady)
	router.GET(PathLeaving, health.serveLeaving)
	router.GET(PathMetrics, metrics.serve)
}
