package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/pierhaven/pierhaven/internal/build"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

// buildTable holds the builds of a region's processes. During a rolling upgrade it shows operators how
// far the upgrade has come, and which features are disabled until it is complete. It is safe for
// concurrent use.
type buildTable struct {
	mutex sync.Mutex
	// gateways holds the builds of the gateways that poll this coordinator, by address.
	gateways map[string]region.Build
	// reports holds the last report of each coordinator, by address. Only the leader receives them.
	reports map[string]buildReport
}

// buildReport is a coordinator's report of its own build and of the gateways that poll it.
type buildReport struct {
	build    region.Build
	gateways []string
	// otherBuilds are the builds of the gateways that run another build than the coordinator. The other
	// gateways run the coordinator's build.
	otherBuilds []region.ProcessBuild
}

func newBuildTable() *buildTable {
	return &buildTable{gateways: map[string]region.Build{}, reports: map[string]buildReport{}}
}

// currentBuild returns the build of this process.
func currentBuild() region.Build {
	return region.Build{Protocol: build.Protocol, Revision: build.Revision()}
}

// recordGateway records the build of a gateway that polls this coordinator.
func (b *buildTable) recordGateway(address string, running region.Build) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.gateways[address] = running
}

// otherBuilds returns the builds of those given gateways that run another build than this coordinator.
// Gateways that are not given are deleted from the table.
func (b *buildTable) otherBuilds(gateways []string) []region.ProcessBuild {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var others []region.ProcessBuild
	known := make(map[string]region.Build, len(gateways))
	for _, address := range gateways {
		running, reported := b.gateways[address]
		if !reported {
			continue
		}
		known[address] = running
		if running != currentBuild() {
			others = append(others, region.ProcessBuild{Address: address, Build: running})
		}
	}
	b.gateways = known
	return others
}

// recordReport records the builds that a coordinator reports.
func (b *buildTable) recordReport(request *region.ReadIndexRequest) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reports[request.From] = buildReport{
		build:       region.Build{Protocol: request.Protocol, Revision: request.Revision},
		gateways:    request.Gateways,
		otherBuilds: request.OtherBuilds,
	}
}

// support returns whether all members have reported a build of a protocol or a later one, and whether any has reported
// an earlier one.
func (b *buildTable) support(members []string, protocol int) (all, earlier bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	all = true
	for _, address := range members {
		report, reported := b.reports[address]
		all = all && reported && report.build.Protocol >= protocol
		earlier = earlier || reported && report.build.Protocol < protocol
	}
	return all, earlier
}

// all returns the last reported builds of the group's members and of their gateways, sorted by address.
// Reports of coordinators that are no longer members are deleted.
func (b *buildTable) all(members []string) (coordinators, gateways []region.ProcessBuild) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	gatewayBuilds := map[string]region.Build{}
	for address, report := range b.reports {
		if !slices.Contains(members, address) {
			delete(b.reports, address)
			continue
		}
		coordinators = append(coordinators, region.ProcessBuild{Address: address, Build: report.build})
		for _, gateway := range report.gateways {
			gatewayBuilds[gateway] = report.build
		}
		for _, other := range report.otherBuilds {
			gatewayBuilds[other.Address] = other.Build
		}
	}
	for address, running := range gatewayBuilds {
		gateways = append(gateways, region.ProcessBuild{Address: address, Build: running})
	}
	byAddress := func(a, b region.ProcessBuild) int { return cmp.Compare(a.Address, b.Address) }
	slices.SortFunc(coordinators, byAddress)
	slices.SortFunc(gateways, byAddress)
	return coordinators, gateways
}

// allBuilds returns the builds of all processes of the region. It must be called at the leader.
func (c *Coordinator) allBuilds() *region.Builds {
	members := c.sortedMembers()
	coordinators, gateways := c.builds.all(members)
	return &region.Builds{
		Leader:       c.settings.Address,
		Coordinators: coordinators,
		Gateways:     gateways,
		Earlier:      c.zones.legacyMembers(members),
	}
}

