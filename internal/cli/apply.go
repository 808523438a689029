package cli

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

func (a *application) configApplyCommand() *cobra.Command {
	var prune bool
	command := &cobra.Command{
		Use:   "apply FILE...",
		Short: "Make the configuration equal to files of policies, tenants, models and applications",
		Long: "Make the configuration equal to the files, by one change for each document that\n" +
			"differs. Each change is accepted or refused by itself; after a failure apply again.",
		Args: cobra.MinimumNArgs(1),
	}
	command.Flags().BoolVar(&prune, "prune", false, "also withdraw what the files do not have")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		snapshot, err := readSnapshot(arguments)
		if err != nil {
			return err
		}
		return a.applySnapshot(command, operatorapi.ConfigurationChange{Snapshot: snapshot, Prune: prune})
	}
	return a.configurationCommand(command)
}

// readSnapshot joins the documents of several files and checks the policies.
func readSnapshot(paths []string) (dynamic.Snapshot, error) {
	joined, err := readConfigurations(paths)
	if err != nil {
		return joined, err
	}
	for _, each := range joined.Policies {
		if err := checkPolicy("policy "+each.Name, each); err != nil {
			return joined, err
		}
	}
	return joined, nil
}

// applyReport is the JSON form of `config apply`.
type applyReport struct {
	operatorapi.ApplyResult
	Status *operatorapi.ChangeStatus `json:"status,omitempty"`
}

func (a *application) applySnapshot(command *cobra.Command, change operatorapi.ConfigurationChange) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	change.RequestID = a.changeID()
	result, err := client.ApplyConfiguration(command.Context(), change)
	if err != nil {
		return a.explainChange(err)
	}
	report := applyReport{ApplyResult: result}
	if a.operator.wait > 0 && result.Revision > 0 {
		status, err := waitInForce(command.Context(), client, result.Revision, a.operator.wait)
		if err != nil {
			return notInForceError{fmt.Sprintf("revision %d is accepted, but where it is in force could not be asked: %v", result.Revision, err)}
		}
		report.Status = &status
	}
	if err := a.print(report, func() table { return applyTable(report) }); err != nil {
		return err
	}
	if report.Status != nil && !report.Status.InForce {
		return notInForceError{fmt.Sprintf("revision %d is accepted, but not in force everywhere after %s", result.Revision, a.operator.wait)}
	}
	return nil
}

func applyTable(report applyReport) table {
	var content table
	for _, change := range report.Changes {
		content.note("%s %q: %s accepted at revision %d", change.Kind, change.Name, change.Operation, change.Revision)
	}
	content.note("%d changes, %d documents unchanged, revision %d", len(report.Changes), report.Unchanged, report.Revision)
	if report.Status != nil {
		addStatus(&content, *report.Status)
	}
	return content
}

func (a *application) configExportCommand() *cobra.Command {
	return a.operatorCommand(&cobra.Command{
		Use:   "export",
		Short: "Print the configuration in force as YAML, for config apply",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			configuration, err := client.Configuration(command.Context())
			if err != nil {
				return explainRead(err)
			}
			if a.output == outputJSON {
				return a.print(configuration, nil)
			}
			return a.printSnapshot(configuration)
		},
	})
}

func (a *application) printSnapshot(configuration operatorapi.Configuration) error {
	text, err := yaml.Marshal(configuration.Snapshot)
	if err != nil {
		return err
	}
	freshness := configuration.Freshness
	_, err = fmt.Fprintf(a.streams.Out, "# revision %d, read from the %s\n", freshness.Revision, freshness.Source)
	if err != nil {
		return err
	}
	if freshness.Source != operatorapi.SourceLeader {
		_, err = fmt.Fprintf(a.streams.Out, "# which may be old: %s\n", strings.ReplaceAll(freshness.Problem, "\n", " "))
		if err != nil {
			return err
		}
	}
	_, err = a.streams.Out.Write(text)
	return err
}
