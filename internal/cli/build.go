package cli

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/coordinator"
)

// shownAddresses bounds the addresses in a line: a region may have a thousand processes.
const shownAddresses = 4

// buildCommand shows which builds a region's processes run.
func (a *application) buildCommand() *cobra.Command {
	command := &cobra.Command{Use: "build", Short: "Builds that a region's processes run"}
	command.AddCommand(a.buildListCommand())
	return command
}

func (a *application) buildListCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "list",
		Short: "List the builds that processes run, how many run each, and what does not hold before all run a newer one",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var report coordinator.BuildReport
			if err := callCoordinator(command.Context(), http.MethodGet, address, coordinator.PathBuilds, &report); err != nil {
				return err
			}
			return a.print(report, func() table { return buildTable(report) })
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

func buildTable(report coordinator.BuildReport) table {
	content := table{header: []string{"role", "build", "protocol", "processes", "at"}}
	content.addBuilds("coordinator", report.Coordinators)
	content.addBuilds("gateway", report.Gateways)
	for _, gate := range report.Gates {
		if gate.Open {
			content.note("%s: in force", gate.Name)
			continue
		}
		content.note("%s: not in force, waits for %d: %s", gate.Name, len(gate.WaitsFor), abbreviated(gate.WaitsFor))
	}
	return content
}

// addBuilds adds a line for each build, in the order in which they are met.
func (t *table) addBuilds(role string, processes []coordinator.ProcessBuild) {
	type key struct {
		protocol int
		revision string
	}
	var order []key
	addresses := map[key][]string{}
	for _, each := range processes {
		its := key{each.Protocol, each.Revision}
		if addresses[its] == nil {
			order = append(order, its)
		}
		addresses[its] = append(addresses[its], each.Address)
	}
	for _, its := range order {
		revision := its.revision
		if revision == "" {
			revision = "not told"
		}
		t.add(role, revision, strconv.Itoa(its.protocol), strconv.Itoa(len(addresses[its])), abbreviated(addresses[its]))
	}
}

// abbreviated lists the first addresses.
func abbreviated(addresses []string) string {
	if len(addresses) > shownAddresses {
		return strings.Join(addresses[:shownAddresses], " ") + " ..."
	}
	return strings.Join(addresses, " ")
}
