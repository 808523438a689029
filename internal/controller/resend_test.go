package controller_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/controller"
	"github.com/pierhaven/pierhaven/internal/failure"
)

// TestRepeatedZoneCommandsAreExecutedOnce guards against executing an operator's
// command twice. It repeats commands to a zone group at once, after a change of
// leader and after a restart of all controllers, with another command in between.
// Each must get its first result and change nothing.
func TestRepeatedZoneCommandsAreExecutedOnce(t *testing.T) {
	const zone, engine = "hal-noord", "engine-1"
	c := startCluster(t, layout{zones: []string{zone}, controllers: 3, adjustSettings: func(settings *controllerSettings) {
		settings.Engines = []controller.BackEndAddress{{ID: engine, Address: "127.0.0.1:1"}}
	}})
	client := c.operators()
	command := func(action operatorapi.EngineAction, requestID string) (operatorapi.CommandResult, error) {
		return client.CommandEngine(context.Background(), zone, engine, action, operatorapi.EngineCommand{RequestID: requestID})
	}
	c.eventually("engine", func() error {
		list, err := client.Engines(context.Background())
		if err == nil && len(list.Engines) == 0 {
			err = fmt.Errorf("the engine is not registered yet")
		}
		return err
	})
	drained, err := command(operatorapi.ActionDrain, "r-drain")
	require.NoError(t, err)
	undrained, err := command(operatorapi.ActionUndrain, "r-undrain")
	require.NoError(t, err)
	require.Greater(t, undrained.Revision, drained.Revision)

	repeatCommands := func() {
		c.eventually("first results", func() error {
			first, err := command(operatorapi.ActionDrain, "r-drain")
			if err == nil {
				require.Equal(t, drained, first)
			}
			return err
		})
		last, err := command(operatorapi.ActionUndrain, "r-undrain")
		require.NoError(t, err)
		require.Equal(t, undrained, last)
		c.eventually("engine is not drained again", func() error {
			list, err := client.Engines(context.Background())
			if err != nil || len(list.Engines) != 1 || !list.Zones[0].FromLeader {
				return fmt.Errorf("%d engines, %w", len(list.Engines), err)
			}
			require.False(t, list.Engines[0].Drained)
			return nil
		})
		_, err = command(operatorapi.ActionUndrain, "r-drain")
		requireKind(t, failure.IdempotencyKeyReused, err)
	}
	repeatCommands()
	leader := c.leader(zone)
	require.NoError(t, leader.stop(t))
	c.leader(zone)
	repeatCommands()
	leader.start(t)
	for _, m := range c.all() {
		require.NoError(t, m.stop(t))
	}
	for _, m := range c.all() {
		m.start(t)
	}
	repeatCommands()
}
