package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/controller"
	"github.com/pierhaven/pierhaven/internal/failure"
)

type controllerSettings = controller.Settings

func TestChangeStatusNamesZonesWithoutTheChange(t *testing.T) {
	zones := []string{"caerdydd-a", "caerdydd-b", "casnewydd"}
	c := startCluster(t, layout{zones: zones, controllers: 2})
	client := c.operators("caerdydd-a")
	ctx := context.Background()
	first := submit(t, client, dynamic.KindPolicy, "evening", policyWithPrice(1))
	gateways := map[string]*testGateway{}
	for _, zone := range zones {
		gateways[zone] = openGateway(c, zone, "gateway-"+zone)
		defer gateways[zone].startHeartbeats()()
	}
	status, err := client.ChangeStatus(ctx, first.Revision, operatorapi.MaximumWait)
	require.NoError(t, err)
	require.True(t, status.InForce, "%+v", status.Missing)
	require.Len(t, status.Zones, 3)

	for _, m := range c.members["casnewydd"] {
		require.NoError(t, m.stop(t))
	}
	began := time.Now()
	second, err := client.ChangeDocument(ctx, dynamic.KindPolicy, "evening", change(t, operatorapi.OperationReplace, "second", first.Revision, policyWithPrice(2)))
	require.NoError(t, err)
	c.eventually("the other zones", func() error {
		status, err = client.ChangeStatus(ctx, second.Revision, time.Second)
		if err == nil && len(status.Missing) != 1 {
			err = fmt.Errorf("missing: %+v", status.Missing)
		}
		return err
	})
	t.Logf("in force in the reachable zones after %s", time.Since(began))
	require.False(t, status.InForce)
	require.Equal(t, "casnewydd", status.Missing[0].Zone)
	engines, err := client.Engines(ctx)
	require.NoError(t, err)
	require.False(t, engines.Zones[2].Reached)
	require.NotEmpty(t, engines.Zones[2].Problem)

	for _, m := range c.members["casnewydd"] {
		m.start(t)
	}
	c.eventually("the zone that was stopped", func() error {
		status, err := client.ChangeStatus(ctx, second.Revision, time.Second)
		if err == nil && !status.InForce {
			err = fmt.Errorf("missing: %+v", status.Missing)
		}
		return err
	})
}

// A zone that is cut off from all others must keep serving with the configuration
// that it has, also after a restart of its controller, and must fail changes that
// need the config group's majority.
func TestIsolatedZoneKeepsItsConfiguration(t *testing.T) {
	zones := []string{"hal-noord", "hal-zuid", "hal-oost"}
	c := startCluster(t, layout{zones: zones, controllers: 1})
	for _, zone := range zones {
		// Waits until the zone's group is founded: the founding is recorded by a
		// separate change in the config group.
		openGateway(c, zone, "first-of-"+zone)
	}
	accepted := submit(t, c.operators(), dynamic.KindTenant, "depot", tenant("hal-zuid"))
	g := openGateway(c, "hal-zuid", "gateway-1")
	c.eventually("configuration at the gateway", func() error { return g.updateToRevision(accepted.Revision) })
	claimNew(c, g, "print 1")
	require.NoError(t, c.members["hal-noord"][0].stop(t))
	require.NoError(t, c.members["hal-oost"][0].stop(t))
	claimNew(c, g, "print 2")
	require.NoError(t, c.members["hal-zuid"][0].stop(t))
	c.members["hal-zuid"][0].start(t)
	claimNew(c, g, "print 3")
	restarted := openGateway(c, "hal-zuid", "gateway-2")
	require.Equal(t, accepted.Revision, g.config)
	require.Equal(t, accepted.Revision, restarted.config)
	_, err := c.operators("hal-zuid").ChangeDocument(context.Background(), dynamic.KindPolicy, "evening",
		change(t, operatorapi.OperationSubmit, "r", 0, policyWithPrice(1)))
	require.Contains(t, []failure.Kind{failure.NoQuorum, failure.OutcomeUnknown}, failure.KindOf(err), "%v", err)
}
