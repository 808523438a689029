package controller_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// groupStates waits until a controller responds and returns the state of its groups by
// name.
func (c *cluster) groupStates(m *member) map[string]operatorapi.GroupState {
	c.t.Helper()
	groups := map[string]operatorapi.GroupState{}
	c.eventually("status of "+m.settings.ID, func() error {
		status, err := c.operatorsAt(m.settings.OperatorListenAddress).Status(context.Background())
		for _, state := range status.Groups {
			groups[state.Name] = state
		}
		return err
	})
	return groups
}

func TestMembersWithLostDisksAreReplacedAndAnotherLossIsTolerated(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"hal-noord"}, controllers: 3})
	client := c.operators()
	revision := submit(t, client, dynamic.KindPolicy, "evening", policyWithPrice(1)).Revision
	members := c.members["hal-noord"]
	for round, victim := range []*member{members[0], members[1]} {
		before := c.groupStates(victim)
		require.NoError(t, victim.stop(t))
		require.NoError(t, os.RemoveAll(victim.settings.DataFolder))
		victim.start(t)
		after := c.groupStates(victim)
		for _, name := range []string{"hal-noord", operatorapi.GroupConfig} {
			require.NotEqual(t, before[name].ReplicaID, after[name].ReplicaID, "a replica with an empty data folder must have a new ID")
			require.Equal(t, "joining", after[name].Role)
			command := operatorapi.MemberCommand{Action: operatorapi.MemberReplace, ReplicaID: before[name].ReplicaID, Address: victim.settings.ListenAddress}
			var list operatorapi.MemberList
			c.eventually("replacement", func() (err error) {
				list, err = client.CommandMembers(context.Background(), name, command)
				return err
			})
			requireVoters(t, list.Group, after[name].ReplicaID)
		}
		request := change(t, operatorapi.OperationReplace, fmt.Sprint(round), revision, policyWithPrice(float64(round+2)))
		result, err := client.ChangeDocument(context.Background(), dynamic.KindPolicy, "evening", request)
		require.NoError(t, err)
		revision = result.Revision
	}
	// One more controller is lost right after the replacements.
	require.NoError(t, members[2].stop(t))
	document, err := client.Document(context.Background(), dynamic.KindPolicy, "evening")
	require.NoError(t, err)
	require.Equal(t, revision, document.Revision)
}

func requireVoters(t *testing.T, group operatorapi.GroupState, added uint64) {
	t.Helper()
	require.Len(t, group.Members, 3)
	ids := []uint64{}
	for _, listed := range group.Members {
		require.False(t, listed.Learner)
		ids = append(ids, listed.ReplicaID)
	}
	require.Contains(t, ids, added)
}
