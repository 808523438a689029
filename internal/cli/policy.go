package cli

import (
	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

func (a *application) policyCommand() *cobra.Command {
	command := &cobra.Command{Use: "policy", Short: "Submit, replace, withdraw and look at policies"}
	command.AddCommand(
		a.policySubmitCommand(),
		a.policyReplaceCommand(),
		a.withdrawCommand(dynamic.KindPolicy),
		a.documentListCommand(dynamic.KindPolicy),
		a.documentShowCommand(dynamic.KindPolicy),
		a.policyCheckCommand(),
	)
	return command
}

func (a *application) policySubmitCommand() *cobra.Command {
	command := &cobra.Command{Use: "submit FILE", Short: "Put a new policy in force"}
	return a.policyChangeCommand(command, operatorapi.OperationSubmit, "revision of the withdrawal, if the name was used before")
}

func (a *application) policyReplaceCommand() *cobra.Command {
	command := &cobra.Command{Use: "replace FILE", Short: "Replace a policy that is in force"}
	return a.policyChangeCommand(command, operatorapi.OperationReplace, "revision that you have seen (default the present one)")
}

// policyChangeCommand completes a command that sends one policy file.
func (a *application) policyChangeCommand(command *cobra.Command, operation operatorapi.Operation, revisionHelp string) *cobra.Command {
	var revision uint64
	command.Args = cobra.ExactArgs(1)
	command.Flags().Uint64Var(&revision, "revision", 0, revisionHelp)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		return a.changePolicy(command, arguments[0], operation, revision)
	}
	return a.configurationCommand(command)
}

func (a *application) changePolicy(command *cobra.Command, path string, operation operatorapi.Operation, revision uint64) error {
	document, problems := readPolicy(path)
	if len(problems) == 0 {
		problems = document.Check(nil)
	}
	if err := problems.OrNil(); err != nil {
		return err
	}
	change := documentChange{kind: dynamic.KindPolicy, operation: operation, revision: revision, document: document.Policy}
	return a.changeDocuments(command.Context(), []documentChange{change})
}