// handleBuilds returns the builds of all processes to another coordinator. Only the leader has them.
func (c *Coordinator) handleBuilds(context.Context, *region.BuildsRequest) (*region.Builds, error) {
	if !c.group.Leads() {
		return nil, rpc.NotLeader(c.group.LeaderAddress())
	}
	return c.allBuilds(), nil
}

// BuildReport shows operators which build each process runs.
type BuildReport struct {
	// Leader is the address of the coordinator that the report comes from.
	Leader       string         `json:"leader"`
	Coordinators []ProcessBuild `json:"coordinators"`
	Gateways     []ProcessBuild `json:"gateways"`
	Gates        []Gate         `json:"gates"`
}

// ProcessBuild is a process's entry in a BuildReport. Protocol is 0 and Revision empty if the process
// reports no build.
type ProcessBuild struct {
	Address  string `json:"address"`
	Protocol int    `json:"protocol"`
	Revision string `json:"revision"`
}

// Gate is a feature that is enabled only once all processes of a role support it.
type Gate struct {
	Name string `json:"name"`
	// Open reports whether the feature is enabled. WaitsFor are the processes that don't support it or
	// don't report that they do.
	Open     bool     `json:"open"`
	WaitsFor []string `json:"waits_for"`
}

// Builds returns the build that each process runs, and the features that wait for newer builds.
func (c *Coordinator) Builds(ctx context.Context) (BuildReport, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	reply := &region.Builds{}
	err := c.atLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == c.settings.Address {
			reply = c.allBuilds()
			return nil
		}
		return c.client.Call(ctx, leader, region.PathBuilds, &region.BuildsRequest{}, reply)
	})
	if err != nil {
		return BuildReport{}, err
	}
	return BuildReport{
		Leader:       reply.Leader,
		Coordinators: toProcessBuilds(reply.Coordinators),
		Gateways:     toProcessBuilds(reply.Gateways),
		Gates: []Gate{
			newGate("replicas that stand by", reply.Earlier),
			newGate("limits that replicas name", withoutBuild(reply.Gateways)),
			newGate("versions of the replicas' software", before(reply.Coordinators, build.SoftwareProtocol)),
			newGate("streams at new software", before(reply.Coordinators, build.SoftwareGateProtocol)),
		},
	}, nil
}

func toProcessBuilds(builds []region.ProcessBuild) []ProcessBuild {
	shown := make([]ProcessBuild, 0, len(builds))
	for _, each := range builds {
		shown = append(shown, ProcessBuild{Address: each.Address, Protocol: each.Build.Protocol, Revision: each.Build.Revision})
	}
	return shown
}

func newGate(name string, waitsFor []string) Gate {
	return Gate{Name: name, Open: len(waitsFor) == 0, WaitsFor: waitsFor}
}

// withoutBuild returns the addresses of the processes that report no build.
func withoutBuild(builds []region.ProcessBuild) []string { return before(builds, 1) }

// before returns the addresses of the processes whose builds are of a protocol before another one.
func before(builds []region.ProcessBuild, protocol int) []string {
	var addresses []string
	for _, each := range builds {
		if each.Build.Protocol < protocol {
			addresses = append(addresses, each.Address)
		}
	}
	return addresses
}

// buildCounts returns the number of different builds, and the number of processes that report none. Such
// processes carry a zero Build, which counts as a different build too, so the two counts overlap. Both are 0
// if this coordinator is not the leader.
func (c *Coordinator) buildCounts() (builds, unreported int) {
	if !c.group.Leads() {
		return 0, 0
	}
	coordinators, gateways := c.builds.all(c.sortedMembers())
	distinct := map[region.Build]bool{}
	for _, each := range append(coordinators, gateways...) {
		distinct[each.Build] = true
	}
	return len(distinct), len(withoutBuild(coordinators)) + len(withoutBuild(gateways))
}
