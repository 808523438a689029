package gateway

// registerMetrics registers the metrics that are read on each scrape;
// docs/operations/logs-and-metrics.md lists all metrics.
func (g *Gateway) registerMetrics() {
	g.metrics.WatchHealth(g.health)
	g.metrics.GaugeFunc("config_revision", "Revision of the configuration in force.", func() float64 {
		configuration := g.configuration()
		if configuration == nil {
			return 0
		}
		return float64(configuration.Revision)
	})
	g.metrics.GaugeFunc("requests_in_hand", "Callers' requests in hand, bounded by gateway.max_requests.", func() float64 {
		return float64(g.doors.count())
	})
	g.metrics.GaugeFunc("requests_queued", "Model requests that wait for an engine.", func() float64 {
		return float64(g.scheduler.Waiting())
	})
	g.metrics.GaugeFunc("workers_running", "Attempts, cancels and reports under way, bounded by gateway.max_workers.", func() float64 {
		return float64(g.workers.Running())
	})
	g.metrics.GaugeFunc("requests_held", "Requests that are sent to no engine, since engines have ended under them.", func() float64 {
		held, _ := g.evidence.Guard.Counts()
		return float64(held)
	})
	g.metrics.GaugeFunc("evidence_dropped", "Digests of requests under which engines have ended that were given up for lack of room.", func() float64 {
		return float64(g.evidence.Dropped())
	})
	g.metrics.GaugeFunc("policy_failures", "Failures at run time of ranking programs, since each policy's last change.", func() float64 {
		return float64(g.scheduler.PolicyFailures())
	})
}
