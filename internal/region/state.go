package region

import (
	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/poison"
)

//go:generate go tool msgp -file state.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536
//msgp:tuple UsageCount

// State is the state that the coordinators replicate.
type State struct {
	// Version is the configuration's version, 0 while there is none.
	Version uint64 `msg:"version"`
	// Document is the configuration as the operator sent it.
	Document []byte `msg:"document,limit=67108864"`
	// ListRevision is the log index of the last change of those Replicas that are not on standby.
	ListRevision uint64 `msg:"list_revision"`
	// Replicas is sorted by id and contains the newest incarnation of each.
	Replicas []ListedReplica `msg:"replicas"`
	// StandbyCount is the number of Replicas that are on standby. Each coordinator counts them itself.
	StandbyCount int `msg:"-"`
	// Removed are the replicas that were removed or put on standby after RemovedSince, oldest first.
	Removed      []RemovedReplica `msg:"removed"`
	RemovedSince uint64           `msg:"removed_since"`
	// Changes are the stage changes in progress.
	Changes []StageChange `msg:"changes"`
	// NextWindow is the first usage window whose counts are not final, 0 while no window has final counts.
	// Usage are the windows whose counts are final and have not been reported yet, oldest first.
	NextWindow uint64        `msg:"next_window"`
	Usage      []UsageWindow `msg:"usage"`
	// Fleet are the ordered numbers of replicas.
	Fleet []FleetOrder `msg:"fleet"`
	// Poison is what is known about requests that were running when replicas crashed.
	Poison poison.State `msg:"poison"`
	// FormerSoftware is what replicas of services have run within origin.Window and no listed one runs. It is complete for
	// what was listed since SoftwareSince, in nanoseconds since 1970; 0 if it is not kept.
	FormerSoftware []FormerSoftware `msg:"former_software,omitempty"`
	SoftwareSince  int64            `msg:"software_since,omitempty"`
	// NewSoftware is what replicas that are not on standby have begun to run beside other software of their service. Streams
	// may not begin there yet: processes may act on lists that lack it. It is kept if SoftwareGated is set.
	NewSoftware   []NewSoftware `msg:"new_software,omitempty"`
	SoftwareGated bool          `msg:"software_gated,omitempty"`
	// FormerRoutes are services at which streams of routes have begun within origin.Window, by earlier configurations. It is
	// complete for those in effect since RoutesSince, in nanoseconds since 1970; 0 if it is not kept.
	FormerRoutes []FormerRoute `msg:"former_routes,omitempty"`
	RoutesSince  int64         `msg:"routes_since,omitempty"`
	// NewRoutes are services at which streams of routes may not begin yet: processes may act on configurations that lack them.
	NewRoutes []NewRoute `msg:"new_routes,omitempty"`
}

// FormerRoute is a service at which the streams of a route began until a time in nanoseconds since 1970.
type FormerRoute struct {
	RouteService origin.RouteService `msg:"route"`
	Until        int64               `msg:"until"`
}

// NewRoute is a service at which the streams of a route may begin by a configuration, and by none before it.
type NewRoute struct {
	RouteService origin.RouteService `msg:"route"`
	Version      uint64              `msg:"version"`
}

// NewSoftware is a version of the software of a service's replicas, with the ListRevision of the first list that shows it.
type NewSoftware struct {
	Service  string `msg:"service"`
	Version  string `msg:"version"`
	Revision uint64 `msg:"revision"`
	// Begun says that streams may have begun there before: it ran earlier, or its replicas were on standby meanwhile.
	Begun bool `msg:"begun,omitempty"`
}

// FormerSoftware is a version of the software that a service's replicas ran until a time in nanoseconds since 1970.
type FormerSoftware struct {
	Service string `msg:"service"`
	Version string `msg:"version"`
	Until   int64  `msg:"until"`
}

// UsageWindow is the tenants' usage in a time window.
type UsageWindow struct {
	Window uint64       `msg:"window"`
	Counts []UsageCount `msg:"counts"`
}

// UsageCount is the number of a tenant's requests that started to run in a window.
type UsageCount struct {
	Window uint64
	Tenant string
	Count  uint32
}

// FleetOrder is the number of replicas of one kind, preemptible or not preemptible, that was ordered for a
// service in a zone.
type FleetOrder struct {
	Service     string `msg:"service"`
	Zone        string `msg:"zone"`
	Preemptible bool   `msg:"preemptible"`
	Count       int    `msg:"count"`
	// Base is the number of replicas that the service had before any were ordered.
	Base int `msg:"base"`
}

