package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/failure"
)

func policyWithPrice(price float64) dynamic.Policy {
	return dynamic.Policy{Name: "evening", RoleChange: dynamic.RoleChangeRule{Price: price, MaximumAway: 1}}
}

func priceOf(t *testing.T, document operatorapi.Document) float64 {
	t.Helper()
	var stored dynamic.Policy
	require.NoError(t, json.Unmarshal(document.Body, &stored))
	return stored.RoleChange.Price
}

func TestExactlyOneOfConcurrentChangesSucceeds(t *testing.T) {
	const operators = 12
	c := startCluster(t, layout{zones: []string{"hal-noord"}, controllers: 3})
	base := submit(t, c.operators(), dynamic.KindPolicy, "evening", policyWithPrice(0))
	results := make([]operatorapi.ChangeResult, operators)
	problems := make([]error, operators)
	requests := make([]operatorapi.DocumentChange, operators)
	var running sync.WaitGroup
	for number := range operators {
		requests[number] = change(t, operatorapi.OperationReplace, uuid.NewString(), base.Revision, policyWithPrice(float64(number+1)))
		running.Go(func() {
			client := c.operatorsAt(c.members["hal-noord"][number%3].settings.OperatorListenAddress)
			results[number], problems[number] = client.ChangeDocument(context.Background(), dynamic.KindPolicy, "evening", requests[number])
		})
	}
	running.Wait()
	winner := -1
	for number, problem := range problems {
		if problem == nil {
			require.Equal(t, -1, winner, "two changes succeeded")
			winner = number
			continue
		}
		requireKind(t, failure.RevisionConflict, problem)
		require.Equal(t, failure.RanNo, failure.AnswerFor(problem).Ran)
	}
	require.NotEqual(t, -1, winner, "no change succeeded")

	document, err := c.operators().Document(context.Background(), dynamic.KindPolicy, "evening")
	require.NoError(t, err)
	require.Equal(t, results[winner].Revision, document.Revision)
	require.InDelta(t, float64(winner+1), priceOf(t, document), 0)
	for number, request := range requests {
		again, err := c.operators().ChangeDocument(context.Background(), dynamic.KindPolicy, "evening", request)
		if number != winner {
			requireKind(t, failure.RevisionConflict, err)
			continue
		}
		require.NoError(t, err)
		require.True(t, again.Repeated)
		require.Equal(t, results[winner].Revision, again.Revision)
	}
}

func TestRestartAfterManyChangesLosesAndRepeatsNone(t *testing.T) {
	const changes = 300
	c := startCluster(t, layout{zones: []string{"hal-noord"}, controllers: 3, adjustSettings: func(settings *controllerSettings) {
		settings.SnapshotEntries = 50
	}})
	client := c.operators()
	revision := submit(t, client, dynamic.KindPolicy, "evening", policyWithPrice(0)).Revision
	var requests []operatorapi.DocumentChange
	var results []operatorapi.ChangeResult
	for number := 1; number <= changes; number++ {
		request := change(t, operatorapi.OperationReplace, fmt.Sprintf("change-%d", number), revision, policyWithPrice(float64(number)))
		result, err := client.ChangeDocument(context.Background(), dynamic.KindPolicy, "evening", request)
		require.NoError(t, err)
		require.Greater(t, result.Revision, revision)
		revision = result.Revision
		requests, results = append(requests, request), append(results, result)
	}
	for _, m := range c.all() {
		require.NoError(t, m.stop(t))
	}
	for _, m := range c.all() {
		m.start(t)
	}
	c.leader(operatorapi.GroupConfig)
	for _, number := range []int{0, changes / 2, changes - 1} {
		again, err := client.ChangeDocument(context.Background(), dynamic.KindPolicy, "evening", requests[number])
		require.NoError(t, err)
		require.True(t, again.Repeated)
		require.Equal(t, results[number].Revision, again.Revision)
	}
	document, err := client.Document(context.Background(), dynamic.KindPolicy, "evening")
	require.NoError(t, err)
	require.Equal(t, revision, document.Revision)
	require.InDelta(t, changes, priceOf(t, document), 0)
	c.eventually("zone's copy", func() error {
		status, err := client.ChangeStatus(context.Background(), revision, time.Second)
		if err == nil && !status.InForce {
			err = fmt.Errorf("missing: %+v", status.Missing)
		}
		return err
	})
}

// Guards against losing accepted changes when the leader, or all controllers at
// once, lose power: the document must keep the revision and content of the last
// accepted change. The test waits for the result of each change before the crash,
// since one with an unknown outcome may be committed or not, and only repeating its
// request tells which.
func TestAcceptedChangesSurviveCrashes(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"hal-noord"}, controllers: 3, inMemory: true})
	client := c.operators()
	revision := submit(t, client, dynamic.KindPolicy, "evening", policyWithPrice(0)).Revision
	for round := 1; round <= 3; round++ {
		for number := range 5 {
			request := change(t, operatorapi.OperationReplace, fmt.Sprintf("%d-%d", round, number), revision, policyWithPrice(float64(10*round+number)))
			result, err := client.ChangeDocument(context.Background(), dynamic.KindPolicy, "evening", request)
			require.NoError(t, err)
			revision = result.Revision
		}
		c.crashAndRestart(round == 3)
		c.eventually("document after the crash", func() error {
			document, err := client.Document(context.Background(), dynamic.KindPolicy, "evening")
			if err != nil {
				return err
			}
			require.Equal(t, revision, document.Revision)
			require.InDelta(t, float64(10*round+4), priceOf(t, document), 0)
			return nil
		})
	}
}

