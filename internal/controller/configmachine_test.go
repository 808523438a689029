package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/versioned"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

func TestZoneGroupRecordsDoNotChangeTheConfigurationRevision(t *testing.T) {
	machine := newConfigMachine()
	put := func(index uint64, kind dynamic.Kind, name string) {
		command := versioned.Command{Operation: versioned.OperationPut, Kind: string(kind), Name: name, RequestID: name, Body: []byte(`{"name":"x"}`)}
		encoded, err := command.Encode()
		require.NoError(t, err)
		result, err := versioned.DecodeResult(machine.Apply(index, encoded))
		require.NoError(t, err)
		require.Equal(t, versioned.OutcomeApplied, result.Outcome)
	}
	put(4, dynamic.KindPolicy, "evening")
	before, err := machine.configuration()
	require.NoError(t, err)
	put(5, kindZoneGroup, "hal-noord")
	after, err := machine.configuration()
	require.NoError(t, err)
	require.Equal(t, before.Revision, after.Revision)
	revision, documents := machine.documents("", "")
	require.Equal(t, before.Revision, revision)
	require.Len(t, documents, 2)
}
