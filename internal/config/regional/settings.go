// Package regional reads the settings files of the processes that serve a region
// with one durable group: the relaying gateways and the coordinators.
package regional

import (
	"bytes"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/peers"
	"github.com/pierhaven/pierhaven/internal/quota"
	"github.com/pierhaven/pierhaven/internal/topology"
)

// Settings are those of either process; each checks what it needs.
type Settings struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Zones are the regions of all zones, by zone; empty if all zones are one region.
	Zones map[string]string `yaml:"zones"`
	// Address is the IP that other processes reach this one at.
	Address string `yaml:"address"`
	// InternalPort is the coordinators' port for each other and for gateways.
	InternalPort int `yaml:"internal_port"`
	// InternalListen is the IP:port that a coordinator listens on if others reach
	// it through something that stands before it; empty for its internal address.
	InternalListen string `yaml:"internal_listen"`
	// Seeds are addresses (IP:port of any port) of coordinators to begin with.
	Seeds []string `yaml:"seeds"`
	// Bootstrap allows the seeds to found the group.
	Bootstrap bool `yaml:"bootstrap"`
	// Listen is the gateways' address for callers and ReadyListen that for the
	// question whether they are ready.
	Listen      string `yaml:"listen"`
	ReadyListen string `yaml:"ready_listen"`
	// OperatorListen is the coordinators' address for operators.
	OperatorListen string `yaml:"operator_listen"`
	// MetricsListen is the address of the metrics page; empty serves none.
	MetricsListen string `yaml:"metrics_listen"`
	DataFolder    string `yaml:"data_folder"`
	// IgnoreFileIdentity is for machines whose files get new numbers when they
	// are restored after a loss of power. No data folder may then ever be
	// restored from a copy: it would not be noticed.
	IgnoreFileIdentity bool `yaml:"ignore_file_identity"`
	// ReplicaList is the address of the platform's list of replicas.
	ReplicaList string `yaml:"replica_list"`
	// ToleratedLosses is the number of coordinators that may be lost at once.
	ToleratedLosses int `yaml:"tolerated_losses"`
	// PlacesAbove is the number of gateways above which coordinators choose the replicas for
	// them, DefaultPlacesAbove if it is not given; below 0 for never.
	PlacesAbove *int `yaml:"places_above"`
	// ActiveReplicas is the number of replicas of a service and region that take work whatever the load
	// is; the others stand by until they are needed. 0 is activeset.DefaultMinimumActive.
	ActiveReplicas int `yaml:"active_replicas"`
	// DrainMillis is how long after the platform's list shows it, or it has said so itself, a leaving replica
	// may get requests, 0 if there is no bound.
	DrainMillis int `yaml:"drain_ms"`
	// ListCallsPerSecond is how many calls for its list the platform takes a second from all processes; 0 if there is no bound.
	ListCallsPerSecond float64 `yaml:"list_calls_per_second"`
	// LeaseMillis is how far the orders of two coordinators to a replica must lie
	// apart.
	LeaseMillis int `yaml:"lease_ms"`
	// KeyMemoryMillis is how old a gateway's view may be by which it accepts API keys; 0 for no
	// bound.
	KeyMemoryMillis int `yaml:"key_memory_ms"`
	// ContactMillis is how long processes that reach each other may take to know what one knows;
	// 0 for the default.
	ContactMillis int `yaml:"contact_ms"`
	// HoldSeconds is for how long a request is held under which replicas have ended; 0 for the
	// default.
	HoldSeconds float64 `yaml:"hold_seconds"`
	// Duties are the calls that the platform expects of one coordinator at a time, by its names.
	Duties []string `yaml:"duties"`
	// UsageWindowSeconds is the length of the windows by which tenants' requests are counted, 0
	// to count none, and UsageLateSeconds how long after its end a window's report is due.
	UsageWindowSeconds float64 `yaml:"usage_window_seconds"`
	UsageLateSeconds   float64 `yaml:"usage_late_seconds"`
	// Policy is the file of the policy by which replicas change their stage, relative
	// to the folder that the process starts in; empty for the built-in rule alone.
	Policy string `yaml:"policy"`
	// StopSeconds bounds a planned stop.
	StopSeconds float64 `yaml:"stop_seconds"`
	// RetryRatio, RetryWindowSeconds and RetrySlack bound the repeated sends of
	// all gateways together.
	RetryRatio         float64 `yaml:"retry_ratio"`
	RetryWindowSeconds float64 `yaml:"retry_window_seconds"`
	RetrySlack         float64 `yaml:"retry_slack"`
	// QuotaWindowSeconds is the time over which tenants' limits are judged, 0 for the default.
	// QuotaOver is the share of a limit, and QuotaSlack the units above that, by which all
	// gateways together may overrun it within the window.
	QuotaWindowSeconds float64 `yaml:"quota_window_seconds"`
	QuotaOver          float64 `yaml:"quota_over"`
	QuotaSlack         float64 `yaml:"quota_slack"`
	// LinkMegabits is the speed of the machine's network link in Mbit/s, 0 if it is not
	// known. What gateways tell each other takes a small share of it.
	LinkMegabits float64 `yaml:"link_megabits"`
	// OtherRegionsRate bounds what a process tells those of other regions of the work at
	// replicas, in bytes a second; 0 for peers.DefaultOtherRegionsRate.
	OtherRegionsRate float64 `yaml:"other_regions_bytes_per_second"`
	// MemoryMegabytes is what the process may use, 0 for no bound.
	MemoryMegabytes int `yaml:"memory_megabytes"`
	// FileDescriptors is the number of file descriptors that the process may use, 0 if it is not known.
	FileDescriptors int `yaml:"file_descriptors"`
	LogVerbosity    int `yaml:"log_verbosity"`
	// Without names mechanisms that are switched off, to measure what they are worth; see
	// package mechanism.
	Without []string `yaml:"without"`
}