// ListedReplica is a replica with the log index of its last change.
type ListedReplica struct {
	Replica  Replica `msg:"replica"`
	Revision uint64  `msg:"revision"`
	// Standby replicas take no work, and views do not show them to gateways.
	Standby bool `msg:"standby,omitempty"`
}

// RemovedReplica is a replica that was removed or put on standby, with the log index of that change.
type RemovedReplica struct {
	ID       string `msg:"id"`
	Revision uint64 `msg:"revision"`
}

// StageChange is an order to a replica to change to another stage.
type StageChange struct {
	Replica string `msg:"replica"`
	// Born is the start time of the incarnation that received the order.
	Born  int64  `msg:"born"`
	Stage string `msg:"stage"`
	// Fence is the order's fencing token: its log index, which grows across leaders.
	Fence uint64 `msg:"fence"`
}

// Command is a change of State. Either one of its fields is set, or both List and Activity are.
type Command struct {
	Configuration *ConfigurationCommand `msg:"configuration"`
	List          *ListCommand          `msg:"list"`
	Change        *ChangeCommand        `msg:"change"`
	ChangeEnd     *ChangeEndCommand     `msg:"change_end"`
	Usage         *UsageWindow          `msg:"usage"`
	UsageCall     *UsageCallCommand     `msg:"usage_call"`
	UsageEnd      *UsageEndCommand      `msg:"usage_end"`
	Fleet         *FleetOrder           `msg:"fleet"`
	Poison        *poison.Command       `msg:"poison"`
	Activity      *ActivityCommand      `msg:"activity,omitempty"`
	Software      *SoftwareCommand      `msg:"software,omitempty"`
}

// SoftwareCommand lets streams begin at the software of State.NewSoftware that a list up to a revision shows, and at the
// services of State.NewRoutes that a configuration up to a version has: nobody acts on an older one any more.
type SoftwareCommand struct {
	Revision uint64 `msg:"revision"`
	Version  uint64 `msg:"version,omitempty"`
}

// UsageCallCommand precedes each report of a window's usage to the platform. Its log index is the fencing
// token of the report.
type UsageCallCommand struct {
	Window uint64 `msg:"window"`
}

// UsageEndCommand records that the platform has accepted a window's usage.
type UsageEndCommand struct {
	Window uint64 `msg:"window"`
}

// ChangeCommand starts a stage change. Its log index is the fencing token of the order.
type ChangeCommand struct {
	Replica string `msg:"replica"`
	// Born is the start time of the incarnation that receives the order, 0 if it is not reported. The
	// command has no effect if the list does not contain this incarnation.
	Born  int64  `msg:"born"`
	Stage string `msg:"stage"`
}

// ChangeEndCommand ends the stage change of a replica.
type ChangeEndCommand struct {
	Replica string `msg:"replica"`
}

// ConfigurationCommand puts a configuration into effect if its version is above
// that of the one in effect.
type ConfigurationCommand struct {
	Version  uint64 `msg:"version"`
	Document []byte `msg:"document,limit=67108864"`
	// At is the time of the change in nanoseconds since 1970, 0 if State.FormerRoutes is not kept. Then Former and Added are
	// where streams begin no more, and where they begin and did not before, compared with the configuration of version Base.
	// The command has no effect if another one is in effect.
	At     int64                 `msg:"at,omitempty"`
	Base   uint64                `msg:"base,omitempty"`
	Former []origin.RouteService `msg:"former,omitempty"`
	Added  []origin.RouteService `msg:"added,omitempty"`
}

// ListCommand changes the list of replicas.
type ListCommand struct {
	// Changed are the replicas that were added or changed, Removed the ids of those that
	// were removed.
	Changed []Replica `msg:"changed"`
	Removed []string  `msg:"removed"`
	// Standby puts added replicas on standby until they are activated. Leaders of earlier builds, which
	// know no standby replicas, do not set it: then all replicas are active.
	Standby bool `msg:"standby,omitempty"`
	// At is the time of the change in nanoseconds since 1970, 0 from leaders of earlier builds.
	At int64 `msg:"at,omitempty"`
	// Gated says that State.NewSoftware is kept: all coordinators know it.
	Gated bool `msg:"gated,omitempty"`
}

// ActivityCommand activates replicas and puts others on standby, by their ids.
type ActivityCommand struct {
	Activate []string `msg:"activate"`
	Rest     []string `msg:"rest"`
}
