package controller

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/versioned"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// kindZoneGroup is the kind of the documents in the config group that record the
// founding of each zone group. Operators and gateways don't see them.
const kindZoneGroup dynamic.Kind = "zone_group"

// zoneGroupRecord describes the last founding of a zone's group.
type zoneGroupRecord struct {
	// Founding is the random token that identifies the founding.
	Founding uint64 `json:"founding"`
	// Generation counts the foundings of the zone's group.
	Generation uint64 `json:"generation"`
}

// awaitGeneration queries the generation until it is known or the context ends.
// Only a group that is not founded yet may have to wait.
func (c *Controller) awaitGeneration(ctx context.Context) (generation uint64, known bool) {
	for {
		generation, err := c.zoneGeneration(ctx)
		if err == nil {
			return generation, true
		}
		c.logger.V(1).Info("generation of the zone group is not known yet", "error", err.Error())
		if !lifecycle.Sleep(ctx, retryTermInterval) {
			return 0, false
		}
	}
}

// zoneGeneration returns the generation of this controller's zone group. A
// group that is not founded yet gets it from the config group, which records
// whether the zone had an earlier group: a group whose disks were all lost has
// no record of its fencing tokens and claims. The founding token makes it safe to
// repeat the query, also by another leader of the same group.
func (c *Controller) zoneGeneration(ctx context.Context) (uint64, error) {
	if generation := c.foundedGeneration(); generation != 0 {
		return generation, nil
	}
	founding := c.zone.Runner.Status().Founding
	reply, err := c.readDocuments(ctx, kindZoneGroup, c.settings.Zone)
	if err != nil {
		return 0, err
	}
	var last versioned.Document
	var record zoneGroupRecord
	if len(reply.Documents) > 0 {
		last = reply.Documents[0]
		if err := json.Unmarshal(last.Body, &record); err != nil {
			return 0, failure.Wrap(err, failure.Internal)
		}
	}
	if record.Founding == founding {
		return record.Generation, nil
	}
	return c.recordFounding(ctx, last.Revision, zoneGroupRecord{Founding: founding, Generation: record.Generation + 1})
}

// recordFounding stores the record and returns its generation. revision is the
// revision of the record that it replaces, 0 if there is none.
func (c *Controller) recordFounding(ctx context.Context, revision uint64, record zoneGroupRecord) (uint64, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return 0, failure.Wrap(err, failure.Internal)
	}
	command := versioned.Command{
		Operation: versioned.OperationPut, Kind: string(kindZoneGroup), Name: c.settings.Zone,
		RequestID:        fmt.Sprintf("zone-group/%s/%x/%d", c.settings.Zone, record.Founding, revision),
		ExpectedRevision: revision, Body: body,
	}
	if revision > 0 {
		command.Operation = versioned.OperationReplace
	}
	result, err := c.proposeConfig(ctx, command)
	if err != nil {
		return 0, err
	}
	if result.Outcome != versioned.OutcomeApplied {
		return 0, changeError(&command, &result)
	}
	return record.Generation, nil
}

// foundedGeneration returns the generation of the zone group, or 0 if it is not
// founded yet.
func (c *Controller) foundedGeneration() uint64 {
	var generation uint64
	c.zoneMachine.Read(func(state *zonestate.State) {
		if state.Founded() {
			generation = state.Generation()
		}
	})
	return generation
}
