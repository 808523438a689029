package scale

// Metric is one figure of a run that is fitted against a sweep's variable.
type Metric struct {
	Role string
	Name string
	Unit string
	read func(*Report) float64
}

// roleMetrics returns the metrics of one role.
func roleMetrics(role string, rates func(*Report) Rates) []Metric {
	return []Metric{
		{role, "processor", "% of a core", func(r *Report) float64 { return 100 * rates(r).Core }},
		{role, "received", "bytes/s", func(r *Report) float64 { return rates(r).ReceivedBytes }},
		{role, "sent", "bytes/s", func(r *Report) float64 { return rates(r).SentBytes }},
		{role, "messages", "1/s", func(r *Report) float64 { return rates(r).Messages }},
		{role, "disk", "bytes/s", func(r *Report) float64 { return rates(r).DiskBytes }},
		{role, "resident", "MiB", func(r *Report) float64 { return rates(r).ResidentBytes / mebibyte }},
	}
}

// Names of the roles in tables and plots.
const (
	roleNode         = "node (hollow gateway)"
	roleGateway      = "gateway (real, no callers)"
	roleLeader       = "zone leader"
	roleVoter        = "zone follower"
	roleConfig       = "config leader"
	roleControlPlane = "control plane"
)

// metrics returns all metrics that are fitted.
func metrics() []Metric {
	var list []Metric
	list = append(list, roleMetrics(roleNode, func(r *Report) Rates { return r.HollowGateway })...)
	list = append(list, roleMetrics(roleGateway, func(r *Report) Rates { return r.RealGateway })...)
	list = append(list, roleMetrics(roleLeader, func(r *Report) Rates { return r.ZoneLeader })...)
	list = append(list, roleMetrics(roleVoter, func(r *Report) Rates { return r.ZoneFollower })...)
	list = append(list, roleMetrics(roleConfig, func(r *Report) Rates { return r.ConfigLeader })...)
	return append(list,
		Metric{roleNode, "opening a session", "bytes", func(r *Report) float64 { return r.OpeningBytes }},
		Metric{roleControlPlane, "median until in force", "s", func(r *Report) float64 { return r.Changes.Median.Seconds() }},
		Metric{roleControlPlane, "slowest until in force", "s", func(r *Report) float64 { return r.Changes.Slowest.Seconds() }},
	)
}