// Process is a kind of process that a settings file is for.
type Process string

// Kinds of processes.
const (
	ProcessRelay       Process = "relay"
	ProcessCoordinator Process = "coordinator"
)

// Load reads and checks a file. Its errors name the file and all problems.
func Load(path string, process Process) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidDocument)
	}
	settings := &Settings{}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(settings); err != nil {
		return nil, failure.Wrap(fmt.Errorf("%s: %w", path, err), failure.InvalidDocument)
	}
	if problems := settings.check(process); len(problems) > 0 {
		return nil, failure.New(failure.InvalidDocument, fmt.Sprintf("%s: %s", path, strings.Join(problems, "; ")))
	}
	return settings, nil
}

// check lists what is wrong with the settings for a process.
func (s *Settings) check(process Process) []string {
	var problems []string
	report := func(format string, arguments ...any) {
		problems = append(problems, fmt.Sprintf(format, arguments...))
	}
	needText := func(key, value string) {
		if value == "" {
			report("%s is missing", key)
		}
	}
	needAddress := func(key, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			report("%s must be IP:port, not %q", key, value)
		}
	}
	needText("name", s.Name)
	needText("zone", s.Zone)
	if _, known := s.Zones[s.Zone]; len(s.Zones) > 0 && !known {
		report("zones does not name the zone %q of this process", s.Zone)
	}
	for _, zone := range slices.Sorted(maps.Keys(s.Zones)) {
		if zone == "" || s.Zones[zone] == "" {
			report("zones has a zone or a region without a name: %q: %q", zone, s.Zones[zone])
		}
	}
	if _, err := netip.ParseAddr(s.Address); err != nil {
		report("address must be an IP, not %q", s.Address)
	}
	if s.InternalPort < 1 || s.InternalPort > 65535 {
		report("internal_port must be from 1 to 65535, not %d", s.InternalPort)
	}
	if len(s.Seeds) == 0 {
		report("seeds is empty")
	}
	for _, seed := range s.Seeds {
		needAddress("seeds", seed)
	}
	needAddress("replica_list", s.ReplicaList)
	if s.MetricsListen != "" {
		needAddress("metrics_listen", s.MetricsListen)
	}
	if _, err := mechanism.Parse(s.Without); err != nil {
		report("without: %v", err)
	}
	if s.UsageWindowSeconds < 0 {
		report("usage_window_seconds must not be negative")
	}
	if s.QuotaWindowSeconds < 0 || s.QuotaOver < 0 || s.QuotaSlack < 0 {
		report("quota_window_seconds, quota_over and quota_slack must not be negative")
	}
	if s.ActiveReplicas < 0 {
		report("active_replicas must not be negative")
	}
	if s.DrainMillis < 0 {
		report("drain_ms must not be negative")
	}
	if s.ListCallsPerSecond < 0 {
		report("list_calls_per_second must not be negative")
	}
	if s.ContactMillis < 0 {
		report("contact_ms must not be negative")
	}
	if s.OtherRegionsRate < 0 || s.OtherRegionsRate > 0 && s.OtherRegionsRate < peers.MinimumOtherRegionsRate {
		report("other_regions_bytes_per_second must be 0 or at least %d", peers.MinimumOtherRegionsRate)
	}
	if s.HoldSeconds < 0 {
		report("hold_seconds must not be negative")
	}
	if s.StopSeconds <= 0 {
		report("stop_seconds must be above 0")
	}
	if process == ProcessCoordinator {
		needAddress("operator_listen", s.OperatorListen)
		if s.InternalListen != "" {
			needAddress("internal_listen", s.InternalListen)
		}
		needText("data_folder", s.DataFolder)
		if s.UsageWindowSeconds > 0 && s.UsageLateSeconds <= 0 {
			report("usage_late_seconds must be above 0")
		}
		if s.ToleratedLosses < 0 {
			report("tolerated_losses must not be negative")
		}
		return problems
	}
	needAddress("listen", s.Listen)
	needAddress("ready_listen", s.ReadyListen)
	if s.RetryWindowSeconds <= 0 {
		report("retry_window_seconds must be above 0")
	}
	if s.KeyMemoryMillis < 0 {
		report("key_memory_ms must not be negative")
	}
	if s.LinkMegabits < 0 {
		report("link_megabits must not be negative")
	}
	return problems
}

