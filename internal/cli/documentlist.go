package cli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
)

func (a *application) documentListCommand(kind dynamic.Kind) *cobra.Command {
	return a.operatorCommand(&cobra.Command{
		Use:   "list",
		Short: fmt.Sprintf("List what is in force of kind %s", kind),
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			list, err := client.Documents(command.Context(), kind)
			if err != nil {
				return explainRead(err)
			}
			return a.print(list, func() table { return documentTable(list) })
		},
	})
}

func documentTable(list operatorapi.DocumentList) table {
	content := table{header: []string{"name", "revision"}}
	for _, document := range list.Documents {
		content.add(document.Name, orUnknown(document.Revision))
	}
	addFreshness(&content, list.Freshness)
	return content
}

// unknown stands in tables for what the answering controller can't know.
const unknown = "unknown"

func orUnknown(revision uint64) string {
	if revision == 0 {
		return unknown
	}
	return fmt.Sprint(revision)
}

// addFreshness warns where the answer may be old.
func addFreshness(content *table, freshness operatorapi.Freshness) {
	if freshness.Source == operatorapi.SourceLeader {
		return
	}
	content.note("from the controller's own copy at revision %d, which may be old: %s", freshness.Revision, freshness.Problem)
}

func (a *application) documentShowCommand(kind dynamic.Kind) *cobra.Command {
	return a.operatorCommand(&cobra.Command{
		Use:   "show NAME",
		Short: fmt.Sprintf("Show a %s as YAML", kind),
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			document, err := client.Document(command.Context(), kind, arguments[0])
			if err != nil {
				return explainRead(err)
			}
			if kind == dynamic.KindPolicy && a.output != outputJSON {
				return a.printPolicy(command.Context(), client, document)
			}
			return a.printDocument(document)
		},
	})
}

func (a *application) printDocument(document operatorapi.Document) error {
	if a.output == outputJSON {
		return a.print(document, nil)
	}
	var content table
	content.note("# %s %s at revision %s", document.Kind, document.Name, orUnknown(document.Revision))
	if document.Withdrawn {
		content.note("# withdrawn")
		return a.printTable(content)
	}
	if document.Revision == 0 {
		content.note("# from the controller's own copy, which may be old: no leader of the config group answered")
	}
	text, err := toYAML(document.Body)
	if err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	content.note("%s", strings.TrimRight(text, "\n"))
	return a.printTable(content)
}

// documentCommand is the parent of a kind whose documents are applied.
func documentCommand[T any](a *application, kind dynamic.Kind) *cobra.Command {
	command := &cobra.Command{Use: string(kind), Short: fmt.Sprintf("Apply and look at documents of kind %s", kind)}
	command.AddCommand(
		applyCommand[T](a, kind),
		a.documentListCommand(kind),
		a.documentShowCommand(kind),
		a.withdrawCommand(kind),
	)
	return command
}

func applyCommand[T any](a *application, kind dynamic.Kind) *cobra.Command {
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: fmt.Sprintf("Create or replace each %s of a YAML file", kind),
		Args:  cobra.ExactArgs(1),
	}
	command.RunE = func(command *cobra.Command, arguments []string) error {
		documents, err := readYAML[T](arguments[0])
		if err != nil {
			return err
		}
		changes, err := planChanges(command, a, kind, documents)
		if err != nil {
			return err
		}
		return a.changeDocuments(command.Context(), changes)
	}
	return a.configurationCommand(command)
}

// planChanges decides for each document whether it is new.
func planChanges[T any](command *cobra.Command, a *application, kind dynamic.Kind, documents []T) ([]documentChange, error) {
	client, err := a.client()
	if err != nil {
		return nil, err
	}
	changes := make([]documentChange, 0, len(documents))
	for _, document := range documents {
		change := documentChange{kind: kind, operation: operatorapi.OperationSubmit, document: document}
		present, err := client.Document(command.Context(), kind, nameOf(document))
		switch {
		case err != nil && failure.KindOf(err) == failure.NotFound:
		case err != nil:
			return nil, explainRead(err)
		default:
			change.revision = present.Revision
			if !present.Withdrawn {
				change.operation = operatorapi.OperationReplace
			}
		}
		changes = append(changes, change)
	}
	return changes, nil
}
