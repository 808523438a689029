package cli

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/policycheck"
)

// policyCheckOptions are the flags of `policy check`.
type policyCheckOptions struct {
	// configuration names files with the models that policies may refer to.
	configuration []string
	// trace is replayed; fleet names the deployment file with its engines.
	trace, fleet string
}

func (a *application) policyCheckCommand() *cobra.Command {
	var options policyCheckOptions
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check policies without submitting them",
		Long: "Check policies without submitting them; each mistake is named with its file, line\n" +
			"and column. What a policy refers to is held against --configuration or, if\n" +
			"controllers are named, against the configuration in force and the engines.\n" +
			"With --trace it also replays a recorded trace under the policies in force (the\n" +
			"built-in one without any) and under the checked ones, and shows what changes.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return a.checkPolicies(command.Context(), arguments, options)
		},
	}
	command.Flags().StringSliceVar(&options.configuration, "configuration", nil,
		"files with the models that policies may refer to, as for config apply")
	command.Flags().StringVar(&options.trace, "trace", "", "recorded trace (JSON lines) to replay")
	command.Flags().StringVar(&options.fleet, "fleet", "", "deployment file with the engines of the replay (default: those of the controllers)")
	return a.operatorCommand(command)
}

// policyCheckReport is the JSON form of `policy check`.
type policyCheckReport struct {
	Policies []checkedPolicy `json:"policies"`
	// References says what the policies were held against: files, controllers
	// or none.
	References string               `json:"references"`
	Problems   policycheck.Problems `json:"problems"`
	// Warnings tell of parts that would have no effect.
	Warnings []string `json:"warnings"`
	// Comparison is what a replay of --trace shows.
	Comparison *policycheck.Comparison `json:"comparison,omitempty"`
}

type checkedPolicy struct {
	File string `json:"file"`
	Name string `json:"name"`
}

// Values of policyCheckReport.References.
const (
	referencesFiles       = "files"
	referencesControllers = "controllers"
	referencesNone        = "none"
)

// checkPolicies checks all files before it reports.
func (a *application) checkPolicies(ctx context.Context, paths []string, options policyCheckOptions) error {
	references, kind, present, err := a.policyReferences(ctx, options)
	if err != nil {
		return err
	}
	report := policyCheckReport{
		References: kind, Policies: []checkedPolicy{}, Problems: policycheck.Problems{}, Warnings: []string{},
	}
	var documents []policycheck.Document
	for _, path := range paths {
		document, problems := readPolicy(path)
		if len(problems) == 0 {
			documents = append(documents, document)
			problems = document.Check(references)
		}
		if len(problems) == 0 {
			report.Policies = append(report.Policies, checkedPolicy{File: path, Name: document.Policy.Name})
		}
		report.Problems = append(report.Problems, problems...)
	}
	report.Problems = append(report.Problems, policycheck.CheckDuplicateNames(documents)...)
	report.Warnings = append(report.Warnings, policycheck.Warnings(present, policiesOf(documents))...)
	if options.trace != "" && len(report.Problems) == 0 {
		if report.Comparison, err = a.compareOnTrace(ctx, documents, options); err != nil {
			return err
		}
	}
	if err := a.print(report, func() table { return policyCheckTable(report) }); err != nil {
		return err
	}
	if report.Comparison != nil && a.output == outputTable {
		return a.printComparison(*report.Comparison)
	}
	return report.Problems.OrNil()
}

func policyCheckTable(report policyCheckReport) table {
	var content table
	if len(report.Policies) > 0 {
		content.header = []string{"file", "policy"}
	}
	for _, checked := range report.Policies {
		content.add(checked.File, checked.Name)
	}
	for _, warning := range report.Warnings {
		content.note("warning: %s", warning)
	}
	if report.References == referencesNone {
		content.note("models, versions and adapters were not looked up: give --configuration or --controllers")
	}
	return content
}

func readPolicy(path string) (policycheck.Document, policycheck.Problems) {
	content, err := os.ReadFile(path)
	if err != nil {
		return policycheck.Document{File: path}, policycheck.Problems{{File: path, Message: "can't be read: " + err.Error()}}
	}
	return policycheck.Read(path, content)
}

func policiesOf(documents []policycheck.Document) []dynamic.Policy {
	policies := make([]dynamic.Policy, 0, len(documents))
	for _, document := range documents {
		policies = append(policies, document.Policy)
	}
	return policies
}

// policyReferences reads what policies may refer to, nil for nothing, and the
// policies that are there already.
func (a *application) policyReferences(ctx context.Context, options policyCheckOptions) (*policycheck.References, string, []dynamic.Policy, error) {
	switch {
	case len(options.configuration) > 0:
		configuration, err := readConfigurations(options.configuration)
		if err != nil {
			return nil, "", nil, err
		}
		return policycheck.NewReferences(configuration), referencesFiles, configuration.Policies, nil
	case a.namesControllers():
		references, present, err := a.referencesInForce(ctx)
		return references, referencesControllers, present, err
	}
	return nil, referencesNone, nil, nil
}

// referencesInForce asks the controllers for the configuration in force and for
// what the engines have loaded.
func (a *application) referencesInForce(ctx context.Context) (*policycheck.References, []dynamic.Policy, error) {
	client, err := a.client()
	if err != nil {
		return nil, nil, err
	}
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return nil, nil, explainRead(err)
	}
	engines, err := client.Engines(ctx)
	if err != nil {
		return nil, nil, explainRead(err)
	}
	references := policycheck.NewReferences(configuration.Snapshot)
	for _, engine := range engines.Engines {
		references.AddLoaded(engine.Observed.Model, engine.Observed.Version, engine.Observed.Adapters)
	}
	return references, configuration.Snapshot.Policies, nil
}
