package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// A mechanism has an effect when it is enabled, and none when it is disabled.
func TestDisabledMechanismHasNoEffect(t *testing.T) {
	request := func(own string) relay.PrefillRequest {
		return relay.PrefillRequest{
			Prompt:    &relay.Prompt{Tokens: 9000, Parts: []relay.PromptPart{{ID: "shared", Tokens: 8000}, {ID: own, Tokens: 1000}}},
			Objective: time.Second, TargetTokenGap: time.Second, ObjectiveLeft: time.Second, Left: 4 * time.Second,
		}
	}
	stageOf := func(off mechanism.Set) string {
		d := newDirectory(replica("reader", region.StagePrefill), replica("generator", region.StageDecode))
		d.Disable(off)
		lease, err := d.PlacePrefill("s", request("own"))
		require.NoError(t, err)
		return lease.Replica.Stage
	}
	assert.Equal(t, region.StagePrefill, stageOf(nil))
	assert.Equal(t, region.StageDecode, stageOf(mechanism.Set{mechanism.ReadingApart: true}))

	fetchOf := func(off mechanism.Set) string {
		d := newDirectory(replica("a", region.StagePrefill), replica("b", region.StagePrefill), replica("g", region.StageDecode))
		d.Disable(off)
		first, err := d.PlacePrefill("s", request("first"))
		require.NoError(t, err)
		first.PrefillDone()
		first.PromptCached(request("first").Prompt)
		d.now += time.Second
		for number := range 20 {
			lease, err := d.PlacePrefill("s", request(fmt.Sprint(number)))
			if err != nil {
				break
			}
			if lease.Replica != first.Replica && lease.FetchFrom() != "" {
				return lease.FetchFrom()
			}
		}
		return ""
	}
	assert.NotEmpty(t, fetchOf(nil))
	assert.Empty(t, fetchOf(mechanism.Set{mechanism.Fetching: true}))
}
