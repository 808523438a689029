package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// documentChange is one change that a command asks for.
type documentChange struct {
	kind      dynamic.Kind
	operation operatorapi.Operation
	// revision is the expected one; 0 lets a replacement take the present one.
	revision uint64
	document any
}

// changeReport is the JSON form of an accepted change.
type changeReport struct {
	Kind      dynamic.Kind              `json:"kind"`
	Name      string                    `json:"name"`
	Operation operatorapi.Operation     `json:"operation"`
	RequestID string                    `json:"request_id"`
	Revision  uint64                    `json:"revision"`
	Repeated  bool                      `json:"repeated"`
	Status    *operatorapi.ChangeStatus `json:"status,omitempty"`
}

// changeDocuments sends changes one by one, stops at the first that fails, and
// waits for the last if asked to.
func (a *application) changeDocuments(ctx context.Context, changes []documentChange) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	requestID := a.changeID()
	for position, change := range changes {
		if len(changes) > 1 {
			a.operator.requestID = requestID + "-" + strconv.Itoa(position)
		}
		report, err := a.changeDocument(ctx, client, change)
		if err != nil {
			return a.explainChange(err)
		}
		last := position == len(changes)-1
		if err := a.finishChange(ctx, client, report, last); err != nil {
			return err
		}
	}
	return nil
}

func (a *application) changeDocument(ctx context.Context, client *operatorapi.Client, change documentChange) (changeReport, error) {
	name := nameOf(change.document)
	if change.operation == operatorapi.OperationReplace && change.revision == 0 {
		present, err := client.Document(ctx, change.kind, name)
		if err != nil {
			return changeReport{}, explainRead(err)
		}
		change.revision = present.Revision
		if change.revision == 0 && !present.Withdrawn {
			return changeReport{}, unreadRevision(change.kind, name)
		}
	}
	body, err := toJSON(change.document)
	if err != nil {
		return changeReport{}, err
	}
	result, err := client.ChangeDocument(ctx, change.kind, name, operatorapi.DocumentChange{
		RequestID:        a.operator.requestID,
		Operation:        change.operation,
		ExpectedRevision: change.revision,
		Document:         body,
	})
	if err != nil {
		return changeReport{}, adviseOnConflict(naming(change.kind, name, err), change)
	}
	return changeReport{
		Kind: change.kind, Name: name, Operation: change.operation,
		RequestID: result.RequestID, Revision: result.Revision, Repeated: result.Repeated,
	}, nil
}

// naming puts the document in front of an error that doesn't name it.
func naming(kind dynamic.Kind, name string, err error) error {
	prefix := fmt.Sprintf("%s %q: ", kind, name)
	if strings.Contains(err.Error(), prefix) {
		return err
	}
	return fmt.Errorf("%s%w", prefix, err)
}

// unreadRevision refuses to base a change on a copy of the configuration, which
// does not tell the documents' revisions.
func unreadRevision(kind dynamic.Kind, name string) error {
	return failure.New(failure.NoQuorum, fmt.Sprintf(
		"%s %q: its revision can't be read, because no leader of the config group answers; nothing was changed", kind, name))
}

// adviseOnConflict adds to a refused submission what the operator may want.
func adviseOnConflict(err error, change documentChange) error {
	if change.operation != operatorapi.OperationSubmit || failure.KindOf(err) != failure.RevisionConflict {
		return err
	}
	return fmt.Errorf("%w; `replace` changes what is in force, and --revision names the withdrawal after which a name is used again", err)
}

// finishChange prints an accepted change, after the wait that was asked for.
func (a *application) finishChange(ctx context.Context, client *operatorapi.Client, report changeReport, wait bool) error {
	if wait && a.operator.wait > 0 {
		status, err := waitInForce(ctx, client, report.Revision, a.operator.wait)
		if err != nil {
			accepted := fmt.Errorf("revision %d is accepted, but where it is in force could not be asked: %w", report.Revision, err)
			return notInForceError{accepted.Error()}
		}
		report.Status = &status
	}
	if err := a.print(report, func() table { return changeTable(report) }); err != nil {
		return err
	}
	if report.Status != nil && !report.Status.InForce {
		return notInForceError{fmt.Sprintf("revision %d is accepted, but not in force everywhere after %s", report.Revision, a.operator.wait)}
	}
	return nil
}

func changeTable(report changeReport) table {
	var content table
	note := ""
	if report.Repeated {
		note = ", accepted before under this request id"
	}
	content.note("%s %q: %s accepted at revision %d%s", report.Kind, report.Name, report.Operation, report.Revision, note)
	if report.Status != nil {
		addStatus(&content, *report.Status)
	}
	return content
}

func addStatus(content *table, status operatorapi.ChangeStatus) {
	content.header = []string{"zone", "reached", "revision", "gateways", "in force"}
	for _, zone := range status.Zones {
		content.add(zone.Zone, yesNo(zone.Reached), zone.Revision, zone.Gateways, zone.InForce)
	}
	for _, missing := range status.Missing {
		who := "zone " + missing.Zone
		if missing.Gateway != "" {
			who = "gateway " + missing.Gateway + " of " + who
		}
		content.note("missing: %s has revision %d: %s", who, missing.Revision, missing.Reason)
	}
}

// waitInForce asks until a revision is in force everywhere or the time is over.
func waitInForce(ctx context.Context, client *operatorapi.Client, revision uint64, wait time.Duration) (operatorapi.ChangeStatus, error) {
	deadline := time.Now().Add(wait)
	for {
		remaining := time.Until(deadline)
		status, err := client.ChangeStatus(ctx, revision, max(remaining, 0))
		if err != nil || status.InForce || time.Until(deadline) <= 0 {
			return status, err
		}
		time.Sleep(min(pollPause, time.Until(deadline)))
	}
}

const pollPause = 200 * time.Millisecond

func (a *application) withdrawCommand(kind dynamic.Kind) *cobra.Command {
	command := &cobra.Command{
		Use:   "withdraw NAME",
		Short: fmt.Sprintf("Take a %s out of force", kind),
		Args:  cobra.ExactArgs(1),
	}
	var revision uint64
	command.Flags().Uint64Var(&revision, "revision", 0, "revision that you have seen (default the present one)")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		return a.withdraw(command.Context(), kind, arguments[0], revision)
	}
	return a.configurationCommand(command)
}

func (a *application) withdraw(ctx context.Context, kind dynamic.Kind, name string, revision uint64) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	requestID := a.changeID()
	if revision == 0 {
		present, err := client.Document(ctx, kind, name)
		if err != nil {
			return explainRead(err)
		}
		if present.Revision == 0 {
			return unreadRevision(kind, name)
		}
		// A withdrawn document is withdrawn again all the same: this may be a
		// resend, whose first answer the controllers know by its request id.
		revision = present.Revision
	}
	result, err := client.WithdrawDocument(ctx, kind, name, operatorapi.DocumentWithdrawal{
		RequestID: requestID, ExpectedRevision: revision,
	})
	if err != nil {
		return a.explainChange(naming(kind, name, err))
	}
	report := changeReport{
		Kind: kind, Name: name, Operation: operatorapi.OperationWithdraw,
		RequestID: result.RequestID, Revision: result.Revision, Repeated: result.Repeated,
	}
	return a.finishChange(ctx, client, report, true)
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
