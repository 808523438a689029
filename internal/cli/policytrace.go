package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policycheck"
)

// compareOnTrace replays --trace under the policies in force, or the built-in
// one without controllers, and under the checked ones.
func (a *application) compareOnTrace(ctx context.Context, documents []policycheck.Document, options policyCheckOptions) (*policycheck.Comparison, error) {
	file, err := os.Open(options.trace)
	if err != nil {
		return nil, policycheck.Problem{File: options.trace, Message: "can't be read: " + err.Error()}
	}
	defer file.Close()
	trace, err := policycheck.ReadTrace(options.trace, file)
	if err != nil {
		return nil, err
	}
	settings, err := a.replaySettings(ctx, options)
	if err != nil {
		return nil, err
	}
	settings.Checked = policiesOf(documents)
	comparison := policycheck.Compare(trace, settings)
	return &comparison, nil
}

// replaySettings takes engines and configuration from files, and what no file
// gives from the controllers.
func (a *application) replaySettings(ctx context.Context, options policyCheckOptions) (policycheck.ReplaySettings, error) {
	settings := policycheck.ReplaySettings{Start: time.Now()}
	if a.namesControllers() {
		if err := a.addInForce(ctx, &settings); err != nil {
			return settings, err
		}
	}
	if len(options.configuration) > 0 {
		configuration, err := readConfigurations(options.configuration)
		if err != nil {
			return settings, err
		}
		settings.Models, settings.Tenants, settings.Present = configuration.Models, configuration.Tenants, configuration.Policies
	}
	if options.fleet != "" {
		content, err := os.ReadFile(options.fleet)
		if err != nil {
			return settings, policycheck.Problem{File: options.fleet, Message: "can't be read: " + err.Error()}
		}
		if settings.Zones, err = policycheck.ReadZones(options.fleet, content); err != nil {
			return settings, err
		}
	}
	if len(settings.Zones) == 0 || len(settings.Models) == 0 {
		return settings, usagef("policy check: --trace needs engines (--fleet) and models (--configuration), or --controllers for both")
	}
	return settings, nil
}

// addInForce takes the zones, the engines and the configuration from the
// controllers. Zones that were not reached are left out.
func (a *application) addInForce(ctx context.Context, settings *policycheck.ReplaySettings) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return explainRead(err)
	}
	engines, err := client.Engines(ctx)
	if err != nil {
		return explainRead(err)
	}
	settings.Models = configuration.Snapshot.Models
	settings.Tenants = configuration.Snapshot.Tenants
	settings.Present = configuration.Snapshot.Policies
	for _, state := range engines.Zones {
		zone := policycheck.Zone{Name: state.Zone, Gateways: max(1, state.Gateways)}
		for _, engine := range engines.Engines {
			if engine.Zone == state.Zone {
				zone.Engines = append(zone.Engines, engineOf(engine))
			}
		}
		if len(zone.Engines) > 0 {
			settings.Zones = append(settings.Zones, zone)
		}
	}
	return nil
}

func engineOf(engine operatorapi.Engine) policycheck.Engine {
	return policycheck.Engine{
		ID: engine.ID, Role: engine.Desired.Role, Model: engine.Desired.Model,
		Version: engine.Desired.Version, Adapters: engine.Desired.Adapters,
	}
}

func readConfigurations(paths []string) (dynamic.Snapshot, error) {
	var joined dynamic.Snapshot
	for _, path := range paths {
		parts, err := readYAML[dynamic.Snapshot](path)
		if err != nil {
			return joined, err
		}
		for _, part := range parts {
			joined.Policies = append(joined.Policies, part.Policies...)
			joined.Tenants = append(joined.Tenants, part.Tenants...)
			joined.Models = append(joined.Models, part.Models...)
			joined.Applications = append(joined.Applications, part.Applications...)
		}
	}
	return joined, nil
}

// printComparison prints one table for each part of a comparison.
func (a *application) printComparison(comparison policycheck.Comparison) error {
	for _, content := range []table{rankingTable(comparison), placementTable(comparison), roleChangeTable(comparison)} {
		if err := a.printTable(content); err != nil {
			return err
		}
	}
	return nil
}

func rankingTable(comparison policycheck.Comparison) table {
	content := table{header: []string{"class", "calls", "wait beside others", "place now", "place checked", "earlier", "later"}}
	for _, class := range comparison.Ranking {
		content.add(class.Class, class.Calls, class.Compared, fmt.Sprintf("%.2f", class.Present),
			fmt.Sprintf("%.2f", class.Checked), class.Earlier, class.Later)
	}
	content.note("ranking: mean place in the queue of the tenant and priority, 0 first to 1 last, if the calls of 2 s waited together")
	return content
}

func placementTable(comparison policycheck.Comparison) table {
	var content table
	if len(comparison.Placement) == 0 {
		content.note("placement: no engine is placed differently")
		return content
	}
	content.header = []string{"zone", "engine", "model", "placed now", "placed checked"}
	for _, change := range comparison.Placement {
		content.add(change.Zone, change.Engine, change.Model, describePlacement(change.Present), describePlacement(change.Checked))
	}
	content.note("placement: %d engines are placed differently", len(comparison.Placement))
	return content
}

func describePlacement(placement policycheck.Placement) string {
	return strings.Join(append([]string{placement.Version}, placement.Adapters...), "+")
}

func roleChangeTable(comparison policycheck.Comparison) table {
	content := table{header: []string{"policies", "at", "zone", "engine", "from", "to"}}
	addRoleChanges(&content, "now", comparison.Present)
	addRoleChanges(&content, "checked", comparison.Checked)
	if len(content.rows) == 0 {
		content.header = nil
	}
	content.note("role changes in a fluid model with assumed speeds: now %d, checked %d; served of %.0f offered requests: now %.0f, checked %.0f",
		len(comparison.Present.Changes), len(comparison.Checked.Changes), comparison.Checked.Offered,
		comparison.Present.Served, comparison.Checked.Served)
	for _, failed := range comparison.Failures {
		content.note("warning: policy %q: %s failed %d times in the replay: %s", failed.Policy, failed.Field, failed.Count, failed.Last)
	}
	return content
}

func addRoleChanges(content *table, policies string, replayed policycheck.RoleChanges) {
	for _, change := range replayed.Changes {
		at := time.Duration(change.AtMillis) * time.Millisecond
		to := change.To
		if change.ToModel != "" {
			to += " of " + change.ToModel
		}
		content.add(policies, at, change.Zone, change.Engine, change.From, to)
	}
}
