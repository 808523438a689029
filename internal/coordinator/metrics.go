package coordinator

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/telemetry"
)

// registerMetrics registers gauges that are evaluated each time the metrics are read.
func (c *Coordinator) registerMetrics(registry *telemetry.Metrics) {
	if registry == nil {
		return
	}
	c.quotas.registerMetrics(registry, "quota", "a tenant")
	c.limits.registerMetrics(registry, "limit", "a replica")
	registry.GaugeFunc("limits_dropped", "Limits of replicas that were given up for lack of room, since the start.", func() float64 {
		return float64(c.limits.droppedReports())
	})
	registry.GaugeFunc("origins_kept", "Streams of which this coordinator keeps where they have begun.", func() float64 {
		return float64(c.origins.Counts().Kept)
	})
	registry.GaugeFunc("origins_dropped", "Streams whose origins were given up for lack of room, since the start.", func() float64 {
		return float64(c.origins.Counts().Dropped)
	})
	registry.GaugeFunc("origin_queries", "Queries of gateways for the origins of streams, since the start.", func() float64 {
		return float64(c.origins.Counts().Queries)
	})
	registry.GaugeFunc("origins_found", "Queries for the origins of streams that were kept, since the start.", func() float64 {
		return float64(c.origins.Counts().Found)
	})
	registry.GaugeFunc("messages_unreadable", "Messages of other processes that could not be read, since the start.", func() float64 {
		return float64(c.placement.socket.Unreadable())
	})
	registry.GaugeFunc("builds", "Builds that processes of the region run, 0 if this coordinator does not lead.", func() float64 {
		builds, _ := c.buildCounts()
		return float64(builds)
	})
	registry.GaugeFunc("builds_untold", "Processes that tell no build, 0 if this coordinator does not lead.", func() float64 {
		_, unreported := c.buildCounts()
		return float64(unreported)
	})
	registry.Flag("leader", "1 while this coordinator believes that it leads.", c.Leads)
	registry.Flag("voter", "1 while this coordinator votes.", c.IsVoter)
	registry.Flag("member", "1 while this coordinator is a member of the group, as far as it knows.", c.isMember)
	registry.GaugeFunc("leader_silence_seconds", "Time since this coordinator last heard from a leader, 0 while it leads.", func() float64 {
		return c.group.Runner.Status().LeaderSilence.Seconds()
	})
	registry.GaugeFunc("term", "Term of the group.", func() float64 { return float64(c.group.Runner.Status().Term) })
	registry.GaugeFunc("applied_index", "Last position of the log that is applied.", func() float64 {
		return float64(c.group.Runner.Status().AppliedIndex)
	})
	registry.GaugeFunc("copy_age_seconds", "Age of the copy of the state, -1 before it was confirmed.", func() float64 {
		return secondsOrNone(c.freshness.age(c.now()))
	})
	registry.GaugeFunc("configuration_version", "Version in force, 0 before there is one.", func() float64 {
		state, _ := c.machine.read()
		return float64(state.Version)
	})
	c.list.registerMetrics(registry)
	registry.GaugeFunc("replicas", "Replicas on the list.", func() float64 {
		state, _ := c.machine.read()
		return float64(len(state.Replicas))
	})
	registry.GaugeFunc("replicas_standby", "Replicas on the list that stand by.", func() float64 {
		state, _ := c.machine.read()
		return float64(state.StandbyCount)
	})
	registry.GaugeFunc("stage_changes", "Stage changes under way.", func() float64 {
		state, _ := c.machine.read()
		return float64(len(state.Changes))
	})
	registry.GaugeFunc("usage_windows_pending", "Windows of usage whose counts are fixed and that the platform has not taken.", func() float64 {
		state, _ := c.machine.read()
		return float64(len(state.Usage))
	})
	registry.GaugeFunc("requests_held", "Requests that are sent to no replica, since replicas have ended under them.", func() float64 {
		return float64(c.heldCount())
	})
	registry.GaugeFunc("fleet_wanted", "Replicas that are wanted of all services whose numbers are ordered, 0 if this coordinator does not lead.", func() float64 {
		return c.fleetSum(func(service ServiceFleet) float64 { return float64(service.Wanted) })
	})
	registry.GaugeFunc("fleet_late", "Prompts a second that are expected to be late with these.", func() float64 {
		return c.fleetSum(func(service ServiceFleet) float64 { return service.Late })
	})
	registry.GaugeFunc("evidence_dropped", "Requests under which replicas have ended that were given up for lack of room.", func() float64 {
		state, _ := c.machine.read()
		return float64(state.Poison.Dropped)
	})
	registry.GaugeFunc("placement_leases", "Leases on replicas that gateways hold of this coordinator.", func() float64 {
		return float64(c.placement.server.Counts().Leases)
	})
	registry.GaugeFunc("placement_questions", "Questions for a replica that were answered since the start.", func() float64 {
		return float64(c.placement.server.Counts().Queries)
	})
	registry.GaugeFunc("placement_ignored", "Messages on placements that were not answered since the start.", func() float64 {
		return float64(c.placement.server.Counts().Ignored)
	})
	registry.GaugeFunc("placement_expired", "Leases that no gateway has ended since the start.", func() float64 {
		return float64(c.placement.server.Counts().Expired)
	})
	registry.GaugeFunc("word_bytes_own_region", "Bytes told since the start to coordinators of the own region of the work at replicas.", func() float64 {
		return float64(c.placement.peers.Counts().OwnRegion)
	})
	registry.GaugeFunc("word_bytes_other_regions", "Bytes told since the start to coordinators of other regions of the work at replicas.", func() float64 {
		return float64(c.placement.peers.Counts().OtherRegions)
	})
	registry.GaugeFunc("regions_silent", "Other regions of whose work nothing is known.", func() float64 { return float64(c.regionsWithoutReport()) })
	registry.GaugeFunc("gateways", "Gateways of the region.", func() float64 {
		return float64(len(c.gateways.known().addresses))
	})
}

// secondsOrNone returns an age in seconds, -1 if it is negative.
func secondsOrNone(age time.Duration) float64 {
	if age < 0 {
		return -1
	}
	return age.Seconds()
}
