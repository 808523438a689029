package request

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// startProducing returns a machine with an attempt whose first token was relayed.
func startProducing(t *testing.T) (*Machine, Dispatch) {
	machine := newTestMachine()
	current := startRunning(t, machine)
	produceNextToken(machine, current)
	return machine, current
}

// produceNextToken applies the acceptance and the next token of an attempt.
func produceNextToken(machine *Machine, current Dispatch) []Output {
	machine.AttemptAccepted(0, current.AttemptID, "1")
	next := machine.Relayed()
	return machine.Piece(0, current.AttemptID, next, answerOfVersion("1")[next:next+1])
}

func TestMovedStreamReusesExportedKVCache(t *testing.T) {
	machine, current := startProducing(t)
	prefill := testEngine("p2")
	cancel := requireOne[Cancel](t, machine.Move(0, testEngine("e2"), &prefill))
	require.True(t, cancel.ExportKV)
	require.Equal(t, current.AttemptID, cancel.AttemptID)

	requireOne[Relay](t, produceNextToken(machine, current))
	require.Empty(t, machine.AttemptBroken(0, current.AttemptID, true, "the engine gave up: cancelled"))
	_, movable := machine.MovePick()
	require.False(t, movable, "it is already being moved")

	kv := &engineapi.KVSource{Handle: current.AttemptID, Tokens: 9}
	moved := requireOne[Dispatch](t, machine.Exported(0, current.AttemptID, kv))
	require.Equal(t, Dispatch{
		AttemptID: moved.AttemptID, Engine: testEngine("e2"), Version: "1", ResumeOffset: 2, KV: kv,
	}, moved, "the prompt is not prefilled again")
	require.Empty(t, produceNextToken(machine, current), "events of the old attempt are ignored")
	require.Empty(t, machine.Exported(0, current.AttemptID, kv))
	requireOne[Relay](t, produceNextToken(machine, moved))
}

func TestMovedStreamWithoutKVCacheIsRecomputed(t *testing.T) {
	machine, current := startProducing(t)
	machine.Move(0, testEngine("e2"), nil)
	moved := requireOne[Dispatch](t, machine.Exported(0, current.AttemptID, nil))
	require.Nil(t, moved.KV)
	require.Equal(t, 1, moved.ResumeOffset)

	machine, _ = startProducing(t)
	machine.Move(0, testEngine("e2"), nil)
	require.Empty(t, machine.Tick(exportTimeout-1))
	require.Equal(t, exportTimeout, machine.NextWake())
	moved = requireOne[Dispatch](t, machine.Tick(exportTimeout))
	require.Nil(t, moved.KV, "the export timed out")
}

func TestStreamThatEndsDuringMoveIsComplete(t *testing.T) {
	machine, current := startProducing(t)
	machine.Move(0, testEngine("e2"), nil)
	for machine.Relayed() < testTokens {
		produceNextToken(machine, current)
	}
	requireOne[Finish](t, machine.End(0, current.AttemptID, testTokens, engineapi.FinishStop, 1, 0))
	require.Empty(t, machine.Exported(0, current.AttemptID, nil))
}

func TestCallerDisconnectDuringMoveEndsRequest(t *testing.T) {
	machine, current := startProducing(t)
	machine.Move(0, testEngine("e2"), nil)
	outputs := machine.CallerDisconnected(0)
	require.Contains(t, outputs, Cancel{AttemptID: current.AttemptID, Engine: current.Engine})
	require.True(t, machine.Done())
}

func TestMovesDoNotCountAsTries(t *testing.T) {
	machine, current := startProducing(t)
	for range 10 {
		machine.Move(0, testEngine("e2"), nil)
		current = requireOne[Dispatch](t, machine.Exported(0, current.AttemptID, &engineapi.KVSource{Handle: "kv"}))
		require.Equal(t, "1", current.Version)
		require.Equal(t, machine.Relayed(), current.ResumeOffset)
		produceNextToken(machine, current)
	}
	requireOne[Pick](t, machine.AttemptBroken(0, current.AttemptID, true, "crash"))
}