// SeedAddresses are the internal addresses of the seeds.
func (s *Settings) SeedAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		parsed, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue
		}
		addresses = append(addresses, netip.AddrPortFrom(parsed.Addr(), uint16(s.InternalPort)).String())
	}
	return addresses
}

// InternalAddress is this process's address for coordinators and gateways.
func (s *Settings) InternalAddress() string {
	return fmt.Sprintf("%s:%d", s.Address, s.InternalPort)
}

// Voters is the number of coordinators that vote, so that a majority is left
// after the tolerated losses.
func (s *Settings) Voters() int { return 2*s.ToleratedLosses + 1 }

// DefaultPlacesAbove is the number of gateways up to which each tells all others of its work
// (peers.MaximumWorkPeers), and knows enough to choose by itself.
const DefaultPlacesAbove = peers.MaximumWorkPeers + 1

// PlacesFrom is the number of gateways above which coordinators choose replicas for them.
func (s *Settings) PlacesFrom() int {
	if s.PlacesAbove == nil {
		return DefaultPlacesAbove
	}
	return *s.PlacesAbove
}

// Topology are the regions of the zones.
func (s *Settings) Topology() topology.Map { return topology.Map{Regions: s.Zones} }

// QuotaEnforcement are by how much tenants' limits may be overrun.
func (s *Settings) QuotaEnforcement() quota.Enforcement {
	return quota.Enforcement{
		Window:            time.Duration(s.QuotaWindowSeconds * float64(time.Second)),
		RelativeTolerance: s.QuotaOver,
		AbsoluteTolerance: s.QuotaSlack,
	}
}

