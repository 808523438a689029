package scale

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/pierhaven/pierhaven/bench/truth"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// operator changes one tenant after another, and records the accepted changes.
type operator struct {
	client *operatorapi.Client
	size   Size
	truth  *truth.Writer

	mutex     sync.Mutex
	revisions map[string]uint64
	made      int
	changes   []Change
	refused   int
}

// operatorName is the name of the bench in the ground truth.
const operatorName = "bench"

// readRevisions reads the tenants' revisions, which a change has to state.
func (o *operator) readRevisions(ctx context.Context) error {
	list, err := o.client.Documents(ctx, dynamic.KindTenant)
	if err != nil {
		return merry.Prepend(err, "list the tenants")
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.revisions = make(map[string]uint64, len(list.Documents))
	for _, document := range list.Documents {
		o.revisions[document.Name] = document.Revision
	}
	return nil
}

// change changes the next tenant. A refused change is no error of the run: during a loss, there may be no leader.
func (o *operator) change(ctx context.Context) error {
	o.mutex.Lock()
	number := o.made % o.size.Tenants
	o.made++
	tenant := o.size.tenant(number, o.made)
	expected := o.revisions[tenant.Name]
	o.mutex.Unlock()
	body, err := json.Marshal(tenant)
	if err != nil {
		return merry.Wrap(err)
	}
	submitted := truth.Now()
	result, err := o.client.ChangeDocument(ctx, dynamic.KindTenant, tenant.Name, operatorapi.DocumentChange{
		RequestID: uuid.NewString(), Operation: operatorapi.OperationReplace, ExpectedRevision: expected, Document: body,
	})
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err != nil {
		o.refused++
		return nil
	}
	o.revisions[tenant.Name] = result.Revision
	o.changes = append(o.changes, Change{Revision: result.Revision, Submitted: submitted, Accepted: truth.Now()})
	return o.truth.Write(truth.ConfigAccepted{Operator: operatorName, Revision: result.Revision})
}

// changeUntil makes changes at an interval until the context ends.
func (o *operator) changeUntil(ctx context.Context, pause time.Duration) error {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := o.change(context.WithoutCancel(ctx)); err != nil {
				return err
			}
		}
	}
}

// accepted returns the accepted changes from a given index on.
func (o *operator) accepted(from int) []Change {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]Change(nil), o.changes[from:]...)
}

func (o *operator) counts() (accepted, refused int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.changes), o.refused
}

// changeRole requests another role for an engine, since the planner of this run changes none.
func (o *operator) changeRole(ctx context.Context, zone, engine, role string) error {
	_, err := o.client.CommandEngine(ctx, zone, engine, operatorapi.ActionAssign, operatorapi.EngineCommand{
		RequestID: "role-" + engine + "-" + role + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Target:    &operatorapi.EngineConfiguration{Role: role},
	})
	return merry.Wrap(err)
}