// crashAndRestart crashes and restarts the config group's leader, or all members.
func (c *cluster) crashAndRestart(all bool) {
	c.t.Helper()
	victims := []*member{c.leader(operatorapi.GroupConfig)}
	if all {
		victims = c.all()
	}
	for _, m := range victims {
		m.crash(c.t)
	}
	for _, m := range victims {
		m.start(c.t)
	}
}

func TestWithoutMajorityChangesFailAndListsWork(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"hal-noord"}, controllers: 3})
	submit(t, c.operators(), dynamic.KindPolicy, "evening", policyWithPrice(1))
	g := openGateway(c, "hal-noord", "gateway-1")
	c.eventually("configuration at the gateway", func() error {
		if g.config > 0 {
			return nil
		}
		return g.sendHeartbeat()
	})
	remaining := c.members["hal-noord"][0]
	require.NoError(t, c.members["hal-noord"][1].stop(t))
	require.NoError(t, c.members["hal-noord"][2].stop(t))
	client := c.operatorsAt(remaining.settings.OperatorListenAddress)
	ctx := context.Background()

	_, err := client.ChangeDocument(ctx, dynamic.KindPolicy, "night", change(t, operatorapi.OperationSubmit, "r", 0, dynamic.Policy{Name: "night"}))
	require.Error(t, err)
	require.Contains(t, []failure.Kind{failure.NoQuorum, failure.OutcomeUnknown}, failure.KindOf(err), "%v", err)

	list, err := client.Documents(ctx, dynamic.KindPolicy)
	require.NoError(t, err)
	require.Equal(t, operatorapi.SourceCopy, list.Freshness.Source)
	require.NotEmpty(t, list.Freshness.Problem)
	require.Len(t, list.Documents, 1)
	gateways, err := client.Gateways(ctx)
	require.NoError(t, err)
	require.Len(t, gateways.Gateways, 1)
	require.Equal(t, operatorapi.GatewayUnknown, gateways.Gateways[0].State)
	zones, err := client.Zones(ctx)
	require.NoError(t, err)
	require.False(t, zones.Zones[0].FromLeader)
	status, err := client.Status(ctx)
	require.NoError(t, err)
	require.NotEmpty(t, status.Warnings)
	members, err := client.Members(ctx, "hal-noord")
	require.NoError(t, err)
	require.Len(t, members.Group.Members, 3)
	require.Error(t, g.sendHeartbeat(), "a controller without a majority must not renew a lease")

	c.members["hal-noord"][1].start(t)
	c.eventually("repeated request after the majority is restored", func() error {
		_, err := client.ChangeDocument(ctx, dynamic.KindPolicy, "night", change(t, operatorapi.OperationSubmit, "r", 0, dynamic.Policy{Name: "night"}))
		return err
	})
	list, err = client.Documents(ctx, dynamic.KindPolicy)
	require.NoError(t, err)
	require.Len(t, list.Documents, 2)
}

func TestApplyConfigurationIsDeclarative(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"hal-noord"}, controllers: 1})
	client := c.operators()
	ctx := context.Background()
	snapshot := dynamic.Snapshot{
		Policies: []dynamic.Policy{policyWithPrice(2)},
		Tenants:  []dynamic.Tenant{tenant("hal-noord")},
		Models:   []dynamic.Model{{Name: "org/address-reader", Version: "1", FirstTokenMillis: 500, BetweenTokensMillis: 50, MaximumPromptTokens: 100, MaximumOutputTokens: 10}},
	}
	first, err := client.ApplyConfiguration(ctx, operatorapi.ConfigurationChange{RequestID: "a", Snapshot: snapshot})
	require.NoError(t, err)
	require.Len(t, first.Changes, 3)
	again, err := client.ApplyConfiguration(ctx, operatorapi.ConfigurationChange{RequestID: "a", Snapshot: snapshot})
	require.NoError(t, err)
	require.Empty(t, again.Changes)
	require.Equal(t, 3, again.Unchanged)
	require.Equal(t, first.Revision, again.Revision)

	pruned, err := client.ApplyConfiguration(ctx, operatorapi.ConfigurationChange{RequestID: "b", Snapshot: dynamic.Snapshot{Tenants: snapshot.Tenants}, Prune: true})
	require.NoError(t, err)
	require.Len(t, pruned.Changes, 2)
	document, err := client.Document(ctx, dynamic.KindModel, "org/address-reader")
	require.NoError(t, err)
	require.True(t, document.Withdrawn)
	_, err = client.ApplyConfiguration(ctx, operatorapi.ConfigurationChange{RequestID: "c", Snapshot: snapshot})
	require.NoError(t, err, "names of withdrawn documents can be used again")

	moved := snapshot
	moved.Tenants = []dynamic.Tenant{tenant("elsewhere")}
	_, err = client.ApplyConfiguration(ctx, operatorapi.ConfigurationChange{RequestID: "d", Snapshot: moved})
	requireKind(t, failure.InvalidDocument, err)
	broken := policyWithPrice(1)
	broken.Ranking = "request.nonsense + 1"
	_, err = client.ChangeDocument(ctx, dynamic.KindPolicy, "evening", change(t, operatorapi.OperationReplace, "e", document.Revision, broken))
	requireKind(t, failure.InvalidDocument, err)
}
