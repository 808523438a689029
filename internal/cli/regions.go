package cli

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/coordinator"
)

// regionsCommand shows the replicas and the work of each region, as a coordinator knows them.
func (a *application) regionsCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "regions",
		Short: "Show each region's replicas, their load and what came from another region, as a coordinator knows it",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var regions []coordinator.RegionLoad
			if err := callCoordinator(command.Context(), http.MethodGet, address, coordinator.PathRegions, &regions); err != nil {
				return err
			}
			return a.print(regions, func() table { return regionTable(regions) })
		},
	}
	coordinatorFlag(command, &address)
	return a.operatorCommand(command)
}

func regionTable(regions []coordinator.RegionLoad) table {
	content := table{header: []string{"region", "service", "replicas", "standby", "reading", "generating", "changing", "slots", "requests", "placed here", "word"}}
	for _, each := range regions {
		content.add(regionName(each.Region), each.Service, each.Replicas, each.Standby, each.Reading, each.Generating, each.Changing,
			each.Slots, each.Requests, each.PlacedHere, wordOf(each))
	}
	content.note("requests: as this coordinator knows them; placed here: those of its own gateways")
	return content
}

func regionName(name string) string {
	if name == "" {
		return "(all)"
	}
	return name
}

// wordOf says how old what is known of a region's work is.
func wordOf(load coordinator.RegionLoad) string {
	switch {
	case load.Own:
		return "own"
	case load.ReportAgeMillis < 0:
		return "none"
	default:
		return fmt.Sprint(time.Duration(load.ReportAgeMillis)*time.Millisecond, " old")
	}
}