// Lease is how far the orders of two coordinators must lie apart.
func (s *Settings) Lease() time.Duration { return time.Duration(s.LeaseMillis) * time.Millisecond }

// Contact is how long processes that reach each other may take to know what one knows, 0 for the
// default.
func (s *Settings) Contact() time.Duration { return time.Duration(s.ContactMillis) * time.Millisecond }

// listShare of the time within which a leaving replica may get requests passes between two looks at the
// list: what is left is for the way to all gateways, and for a look that fails.
const listShare = 0.25

// ListInterval is the time between two looks at the platform's list, 0 for the default.
func (s *Settings) ListInterval() time.Duration {
	return time.Duration(listShare * float64(s.DrainMillis) * float64(time.Millisecond))
}

// listBoundShare of the time within which a leaving replica may get requests is the longest that a reading of the whole list
// should take: the rest is for its way to all gateways, and for requests that are under way.
const listBoundShare = 0.5

// ListBound is the time within which the whole list should be read, 0 for no bound.
func (s *Settings) ListBound() time.Duration {
	return time.Duration(listBoundShare * float64(s.DrainMillis) * float64(time.Millisecond))
}

// listCallsShare of the calls for its list that the platform takes are made; the rest is for a leader that has just been replaced,
// and for other users of the list.
const listCallsShare = 0.9

// ListRate is how many calls for the list are made a second, 0 for no bound.
func (s *Settings) ListRate() float64 { return listCallsShare * s.ListCallsPerSecond }

// leaveShare of the time within which a leaving replica may get requests may pass before the last one is
// sent: the rest is for its way.
const leaveShare = 0.75

// LeaveTime is for how long a replica that has said it leaves may get new requests; 0 for no bound.
func (s *Settings) LeaveTime() time.Duration {
	return time.Duration(leaveShare * float64(s.DrainMillis) * float64(time.Millisecond))
}

// listedShare of the time within which a leaving replica may get requests is left for those that were meant for it when a process
// learns that the list shows it as leaving: the list was read and passed on before.
const listedShare = 0.25

// ListedTime is for how long a replica may get requests that were meant for it before the list was known to show that it
// leaves; 0 for no bound.
func (s *Settings) ListedTime() time.Duration {
	return time.Duration(listedShare * float64(s.DrainMillis) * float64(time.Millisecond))
}

// Hold is for how long a request is held under which replicas have ended, 0 for the default.
func (s *Settings) Hold() time.Duration {
	return time.Duration(s.HoldSeconds * float64(time.Second))
}

// KeyMemory is how old a gateway's view may be by which it accepts API keys.
func (s *Settings) KeyMemory() time.Duration {
	return time.Duration(s.KeyMemoryMillis) * time.Millisecond
}

// UsageWindow is the length of the windows by which tenants' requests are counted.
func (s *Settings) UsageWindow() time.Duration {
	return time.Duration(s.UsageWindowSeconds * float64(time.Second))
}

// UsageLate is how long after its end a window's report is due.
func (s *Settings) UsageLate() time.Duration {
	return time.Duration(s.UsageLateSeconds * float64(time.Second))
}

// StopTime bounds a planned stop.
func (s *Settings) StopTime() time.Duration {
	return time.Duration(s.StopSeconds * float64(time.Second))
}

// SwitchedOff are the mechanisms that are switched off.
func (s *Settings) SwitchedOff() mechanism.Set {
	// Load has checked the names.
	set, _ := mechanism.Parse(s.Without)
	return set
}

// RetryWindow is the window of the retry budget.
func (s *Settings) RetryWindow() time.Duration {
	return time.Duration(s.RetryWindowSeconds * float64(time.Second))
}
