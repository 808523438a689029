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

// buildTable knows the builds of a region's processes: while they are replaced, operators see how far
// that has come, and what is not in force before it is done. It may be used concurrently.
type buildTable struct {
	mutex sync.Mutex
	// own are those of the gateways that poll this coordinator, by address.
	own map[string]region.Build
	// reports are what coordinators have told last, by address; only the leader has them.
	reports map[string]buildReport
}

// buildReport is what a coordinator tells of itself and of the gateways that poll it.
type buildReport struct {
	build    region.Build
	gateways []string
	others   []region.ProcessBuild
}

func newBuildTable() *buildTable {
	return &buildTable{own: map[string]region.Build{}, reports: map[string]buildReport{}}
}

// currentBuild is that of this process.
func currentBuild() region.Build {
	return region.Build{Protocol: build.Protocol, Revision: build.Revision()}
}

// polled notes the build of a gateway.
func (b *buildTable) polled(address string, its region.Build) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.own[address] = its
}

// others are those of this coordinator's gateways that run another build than it does. The rest is
// forgotten.
func (b *buildTable) others(gateways []string) []region.ProcessBuild {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var others []region.ProcessBuild
	known := make(map[string]region.Build, len(gateways))
	for _, address := range gateways {
		its, told := b.own[address]
		if !told {
			continue
		}
		known[address] = its
		if its != currentBuild() {
			others = append(others, region.ProcessBuild{Address: address, Build: its})
		}
	}
	b.own = known
	return others
}

// report takes what a coordinator tells.
func (b *buildTable) report(told *region.ReadIndexRequest) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reports[told.From] = buildReport{
		build:    region.Build{Protocol: told.Protocol, Revision: told.Revision},
		gateways: told.Gateways,
		others:   told.OtherBuilds,
	}
}

// all lists the builds of the group's members and of their gateways, as they were told last.
func (b *buildTable) all(members []string) (coordinators, gateways []region.ProcessBuild) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	found := map[string]region.Build{}
	for address, told := range b.reports {
		if !slices.Contains(members, address) {
			delete(b.reports, address)
			continue
		}
		coordinators = append(coordinators, region.ProcessBuild{Address: address, Build: told.build})
		for _, gateway := range told.gateways {
			found[gateway] = told.build
		}
		for _, other := range told.others {
			found[other.Address] = other.Build
		}
	}
	for address, its := range found {
		gateways = append(gateways, region.ProcessBuild{Address: address, Build: its})
	}
	byAddress := func(a, b region.ProcessBuild) int { return cmp.Compare(a.Address, b.Address) }
	slices.SortFunc(coordinators, byAddress)
	slices.SortFunc(gateways, byAddress)
	return coordinators, gateways
}

// allBuilds are the builds of all processes, as the leader knows them.
func (c *Coordinator) allBuilds() *region.Builds {
	members := c.sortedMembers()
	coordinators, gateways := c.builds.all(members)
	return &region.Builds{
		Leader:       c.settings.Address,
		Coordinators: coordinators,
		Gateways:     gateways,
		Earlier:      c.zones.earlierOf(members),
	}
}

// handleBuilds answers another coordinator at the leader.
func (c *Coordinator) handleBuilds(context.Context, *region.BuildsRequest) (*region.Builds, error) {
	if !c.group.Leads() {
		return nil, rpc.NotLeader(c.group.LeaderAddress())
	}
	return c.allBuilds(), nil
}

// BuildReport tells operators which build each process runs.
type BuildReport struct {
	// Leader is who knows.
	Leader       string         `json:"leader"`
	Coordinators []ProcessBuild `json:"coordinators"`
	Gateways     []ProcessBuild `json:"gateways"`
	Gates        []Gate         `json:"gates"`
}

// ProcessBuild is a process's part of a BuildReport. Protocol is 0 and Revision empty if it tells no build.
type ProcessBuild struct {
	Address  string `json:"address"`
	Protocol int    `json:"protocol"`
	Revision string `json:"revision"`
}

// Gate is something that holds only once all processes of a role know it.
type Gate struct {
	Name string `json:"name"`
	// Open says that it holds; WaitsFor are the processes that don't know it, or don't say so.
	Open     bool     `json:"open"`
	WaitsFor []string `json:"waits_for"`
}

// Builds tells which build each process runs, and what does not hold yet.
func (c *Coordinator) Builds(ctx context.Context) (BuildReport, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	told := &region.Builds{}
	err := c.atLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == c.settings.Address {
			told = c.allBuilds()
			return nil
		}
		return c.client.Call(ctx, leader, region.PathBuilds, &region.BuildsRequest{}, told)
	})
	if err != nil {
		return BuildReport{}, err
	}
	return BuildReport{
		Leader:       told.Leader,
		Coordinators: shownBuilds(told.Coordinators),
		Gateways:     shownBuilds(told.Gateways),
		Gates: []Gate{
			gateOf("replicas that stand by", told.Earlier),
			gateOf("limits that replicas name", untold(told.Gateways)),
		},
	}, nil
}

func shownBuilds(told []region.ProcessBuild) []ProcessBuild {
	shown := make([]ProcessBuild, 0, len(told))
	for _, each := range told {
		shown = append(shown, ProcessBuild{Address: each.Address, Protocol: each.Build.Protocol, Revision: each.Build.Revision})
	}
	return shown
}

func gateOf(name string, waitsFor []string) Gate {
	return Gate{Name: name, Open: len(waitsFor) == 0, WaitsFor: waitsFor}
}

// untold are the processes that tell no build.
func untold(builds []region.ProcessBuild) []string {
	var addresses []string
	for _, each := range builds {
		if each.Build.Protocol == 0 {
			addresses = append(addresses, each.Address)
		}
	}
	return addresses
}

// buildCounts are the number of builds and of processes that tell none, 0 if this coordinator does not lead.
func (c *Coordinator) buildCounts() (builds, silent int) {
	if !c.group.Leads() {
		return 0, 0
	}
	coordinators, gateways := c.builds.all(c.sortedMembers())
	found := map[region.Build]bool{}
	for _, each := range append(coordinators, gateways...) {
		found[each.Build] = true
	}
	return len(found), len(untold(coordinators)) + len(untold(gateways))
}
